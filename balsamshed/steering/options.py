"""Optional parts of an edge balancer, as its settings switch them on."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class ColdStartLimit:
    """Tolerance of the rate limit of an endpoint that is warming up.

    All balancers together may open ``rate * excess + slack`` flows in any
    second, where the rate is that of the endpoint's service.

    Parameters
    ----------
    excess : float
        Factor of the rate, 1 or more.
    slack : float
        Openings in addition to the rate.
    """

    excess: float
    slack: float


@dataclass(frozen=True, slots=True)
class HedgeLimit:
    """Limit of openings that are sent to a second endpoint.

    Parameters
    ----------
    share : float
        Share of all openings, from 0 to 1.
    burst : int
        Openings that may be hedged at once after a time without any.
    """

    share: float
    burst: int


@dataclass(frozen=True, slots=True)
class EdgeOptions:
    """Optional parts; all are off by default.

    Parameters
    ----------
    follows_evacuations : bool
        Whether the evacuations of data centres are read from the store and
        followed.
    cold_start_limit : ColdStartLimit or None
        Limit of the openings of an endpoint that is warming up; None for
        none.
    balances_by_speed : bool
        Whether placement compares the expected time of an answer.
    balances_data_centres : bool
        Whether flows leave their data centre only for what it cannot serve.
    limits_admission : bool
        Whether the flows admitted together stay near what the endpoints can
        serve in time.
    hedge_limit : HedgeLimit or None
        Limit of hedged openings; None for none.
    """

    follows_evacuations: bool = False
    cold_start_limit: ColdStartLimit | None = None
    balances_by_speed: bool = False
    balances_data_centres: bool = False
    limits_admission: bool = False
    hedge_limit: HedgeLimit | None = None


#: Every part is off.
NO_OPTIONS: Final = EdgeOptions()
