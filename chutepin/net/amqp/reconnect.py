"""How long to wait before the next link to the AMQP broker."""

from __future__ import annotations

import random

MIN_RECONNECT_DELAY_S = 0.1  # doubled after each link or attempt that served for nothing
MAX_RECONNECT_DELAY_S = 30.0
STEADY_LINK_S = 30.0  # a link that stood for so long served, with messages or without


class ReconnectDelay:
    """The wait between two links: short after a link that served, else twice the one before.

    Guards against a message or a broker that breaks every link at once. Each wait is spread at random by half, so that
    the nodes of a broker that was lost do not return together."""

    def __init__(self, chance: random.Random) -> None:
        self._random = chance
        self._next_s = MIN_RECONNECT_DELAY_S

    def link_ended(self, settlements: int, stood_s: float) -> None:
        """Take in a link that was lost after so many seconds, and how many deliveries were settled on it."""
        if settlements > 0 or stood_s >= STEADY_LINK_S:
            self._next_s = MIN_RECONNECT_DELAY_S

    def next(self) -> float:
        """Return the seconds to wait now; the next wait is longer, unless a link serves in between."""
        delay_s = self._next_s
        self._next_s = min(2 * delay_s, MAX_RECONNECT_DELAY_S)
        return delay_s * (0.5 + self._random.random())
