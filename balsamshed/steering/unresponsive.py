"""Detection of open flows whose endpoint no longer responds.

A request on such a flow would fail only when its caller's deadline passes. If
the request may run more than once, a reset lets the caller repeat it at once on
a new flow. An endpoint that is only silent towards the store keeps its flows.

A balancer whose own packets wait, in its link or in its socket, sees silence
everywhere. A copy of a request therefore counts only if, before the next one,
another endpoint answered a packet that was sent after it.
"""

from typing import Final

from balsamshed.endpoints.directory import EndpointDirectory
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.placement.in_flight import EndpointLoadTracker
from balsamshed.steering.requests import (
    PendingRequest,
    RequestStage,
    RequestTable,
)

#: Copies of a request after which its endpoint is suspected.
MIN_SUSPICIOUS_COPIES: Final = 2
#: Copies of a request after which its flow is given up: callers send them after
#: 0, 0.2 and 0.6 s. An endpoint that runs acknowledges a request at once,
#: however long it works on it.
MIN_UNANSWERED_COPIES: Final = 3
#: Duration of these copies, less the time by which one may have been delayed.
MIN_UNANSWERED_SECONDS: Final = 0.5


def find_unanswered_request(
    requests: RequestTable, flow_key: bytes
) -> PendingRequest | None:
    """Return the request of a flow if its endpoint may have stopped.

    The caller has repeated the request without an acknowledgement, and the
    endpoint has answered no other flow since the first time.

    Parameters
    ----------
    requests : RequestTable
        Requests in flight.
    flow_key : bytes
        Key of the flow.
    """
    request = requests.pending.get(flow_key)
    if request is None or request.stage is not RequestStage.AWAITING_ANSWER:
        return None
    if request.copies < MIN_SUSPICIOUS_COPIES:
        return None
    answered_at = requests.answered_at.get(request.cookie)
    if answered_at is not None and answered_at >= request.started_at:
        return None
    return request


def has_enough_copies(request: PendingRequest, now: float) -> bool:
    """Tell whether a request was repeated often and long enough.

    Copies count while the way to other endpoints works.
    """
    return (
        request.proven_copies >= MIN_UNANSWERED_COPIES
        and now - request.proven_since >= MIN_UNANSWERED_SECONDS
    )


def is_doubted_elsewhere(
    directory: EndpointDirectory,
    tracker: EndpointLoadTracker,
    endpoint: Endpoint,
    flow_key: bytes,
    since: float,
) -> bool:
    """Tell whether an endpoint is doubted for a reason other than one flow.

    Its entry is gone, or packets of other flows were not answered, here after
    a given time or at a peer.
    """
    cookie = endpoint.cookie
    if endpoint.instance not in directory.endpoints:
        return True
    if cookie in tracker.suspecting_peers:
        return True
    suspicion = tracker.suspicions.get(cookie)
    if suspicion is None or suspicion.until <= since:
        return False
    return any(witness != flow_key for witness in suspicion.witnesses)
