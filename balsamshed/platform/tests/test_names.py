"""The platform's words stay in its adapter."""

from pathlib import Path

import pytest

import balsamshed

PACKAGE = Path(balsamshed.__file__).parent
#: Fields, paths and kinds of the platform that no other protocol uses.
WORDS = (
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


@pytest.mark.parametrize('word', WORDS)
def test_no_other_module_knows_a_word_of_the_platform(word):
    """Guards against translation that spreads through the product."""
    modules = list_modules()
    assert len(modules) > 100
    knowing = [path.name for path in modules if word in path.read_text('utf-8')]
    assert knowing == []


@pytest.mark.parametrize('word', WORDS)
def test_adapter_knows_the_word(word):
    """Guards against a list of words that nobody uses."""
    texts = [
        path.read_text('utf-8') for path in (PACKAGE / 'platform').glob('*.py')
    ]
    if word == 'config/main':
        word = 'main'
    assert any(word in text for text in texts)
