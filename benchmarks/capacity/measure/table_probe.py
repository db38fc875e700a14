"""Measures one new process with a failure detector that tracks `COUNT` other members. Prints a JSON object.

python -O -m benchmarks.capacity.measure.table_probe COUNT"""

from __future__ import annotations

import gc
import json
import random
import sys
import tracemalloc

from chutepin.cluster import Detector
from chutepin.config import Address
from chutepin.config.cluster import ClusterSetup

from .start import record


def main(count: int) -> dict[str, float]:
    """Return the bytes of the objects allocated for the other members."""
    setup = ClusterSetup("capacity", "r0", "z0", Address("127.0.0.1", 7410), members=count + 1)
    detector = Detector(setup, "node-me", 1, 0.0, random.Random(1))
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        detector.view.table.put(0.0, record(number))
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    return {"memory_bytes": allocated_bytes}


if __name__ == "__main__":
    print(json.dumps(main(int(sys.argv[1]))))
