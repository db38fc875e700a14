"""Bytes sent by the leader and the observers of the replicated log in the simulator, by the size of a change."""

from __future__ import annotations

import itertools
from dataclasses import replace

from chutepin.testbench.simulators.consensus import SETTINGS

from .log import SimulatedRun, simulate
from .tools import Measurement, Table

VALUE_BYTES = (32, 128, 512, 1_024)  # the state machine accepts values of up to 1,024 bytes
OBSERVERS = 100
SEEDS = (1, 2)
KIB = 1024
NODE_SETTINGS = replace(
    SETTINGS,
    max_chunk_bytes=64 * KIB,
    max_in_flight_bytes=256 * KIB,
    max_log_bytes=4 * KIB * KIB,
    retained_bytes=512 * KIB,
)
UNITS = {
    "leader_bytes_per_s": "bytes a second",
    "observer_bytes_per_s": "bytes a second",
    "feeder_bytes_per_s": "bytes a second",
}


def values_of(size: int) -> itertools.count[int]:
    """Return numbers whose text has `size` bytes, including the letter that the simulated clients prepend."""
    return itertools.count(10 ** (size - 2))


def run() -> Measurement:
    """Measure the part and return its series."""
    table = Table("bytes of a change", UNITS)
    for seed in SEEDS:
        for size in VALUE_BYTES:
            outcome: SimulatedRun = simulate(OBSERVERS, seed, settings=NODE_SETTINGS, values=values_of(size))
            table.add(
                size,
                leader_bytes_per_s=outcome.leader.bytes_per_s,
                observer_bytes_per_s=outcome.observers.bytes_per_s,
                feeder_bytes_per_s=outcome.max_bytes_per_s,
            )
    return Measurement(
        table.series(),
        SEEDS,
        (
            f"{OBSERVERS} observers, changes at the rate of a peak",
            "virtual time; times of the core as in the simulator, sizes of pieces and logs as in a node",
        ),
    )
