"""State of a decision instance for dashboards."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Snapshot:
    """State of a decision instance at one time."""

    limit: int
    running: int
    in_calls: int
    queued: int
    average_run_time: float  # seconds
    slowness: float  # run time per second of expected work
    times_limited: int  # attempts to start runs that the limit or the cores prevented
    announced: float
    state: str  # serving, draining or hung
    rejections: dict[str, int] = field(default_factory=dict)  # by reason
