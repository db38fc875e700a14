"""One fresh process: parse a file of settings, build the module, tick it. Prints a JSON object.

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

CONTROLS = 5  # looks at the backlog that are timed
STEP_S = 1.001 * CONTROL_INTERVAL_S  # so that each step is due a look


def main(path: Path) -> dict[str, float]:
    """Bytes and milliseconds of processor time."""
    gc.collect()
    before, begun = resident_bytes(os.getpid()), time.process_time()
    policy = Policy(parse_settings(json.loads(path.read_bytes())), seed=1)
    policy.start(now=0.0)
    built = time.process_time()
    gc.collect()
    held = resident_bytes(os.getpid()) - before
    ticking = time.process_time()
    for number in range(1, CONTROLS + 1):
        policy.handle(number * STEP_S, [])
    ticked = time.process_time()
    return {
        "memory_bytes": held,
        "build_cpu_ms": 1000 * (built - begun),
        "control_cpu_ms": 1000 * (ticked - ticking) / CONTROLS,
        "file_bytes": path.stat().st_size,
    }


if __name__ == "__main__":
    print(json.dumps(main(Path(sys.argv[1]))))
