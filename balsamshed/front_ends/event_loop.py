"""Event loop of an edge balancer.

Importing Twisted's reactor takes 0.3 s of processor time, and importing asyncio
a fifth of the whole start of an edge balancer, during which callers of a small
VM wait. This loop offers the few functions that an edge balancer needs, under
the names that asyncio gives them.
"""

import signal
import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from heapq import heappop, heappush
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector
from typing import Any, Final

#: Function without arguments that the loop calls.
Callback = Callable[[], object]
#: Receives an unexpected exception of a callback.
ErrorHandler = Callable[[Exception], object]

_WAKE_UP_BYTES: Final = 64


class Timer:
    """Callback that is due at a time.

    Parameters
    ----------
    callback : callable
        Function to call.
    """

    __slots__ = ('callback',)

    def __init__(self, callback: Callback) -> None:
        """Create a timer that is not cancelled."""
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Do not call the function."""
        self.callback = None


class EventLoop:
    """Calls functions when sockets are ready, timers due or signals received.

    An exception in a function ends neither the loop nor other functions; the
    error handler receives it.
    """

    def __init__(self) -> None:
        """Create a loop without sockets or timers."""
        self._selector = DefaultSelector()
        self._ready: deque[Callback] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_count = 0
        self._is_running = False
        self._handle_error: ErrorHandler | None = None
        self._signal_callbacks: dict[int, Callback] = {}
        receiver, sender = socket.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        self._wake_up = receiver
        self._wake_up_sender = sender
        self.add_reader(self._wake_up, self._receive_signals)

    def call_soon(self, callback: Callback) -> None:
        """Call a function in the next round."""
        self._ready.append(callback)

    def call_later(self, seconds: float, callback: Callback) -> Timer:
        """Call a function after a time."""
        timer = Timer(callback)
        self._timer_count += 1
        due_at = time.monotonic() + seconds
        heappush(self._timers, (due_at, self._timer_count, timer))
        return timer

    def add_reader(self, watched: socket.socket, callback: Callback) -> None:
        """Call a function whenever a socket is readable."""
        self._watch(watched, EVENT_READ, callback)

    def add_writer(self, watched: socket.socket, callback: Callback) -> None:
        """Call a function whenever a socket is writable."""
        self._watch(watched, EVENT_WRITE, callback)

    def remove_writer(self, watched: socket.socket) -> None:
        """Stop to call a function when a socket is writable."""
        callbacks = dict(self._selector.get_key(watched).data)
        callbacks.pop(EVENT_WRITE, None)
        self._replace_callbacks(watched, callbacks)

    def remove(self, watched: socket.socket) -> None:
        """Stop watching a socket, if it is watched."""
        if watched.fileno() in self._selector.get_map():
            self._selector.unregister(watched)

    def add_signal_handler(self, number: int, callback: Callback) -> None:
        """Call a function in the loop after a signal."""
        signal.set_wakeup_fd(self._wake_up_sender.fileno())
        self._signal_callbacks[number] = callback
        # The loop learns of the signal through the wake-up socket.
        signal.signal(number, lambda _number, _frame: None)

    def set_error_handler(self, handle_error: ErrorHandler) -> None:
        """Set the function that receives exceptions of callbacks."""
        self._handle_error = handle_error

    def call(self, callback: Callback) -> None:
        """Call a function now, and pass an exception to the error handler."""
        try:
            callback()
        except Exception as error:
            if self._handle_error is None:
                raise
            self._handle_error(error)

    def run_forever(self) -> None:
        """Run until `stop` is called."""
        self._is_running = True
        while self._is_running:
            self._run_round()

    def stop(self) -> None:
        """End `run_forever` after the current round."""
        self._is_running = False

    def close(self) -> None:
        """Close the loop; sockets that it watched stay open."""
        if self._signal_callbacks:
            signal.set_wakeup_fd(-1)
        self._selector.close()
        self._wake_up.close()
        self._wake_up_sender.close()

    def _run_round(self) -> None:
        # Sockets come before timers: a tick sees what has been received.
        for key, events in self._selector.select(self._get_timeout()):
            for event, callback in tuple(key.data.items()):
                if events & event:
                    self.call(callback)
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            timer = heappop(self._timers)[2]
            if timer.callback is not None:
                self.call(timer.callback)
        ready = tuple(self._ready)
        self._ready.clear()
        for callback in ready:
            self.call(callback)

    def _get_timeout(self) -> float | None:
        while self._timers and self._timers[0][2].callback is None:
            heappop(self._timers)
        if self._ready or not self._is_running:
            return 0
        if not self._timers:
            return None
        return max(self._timers[0][0] - time.monotonic(), 0)

    def _watch(
        self, watched: socket.socket, event: int, callback: Callback
    ) -> None:
        callbacks: dict[int, Any] = {}
        if watched.fileno() in self._selector.get_map():
            callbacks = dict(self._selector.get_key(watched).data)
        self._replace_callbacks(watched, {**callbacks, event: callback})

    def _replace_callbacks(
        self, watched: socket.socket, callbacks: dict[int, Any]
    ) -> None:
        self.remove(watched)
        if callbacks:
            self._selector.register(watched, sum(callbacks), callbacks)

    def _receive_signals(self) -> None:
        for number in self._wake_up.recv(_WAKE_UP_BYTES):
            callback = self._signal_callbacks.get(number)
            if callback is not None:
                self.call(callback)


@contextmanager
def open_loop() -> Iterator[EventLoop]:
    """Create the event loop of the process and close it on exit."""
    loop = EventLoop()
    try:
        yield loop
    finally:
        loop.close()


def call_periodically(
    loop: EventLoop, interval_seconds: float, callback: Callback
) -> None:
    """Call a function now and again after each interval.

    An error in one call does not end the series.

    Parameters
    ----------
    loop : EventLoop
        Event loop.
    interval_seconds : float
        Time from the end of one call to the next, in seconds.
    callback : callable
        Function to call.
    """

    def run() -> None:
        loop.call(callback)
        loop.call_later(interval_seconds, run)

    loop.call_soon(run)
