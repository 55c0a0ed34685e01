"""Tests of the supplements to the reports, and of their codec."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamshed.codecs.reports import (
    MalformedReport,
    decode_report,
    encode_report,
)
from balsamshed.codecs.supplements import (
    MalformedSupplement,
    decode_supplement,
    encode_supplement,
    is_supplement,
)
from balsamshed.peers.report import PeerReport
from balsamshed.peers.supplement import (
    BANDWIDTH_SHARE,
    MAX_SPEEDS,
    SAVED_SECONDS,
    Supplement,
    SupplementSchedule,
    calculate_supplement_size,
    is_supplement_due,
    pick_supplement_target,
)
from balsamshed.peers.table import (
    INITIAL_BUDGET_BYTES,
    REPORT_BYTES_PER_SECOND,
    PeerTable,
    pick_report_targets,
    record_report,
)
from balsamshed.placement.speeds import SpeedReport

HEADERS = 28
REPORT = PeerReport('a', 1, 0.1, (), ())
FULL = Supplement(tuple(SpeedReport(n, 0.5, 2) for n in range(1, 33)))
SUPPLEMENTS = st.builds(
    Supplement,
    st.lists(
        st.builds(
            SpeedReport,
            st.integers(1, 2**32 - 1),
            st.integers(-127, 127).map(lambda steps: steps / 16),
            st.integers(0, 255).map(lambda steps: steps / 4),
        ),
        max_size=MAX_SPEEDS,
    ).map(tuple),
)


@given(SUPPLEMENTS)
def test_supplement_survives_the_round_trip(supplement):
    """Guards against observations that the codec changes, and against a size
    below the bytes on the network."""
    datagram = encode_supplement(supplement)
    assert is_supplement(datagram)
    assert decode_supplement(datagram) == supplement
    assert len(datagram) + HEADERS == calculate_supplement_size(supplement)


@given(SUPPLEMENTS)
def test_balancer_of_the_former_build_rejects_a_supplement(supplement):
    """Guards against a supplement that is taken for a report, or that stops a
    balancer which does not know it, during a rolling update."""
    decoded = decode_report(encode_supplement(supplement))
    assert isinstance(decoded, MalformedReport)
    assert not is_supplement(encode_report(REPORT))


@given(st.binary(max_size=300))
def test_any_datagram_is_decoded_or_rejected(datagram):
    """Guards against a datagram whose decoding error stops the process."""
    decoded = decode_supplement(datagram)
    assert isinstance(decoded, Supplement | MalformedSupplement)


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (lambda datagram: datagram[:2], MalformedSupplement.TOO_SHORT),
        (lambda datagram: datagram[:-1], MalformedSupplement.WRONG_LENGTH),
        (
            lambda datagram: datagram[:1] + b'\xff' + datagram[2:],
            MalformedSupplement.UNKNOWN_KIND,
        ),
    ],
)
def test_damaged_supplement_is_rejected(change, reason):
    """Guards against a later kind of supplement that is read as this one."""
    assert decode_supplement(change(encode_supplement(FULL))) is reason


def test_extreme_values_are_cut_off():
    """Guards against an exception for an endpoint that barely answers."""
    sent = Supplement((SpeedReport(1, 99, 999), SpeedReport(2, -99, 0)))
    assert decode_supplement(encode_supplement(sent)) == Supplement(
        (SpeedReport(1, 127 / 16, 255 / 4), SpeedReport(2, -127 / 16, 0))
    )


def build_table(size):
    table = PeerTable('10.0.0.250', 'a')
    for number in range(size):
        record_report(table, f'10.0.0.{number}', REPORT, 0)
    return table


@pytest.mark.parametrize('size', [1, 12, 60])
def test_supplements_stay_within_the_budget_of_the_reports(size):
    """Guards against control traffic above its bound, and against supplements
    that displace reports or leave a peer out."""
    table, schedule = build_table(size), SupplementSchedule()
    reports, supplements, targets = 0, 0, set()
    for tick in range(1, 601):
        now = tick / 10
        if is_supplement_due(schedule, now):
            host = pick_supplement_target(schedule, table, FULL, now)
            supplements += calculate_supplement_size(FULL) if host else 0
            targets.add(host)
        reports += 130 * len(pick_report_targets(table, 130, now))
    budget = 60 * REPORT_BYTES_PER_SECOND + INITIAL_BUDGET_BYTES
    assert reports + supplements <= budget
    assert supplements <= (60 + SAVED_SECONDS) * (
        BANDWIDTH_SHARE * REPORT_BYTES_PER_SECOND
    )
    assert len(targets - {None}) == size


def test_found_peer_comes_first():
    """Guards against a started balancer that waits for its turn among all."""
    table, schedule = build_table(20), SupplementSchedule()
    schedule.new_peers.extend(('10.0.0.17', '10.9.9.9', '10.0.0.18'))
    targets = [
        pick_supplement_target(schedule, table, FULL, 1) for _ in range(3)
    ]
    assert targets[:2] == ['10.0.0.17', '10.0.0.18']
    assert targets[2] not in targets[:2]


def test_nothing_is_sent_without_a_live_peer():
    """Guards against supplements to addresses at which nothing runs."""
    table = PeerTable('10.0.0.250', 'a')
    assert pick_supplement_target(SupplementSchedule(), table, FULL, 1) is None
