"""Memory and processor time of the settings and the decision module by number of classes, each in a new process."""

from __future__ import annotations

from .tenants import measure_in_processes
from .tools import Measurement

SIZES = (100, 400, 1_600, 6_400)


def run() -> Measurement:
    """Measure the part and return its series."""
    return measure_in_processes("classes", SIZES)
