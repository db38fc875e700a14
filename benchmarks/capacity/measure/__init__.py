"""The measured parts, one module each. `PARTS` lists the modules; the `run` of each returns a `Measurement`."""

from __future__ import annotations

import platform
import subprocess
import time
from collections.abc import Callable
from importlib import import_module

from ..results import ROOT, Result, Run
from .tools import Measurement

PARTS = (
    "request",
    "connections",
    "keys",
    "tenants",
    "classes",
    "start",
    "operators",
    "log",
    "changes",
    "table",
    "member",
)


def measure(part: str, *, shared: bool) -> Result:
    """Measure a part. `shared` states whether other work runs on the machine."""
    module = import_module(f".{part}", __package__)
    run: Callable[[], Measurement] = module.run
    measured = run()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.strip()
    return Result(
        part,
        Run(
            command=f"python -m benchmarks.capacity {part}",
            seeds=measured.seeds,
            commit=commit,
            date=time.strftime("%Y-%m-%d"),
            machine_shared=shared,
            python=platform.python_version(),
            notes=measured.notes,
        ),
        measured.series,
    )
