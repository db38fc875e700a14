"""Speed of a server that starts cold and warms up linearly."""

from __future__ import annotations

import math

from .settings import Settings


class WarmUp:
    """Speed of this server relative to a warm one, as a function of the time since its start."""

    def __init__(self, settings: Settings) -> None:
        self.started_at = 0.0
        self.starts_cold = settings.warming_up
        self.initial_speed = settings.initial_speed
        self.duration = settings.warm_up_time

    def speed(self, now: float) -> float:
        """Return the speed at a time; 1 is that of a warm server."""
        if not self.starts_cold or now - self.started_at >= self.duration:
            return 1.0
        return self.initial_speed + (1 - self.initial_speed) * (now - self.started_at) / self.duration

    def run_time(self, now: float, work: float, slowness: float) -> float:
        """Return the expected core time in seconds of a run that starts now.

        A cold server warms up during the run, at least linearly. At the current speed, a long run that will end in time
        would seem to miss its objective."""
        time = work * slowness
        speed = self.speed(now)
        if speed >= 1:
            return time
        warm_time = time * speed
        gain_per_s = (1 - self.initial_speed) / self.duration
        final_speed = min(1.0, math.sqrt(speed**2 + 2 * gain_per_s * warm_time))
        return (final_speed - speed) / gain_per_s + max(0.0, warm_time - (1 - speed**2) / 2 / gain_per_s)
