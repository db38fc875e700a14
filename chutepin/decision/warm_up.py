"""Speed of a server that starts cold and warms up evenly."""

from __future__ import annotations

import math

from .settings import Settings


class WarmUp:
    """Speed relative to a warm server, from the start on."""

    def __init__(self, settings: Settings) -> None:
        self.started_at = 0.0
        self.starts_cold = settings.warming_up
        self.initial_speed = settings.initial_speed
        self.duration = settings.warm_up_time

    def speed(self, now: float) -> float:
        """Speed at a moment; 1 is warm."""
        if not self.starts_cold or now - self.started_at >= self.duration:
            return 1.0
        return self.initial_speed + (1 - self.initial_speed) * (now - self.started_at) / self.duration

    def run_time(self, now: float, work: float, slowness: float) -> float:
        """Expected time on the cores of a run that starts now.

        A cold server warms up meanwhile, evenly at the slowest: at its present speed a long run that ends in time
        would look hopeless."""
        time = work * slowness
        speed = self.speed(now)
        if speed >= 1:
            return time
        warm_time = time * speed
        gain_per_s = (1 - self.initial_speed) / self.duration
        final_speed = min(1.0, math.sqrt(speed**2 + 2 * gain_per_s * warm_time))
        return (final_speed - speed) / gain_per_s + max(0.0, warm_time - (1 - speed**2) / 2 / gain_per_s)
