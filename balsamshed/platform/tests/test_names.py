"""Checks that only the adapter uses names of the platform's protocol."""

from pathlib import Path

import pytest

import balsamshed

PACKAGE = Path(balsamshed.__file__).parent
#: Fields, paths and object kinds that occur in the platform's protocol only.
PROTOCOL_NAMES = (
    'maxConcurrency',
    'warmupLeftMs',
    'pathPrefix',
    'currentRev',
    'hasMore',
    'timeoutMs',
    'config/main',
    '/v1/ready',
    'BALSAMSHED_BOOT',
)


def list_modules():
    """Return the product's modules outside the adapter, without tests."""
    return [
        path
        for path in sorted(PACKAGE.rglob('*.py'))
        if 'tests' not in path.parts
        and path.relative_to(PACKAGE).parts[0] != 'platform'
    ]


@pytest.mark.parametrize('name', PROTOCOL_NAMES)
def test_no_other_module_uses_a_name_of_the_platform(name):
    """Guards against protocol details outside the adapter."""
    modules = list_modules()
    assert len(modules) > 100
    offenders = [
        path.name for path in modules if name in path.read_text('utf-8')
    ]
    assert offenders == []


@pytest.mark.parametrize('name', PROTOCOL_NAMES)
def test_adapter_uses_the_name(name):
    """Guards against names in the list that the adapter no longer uses."""
    texts = [
        path.read_text('utf-8') for path in (PACKAGE / 'platform').glob('*.py')
    ]
    if name == 'config/main':
        name = 'main'
    assert any(name in text for text in texts)
