"""Messages of the membership protocol."""

from dataclasses import dataclass

from balsamshed.members.member import Member


@dataclass(frozen=True, slots=True)
class CatalogDigest:
    """What a member has of the configuration.

    Parameters
    ----------
    digest : int
        Equal digests mean equal records.
    highest_version : int
        Highest version of the member's records.
    """

    digest: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks a member for an acknowledgement.

    Parameters
    ----------
    sequence : int
        Number that the acknowledgement repeats.
    catalog : CatalogDigest
        What the sender has of the configuration.
    updates : tuple of Member
        News about members; the first one is the sender itself.
    on_behalf_of : str
        Member that asked for this ping; empty for a direct one.
    """

    sequence: int
    catalog: CatalogDigest
    updates: tuple[Member, ...]
    on_behalf_of: str = ''


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ping.

    Parameters
    ----------
    sequence : int
        Number of the ping.
    catalog : CatalogDigest
        What the sender has of the configuration.
    updates : tuple of Member
        News about members; the first one is the member that was pinged.
    """

    sequence: int
    catalog: CatalogDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a member to ping another one on behalf of the sender.

    Parameters
    ----------
    sequence : int
        Number that the acknowledgement repeats.
    target : str
        Name of the member to ping.
    updates : tuple of Member
        News about members; the first one is the sender itself.
    """

    sequence: int
    target: str
    updates: tuple[Member, ...]
