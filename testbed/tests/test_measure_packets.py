"""Guards against figures of the packet path that measure something else."""

import os
import time

from testbed.measure_packets import (
    MeasurementSize,
    list_figures,
    read_processor_seconds,
    read_resident_bytes,
)

# Large enough to take several clock ticks of 10 ms.
SMALL_SIZE = MeasurementSize(rounds=2, packets=6000, flows=200, held_flows=3000)


def test_figures_of_a_short_run():
    """Guards against figures of packets on the wrong path or on none."""
    figures = {figure.name: figure for figure in list_figures(SMALL_SIZE)}
    for name in ('packet', 'relay', 'answer'):
        ratio = figures[f'{name}_path_ratio']
        assert ratio.value > 0.5
        assert ratio.total == 12_000
    assert figures['packet_path_ratio'].bound == 2
    assert figures['microseconds_per_new_flow'].bound == 1000
    assert figures['new_flows_per_second'].value > 0
    assert figures['bytes_per_flow'].value > 0
    assert figures['flows_held'].value >= 3000


def test_processor_time_and_memory_belong_to_the_process():
    """Guards against a wrong field of /proc, whose value looks plausible."""
    process_id = os.getpid()
    before = read_processor_seconds(process_id)
    end = time.process_time() + 0.3
    while time.process_time() < end:
        pass
    assert 0.2 < read_processor_seconds(process_id) - before < 0.6
    assert read_resident_bytes(process_id) > 5_000_000
