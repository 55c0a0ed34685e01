"""Tests of reading and validating the settings files of a balancer."""

import json

import pytest

from balsamshed.settings.balancer import BalancerSettings, SocketAddress
from balsamshed.settings.files import (
    SettingsRejection,
    get_defaults,
    load_schema,
    read_settings,
)

SECRET = 'ab' * 16


def make_settings(**changes):
    settings = {
        'name': 'b1',
        'group': 'laval',
        'data_centre': 'qc-1',
        'fabric': {'host': '127.0.0.1', 'port': 9000},
        'store_url': 'http://127.0.0.1:8080',
        'peer_key': SECRET,
        **changes,
    }
    return {key: part for key, part in settings.items() if part is not ...}


def read_text(tmp_path, text):
    file = tmp_path / 'settings.json'
    file.write_text(text, encoding='utf-8')
    return read_settings(file)


def list_places(tmp_path, **changes):
    outcome = read_text(tmp_path, json.dumps(make_settings(**changes)))
    assert isinstance(outcome, SettingsRejection), outcome
    assert outcome.file.endswith('settings.json')
    return [finding.place for finding in outcome.findings]


def test_peers_get_the_advertised_address(tmp_path):
    """Guards against peers that use the bound address behind a NAT."""
    text = json.dumps(
        make_settings(
            advertised_host='192.0.2.7',
            advertised_control_port=9401,
        ),
    )
    settings = read_text(tmp_path, text)
    assert settings.advertised_host == '192.0.2.7'
    assert settings.advertised_data_port == settings.data_port == 7400
    assert settings.advertised_control_port == 9401
    assert settings.control_port == 7401


def test_defaults_complete_a_minimal_file(tmp_path):
    """Guards against a default that listens on more than the loopback address."""
    settings = read_text(tmp_path, json.dumps(make_settings()))
    assert settings == BalancerSettings(
        name='b1',
        group='laval',
        data_centre='qc-1',
        host='127.0.0.1',
        data_port=7400,
        control_port=7401,
        metrics_port=7402,
        advertised_host='127.0.0.1',
        advertised_data_port=7400,
        advertised_control_port=7401,
        fabric=SocketAddress('127.0.0.1', 9000),
        store_url='http://127.0.0.1:8080',
        peers=(),
        peer_key=bytes.fromhex(SECRET),
    )


def test_all_findings_are_reported_together(tmp_path):
    """Guards against reports that stop at the first fault of a file."""
    places = list_places(
        tmp_path,
        name='B 1',
        group=...,
        host='localhost',
        data_port=70000,
        metrics_port='7402',
        fabric={'host': '10.0.0.1', 'port': True, 'mtu': 1500},
        peers=[{'host': '10.0.0.1'}],
        colour='blue',
    )
    assert places == [
        '$.colour',
        '$.data_port',
        '$.fabric.mtu',
        '$.fabric.port',
        '$.group',
        '$.host',
        '$.metrics_port',
        '$.name',
        '$.peers[0].port',
    ]


@pytest.mark.parametrize(
    'url',
    [
        'https://127.0.0.1:1',
        'http://',
        'http://:8080',
        'http://h:0',
        'http://h:70000',
        'http://[::1',
        'http://user:word@h',
        'http://h/?q=1',
        'http://h/#part',
        'http://h h',
        'h:8080',
        'http://h\n',
        8080,
    ],
)
def test_invalid_store_urls_are_findings(tmp_path, url):
    """Guards against an invalid URL that shows only as a store outage."""
    assert list_places(tmp_path, store_url=url) == ['$.store_url']


@pytest.mark.parametrize(
    'key',
    ['', 'ab' * 15, 'ab' * 65, 'ab' * 15 + 'a', 'xy' * 16, SECRET + '\n', 5],
)
def test_invalid_peer_keys_are_findings(tmp_path, key):
    """Guards against short or malformed keys that weaken authentication."""
    assert list_places(tmp_path, peer_key=key) == ['$.peer_key']


@pytest.mark.parametrize('misspelt', ['peer_key', 'peer_keys', 'Peer-key'])
def test_findings_do_not_show_the_peer_key(tmp_path, misspelt):
    """Guards against a peer key that is written to a terminal or a log."""
    settings = make_settings(**{'peer_key': ..., misspelt: f'{SECRET}!'})
    outcome = read_text(tmp_path, json.dumps(settings))
    assert SECRET not in repr(outcome)
    broken = json.dumps(make_settings()).replace(SECRET, f'{SECRET}\n')
    assert SECRET[:20] not in repr(read_text(tmp_path, broken))


def test_duplicate_ports_are_findings_also_with_defaults(tmp_path):
    """Guards against two listeners on one port, which fail only at the start."""
    assert list_places(tmp_path, data_port=7402) == ['$.metrics_port']
    assert list_places(tmp_path, data_port=1, control_port=1) == [
        '$.control_port',
    ]


def test_invalid_json_is_located_by_line_and_column(tmp_path):
    """Guards against a finding that does not locate the fault in a long file."""
    outcome = read_text(tmp_path, '{\n  "name": b1\n}')
    assert [f.place for f in outcome.findings] == ['line 2, column 11']


@pytest.mark.parametrize(
    'text',
    ['[]', '3', '', '{"name": NaN}', '[' * 100_000, '9' * 5000, '\ufeff{}'],
)
def test_other_documents_are_rejected_without_an_exception(tmp_path, text):
    """Guards against a traceback for a file that holds no settings."""
    assert isinstance(read_text(tmp_path, text), SettingsRejection)


def test_duplicate_keys_are_findings(tmp_path):
    """Guards against duplicate keys: JSON decoders silently keep the last value."""
    text = '{"name": "a", "name": "b", "peers": [{"port": 1, "port": 2}]}'
    outcome = read_text(tmp_path, text)
    places = [finding.place for finding in outcome.findings]
    assert places == ['$.name', '$.peers[0].port']


def test_unreadable_files_are_findings(tmp_path):
    """Guards against exceptions for a missing file, a folder or binary data."""
    missing = read_settings(tmp_path / 'missing.json')
    assert missing.findings[0].found == 'No such file or directory'
    assert isinstance(read_settings(tmp_path), SettingsRejection)
    binary = tmp_path / 'binary'
    binary.write_bytes(b'\xff\xfe\x00')
    assert isinstance(read_settings(binary), SettingsRejection)


def test_schema_states_defaults_and_units():
    """Guards against numbers without a unit and optional keys without a default."""
    schema = load_schema()
    for key, part in schema['properties'].items():
        assert part['description']
        assert ('default' in part) != (key in schema['required']), key
        if isinstance(part.get('default'), int):
            assert key.endswith(('_port', '_seconds', '_bytes')), key
    assert set(schema['properties']) == set(
        BalancerSettings.__dataclass_fields__,
    )
    assert get_defaults()['host'] == '127.0.0.1'
