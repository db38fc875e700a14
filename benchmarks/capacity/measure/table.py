"""Memory of a member's membership table by number of other members, in a new process for each size."""

from __future__ import annotations

from .tools import Measurement, Table, run_in_new_process

SIZES = (100, 300, 900, 2_300)
ROUNDS = 3
PROBE = "benchmarks.capacity.measure.table_probe"


def run() -> Measurement:
    """Measure the part and return its series."""
    table = Table("members", {"memory_bytes": "bytes"})
    for _ in range(ROUNDS):
        for size in SIZES:
            table.add(size, **run_in_new_process(PROBE, str(size)))
    return Measurement(
        table.series(),
        notes=("a detector's table alone, by its objects: no probes, no gossip that waits",),
    )
