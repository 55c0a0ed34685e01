"""Property tests of load tracker, limiter and retry budget together.

They guard against counts that drift from the open flows and against bounds
that some sequence of openings, failures and reports exceeds.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from balsamshed.configuration.resources import ListenerKind
from balsamshed.limits.limiter import (
    FlowOutcome,
    admit,
    create_limiter,
    release,
)
from balsamshed.limits.retries import RetryBudget, record_success, take_retry
from balsamshed.limits.verdicts import ADMITTED
from balsamshed.placement.ejection import get_ejection_bound
from balsamshed.placement.load_tracker import (
    HostLoadTracker,
    count_ejected,
    record_accepted,
    record_closed,
    record_opened,
    record_refused,
    record_report,
    record_unanswered,
    set_member_count,
)
from balsamshed.placement.messages import LoadReport
from balsamshed.placement.policy import Choice, create_load_aware_policy
from balsamshed.placement.tests.routes import (
    make_flow_key,
    make_route,
    make_server,
)

SERVERS = tuple(make_server(number) for number in range(8))
KINDS = st.sampled_from(ListenerKind)
NUMBERS = st.integers(0, len(SERVERS) - 1)
COUNTS = st.integers(0, 20)


class LoadStateMachine(RuleBasedStateMachine):
    """Opens and ends flows in any order with failing hosts and false reports."""

    @initialize(count=st.integers(1, len(SERVERS)))
    def start(self, count):
        self.now = 1000.0
        self.flows = []
        self.flow_number = 0
        self.successes = 0
        self.retries = 0
        self.may_leave = True
        self.budget = RetryBudget()
        self.tracker = HostLoadTracker(8)
        self.policy = create_load_aware_policy(
            self.tracker, lambda: self.may_leave
        )
        self.limiters = {
            kind: create_limiter(kind, 1.75) for kind in ListenerKind
        }
        self.servers = SERVERS[:count]

    @rule(seconds=st.sampled_from((0, 0.001, 0.1, 1, 3, 70)))
    def wait(self, seconds):
        self.now += seconds

    @rule(count=st.integers(0, len(SERVERS)), may_leave=st.booleans())
    def configure(self, count, may_leave):
        self.servers = SERVERS[:count]
        self.may_leave = may_leave

    @rule(count=st.integers(0, 70))
    def change_members(self, count):
        set_member_count(self.tracker, count)

    @rule(kind=KINDS)
    def open_flow(self, kind):
        limiter = self.limiters[kind]
        if admit(limiter, self.now) is not ADMITTED:
            return
        self.flow_number += 1
        route = make_route(self.servers, kind)
        key = make_flow_key(self.flow_number)
        choice = self.policy(route, key, self.now, 0)
        if not isinstance(choice, Choice):
            assert not self.servers
            release(limiter, 0, FlowOutcome.UNKNOWN, self.now)
            return
        assert set(choice.candidates) <= set(self.servers)
        assert len(set(choice.candidates)) == len(choice.candidates)
        host = choice.candidates[0].host
        record_opened(self.tracker, host, kind)
        self.flows.append((kind, host, self.now))

    @rule(
        position=st.integers(0, 1000),
        outcome=st.sampled_from(FlowOutcome),
    )
    def end_flow(self, position, outcome):
        if not self.flows:
            return
        kind, host, opened_at = self.flows.pop(position % len(self.flows))
        duration = self.now - opened_at
        if outcome is FlowOutcome.SHED:
            record_refused(self.tracker, host, self.now)
        if outcome is FlowOutcome.FINISHED:
            record_accepted(self.tracker, host, self.now)
            record_success(self.budget)
            self.successes += 1
        is_finished = outcome is FlowOutcome.FINISHED
        finished = duration if is_finished else None
        record_closed(self.tracker, host, kind, self.now, finished)
        release(self.limiters[kind], duration, outcome, self.now)

    @rule(number=NUMBERS, times=st.integers(1, 5))
    def fail(self, number, times):
        for _time in range(times):
            record_unanswered(self.tracker, SERVERS[number].host, self.now)

    @rule(number=NUMBERS)
    def answer(self, number):
        record_accepted(self.tracker, SERVERS[number].host, self.now)

    @rule(
        number=NUMBERS,
        in_flight=COUNTS,
        queued=COUNTS,
        age=st.floats(-1, 20),
    )
    def report(self, number, in_flight, queued, age):
        host = SERVERS[number].host
        entry = LoadReport(host, in_flight, queued, age)
        record_report(self.tracker, entry, self.now)

    @rule()
    def retry(self):
        self.retries += take_retry(self.budget)

    @invariant()
    def counts_match_the_open_flows(self):
        counted = sum(
            host_load.open_feeds + host_load.open_requests
            for host_load in self.tracker.hosts.values()
        )
        assert counted == len(self.flows)
        for host, host_load in self.tracker.hosts.items():
            own = [kind for kind, other, _at in self.flows if other == host]
            feeds = own.count(ListenerKind.FEED)
            assert host_load.open_feeds == feeds
            assert host_load.open_requests == len(own) - feeds
        for kind, limiter in self.limiters.items():
            own = [flow for flow in self.flows if flow[0] is kind]
            assert limiter.open_count == len(own)

    @invariant()
    def ejected_share_is_bounded(self):
        for service, servers in self.tracker.services.items():
            bound = get_ejection_bound(len(servers))
            assert count_ejected(self.tracker, service) <= bound

    @invariant()
    def limit_is_at_least_one(self):
        for limiter in self.limiters.values():
            assert limiter.limit >= 1

    @invariant()
    def budget_is_never_exceeded(self):
        assert self.retries <= 10 + self.successes / 10


LoadStateMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
)
TestLoadStateMachine = LoadStateMachine.TestCase
