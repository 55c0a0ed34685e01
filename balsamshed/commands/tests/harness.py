"""Runs commands in the test process against the fake store."""

import json
from types import MappingProxyType

import defopt
from twisted.internet.defer import Deferred

from balsamshed.commands.command_table import COMMANDS
from balsamshed.commands.sessions import Session
from balsamshed.commands.tests.fake_store import StoreHarness

#: 2026-12-04T12:00:00Z.
NOW = 1_796_385_600

SERVICE = MappingProxyType(
    {
        'customer': 'laval',
        'address': '10.9.0.1',
        'listeners': [
            {
                'name': 'feed',
                'port': 7001,
                'kind': 'feed',
                'work_class': 'feed',
            },
        ],
    }
)


def make_server(number, **changes):
    """Return the specification of a backend server of service creneau."""
    return {
        'service': 'creneau',
        'host': f'10.8.0.{number}',
        'data_centre': 'qc-1',
        'slots': 2,
        **changes,
    }


def make_status(data_centre='qc-1', **changes):
    """Return the body of a status object without gaps."""
    spec = {
        'data_centre': data_centre,
        'summarizer': 'b1',
        'written_at': NOW,
        'members': 3,
        'in_force': 3,
        'highest_version': 99,
        'lagging': [],
        'unmet_rules': [],
        'rejected': [],
        'member_names': ['b1', 'b2', 'b3'],
        **changes,
    }
    return {'spec': spec}


class CommandHarness:
    """Fake store, and the lines and messages that commands have written."""

    def __init__(self, tmp_path):
        self.store_harness = StoreHarness()
        self.store = self.store_harness.store
        self.tmp_path = tmp_path
        self.lines = []
        self.messages = []

    def put(self, kind, name, spec, **body):
        """Write an object of group ``g``."""
        return self.store.write(f'g/{kind}/{name}', {'spec': spec, **body})

    def body(self, kind, name):
        """Return the stored body of an object."""
        return self.store.objects[f'g/{kind}/{name}']['body']

    def declare(self, *numbers):
        """Write service creneau and backend servers with these numbers."""
        self.put('service', 'creneau', dict(SERVICE))
        for number in numbers:
            self.put('backend_server', f'b{number}', make_server(number))

    def write_file(self, *entries):
        """Write a file for ``apply`` and return its path."""
        file = self.tmp_path / 'objects.json'
        file.write_text(json.dumps(entries), encoding='utf-8')
        return str(file)

    def start(self, *arguments):
        """Start a command and return its Deferred."""
        command = defopt.run(
            dict(COMMANDS),
            short={},
            version=False,
            argv=list(arguments),
        )
        session = Session(
            group='g',
            output=command.output,
            client=self.store_harness.client,
            clock=self.store_harness.clock,
            get_time=lambda: NOW + self.store_harness.clock.seconds(),
            author='ada@desk',
            write_line=self.lines.append,
            write_message=self.messages.append,
        )
        return Deferred.fromCoroutine(command.run(session))

    def run(self, *arguments):
        """Run a command and return its exit status."""
        self.lines.clear()
        self.messages.clear()
        return self.store_harness.run(self.start(*arguments))

    def run_json(self, *arguments):
        """Run a command and return its decoded result."""
        assert self.run(*arguments, '--output', 'json') == 0, self.messages
        return json.loads('\n'.join(self.lines))

    @property
    def output(self):
        """Lines of the result as one text."""
        return '\n'.join(self.lines)

    @property
    def errors(self):
        """Messages as one text."""
        return '\n'.join(self.messages)

    @property
    def puts(self):
        """Write calls that the store has received."""
        return [call for call in self.store.calls if call.startswith('PUT')]
