"""Tests of lists in which another writer has left odd entries."""

import json
import time
from urllib.parse import unquote_to_bytes

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from balsamshed.edge.effects import ReadSource
from balsamshed.front_ends.source_reader import SourceListing
from balsamshed.platform.documents import MAX_WHOLE_BYTES
from balsamshed.platform.listing import decode_page, format_list_path
from balsamshed.platform.tests.test_entries import build_entry
from balsamshed.platform.wire import decode_configuration, decode_endpoints
from balsamshed.store.polling import Source

MAX_PAGES = 12
#: The bytes of an entry that can't be read, by what is odd.
ODD_SPECS = {
    'bytes': b'\xff\xfe\xfd\xfc\xfb\xfa\xf9\xf8\xe9\xe8\xe7\xe6\xe5\xe4\xe3',
    'string of bytes': b'"receipt \xe9t\xe9"',
    'bytes in a field': b'{"zone":"\xe9","state":"ready"}',
    'digits': b'7' * 6000,
    'digits in a field': b'{"sequence":%s}' % (b'7' * 6000),
    'nesting': b'[' * 5000 + b']' * 5000,
    'open nesting': b'[' * 5000,
    'quote': b'"zone',
    'quote in a field': b'{"zone":"a}',
    'closing brackets': b'}}]]',
    'next object': b'1},{"a":2',
    'end of the list': b'1}],"hasMore":false',
    'nothing': b'',
    'dump of a list': (
        b'[{"meta":{"name":"i-9"},"spec":%s}]' % (b'[' * 2000 + b']' * 2000)
    ),
}


def encode_object(name, spec):
    """Return an object as the store encodes it; its spec may be any bytes."""
    return (
        b'{"meta":{"name":%s,"rev":7,"createRev":7},"spec":%s,"status":null}'
        % (
            name,
            spec,
        )
    )


def list_sound(*numbers):
    """Return sound entries by name."""
    return {
        b'i-%x' % number: json.dumps(build_entry()['spec']).encode()
        for number in numbers
    }


def read_instances(specs, page_size):
    """Return the endpoints of a list that is read page by page."""
    items = []
    after = b''
    for _ in range(MAX_PAGES):
        names = sorted(name for name in specs if name > after)
        listed = [
            encode_object(b'"%s"' % name, specs[name])
            for name in names[:page_size]
        ]
        body = b'{"items":[%s],"hasMore":%s,"currentRev":9}' % (
            b','.join(listed),
            b'true' if names[page_size:] else b'false',
        )
        page = decode_page(Source.ENDPOINTS, body)
        assert page.revision == 9
        items.extend(page.items)
        if not page.next_after:
            break
        path = format_list_path(ReadSource(Source.ENDPOINTS), page.next_after)
        after = unquote_to_bytes(path.split('after=')[1])
    else:
        raise AssertionError('the list does not end')
    view, _ = decode_endpoints(SourceListing(tuple(items), 9, 9))
    return {endpoint.instance for endpoint in view.endpoints}


@pytest.mark.parametrize('page_size', [1, 2, 5])
@pytest.mark.parametrize('spec', ODD_SPECS.values(), ids=ODD_SPECS)
def test_entry_last_on_a_page_hides_no_other(spec, page_size):
    """Guards against one unreadable entry that ends all reads of the list,
    because the next page starts after its name."""
    specs = {**list_sound(1, 3, 5, 7), b'i-4': spec, b'backup': spec}
    assert read_instances(specs, page_size) == {1, 3, 5, 7}


def test_quotes_without_partners_hide_no_entry_between_them():
    """Guards against sound entries that are taken for a string, which starts
    in one unreadable entry and ends in another."""
    for spec in (b'{"zone":"a}', b'["a]', b'"a', b'{"a":["b}'):
        specs = {**list_sound(1, 3, 5), b'i-2': spec, b'i-4': spec}
        assert read_instances(specs, 5) == {1, 3, 5}


