"""Detection and resolution of address conflicts between objects.

If two backend servers had the same host, or two services the same address and
port, packets of one service would reach the other.
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

#: Address and port that an object claims: those of a listener, or the host of
#: a backend server with port 0.
Claim = tuple[int, int]


def find_address_conflicts(
    resources: Mapping[str, Resource],
    key: str,
) -> list[Finding]:
    """Find the addresses that an object shares with other objects.

    Parameters
    ----------
    resources : mapping of str to Resource
        All resources of the group after the proposed change.
    key : str
        The object to check.

    Returns
    -------
    list of Finding
        Places are relative to the object's specification.
    """
    other_claims = {
        claim: owner
        for owner, resource in resources.items()
        if owner != key
        for claim, _place in _list_claims(resource)
    }
    return list(_find_conflicts(resources[key], other_claims))


def resolve_address_conflicts(
    records: Mapping[str, Record],
    resources: Mapping[str, Resource],
) -> dict[str, Rejection]:
    """Choose the objects to reject where several claim the same address.

    The object that was created first keeps the address, so that a new object
    never takes a backend server away from a service. The choice depends only
    on the records and is therefore the same on every balancer.

    Parameters
    ----------
    records : mapping of str to Record
        Records of the group.
    resources : mapping of str to Resource
        Valid resources of the group.

    Returns
    -------
    dict of str to Rejection
        Rejected objects by key; empty without conflicts.
    """

    def get_creation_order(key: str) -> tuple[int, str]:
        return (_get_creation_version(records[key]), key)

    claims: dict[Claim, str] = {}
    rejections = {}
    for key in sorted(resources, key=get_creation_order):
        findings = tuple(_find_conflicts(resources[key], claims))
        if findings:
            rejections[key] = Rejection(key, findings)
        else:
            claims.update(
                {claim: key for claim, _place in _list_claims(resources[key])}
            )
    return rejections


def _get_creation_version(record: Record) -> int:
    changes = read_versioned_changes(record.version, record.body)
    if not changes:
        return record.version
    # Exact for up to 16 changes. Older change entries are dropped, so after
    # that the oldest remaining change stands for the creation.
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
        owner_key = claims.get(claim)
        if owner_key is None:
            continue
        address, port = claim
        owner = owner_key.split('/', maxsplit=1)[1]
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
