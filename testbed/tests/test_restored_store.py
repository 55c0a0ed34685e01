"""Edge balancers while the store comes back from an older copy."""

import asyncio

from testbed.edge_site import get_host, open_flow, open_site, wait_until
from testbed.metadata_store import (
    MetadataStore,
    restore_snapshot,
    take_snapshot,
)

#: Time in which a change has to be in force on every balancer.
IN_FORCE_SECONDS = 3
BALANCERS = (1, 2)
ENDPOINTS = (1, 2, 3)
EXTRA_PORT = 8080


async def start_site(site):
    """Start the store, three endpoints and two balancers."""
    await site.start_store()
    for number in ENDPOINTS:
        await site.start_endpoint(number)
    for number in BALANCERS:
        host = site.start_balancer(number)
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    # The first views may be stale and are confirmed by further reads.
    await asyncio.sleep(2)


async def restore(site, copy, *rewrites):
    """Bring the store back from a copy after a moment, and write again."""
    site.store.response_status = 503
    await asyncio.sleep(0.5)
    restore_snapshot(site.store, copy)
    for rewrite in rewrites:
        rewrite()
    site.store.response_status = 200


async def list_openings(site, first_flow, count=12):
    """Return the endpoints to which new flows of each balancer go."""
    found = set()
    for number in BALANCERS:
        for flow in range(count):
            source_port = first_flow + 100 * number + flow
            opened = await open_flow(site, get_host(number), source_port)
            found.add(opened[0])
    return found


async def check_changes_after(site):
    await start_site(site)
    copy = take_snapshot(site.store)
    # Six revisions that the copy does not have.
    for sequence in range(2, 8):
        site.write_entry(3, sequence=sequence)
    await asyncio.sleep(IN_FORCE_SECONDS)
    # The new changes get revisions that balancers have seen before.
    await restore(site, copy)
    site.write_entry(2, 'draining', sequence=8)
    site.write_configuration(2, EXTRA_PORT)
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert [site.list_versions(number)[-1] for number in BALANCERS] == [2, 2]
    assert await list_openings(site, 6000) == {1, 3}


def test_changes_after_a_restored_store_are_in_force_in_time(tmp_path):
    """Guards against drains and versions that are ignored until the revisions
    of a restored store have passed those before."""
    with open_site(tmp_path) as site:
        asyncio.run(check_changes_after(site))


async def check_equal_revision(site):
    await start_site(site)
    copy = take_snapshot(site.store)
    site.write_entry(3, sequence=2)
    site.write_entry(3, sequence=3)
    await asyncio.sleep(IN_FORCE_SECONDS)
    # The store has the same revision as before, with other objects.
    await restore(
        site,
        copy,
        lambda: site.write_entry(2, 'draining', sequence=2),
        lambda: site.write_configuration(2),
    )
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert [site.list_versions(number)[-1] for number in BALANCERS] == [2, 2]
    assert await list_openings(site, 6000) == {1, 3}


def test_revision_that_is_given_out_again_is_not_taken_for_the_old_one(
    tmp_path,
):
    """Guards against a view that counts as current because the restored store
    has reached the same revision."""
    with open_site(tmp_path) as site:
        asyncio.run(check_equal_revision(site))


async def check_kept_changes(site):
    await start_site(site)
    copy = take_snapshot(site.store)
    site.write_configuration(2)
    site.write_entry(2, 'draining', sequence=5)
    await asyncio.sleep(IN_FORCE_SECONDS)
    # Nothing is written again: the endpoint may have ended meanwhile.
    await restore(site, copy)
    site.write_entry(3, sequence=2)
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert await list_openings(site, 6000) == {1, 3}
    for number in BALANCERS:
        assert site.list_versions(number)[-1] == 2
    # What the endpoint writes itself counts again.
    site.write_entry(2, sequence=6)
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert await list_openings(site, 7000) == {1, 2, 3}


def test_acknowledged_changes_are_not_lost_with_a_restored_store(tmp_path):
    """Guards against flows to a draining endpoint because an older copy of
    its entry is listed again."""
    with open_site(tmp_path) as site:
        asyncio.run(check_kept_changes(site))


async def check_short_outage(site):
    await start_site(site)
    copy = take_snapshot(site.store)
    await site.start_endpoint(4)
    await asyncio.sleep(IN_FORCE_SECONDS)
    # No read falls into the outage; the entry is written again later.
    restore_snapshot(site.store, copy)
    await asyncio.sleep(1.5)
    assert await list_openings(site, 6000) == {1, 2, 3, 4}


def test_endpoint_that_a_restored_store_lacks_is_kept_for_a_moment(tmp_path):
    """Guards against an endpoint that gets no flows until it has written its
    entry again, and against refusals where it was the only one."""
    with open_site(tmp_path) as site:
        asyncio.run(check_short_outage(site))


async def check_newcomer(site):
    await start_site(site)
    copy = take_snapshot(site.store)
    site.write_configuration(2)
    await asyncio.sleep(IN_FORCE_SECONDS)
    await restore(site, copy)
    await asyncio.sleep(1)
    # The configuration is not written again yet.
    host = site.start_balancer(3)
    await wait_until(lambda: site.is_ready(host), 'ready')
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert site.list_versions(3)[-1] == 2


def test_balancer_that_starts_from_a_restored_store_learns_newer_routes(
    tmp_path,
):
    """Guards against a version that comes back older on a balancer that
    starts before the operator has written it again."""
    with open_site(tmp_path) as site:
        asyncio.run(check_newcomer(site))


def test_restored_store_gives_its_revisions_out_again():
    """Guards against a stand-in that does not show the fault."""
    store = MetadataStore()
    copy = take_snapshot(store)
    store.revision += 3
    restore_snapshot(store, copy)
    assert (store.revision, store.era) == (copy.revision, 2)
