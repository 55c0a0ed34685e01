"""Tests of signals that arrive while a balancer starts."""

import os
import signal
import subprocess
import sys
import time

START_SECONDS = 5
SETTLE_SECONDS = 0.3


def ignores_sighup(pid):
    """Tell whether a process ignores SIGHUP, from its status in /proc."""
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        fields = dict(line.split(':', 1) for line in status)
    return bool(int(fields['SigIgn'], 16) & (1 << (signal.SIGHUP - 1)))


def test_sighup_during_the_start_does_not_end_a_balancer(tmp_path):
    """Guards against a balancer that ends when its settings change while it
    starts, before its handlers are installed."""
    # Reading a pipe without a writer keeps the process in its start.
    settings = tmp_path / 'settings.json'
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, '-m', 'balsamshed', 'edge'],
        env={**os.environ, 'BALSAMSHED_BOOT': str(settings)},
    )
    try:
        deadline = time.monotonic() + START_SECONDS
        while not ignores_sighup(process.pid) and time.monotonic() < deadline:
            time.sleep(0.01)
        process.send_signal(signal.SIGHUP)
        time.sleep(SETTLE_SECONDS)
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()
