"""Messages of the SWIM membership protocol."""

from dataclasses import dataclass

from balsamshed.members.member import Member


@dataclass(frozen=True, slots=True)
class CatalogDigest:
    """Summary of the records in a member's catalog.

    Parameters
    ----------
    digest : int
        Digest of all records; equal for equal sets of records.
    highest_version : int
        Highest version among the records.
    """

    digest: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an acknowledgement from a member.

    Parameters
    ----------
    sequence : int
        Sequence number, echoed in the acknowledgement.
    catalog : CatalogDigest
        Summary of the sender's catalog.
    updates : tuple of Member
        Membership updates; the first one describes the sender.
    on_behalf_of : str
        Name of the member that requested this ping; empty for a direct
        ping.
    """

    sequence: int
    catalog: CatalogDigest
    updates: tuple[Member, ...]
    on_behalf_of: str = ''


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a ping.

    Parameters
    ----------
    sequence : int
        Sequence number of the ping.
    catalog : CatalogDigest
        Summary of the sender's catalog.
    updates : tuple of Member
        Membership updates; the first one describes the pinged member.
    """

    sequence: int
    catalog: CatalogDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Requests an indirect probe of another member.

    Parameters
    ----------
    sequence : int
        Sequence number, echoed in the acknowledgement.
    target : str
        Name of the member to ping.
    updates : tuple of Member
        Membership updates; the first one describes the sender.
    """

    sequence: int
    target: str
    updates: tuple[Member, ...]
