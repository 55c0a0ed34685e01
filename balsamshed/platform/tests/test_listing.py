"""Tests of list requests to the platform's store."""

import json
from dataclasses import replace

import pytest

from balsamshed.edge.effects import ReadSource
from balsamshed.endpoints.history import (
    ViewHistory,
    explains_all_changes,
    record_view,
)
from balsamshed.evacuations.view import EvacuationView
from balsamshed.front_ends.source_reader import ListPage, SourceListing
from balsamshed.platform.documents import UnreadablePart, decode_list
from balsamshed.platform.listing import (
    decode_page,
    format_list_path,
    list_object,
)
from balsamshed.platform.tests.test_entries import (
    build_configuration,
    build_entry,
)
from balsamshed.platform.wire import (
    decode_configuration,
    decode_endpoints,
    decode_evacuations,
)
from balsamshed.store.polling import Source
from balsamshed.store.revisions import MAX_NUMBER, format_revision


def list_items(source, items):
    """Return a listing of decoded objects."""
    listed = tuple(list_object(source, item) for item in items)
    return SourceListing(listed, 9, 9)


def test_list_paths():
    """Guards against requests that return the first page again."""
    effect = ReadSource(Source.ENDPOINTS)
    assert format_list_path(effect, '') == '/v1/objects/servers'
    path = format_list_path(effect, 'i-7f')
    assert path == '/v1/objects/servers?after=i-7f'


def test_only_reads_that_may_be_stale_ask_for_a_replica():
    """Guards against stale reads from a replica that hide a drain or a version."""
    for source in Source:
        if source is not Source.PEER_VIEW:
            path = format_list_path(ReadSource(source), 'a')
            assert 'serializable' not in path
    path = format_list_path(ReadSource(Source.ROUTES, may_be_stale=True), 'b')
    assert path == '/v1/objects/config?after=b&serializable=1'


def test_page_gives_the_start_of_the_next_one():
    """Guards against lists that are read only up to their first page."""
    body = b'{"items":[{"meta":{"name":"b"}}],"hasMore":true,"currentRev":9}'
    page = decode_page(Source.ENDPOINTS, body)
    assert (page.revision, page.next_after) == (9, 'b')
    last = decode_page(Source.ENDPOINTS, body.replace(b'true', b'false'))
    assert last == ListPage(page.items, 9, '')


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{"items":{}}', b'{"items":[]}', b'\xff\xfe']
)
def test_malformed_body_is_rejected(body):
    """Guards against a malformed response that is taken for an empty list."""
    assert decode_page(Source.ENDPOINTS, body) is None


def test_invalid_entries_do_not_hide_the_others():
    """Guards against one invalid entry that removes all endpoints."""
    items = (build_entry(), build_entry('i-3', state='odd'), 'nonsense')
    view, rejected = decode_endpoints(list_items(Source.ENDPOINTS, items))
    assert [endpoint.instance for endpoint in view.endpoints] == [0x2FA0]
    assert rejected == ('i-3:state', ':id')


@pytest.mark.parametrize(
    ('unreadable', 'field'),
    [
        (b'%s1%s' % (b'[' * 2000, b']' * 2000), 'sequence'),
        (b'9' * 5000, 'spec'),
        (b'"\xff\xfe"', 'spec'),
        (b'{"a":%s}' % (b'9' * 5000), 'sequence'),
    ],
    ids=['nesting', 'digits', 'bytes', 'nested digits'],
)
def test_unreadable_entry_costs_only_itself(unreadable, field):
    """Guards against one entry of another writer that stops every drain."""
    entries = [
        json.dumps(build_entry(name)).encode() for name in ('i-1', 'i-3')
    ]
    foreign = json.dumps(build_entry('i-2', sequence='X')).encode()
    entries.insert(1, foreign.replace(b'"X"', unreadable))
    body = b'{"items":[%s],"hasMore":true,"currentRev":9}' % b','.join(entries)
    page = decode_page(Source.ENDPOINTS, body)
    assert (page.revision, page.next_after) == (9, 'i-3')
    view, rejected = decode_endpoints(SourceListing(page.items, 9, 9))
    assert [endpoint.instance for endpoint in view.endpoints] == [1, 3]
    assert rejected == (f'i-2:{field}',)