@pytest.mark.parametrize('name', [b'caf\xe9', b'\xff', 'caf\u00e9'.encode()])
def test_page_that_ends_with_any_name_is_followed_by_the_next(name):
    """Guards against a name of another writer that ends all reads."""
    specs = {**list_sound(1, 3), name: b'"\xff"', b'\xfe': b'1'}
    for page_size in (1, 2, 3):
        assert read_instances(specs, page_size) == {1, 3}


@given(spec=st.binary(max_size=60), page_size=st.integers(1, 5))
@example(spec=b'"\\', page_size=2)
@example(spec=b'{"":\xff}', page_size=2)
@example(spec=b'1},{}', page_size=3)
def test_no_bytes_of_an_entry_hide_another_one(spec, page_size):
    """Guards against bytes of an entry that make other entries unreadable."""
    specs = {**list_sound(1, 3, 5), b'i-2': spec, b'i-4': spec}
    assert read_instances(specs, page_size) == {1, 3, 5}


@given(
    parts=st.lists(
        st.sampled_from(
            [
                b'"',
                b'{',
                b'}',
                b'[',
                b']',
                b',',
                b':',
                b'\\',
                b'\xff',
                b'1',
                b'a',
            ]
        ),
        max_size=12,
    ),
    page_size=st.integers(1, 5),
)
def test_no_brackets_or_quotes_of_an_entry_hide_another_one(parts, page_size):
    """Guards against an entry whose brackets or quotes have no partners and
    so take up, or cut off, the entries behind it."""
    specs = {**list_sound(1, 3, 5), b'i-2': b''.join(parts), b'i-4': b'"'}
    assert read_instances(specs, page_size) == {1, 3, 5}


def test_large_configuration_is_read_beside_a_large_draft():
    """Guards against a size limit that leaves out the configuration itself."""
    draft = encode_object(b'"draft"', b'[%s0]' % (b'{},' * 100_000))
    routes = [
        {
            'name': f'r{number}',
            'host': '198.51.100.1',
            'pathPrefix': f'/{number}/',
            'service': 'web',
        }
        for number in range(1, 6001)
    ]
    spec = {'version': 7, 'routes': routes, 'services': [{'name': 'web'}]}
    main = encode_object(b'"main"', json.dumps(spec).encode())
    for listed in ((main, draft), (main,)):
        body = b'{"items":[%s],"hasMore":false,"currentRev":9}' % b','.join(
            listed
        )
        assert len(body) > MAX_WHOLE_BYTES
        page = decode_page(Source.ROUTES, body)
        table = decode_configuration(SourceListing(page.items, 9, 9))
        assert (table.version, len(table.routes)) == (7, 6000)


#: Large entries that take long to read in one way or another.
SLOW_SPECS = {
    'lists': b'[' + b'[],' * 345_000 + b'"' + b'\xe9' * 5000 + b'"]',
    'nesting': b'[' * 520_000 + b']' * 520_000,
    'open nesting': b'[0,' * 340_000 + b'0',
    'objects': b'{"a":[' + b'{"b":[0]},' * 100_000 + b'0],"c":"\xe9"}',
    'members': b'{' + b'"a":1,' * 170_000 + b'"b":"\xe9"}',
    'brackets in strings': b'[' + b'"[",' * 250_000 + b'[' * 2000 + b']' * 2001,
    'digits': b'7' * 1_040_000,
}


@pytest.mark.parametrize('source', [Source.ENDPOINTS, Source.ROUTES])
@pytest.mark.parametrize('spec', SLOW_SPECS.values(), ids=SLOW_SPECS)
def test_odd_entry_takes_about_as_long_as_a_sound_one_of_its_size(spec, source):
    """Guards against an entry that takes seconds to read in the loop that
    forwards packets: 3.4 s for 1 MB of lists."""
    sound = b'[%s0]' % (b'{},' * (len(spec) // 3))
    started_at = time.process_time()
    json.loads(sound)
    sound_seconds = time.process_time() - started_at
    body = b'{"items":[%s],"hasMore":true,"currentRev":9}' % encode_object(
        b'"i-7"', spec
    )
    started_at = time.process_time()
    page = decode_page(source, body)
    odd_seconds = time.process_time() - started_at
    assert page.next_after == 'i-7'
    assert odd_seconds < 8 * sound_seconds
