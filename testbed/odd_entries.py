"""Entries of other writers that can't be read or name no endpoint."""

import json
from types import MappingProxyType
from typing import Final

#: Kinds of objects in the store that balancers list.
LISTED_KINDS: Final = ('servers', 'config', 'evacuations', 'balsamshed')

#: The bytes of an entry, by what is odd.
ODD_ENTRIES: Final = MappingProxyType(
    {
        'bytes': bytes(range(0xE3, 0xF2)),
        'string': b'"receipt \xe9t\xe9"',
        'digits': b'7' * 6000,
        'nesting': b'[' * 5000 + b']' * 5000,
        'quote': b'{"zone":"a}',
        'number': b'{"sequence":1e999,"warmupLeftMs":-1e999,"born":%s}'
        % (b'7' * 40),
        'records': b'[%s0]' % (b'{"id":12345,"guest":"name"},' * 30_000),
        'port': json.dumps(
            {
                'service': 'web',
                'address': '127.0.0.1:70000',
                'zone': 'a',
                'version': 'v1',
                'maxConcurrency': 2,
                'state': 'ready',
                'warmupLeftMs': 0,
                'sequence': 1,
                'born': 1700000000000,
            }
        ).encode(),
    }
)
