"""Exponential backoff with jitter for reconnecting to the AMQP broker."""

from __future__ import annotations

import random

MIN_RECONNECT_DELAY_S = 0.1  # doubled after each failed attempt or useless link
MAX_RECONNECT_DELAY_S = 30.0
STABLE_LINK_S = 30.0  # a link of this lifetime counts as useful even without deliveries


class ReconnectDelay:
    """The delay before the next link: doubled after each failed link or attempt, reset by a useful one.

    The backoff protects against a message or a broker that breaks every link at once. Jitter of half the delay in
    both directions keeps nodes that lost the same broker from reconnecting together."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._next_s = MIN_RECONNECT_DELAY_S

    def link_ended(self, settlements: int, lifetime_s: float) -> None:
        """Record a lost link; settled deliveries or a lifetime of STABLE_LINK_S reset the delay."""
        if settlements > 0 or lifetime_s >= STABLE_LINK_S:
            self._next_s = MIN_RECONNECT_DELAY_S

    def next(self) -> float:
        """Return the delay in seconds before the next attempt, and double the following one."""
        delay_s = self._next_s
        self._next_s = min(2 * delay_s, MAX_RECONNECT_DELAY_S)
        return delay_s * (0.5 + self._random.random())
