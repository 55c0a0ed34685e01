"""Name resolver for a process that connects to IP addresses only."""

from collections.abc import Sequence
from ipaddress import IPv4Address as LiteralAddress
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import (
    IHostnameResolver,
    IHostResolution,
    IResolutionReceiver,
)
from zope.interface import implementer


@implementer(IHostResolution)
class Resolution:
    """Name resolution that completes immediately.

    Parameters
    ----------
    name : str
        Name that was looked up.
    """

    def __init__(self, name: str) -> None:
        """Store the name, which Twisted's interface requires."""
        self.name = name

    def cancel(self) -> None:
        """Do nothing; the resolution is already complete."""


@implementer(IHostnameResolver)
class LiteralResolver:
    """Resolver that accepts IPv4 literals only.

    The default resolver of Twisted starts threads even for literals.
    """

    def resolveHostName(  # noqa: N802, WPS211
        self,
        resolutionReceiver: IResolutionReceiver,  # noqa: N803
        hostName: str,  # noqa: N803
        portNumber: int = 0,  # noqa: N803
        addressTypes: Sequence[Any] | None = None,  # noqa: N803
        transportSemantics: str = 'TCP',  # noqa: N803
    ) -> Resolution:
        """Report the address of a literal, and no address for a name."""
        resolution = Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolution)
        if _is_literal(hostName):
            resolutionReceiver.addressResolved(
                IPv4Address(transportSemantics, hostName, portNumber),
            )
        resolutionReceiver.resolutionComplete()
        return resolution


def create_literal_resolver() -> IHostnameResolver:
    """Return a resolver for `reactor.installNameResolver`."""
    return LiteralResolver()


def _is_literal(name: str) -> bool:
    try:
        LiteralAddress(name)
    except ValueError:
        return False
    return True