def test_list_goes_on_after_an_unreadable_last_entry():
    """Guards against a list that ends at an unreadable entry."""
    entry = b'{"meta":{"name":"i-7"},"spec":{"zone":"\xff"}}'
    body = b'{"items":[%s],"hasMore":true,"currentRev":9}' % entry
    assert decode_page(Source.ENDPOINTS, body).next_after == 'i-7'


def test_strings_with_brackets_do_not_split_an_entry():
    """Guards against brackets in a string that count as nesting."""
    entry = b'{"meta":{"name":"i-7"},"spec":{"a":"]}\\"[{","b":"\xff"}}'
    body = b'{"items":[%s],"hasMore":false,"currentRev":9}' % entry
    items = []
    assert decode_list(body, items.append) is not None
    (item,) = items
    assert item['meta'] == {'name': 'i-7'}
    assert item['spec'] == UnreadablePart('UnicodeDecodeError')


def test_unreadable_start_time_rejects_the_entry():
    """Guards against an entry that is used without its start time."""
    entry = json.dumps(build_entry(born='X')).encode()
    entry = entry.replace(b'"X"', b'[' * 2000 + b']' * 2000)
    body = b'{"items":[%s],"hasMore":false,"currentRev":9}' % entry
    page = decode_page(Source.ENDPOINTS, body)
    view, rejected = decode_endpoints(SourceListing(page.items, 9, 9))
    assert (view.endpoints, rejected) == ((), ('i-2fa0:born',))


def test_first_of_two_names_with_one_id_keeps_it():
    """Guards against an entry of another writer that replaces an endpoint's
    address under another spelling of its ID."""
    own, foreign = build_entry('i-2fa0'), build_entry('i-02fa0', service='x')
    own['meta']['createRev'], foreign['meta']['createRev'] = 4, 8
    for items in ((own, foreign), (foreign, own)):
        view, rejected = decode_endpoints(list_items(Source.ENDPOINTS, items))
        assert [endpoint.service for endpoint in view.endpoints] == ['web']
        assert rejected == ('i-02fa0:id',)


def test_evacuations_are_decoded_and_invalid_ones_reported():
    """Guards against an invalid entry that evacuates a data centre, or hides
    the entry of another one."""
    items = (
        {'meta': {'name': 'b', 'rev': 5}, 'spec': {}},
        {'meta': {'name': 'c', 'rev': 6}, 'spec': 'all'},
        {'meta': {'name': 'd'}, 'spec': {'since': 3}},
        {'spec': {}},
        'nonsense',
    )
    view, rejected = decode_evacuations(list_items(Source.EVACUATIONS, items))
    assert view == EvacuationView(9, {'b': 5, 'd': -1}, frozenset(('c', '')))
    assert rejected == ('c:spec', ':name', ':name')


def test_name_of_a_rejected_entry_is_shortened():
    """Guards against log lines as long as another writer's names."""
    name = 'n' * 60_000
    items = (build_entry(name), {'meta': {'name': name}, 'spec': {}})
    _, rejected = decode_endpoints(list_items(Source.ENDPOINTS, items))
    assert rejected == (f'{"n" * 255}:id', f'{"n" * 255}:id')
    view, rejected = decode_evacuations(list_items(Source.EVACUATIONS, items))
    assert rejected == (f'{"n" * 255}:name', f'{"n" * 255}:name')
    assert view == EvacuationView(9, {}, frozenset())


def test_configuration_is_found_by_its_name():
    """Guards against routes taken from another object of the same kind."""
    other = {**build_configuration(), 'meta': {'name': 'draft'}}
    items = (other, build_configuration(version=9))
    listing = list_items(Source.ROUTES, items)
    assert decode_configuration(listing).version == 9
    assert (
        decode_configuration(list_items(Source.ROUTES, (other,)))
        == 'no_configuration'
    )
    broken = build_configuration(routes=None)
    listing = list_items(Source.ROUTES, (broken,))
    assert decode_configuration(listing) == 'invalid_routes'


