"""Name resolution for a process that talks to IP addresses only."""

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
    """A resolution that is complete at once.

    Parameters
    ----------
    name : str
        The name that was looked up.
    """

    def __init__(self, name: str) -> None:
        """Keep the name for the receiver."""
        self.name = name

    def cancel(self) -> None:
        """Nothing is left to cancel."""


@implementer(IHostnameResolver)
class LiteralResolver:
    """Resolves IPv4 literals and nothing else.

    Twisted's usual resolver starts threads even for literals.
    """

    def resolveHostName(  # noqa: N802, WPS211
        self,
        resolutionReceiver: IResolutionReceiver,  # noqa: N803
        hostName: str,  # noqa: N803
        portNumber: int = 0,  # noqa: N803
        addressTypes: Sequence[Any] | None = None,  # noqa: N803
        transportSemantics: str = 'TCP',  # noqa: N803
    ) -> Resolution:
        """Report the address of a literal; a name has none."""
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
