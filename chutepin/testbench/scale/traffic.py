"""Bytes and CPU time of each member by second, and their statistics over members and windows.

Counted are the bytes of UDP payloads and TCP streams, without the headers of IP, UDP and TCP."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

WINDOW_S = 10.0  # window over which a rate is computed


class Direction(Enum):
    """The direction of bytes, seen from the member."""

    SENT = "sent"
    RECEIVED = "received"


class Kind(Enum):
    """The transport of bytes."""

    DATAGRAM = "datagram"
    STREAM = "stream"


KINDS = tuple(Kind)


@dataclass(frozen=True, slots=True)
class Figures:
    """Mean and 99th percentile of a sample."""

    mean: float
    p99: float

    def as_json(self) -> dict[str, float]:
        """Return the figures as JSON for a report."""
        return {"mean": round(self.mean, 3), "p99": round(self.p99, 3)}


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return the nearest-rank quantile at a `fraction` between 0 and 1, or NaN for an empty sample."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)] if ordered else math.nan


def summarize(values: Sequence[float]) -> Figures:
    """Return the mean and the 99th percentile, NaN for an empty sample."""
    if not values:
        return Figures(math.nan, math.nan)
    return Figures(math.fsum(values) / len(values), quantile(values, 0.99))


@dataclass(frozen=True, slots=True)
class Span:
    """A period of measurement in whole seconds, without its end."""

    begin: int
    end: int

    def windows(self, width: float = WINDOW_S) -> list[Span]:
        """Return the whole windows in the span, or the span itself if it is shorter than one window."""
        step = int(width)
        if self.end - self.begin < step:
            return [self]
        return [Span(at, at + step) for at in range(self.begin, self.end - step + 1, step)]

    @property
    def seconds(self) -> int:
        """Return the length in seconds."""
        return self.end - self.begin


class TrafficMeter:
    """Counters of bytes by member, second, direction and kind, and of CPU time by member and second."""

    def __init__(self) -> None:
        self._bytes: dict[tuple[Direction, Kind], defaultdict[str, Counter[int]]] = {
            (direction, kind): defaultdict(Counter) for direction in Direction for kind in Kind
        }
        self._cpu: defaultdict[str, Counter[int]] = defaultdict(Counter)

    def count(self, member: str, at: float, direction: Direction, kind: Kind, size: int) -> None:
        """Count bytes that a member sent or received."""
        self._bytes[direction, kind][member][int(at)] += size

    def count_transfer(self, sender: str, receiver: str, at: float, kind: Kind, size: int) -> None:
        """Count bytes that one member sent and another received at the same time."""
        self.count(sender, at, Direction.SENT, kind, size)
        self.count(receiver, at, Direction.RECEIVED, kind, size)

    def count_cpu(self, member: str, at: float, nanoseconds: int) -> None:
        """Count CPU time that a member used."""
        self._cpu[member][int(at)] += nanoseconds

    def total(self, direction: Direction, *kinds: Kind) -> int:
        """Return the bytes of all members over the whole run; without `kinds`, of all kinds."""
        return sum(
            size
            for kind in kinds or KINDS
            for seconds in self._bytes[direction, kind].values()
            for size in seconds.values()
        )

    def rates(
        self, members: Iterable[str], span: Span, direction: Direction, *kinds: Kind, width: float = WINDOW_S
    ) -> list[float]:
        """Return bytes per second of each member in each window; without `kinds`, of all kinds."""
        tables = [self._bytes[direction, kind] for kind in kinds or KINDS]
        windows = span.windows(width)
        return [
            sum(_within(table.get(member), window) for table in tables) / window.seconds
            for member in members
            for window in windows
        ]

    def cpu(self, members: Iterable[str], span: Span, width: float = WINDOW_S) -> list[float]:
        """Return CPU milliseconds per second of each member in each window."""
        windows = span.windows(width)
        return [
            _within(self._cpu.get(member), window) / 1e6 / window.seconds for member in members for window in windows
        ]

    def peak(self, span: Span, width: float) -> float:
        """Return the maximum bytes per second, sent or received, of any member in any window of this width."""
        members = {member for table in self._bytes.values() for member in table}
        return max(
            (rate for direction in Direction for rate in self.rates(members, span, direction, width=width)), default=0.0
        )


def _within(seconds: Counter[int] | None, window: Span) -> int:
    """Return the sum of the seconds in a window."""
    if seconds is None:
        return 0
    return sum(seconds[second] for second in range(window.begin, window.end))
