"""Objects that must not share an address.

Two backend servers with one host, or two services with one address and port,
would let packets of one service reach the other.
"""

from collections.abc import Iterator, Mapping
from ipaddress import IPv4Address

from balsamshed.audit.entries import read_versioned_changes
from balsamshed.configuration.records import Record, Rejection
from balsamshed.configuration.resources import (
    BackendServer,
    Resource,
)
from balsamshed.findings import Finding

#: Host of a backend server, or address and port of a listener.
Claim = tuple[int, int]


def find_address_conflicts(
    resources: Mapping[str, Resource],
    key: str,
) -> list[Finding]:
    """Find what an object shares with the other objects.

    Parameters
    ----------
    resources : mapping of str to Resource
        All resources of the group as they would be.
    key : str
        The object to check.

    Returns
    -------
    list of Finding
        Places are relative to the object's specification.
    """
    others = {
        claim: holder
        for holder, resource in resources.items()
        if holder != key
        for claim, _place in _list_claims(resource)
    }
    return list(_find_conflicts(resources[key], others))


def resolve_address_conflicts(
    records: Mapping[str, Record],
    resources: Mapping[str, Resource],
) -> dict[str, Rejection]:
    """Choose the objects that give way where several claim one address.

    The object that was created first keeps the address, so that a newcomer
    never takes a backend server away from a service. The choice depends on
    the records alone and is therefore the same on every node.

    Parameters
    ----------
    records : mapping of str to Record
        Records of the group.
    resources : mapping of str to Resource
        Resources without findings of their own.

    Returns
    -------
    dict of str to Rejection
        Keyed by the object's key; empty if nothing clashes.
    """

    def get_rank(key: str) -> tuple[int, str]:
        return (_get_creation_version(records[key]), key)

    claims: dict[Claim, str] = {}
    address_conflicts = {}
    for key in sorted(resources, key=get_rank):
        findings = tuple(_find_conflicts(resources[key], claims))
        if findings:
            address_conflicts[key] = Rejection(key, findings)
        else:
            claims.update(
                {claim: key for claim, _place in _list_claims(resources[key])}
            )
    return address_conflicts


def _get_creation_version(record: Record) -> int:
    changes = read_versioned_changes(record.version, record.body)
    if not changes:
        return record.version
    # The oldest kept change is the creation unless there were more than 16.
    return changes[0].entry.from_version or changes[0].version


def _list_claims(resource: Resource) -> Iterator[tuple[Claim, str]]:
    if isinstance(resource, BackendServer):
        yield (resource.host, 0), '$.host'
        return
    for position, listener in enumerate(resource.listeners):
        place = f'$.listeners[{position}].port'
        yield (resource.address, listener.port), place


def _find_conflicts(
    resource: Resource,
    claims: Mapping[Claim, str],
) -> Iterator[Finding]:
    for claim, place in _list_claims(resource):
        holder = claims.get(claim)
        if holder is None:
            continue
        address, port = claim
        owner = holder.split('/', maxsplit=1)[1]
        if port:
            yield Finding(
                place,
                str(port),
                f'a port that {owner} does not have at {IPv4Address(address)}',
            )
        else:
            yield Finding(
                place,
                f'"{IPv4Address(address)}"',
                f'a host that {owner} does not have',
            )
