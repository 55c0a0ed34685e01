"""Tests of the settings of an edge balancer."""

import json

import pytest

from balsamshed.settings.balancer import SocketAddress
from balsamshed.settings.edge import EdgeSettings, parse_edge_settings

VALID = {
    'name': 'edge-1',
    'data_centre': 'a',
    'packets': '127.0.0.1:7000',
    'ready': '127.0.0.1:7001',
    'store': '127.0.0.1:7002',
    'metrics': '127.0.0.1:7004',
    'peer_ports': [7010, 7020],
    'seeds': ['127.0.0.1:7003'],
    'flow_lifetime_seconds': 60,
    'grace_seconds': 6,
}


def test_valid_settings_are_decoded():
    """Guards against fields that are mixed up or converted wrongly."""
    settings = parse_edge_settings(json.dumps({**VALID, 'unknown': 1}))
    assert isinstance(settings, EdgeSettings)
    assert settings.packets == SocketAddress('127.0.0.1', 7000)
    assert settings.seeds == (SocketAddress('127.0.0.1', 7003),)
    assert settings.peer_ports == (7010, 7020)


def test_all_faults_are_reported_together():
    """Guards against reports of only the first fault, which cost a start each."""
    content = {**VALID, 'ready': '127.0.0.1', 'seeds': None}
    del content['name'], content['metrics']
    findings = parse_edge_settings(json.dumps(content))
    assert [finding.place for finding in findings] == [
        '$.name',
        '$.ready',
        '$.metrics',
        '$.seeds',
    ]


@pytest.mark.parametrize(
    ('key', 'entry'),
    [
        ('packets', '300.0.0.1:80'),
        ('packets', '10.0.0.1:0'),
        ('packets', '10.0.0.1:70000'),
        ('store', 'store:80'),
        ('peer_ports', [2, 1]),
        ('peer_ports', [1]),
        ('peer_ports', 'x'),
        ('flow_lifetime_seconds', 0),
        ('grace_seconds', True),
        ('seeds', ['x']),
    ],
)
def test_invalid_value_is_a_finding(key, entry):
    """Guards against an invalid value that fails only after the start."""
    findings = parse_edge_settings(json.dumps({**VALID, key: entry}))
    assert [finding.place for finding in findings] == [f'$.{key}']


@pytest.mark.parametrize('text', ['', '[]', '{'])
def test_text_that_is_not_an_object_is_a_finding(text):
    """Guards against an exception instead of a finding."""
    (finding,) = parse_edge_settings(text)
    assert finding.place == '$'
