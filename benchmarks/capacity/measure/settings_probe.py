"""Measures one new process that parses settings, builds the decision module and runs control intervals.

Prints a JSON object.

python -O -m benchmarks.capacity.measure.settings_probe FILE"""

from __future__ import annotations

import gc
import json
import os
import sys
import time
from pathlib import Path

from chutepin.decision.control_loop import CONTROL_INTERVAL_S
from chutepin.decision.policy import Policy
from chutepin.decision.simulator_protocol import parse_settings

from .tools import resident_bytes

TIMED_INTERVALS = 5  # control intervals
STEP_S = 1.001 * CONTROL_INTERVAL_S  # long enough that every step runs an adjustment


def main(path: Path) -> dict[str, float]:
    """Return the memory in bytes, the processor times in milliseconds and the file size in bytes."""
    gc.collect()
    memory_before = resident_bytes(os.getpid())
    build_began = time.process_time()
    policy = Policy(parse_settings(json.loads(path.read_bytes())), seed=1)
    policy.start(now=0.0)
    build_ended = time.process_time()
    gc.collect()
    memory_bytes = resident_bytes(os.getpid()) - memory_before
    control_began = time.process_time()
    for number in range(1, TIMED_INTERVALS + 1):
        policy.handle(number * STEP_S, [])
    control_ended = time.process_time()
    return {
        "memory_bytes": memory_bytes,
        "build_cpu_ms": 1000 * (build_ended - build_began),
        "control_cpu_ms": 1000 * (control_ended - control_began) / TIMED_INTERVALS,
        "file_bytes": path.stat().st_size,
    }


if __name__ == "__main__":
    print(json.dumps(main(Path(sys.argv[1]))))
