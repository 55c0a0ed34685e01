"""Tests of the command that explains a placement."""

import json
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread

from balsamshed.commands.placements import explain_placement

EXPLANATION = {
    'route': 'web',
    'data_centre': 'a',
    'decision': 'refused',
    'reason': 'no_endpoint',
    'endpoint': '',
    'hedged_after_seconds': None,
    'version': 7,
    'revision': '20',
    'age_seconds': 0.5,
    'candidates': [],
}


@contextmanager
def serve(status, document):
    """Serve one JSON document at any path, and list the requested paths."""
    paths = []

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            paths.append(self.path)
            self.send_response(status)
            self.end_headers()
            self.wfile.write(json.dumps(document).encode())

        def log_message(self, *_arguments):
            """Write nothing."""

    with HTTPServer(('127.0.0.1', 0), Handler) as server:
        Thread(target=server.handle_request, daemon=True).start()
        yield f'127.0.0.1:{server.server_port}', paths


def test_explanation_is_shown_as_text(capsys):
    """Guards against a refusal that is shown without its reason."""
    with serve(200, EXPLANATION) as (address, paths):
        assert explain_placement(address, 'web', from_data_centre='a') == 0
    assert paths == ['/placement?route=web&from=a']
    text = capsys.readouterr().out
    assert 'route web from a: refused (no_endpoint)' in text
    assert 'version 7, revision 20, view 0.5 s old' in text


def test_json_is_the_explanation_itself(capsys):
    """Guards against programs that have to parse the text."""
    with serve(200, EXPLANATION) as (address, _paths):
        assert explain_placement(address, 'web', output='json') == 0
    assert json.loads(capsys.readouterr().out) == EXPLANATION


def test_unknown_route_is_bad_input(capsys):
    """Guards against a misspelt route that ends as a success."""
    unknown = {'kind': 'route', 'name': 'wep', 'known': ['files', 'web']}
    with serve(404, unknown) as (address, _paths):
        assert explain_placement(address, 'wep') == 2
    message = "unknown route 'wep'; known: files, web\n"
    assert capsys.readouterr().err == message


def test_unreachable_balancer_is_a_failure(capsys):
    """Guards against a traceback in place of an error."""
    with serve(200, EXPLANATION) as (address, _paths):
        pass
    assert explain_placement(address, 'web') == 1
    assert address in capsys.readouterr().err
