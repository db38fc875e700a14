"""Memory and processor time of the settings and the decision module by number of tenants, each in a new process."""

from __future__ import annotations

import json
import tempfile
from typing import Any

from chutepin.decision.control_loop import CONTROL_INTERVAL_S
from chutepin.testbench.standins.platform import EXAMPLE

from .tools import Measurement, Table, run_in_new_process

SIZES = (2_000, 8_000, 32_000, 128_000)
ROUNDS = 2
PROBE = "benchmarks.capacity.measure.settings_probe"
CONTROLS_PER_S = 1 / CONTROL_INTERVAL_S  # rate of adjustments while requests run
UNITS = {
    "memory_bytes": "bytes",
    "build_cpu_ms": "ms of a core",
    "control_cpu_ms_per_s": "ms of a core a second",
    "file_bytes": "bytes",
}


def settings(kind: str, count: int) -> dict[str, Any]:
    """Return the example settings with `count` tenants or classes."""
    generated: dict[str, Any] = json.loads(json.dumps(EXAMPLE["settings"]))
    if kind == "tenants":
        generated["tenants"] = [
            {"name": f"tenant-{number:06d}", "share": 1 / count, "quotaPerS": 2.7} for number in range(count)
        ]
    else:
        first = generated["categories"][0]
        generated["categories"] = [{**first, "name": f"class-{number:05d}"} for number in range(count)]
        info = generated["familyInfo"]
        info["classCalls"], info["degradedWorth"] = [False] * count, [0.0] * count
    return generated


def measure_in_processes(kind: str, sizes: tuple[int, ...]) -> Measurement:
    """Measure settings of the given sizes, each in a new process, and return the series."""
    table = Table(kind, UNITS)
    for _ in range(ROUNDS):
        for size in sizes:
            with tempfile.NamedTemporaryFile("w") as file:
                json.dump(settings(kind, size), file)
                file.flush()
                values = run_in_new_process(PROBE, file.name)
            control = values.pop("control_cpu_ms")
            table.add(size, control_cpu_ms_per_s=CONTROLS_PER_S * control, **values)
    return Measurement(
        table.series(),
        notes=(
            "settings parsed from their JSON, module built; without requests",
            f"control: the module's look at the backlog, {CONTROLS_PER_S:g} times a second while requests run or wait",
        ),
    )


def run() -> Measurement:
    """Measure the part and return its series."""
    return measure_in_processes("tenants", SIZES)
