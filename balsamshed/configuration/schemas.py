"""JSON schemas of declared resources (draft 2020-12)."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

#: Maximum number of quiet periods per backend server.
MAX_QUIET_PERIODS: Final = 64
#: One year. Unbounded integers would overflow the period arithmetic.
MAX_PERIOD_SECONDS: Final = 31_536_000
#: In characters. Unbounded URLs would exceed the size of a peer message.
MAX_URL_LENGTH: Final = 1000
#: Maximum number of listeners per service.
MAX_LISTENERS: Final = 16

_NAME_PATTERN: Final = '^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$'
_NAME: Final = MappingProxyType(
    {
        'type': 'string',
        'pattern': _NAME_PATTERN,
        'description': 'up to 64 lower-case letters, digits and hyphens',
    }
)
_ADDRESS: Final = MappingProxyType(
    {
        'type': 'string',
        'format': 'ipv4',
        'description': 'an IPv4 address',
    }
)


def _build_object(
    required: tuple[str, ...],
    properties: Mapping[str, Any],
) -> dict[str, Any]:
    return {
        'type': 'object',
        'required': list(required),
        'properties': {key: dict(part) for key, part in properties.items()},
        'additionalProperties': False,
    }


_LISTENER: Final = _build_object(
    ('name', 'port', 'kind', 'work_class'),
    {
        'name': _NAME,
        'port': {
            'type': 'integer',
            'minimum': 1,
            'maximum': 65535,
            'description': 'a port from 1 to 65535',
        },
        'kind': {
            'enum': ['feed', 'request'],
            'description': 'feed or request',
        },
        'work_class': {
            'enum': ['feed', 'urgent', 'bulk'],
            'description': 'feed, urgent or bulk',
        },
        'deadline_seconds': {
            'type': 'number',
            'exclusiveMinimum': 0,
            'maximum': 60,
            'description': 'a number over 0 and up to 60',
        },
    },
)

_QUIET_PERIOD: Final = _build_object(
    ('start', 'duration_seconds'),
    {
        'start': {
            'type': 'string',
            'pattern': (
                r'^\d{4}-(0[1-9]|1[0-2])-(0[1-9]|[12]\d|3[01])T'
                r'([01]\d|2[0-3]):[0-5]\d:[0-5]\d(\.\d{1,6})?'
                r'(Z|[+-]\d\d:\d\d)$'
            ),
            # The pattern alone accepts 30 February.
            'format': 'wall-time',
            'description': 'a time such as 2026-12-04T20:00:00Z',
        },
        'duration_seconds': {
            'type': 'number',
            'exclusiveMinimum': 0,
            'maximum': MAX_PERIOD_SECONDS,
            'description': f'a number over 0 and up to {MAX_PERIOD_SECONDS}',
        },
        'repeat_seconds': {
            'type': 'number',
            'minimum': 0,
            'maximum': MAX_PERIOD_SECONDS,
            'description': (
                f'a number up to {MAX_PERIOD_SECONDS}, 0 for a single period'
            ),
        },
    },
)

SERVICE_SCHEMA: Final = _build_object(
    ('customer', 'address', 'listeners'),
    {
        'customer': _NAME,
        'address': _ADDRESS,
        'listeners': {
            'type': 'array',
            'minItems': 1,
            'maxItems': MAX_LISTENERS,
            'items': _LISTENER,
            'description': f'1 to {MAX_LISTENERS} listeners',
        },
    },
)

BACKEND_SERVER_SCHEMA: Final = _build_object(
    ('service', 'host', 'data_centre', 'slots'),
    {
        'service': _NAME,
        'host': _ADDRESS,
        'data_centre': _NAME,
        'slots': {
            'type': 'integer',
            'minimum': 1,
            'maximum': 100000,
            'description': 'a whole number from 1 to 100000',
        },
        'load_url': {
            'type': 'string',
            'pattern': '^http://',
            'maxLength': MAX_URL_LENGTH,
            'description': (
                'an address that starts with http://, of up to '
                f'{MAX_URL_LENGTH} characters'
            ),
        },
        'draining': {
            'type': 'boolean',
            'description': 'true or false',
        },
        'quiet_periods': {
            'type': 'array',
            'maxItems': MAX_QUIET_PERIODS,
            'items': _QUIET_PERIOD,
            'description': f'up to {MAX_QUIET_PERIODS} quiet periods',
        },
    },
)
