"""What the mechanism is doing, for dashboards."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Snapshot:
    """What the mechanism is doing, for dashboards."""

    limit: int
    in_use: int
    parked: int
    held: int
    average_run: float
    slowness: float
    times_limited: int
    announced: float
    state: str
    refusals: dict[str, int] = field(default_factory=dict)
