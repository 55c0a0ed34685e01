"""Tests of the command that lists the events of a flow or an endpoint."""

from balsamshed.commands.stories import story

FIRST = """time=10.0 event=started node=edge-1
time=11.0 event=endpoint_added endpoint=abc1 cookie=0000abc1 revision=3
noise
time=12.5 event=opening_forwarded flow=10.0.0.1:4000>198.51.100.1:443 \
cookie=0000abc1
time=12.6 event=opening_forwarded flow=10.0.0.2:4000>198.51.100.1:443 \
cookie=0000ffff
"""
SECOND = """ 1.25 node-b time=12.7 event=opening_repeated \
flow=10.0.0.1:4000>198.51.100.1:443 cookie=0000abc2
time=13.0 event=store_lost reason=timed_out
"""


def write_logs(folder):
    (folder / 'edge-1.log').write_text(FIRST)
    (folder / 'edge-2.log').write_text(SECOND)
    return str(folder / 'edge-1.log'), str(folder / 'edge-2.log')


def test_events_of_a_flow_are_merged_from_all_logs(tmp_path, capsys):
    """Guards against missing or misordered events of several balancers."""
    assert story(*write_logs(tmp_path), flow='10.0.0.1:4000') == 0
    lines = capsys.readouterr().out.splitlines()[1:]
    events = [line.split()[2] for line in lines]
    assert events == [
        'started',
        'endpoint_added',
        'opening_forwarded',
        'opening_repeated',
        'store_lost',
    ]
    assert [line.split()[1] for line in lines][2:4] == ['edge-1', 'edge-2']


def test_events_of_an_endpoint_are_found_by_identity_or_cookie(
    tmp_path, capsys
):
    """Guards against missed events: logs have the identity or the cookie."""
    files = write_logs(tmp_path)
    assert story(*files, endpoint='0000abc1') == 0
    by_cookie = capsys.readouterr().out
    assert 'endpoint_added' in by_cookie
    assert 'opening_forwarded' in by_cookie
    assert story(*files, endpoint='abc1') == 0
    assert 'endpoint_added' in capsys.readouterr().out


def test_bad_arguments_are_rejected(tmp_path, capsys):
    """Guards against listing all events without a flow or an endpoint.

    A missing log file must be named.
    """
    assert story(*write_logs(tmp_path)) == 2
    assert story(str(tmp_path / 'missing.log'), flow='x') == 2
    assert 'missing.log' in capsys.readouterr().err
