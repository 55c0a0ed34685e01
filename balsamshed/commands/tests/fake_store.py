"""Object API with fault injection, for tests."""

import json
import sys
from urllib.parse import unquote

from treq.testing import RequestTraversalAgent
from twisted.internet import reactor, stdio
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from balsamshed.front_ends.store_client import create_store_client

#: Fault: the call takes effect, but the connection closes before a response.
LOSE_RESPONSE = 'lose'
#: Fault: the call takes effect and never gets a response.
HANG = 'hang'
#: Fault: the call gets 503 and takes no effect.
OUTAGE = 'outage'
#: Fault: the connection closes before the call takes effect.
DROP_REQUEST = 'drop'


class FakeStore(Resource):
    """Object API of design section 5.2."""

    isLeaf = True

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.objects = {}
        self.revision = 0
        self.vms = []
        self.calls = []
        # Faults, or functions that may return one, of the next calls by method.
        self.faults = {'GET': [], 'PUT': [], 'WATCH': []}
        self.watchers = []
        self.oldest_revision = 0

    def write(self, key, body):
        """Write an object, as another client would do."""
        self.revision += 1
        self.objects[key] = {
            'key': key,
            'version': self.revision,
            'body': json.loads(json.dumps(body)),
        }
        for watcher in list(self.watchers):
            watcher()
        return self.revision

    def render(self, request):
        method = request.method.decode()
        path = unquote(request.path.decode())
        self.calls.append(f'{method} {path}')
        name = 'WATCH' if path == '/v1/watch' else method
        queue = self.faults.get(name, [])
        fault = queue.pop(0) if queue else None
        if callable(fault):
            fault = fault()
        if fault == OUTAGE:
            return self._respond(request, 503, {})
        if fault == DROP_REQUEST:
            request.transport.loseConnection()
            return NOT_DONE_YET
        if name == 'WATCH':
            return NOT_DONE_YET if fault == HANG else self._watch(request)
        code, content = self._handle(method, path, request)
        if fault == LOSE_RESPONSE:
            request.transport.loseConnection()
            return NOT_DONE_YET
        if fault == HANG:
            return NOT_DONE_YET
        return self._respond(request, code, content)

    def _handle(self, method, path, request):
        if path == '/v1/vms':
            return 200, {'vms': self.vms}
        if path == '/v1/objects':
            return 200, self._list(request, -1)
        key = path.removeprefix('/v1/objects/')
        stored = self.objects.get(key)
        if method == 'GET':
            return (200, stored) if stored else (404, {})
        expected = int(request.getHeader('if-match'))
        current = stored['version'] if stored else 0
        if expected != current:
            return 412, {'version': current}
        text = request.content.read()
        if len(text) > 1_000_000:
            return 413, {}
        return 200, {'version': self.write(key, json.loads(text))}

    def _list(self, request, since):
        prefix = request.args[b'prefix'][0].decode()
        objects = [
            entry
            for key, entry in sorted(self.objects.items())
            if key.startswith(prefix) and entry['version'] > since
        ]
        return {'revision': self.revision, 'objects': objects}

    def _watch(self, request):
        since = int(request.args[b'since'][0])
        if since < self.oldest_revision:
            return self._respond(request, 410, {})
        content = self._list(request, since)
        if content['objects']:
            return self._respond(request, 200, content)

        def finish():
            content = self._list(request, since)
            if not content['objects'] and timer.active():
                return
            if timer.active():
                timer.cancel()
            self.watchers.remove(finish)
            if not disconnected:
                request.write(self._respond(request, 200, content))
                request.finish()

        disconnected = []
        request.notifyFinish().addErrback(disconnected.append)
        timeout = int(request.args[b'timeout_ms'][0]) / 1000
        timer = self.clock.callLater(timeout, finish)
        self.watchers.append(finish)
        return NOT_DONE_YET

    def _respond(self, request, code, content):
        request.setResponseCode(code)
        request.setHeader('content-type', 'application/json')
        return json.dumps(content).encode()


class StoreHarness:
    """A fake store and a client that share a simulated clock."""

    def __init__(self):
        self.clock = Clock()
        self.store = FakeStore(self.clock)
        self.agent = RequestTraversalAgent(self.store)
        self.client = create_store_client(
            'http://store',
            self.agent,
            self.clock,
            sample_jitter=lambda: 1.0,
        )

    def run(self, deferred, limit_seconds=120.0, step_seconds=0.05):
        """Advance the clock until the Deferred fires, and return its result."""
        outcome = []
        deferred.addBoth(outcome.append)
        elapsed_seconds = 0
        while not outcome and elapsed_seconds < limit_seconds:
            self.agent.flush()
            self.clock.advance(step_seconds)
            elapsed_seconds += step_seconds
            self.agent.flush()
        assert outcome, f'no result within {limit_seconds} s'
        if hasattr(outcome[0], 'raiseException'):
            outcome[0].raiseException()
        return outcome[0]


class InputCloseProtocol(Protocol):
    """Calls a function when standard input closes."""

    def __init__(self, stop):
        self._stop = stop

    def connectionLost(self, reason):  # noqa: N802
        self._stop()


def serve():
    """Serve on a free loopback port until standard input closes."""

    def stop():
        if reactor.running:
            reactor.stop()

    site = Site(FakeStore(reactor))
    port = reactor.listenTCP(0, site, interface='127.0.0.1')
    sys.stdout.write(f'{port.getHost().port}\n')
    sys.stdout.flush()
    stdio.StandardIO(InputCloseProtocol(stop))
    # Stops after 60 s even if the parent does not close standard input.
    reactor.callLater(60, stop)
    reactor.run()


if __name__ == '__main__':
    serve()