def test_page_whose_last_object_has_no_name_is_rejected():
    """Guards against a list that ends early, so that the endpoints of its
    other pages count as gone."""
    for items in (b'[{"meta":{}}]', b'[]', b'[null]'):
        body = b'{"items":%s,"hasMore":true,"currentRev":9}' % items
        assert decode_page(Source.ENDPOINTS, body) is None


def test_deeply_nested_body_is_rejected():
    """Guards against a decoding error that ends the reads of a balancer."""
    assert decode_page(Source.ENDPOINTS, b'[' * 100_000) is None


def test_any_name_can_start_the_next_page():
    """Guards against a name that breaks the request for the next page."""
    effect = ReadSource(Source.ENDPOINTS)
    path = format_list_path(effect, 'caf\u00e9 &after=\ud800')
    assert path.isascii()
    assert path.startswith('/v1/objects/servers?after=caf%C3%A9%20%26after%3D')


def list_at(number, revision, **changes):
    """Return an entry whose last change has a revision."""
    entry = build_entry(name=f'i-{number}', **changes)
    entry['meta']['rev'] = revision
    return entry


@pytest.mark.parametrize(
    ('entries', 'expected'),
    [
        ([list_at(1, 4), list_at(2, 7)], {4, 7}),
        ([list_at(1, 4), list_at(2, None)], {4, -1}),
        ([list_at(1, None), list_at(2, 'x')], set()),
        ([list_at(1, 4), list_at(2, 7, state='?')], {4}),
    ],
)
def test_revisions_of_changes_are_known_for_valid_entries_only(
    entries, expected
):
    """Guards against an invalid entry that accounts for a change of routes."""
    view, _ = decode_endpoints(list_items(Source.ENDPOINTS, entries))
    assert view.change_revisions == expected


@pytest.mark.parametrize(
    ('since', 'entries', 'is_explained'),
    [
        # An odd entry stands there, and an endpoint has changed.
        (9, [list_at(1, 10), list_at(2, 5), list_at(3, 4, state='?')], True),
        # An entry has become invalid.
        (9, [list_at(1, 4), list_at(2, 10, state='?')], True),
        # The same, and another object has changed.
        (8, [list_at(1, 4), list_at(2, 9, state='?')], False),
        # An odd entry has been written.
        (9, [list_at(1, 4), list_at(2, 5), list_at(3, 10, state='?')], False),
    ],
)
def test_odd_entry_costs_no_read_of_the_routes_after_each_change(
    since, entries, is_explained
):
    """Guards against an odd entry that fills small links: with it, all routes
    were read after each change of an endpoint."""
    history = ViewHistory()
    before = list_items(Source.ENDPOINTS, [list_at(1, 4), list_at(2, 5)])
    record_view(history, decode_endpoints(replace(before, revision=since))[0])
    listing = replace(
        list_items(Source.ENDPOINTS, entries), revision=10, max_revision=10
    )
    view, _ = decode_endpoints(listing)
    assert explains_all_changes(history, view, since) == is_explained


def test_revision_of_a_later_era_is_newer_than_all_before():
    """Guards against changes that are ignored because a store that came back
    from an older copy gives its revisions out again."""
    before = decode_page(
        Source.ENDPOINTS, b'{"items":[],"currentRev":900}', {'store-era': '1'}
    )
    after = decode_page(
        Source.ENDPOINTS, b'{"items":[],"currentRev":3}', {'store-era': '2'}
    )
    assert before.revision < after.revision
    assert format_revision(after.revision) == '2.3'
    # A store without eras.
    assert (
        decode_page(Source.ENDPOINTS, b'{"items":[],"currentRev":3}').revision
        == 3
    )


@pytest.mark.parametrize('era', ['', '-1', 'x', '1.5', '9' * 18, '1' * 5000])
def test_response_with_an_unreadable_era_is_rejected(era):
    """Guards against a revision that is newer than all others for ever."""
    page = b'{"items":[],"currentRev":900}'
    assert decode_page(Source.ENDPOINTS, page, {'store-era': era}) is None


@pytest.mark.parametrize('revision', [-1, MAX_NUMBER + 1])
def test_revision_out_of_range_is_rejected(revision):
    """Guards against a revision that reaches into the bits of the era."""
    body = json.dumps({'items': [], 'currentRev': revision}).encode()
    assert decode_page(Source.ENDPOINTS, body) is None
