"""The log in common in the simulator, by the size of a change: what its leader and the observers send."""

from __future__ import annotations

import itertools
from dataclasses import replace

from chutepin.lab.consensus_simulator import SETTINGS

from .log import Played, played
from .tools import Measured, Table

VALUE_BYTES = (32, 128, 512, 1_024)  # the machine takes values of up to 1,024
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
    """Numbers which, with the one letter that the askers put before them, have so many bytes."""
    return itertools.count(10 ** (size - 2))


def run() -> Measured:
    """The part."""
    table = Table("bytes of a change", UNITS)
    for seed in SEEDS:
        for size in VALUE_BYTES:
            found: Played = played(OBSERVERS, seed, settings=NODE_SETTINGS, values=values_of(size))
            table.add(
                size,
                leader_bytes_per_s=found.leader.bytes_per_s,
                observer_bytes_per_s=found.observers.bytes_per_s,
                feeder_bytes_per_s=found.most_bytes_per_s,
            )
    return Measured(
        table.series(),
        SEEDS,
        (
            f"{OBSERVERS} observers, changes at the rate of a peak",
            "virtual time; times of the core as in the simulator, sizes of pieces and logs as in a node",
        ),
    )
