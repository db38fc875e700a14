"""Counts of bytes and of CPU time for each member and second, and their statistics over members and windows.

A byte is one of a UDP payload or of a TCP stream; headers of IP, UDP and TCP are not counted."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

WINDOW = 10.0  # seconds over which a rate is taken


class Direction(Enum):
    """Whether the member sent the bytes or received them."""

    SENT = "sent"
    RECEIVED = "received"


class Kind(Enum):
    """How the bytes were carried."""

    DATAGRAM = "datagram"
    STREAM = "stream"


KINDS = tuple(Kind)


@dataclass(frozen=True, slots=True)
class Figures:
    """A sample's mean and its 99th percentile."""

    mean: float
    p99: float

    def as_json(self) -> dict[str, float]:
        """For a report."""
        return {"mean": round(self.mean, 3), "p99": round(self.p99, 3)}


def quantile(values: Iterable[float], part: float) -> float:
    """The least value that at least this part of the sample does not exceed (nearest rank); NaN of no sample."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)] if ordered else math.nan


def figures(values: Sequence[float]) -> Figures:
    """Mean and 99th percentile; NaN of no sample."""
    if not values:
        return Figures(math.nan, math.nan)
    return Figures(math.fsum(values) / len(values), quantile(values, 0.99))


@dataclass(frozen=True, slots=True)
class Span:
    """A time of measurement, in whole seconds."""

    begin: int
    end: int

    def windows(self, width: float = WINDOW) -> list[Span]:
        """The whole windows in it; the span itself where it is shorter than one."""
        step = int(width)
        if self.end - self.begin < step:
            return [self]
        return [Span(at, at + step) for at in range(self.begin, self.end - step + 1, step)]

    @property
    def seconds(self) -> int:
        """Its length."""
        return self.end - self.begin


class TrafficMeter:
    """Bytes by member, second, direction and kind; CPU seconds by member and second."""

    def __init__(self) -> None:
        self._bytes: dict[tuple[Direction, Kind], defaultdict[str, Counter[int]]] = {
            (direction, kind): defaultdict(Counter) for direction in Direction for kind in Kind
        }
        self._cpu: defaultdict[str, Counter[int]] = defaultdict(Counter)

    def count(self, member: str, at: float, direction: Direction, kind: Kind, size: int) -> None:
        """Some bytes were sent or received."""
        self._bytes[direction, kind][member][int(at)] += size

    def carried(self, sender: str, receiver: str, at: float, kind: Kind, size: int) -> None:
        """Some bytes went from one member to another at once."""
        self.count(sender, at, Direction.SENT, kind, size)
        self.count(receiver, at, Direction.RECEIVED, kind, size)

    def spend(self, member: str, at: float, nanoseconds: int) -> None:
        """Some CPU time was used."""
        self._cpu[member][int(at)] += nanoseconds

    def total(self, direction: Direction, *kinds: Kind) -> int:
        """Bytes of all members over all time; of all kinds if none is given."""
        return sum(
            size
            for kind in kinds or KINDS
            for seconds in self._bytes[direction, kind].values()
            for size in seconds.values()
        )

    def rates(
        self, members: Iterable[str], span: Span, direction: Direction, *kinds: Kind, width: float = WINDOW
    ) -> list[float]:
        """Bytes per second of each member in each window; of all kinds if none is given."""
        tables = [self._bytes[direction, kind] for kind in kinds or KINDS]
        windows = span.windows(width)
        return [
            sum(_within(table.get(member), window) for table in tables) / window.seconds
            for member in members
            for window in windows
        ]

    def cpu(self, members: Iterable[str], span: Span, width: float = WINDOW) -> list[float]:
        """CPU milliseconds per second of each member in each window."""
        windows = span.windows(width)
        return [
            _within(self._cpu.get(member), window) / 1e6 / window.seconds for member in members for window in windows
        ]

    def peak(self, span: Span, width: float) -> float:
        """The most bytes per second, sent or received, of any member in any window of this width."""
        members = {member for table in self._bytes.values() for member in table}
        return max(
            (rate for direction in Direction for rate in self.rates(members, span, direction, width=width)), default=0.0
        )


def _within(seconds: Counter[int] | None, window: Span) -> int:
    """What was counted in a window."""
    if seconds is None:
        return 0
    return sum(seconds[second] for second in range(window.begin, window.end))
