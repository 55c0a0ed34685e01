"""Validation of JSON documents by JSON schemas (draft 2020-12)."""

import json
import math
import re
from collections.abc import Iterator, Mapping
from datetime import datetime
from functools import lru_cache
from typing import Any, Final, cast
from urllib.parse import urlsplit

from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError
from jsonschema.validators import extend

from balsamshed.findings import Finding

#: Limit of the excerpt of a value in a finding, in characters.
MAX_FOUND_LENGTH: Final = 200

_FORMAT_CHECKER: Final = FormatChecker(('ipv4',))


def find_schema_violations(
    schema: Mapping[str, Any],
    document: object,
) -> tuple[Finding, ...]:
    """Validate a JSON document by a schema.

    Parameters
    ----------
    schema : mapping
        JSON schema, draft 2020-12. Besides the standard formats it may use
        ``wall-time`` (RFC 3339 with an offset) and ``http-url``.
    document : object
        Decoded JSON document.

    Returns
    -------
    tuple of Finding
        All violations, sorted by place; empty if the document is valid. The
        place of a missing or unknown key is the path of the key itself.
    """
    validator = _Validator(schema, format_checker=_FORMAT_CHECKER)
    findings: list[Finding] = []
    for error in validator.iter_errors(document):
        findings.extend(_describe_violation(error))
    return tuple(sorted(set(findings), key=_get_sort_key))


def describe_value(value: object) -> str:
    """Return the JSON text of a value, truncated for a message."""
    text = json.dumps(value, default=str)
    if len(text) > MAX_FOUND_LENGTH:
        return f'{text[:MAX_FOUND_LENGTH]}...'
    return text


def join_json_path(parent: str, key: str) -> str:
    """Return the JSON path of a key of the object at a path."""
    if re.fullmatch('[A-Za-z_][A-Za-z0-9_]*', key):
        return f'{parent}.{key}'
    return f'{parent}[{json.dumps(key)}]'


@_FORMAT_CHECKER.checks('wall-time')
def is_wall_time(instance: object) -> bool:
    """Tell whether a text is a valid time with an offset from UTC."""
    if not isinstance(instance, str):
        return True
    try:
        return datetime.fromisoformat(instance).tzinfo is not None
    except ValueError:
        return False


@_FORMAT_CHECKER.checks('http-url')
def is_http_url(instance: object) -> bool:
    """Tell whether a text is an ``http`` URL of host, port and path only."""
    if not isinstance(instance, str):
        return True
    if not re.fullmatch('http://[!-~]+', instance):
        return False
    return _has_plain_authority(instance)


def _has_plain_authority(url: str) -> bool:
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    if port == 0 or not parts.hostname or '@' in parts.netloc:
        return False
    return not parts.query and not parts.fragment


def _describe_violation(error: ValidationError) -> Iterator[Finding]:
    schema = cast(dict[str, Any], error.schema)
    if error.validator == 'required':
        yield from _describe_missing(error, schema)
    elif error.validator == 'additionalProperties':
        yield from _describe_unknown(error, schema)
    else:
        yield Finding(
            error.json_path,
            describe_value(error.instance),
            schema.get('description', error.message),
        )


def _describe_missing(
    error: ValidationError,
    schema: Mapping[str, Any],
) -> Iterator[Finding]:
    instance = cast(dict[str, Any], error.instance)
    for key in schema['required']:
        if key not in instance:
            part = schema.get('properties', {}).get(key, {})
            yield Finding(
                join_json_path(error.json_path, key),
                'nothing',
                part.get('description', 'a value'),
            )


def _describe_unknown(
    error: ValidationError,
    schema: Mapping[str, Any],
) -> Iterator[Finding]:
    allowed_keys = schema.get('properties', {})
    for key, value in cast(dict[str, Any], error.instance).items():
        if key not in allowed_keys:
            yield Finding(
                join_json_path(error.json_path, key),
                describe_value(value),
                f'only the keys {", ".join(sorted(allowed_keys))}',
            )


def _get_sort_key(finding: Finding) -> tuple[str, str]:
    return finding.place, finding.allowed


@lru_cache(maxsize=256)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    # In Python "$" also matches before a final newline and "\d" matches all
    # Unicode digits; in JSON schemas "$" matches only at the end of the text
    # and "\d" only ASCII digits.
    return re.compile(re.sub(r'\$$', r'\\Z', pattern), re.ASCII)


def _check_pattern(
    _validator: object,
    pattern: str,
    instance: object,
    _schema: object,
) -> Iterator[ValidationError]:
    if not isinstance(instance, str):
        return
    if not _compile_pattern(pattern).search(instance):
        yield ValidationError(f'{instance!r} does not match {pattern!r}')


def _is_integer(_checker: object, instance: object) -> bool:
    # The draft also accepts 80.0 as an integer, but a port has to be an int.
    return isinstance(instance, int) and not isinstance(instance, bool)


def _is_number(_checker: object, instance: object) -> bool:
    # NaN passes all limits, since each comparison with it is false. JSON has
    # neither NaN nor infinities.
    if isinstance(instance, bool) or not isinstance(instance, int | float):
        return False
    return isinstance(instance, int) or math.isfinite(instance)


_Validator = extend(
    Draft202012Validator,
    validators={'pattern': _check_pattern},
    type_checker=Draft202012Validator.TYPE_CHECKER.redefine_many(
        {'integer': _is_integer, 'number': _is_number},
    ),
)
