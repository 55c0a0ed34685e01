"""Guards against a reference page that differs from the program."""

import inspect
import json
import re
from pathlib import Path

import pytest

from balsamshed.commands.command_table import COMMANDS
from balsamshed.commands.connections import GROUP_VARIABLE, STORE_URL_VARIABLE
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.configuration.parsing import parse_resource
from balsamshed.configuration.records import Rejection
from balsamshed.configuration.schemas import (
    BACKEND_SERVER_SCHEMA,
    SERVICE_SCHEMA,
)
from balsamshed.front_ends.metrics import COUNTERS, EVENT_COUNTERS, GAUGES
from balsamshed.settings.balancer import BalancerSettings
from balsamshed.settings.files import (
    get_defaults,
    load_schema,
    parse_settings,
)

DOCS = Path(__file__).parents[3] / 'docs'
SHARED_OPTIONS = {'group', 'store_url', 'output'}


def read_section(title):
    text = (DOCS / 'reference.md').read_text('utf-8')
    match = re.search(rf'^## {title}\n(.*?)(?=^## |\Z)', text, re.M | re.S)
    assert match, f'section {title} is missing'
    return match[1]


def read_rows(title):
    """Return the cells of each table row whose first cell is code."""
    return [
        [
            cell.strip().replace('\\|', '|')
            for cell in re.split(r'(?<!\\)\|', line)
        ]
        for line in read_section(title).splitlines()
        if line.startswith('| `')
    ]


def read_names(title):
    names = [row[1].strip('`') for row in read_rows(title)]
    assert len(names) == len(set(names))
    return names


def describe_usage(name, function):
    parts = [name]
    for parameter in inspect.signature(function).parameters.values():
        if parameter.name in SHARED_OPTIONS:
            continue
        text = parameter.name.upper()
        if parameter.kind is inspect.Parameter.KEYWORD_ONLY:
            text = f'--{parameter.name.replace("_", "-")}'
            if parameter.annotation is not bool:
                text += f' {parameter.name.split("_")[-1].upper()}'
        optional = parameter.default is not inspect.Parameter.empty
        parts.append(f'[{text}]' if optional else text)
    return ' '.join(parts)


def list_keys(schema, definitions, prefix=''):
    for key, part in schema['properties'].items():
        yield f'{prefix}{key}'
        inner = part.get('items', part)
        reference = inner.get('$ref', '').rsplit('/', maxsplit=1)[-1]
        inner = definitions.get(reference, inner)
        if 'properties' in inner:
            suffix = '[].' if 'items' in part else '.'
            yield from list_keys(inner, definitions, f'{prefix}{key}{suffix}')


def test_commands_and_their_arguments():
    """Guards against usages on the page that the program does not accept."""
    usages = [describe_usage(name, part) for name, part in COMMANDS.items()]
    assert read_names('Commands') == usages


def test_commands_have_the_shared_options_that_the_page_names():
    """Guards against store commands that lack a documented shared option."""
    local = {
        'check-settings',
        'check-edge-settings',
        'edge-status',
        'explain-placement',
        'story',
        'show-defaults',
        'version',
        'run',
    }
    for name, function in COMMANDS.items():
        taken = set(inspect.signature(function).parameters) & SHARED_OPTIONS
        if name not in local:
            assert taken == SHARED_OPTIONS, name
        elif name != 'run':
            assert taken == {'output'}, name
    text = read_section('Options of all commands that use the store')
    for option in ('--group', '--store-url', '--output table|json'):
        assert option in text.replace('\\|', '|')
    assert GROUP_VARIABLE in text
    assert STORE_URL_VARIABLE in text


def test_exit_statuses():
    """Guards against exit statuses that are missing from the page."""
    numbers = {int(name) for name in read_names('Exit statuses')}
    assert numbers == {*map(int, ExitStatus), 130}


def test_settings_keys_and_defaults():
    """Guards against undocumented settings and wrong defaults."""
    schema = load_schema()
    keys = list(list_keys(schema, schema['$defs']))
    assert sorted(read_names('Settings')) == sorted(keys)
    for _start, name, default, *_rest in read_rows('Settings'):
        key = name.strip('`')
        defaults = get_defaults()
        if key in defaults:
            assert default == f'`{defaults[key]}`', key
        else:
            assert default == 'required', key


@pytest.mark.parametrize(
    ('title', 'schema'),
    [
        ('Fields of a service', SERVICE_SCHEMA),
        ('Fields of a backend server', BACKEND_SERVER_SCHEMA),
    ],
)
def test_resource_fields(title, schema):
    """Guards against undocumented fields of services and backend servers."""
    assert sorted(read_names(title)) == sorted(list_keys(schema, {}))
    for _start, name, needed, *_rest in read_rows(title):
        key = name.strip('`')
        if '.' not in key:
            assert (needed == 'required') == (key in schema['required']), key


def test_metrics():
    """Guards against undocumented metrics and labels."""
    assert read_names('Metrics') == [*COUNTERS, *GAUGES]
    rows = {row[1].strip('`'): row[3] for row in read_rows('Metrics')}
    for counter, labels in EVENT_COUNTERS.values():
        for label, entry in labels.items():
            assert f'`{label}`' in rows[counter], counter
            assert f'`{entry}`' in rows[counter], (counter, entry)


def test_operators_page_names_only_known_commands_and_metrics():
    """Guards against commands and metrics that do not exist."""
    text = (DOCS / 'operators.md').read_text('utf-8')
    used = re.findall(r'(?m)^balsamshed ([a-z-]+)', text)
    assert len(used) > 10
    assert set(used) <= set(COMMANDS)
    metrics = set(re.findall(r'balsamshed_[a-z_]+', text))
    assert metrics <= {*COUNTERS, *GAUGES}
    for key, default in get_defaults().items():
        if key.endswith('_port'):
            assert str(default) in text


def test_examples_of_the_operators_page_are_accepted():
    """Guards against examples that the program rejects."""
    text = (DOCS / 'operators.md').read_text('utf-8')
    examples = re.findall(r'```json\n(.*?)```', text, re.S)
    settings, objects = map(json.loads, examples)
    (fault,) = parse_settings(settings)
    assert fault.place == '$.peer_key'
    assert isinstance(
        parse_settings({**settings, 'peer_key': 'ab' * 32}),
        BalancerSettings,
    )
    for entry in objects:
        key = f'g/{entry["kind"]}/{entry["name"]}'
        outcome = parse_resource(key, entry['spec'])
        assert not isinstance(outcome, Rejection), outcome
