"""What a decision instance is doing, for dashboards."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Snapshot:
    """What a decision instance is doing, for dashboards."""

    limit: int
    running: int
    at_calls: int
    queued: int
    average_run_time: float  # seconds
    slowness: float  # run time for each second of expected work
    times_limited: int  # starts that waited for the limit or the cores
    announced: float
    state: str  # serving, draining or hung
    rejections: dict[str, int] = field(default_factory=dict)  # by reason
