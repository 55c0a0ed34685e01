"""Tests of how errors of handlers are contained."""

from twisted.internet.task import Clock, LoopingCall

from balsamshed.front_ends.effect_handlers import contain_errors


def test_timer_goes_on_after_an_error():
    """Guards against a balancer whose ticks end with one unexpected error."""
    clock = Clock()
    reports, calls = [], []

    def fail():
        calls.append(clock.seconds())
        raise KeyError('fault')

    timer = LoopingCall(contain_errors(fail, lambda: reports.append('failed')))
    timer.clock = clock
    timer.start(1)
    clock.pump([1, 1])
    assert calls == [0, 1, 2]
    assert reports == ['failed'] * 3
