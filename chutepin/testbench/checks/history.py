"""Histories of a run: timed external observations of the members, and the injected faults.

The simulator and the fault rig record the same kinds of entries, so the same invariants check both."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field

from chutepin.testbench.faults.schedule import Fault, Schedule


@dataclass(frozen=True, slots=True)
class Seen:
    """A membership event that a member logged about another member or about itself."""

    at: float
    member: str
    what: str  # suspect, confirmed, refuted, withdrawn, dead, left, joined, returned, moved, refused, link_bad, …
    subject: str
    by: str = ""
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Shown:
    """The view that a member showed to operators: state and incarnation of each member, and the bad links."""

    at: float
    member: str
    states: tuple[tuple[str, str, int], ...]
    links: tuple[tuple[str, str], ...]

    def state(self, name: str) -> str:
        """Return the state of a member in this view: alive, suspect, dead, left or unknown."""
        return next((state for other, state, _ in self.states if other == name), "unknown")


@dataclass(frozen=True, slots=True)
class Repair:
    """An anti-entropy exchange that a member initiated, with the number of records in the answer."""

    at: float
    member: str
    records: int


@dataclass(slots=True)
class History:
    """All faults and observations of a run in order of time, and its traffic statistics."""

    schedule: Schedule
    done: list[Fault] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    packets: int = 0  # datagrams of all members
    bytes: int = 0
    repeats: int = 0  # maximum transmissions of one update by one member
    longest: int = 0  # bytes of the longest datagram
    repairs: list[Repair] = field(default_factory=list)
    peak: float = 0.0  # maximum bytes per second that one member sent over ten seconds; 0 if not measured

    def last(self, member: str) -> Shown | None:
        """Return the latest view of a member, or None."""
        return next((shown for shown in reversed(self.shown) if shown.member == member), None)

    def lines(self) -> Iterator[str]:
        """Yield each entry as a line of JSON."""
        for fault in self.done:
            yield json.dumps(["done", round(fault.at, 4), fault.what, fault.members, fault.value, fault.groups])
        for seen in self.seen:
            yield json.dumps(
                ["seen", round(seen.at, 4), seen.member, seen.what, seen.subject, seen.by, seen.incarnation]
            )
        for shown in self.shown:
            yield json.dumps(["shown", round(shown.at, 4), shown.member, shown.states, shown.links])

    def text(self) -> str:
        """Return the history as text; in the simulator, equal seeds give byte-identical texts."""
        return "\n".join(self.lines()) + "\n"


class Truth:
    """The ground truth that follows from the injected faults: running members and working links."""

    def __init__(self, schedule: Schedule) -> None:
        self._names = schedule.names()
        self.up = set(self._names)
        self.stopped: set[str] = set()
        self.slow: dict[str, float] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.delay = self.duplicate = self.tear = 0.0

    def apply(self, fault: Fault) -> None:
        """Apply a fault."""
        members = set(fault.members)
        match fault.what:
            case "crash" | "leave" | "wipe":
                self.up -= members
                self.stopped -= members
                for name in members:
                    self.slow.pop(name, None)
            case "restart":
                self.up |= members
            case "stop":
                self.stopped |= members & self.up
            case "wake":
                self.stopped -= members
            case "slow":
                for name in members:
                    self.slow.pop(name, None)
                    if fault.value:
                        self.slow[name] = fault.value
            case "loss" | "delay" | "duplicate" | "tear":
                setattr(self, fault.what, fault.value)
            case _:
                self._apply_link_fault(fault)

    def _apply_link_fault(self, fault: Fault) -> None:
        match fault.what:
            case "cut":
                self.cuts |= {(fault.members[0], other) for other in fault.members[1:]}
            case "mend":
                self.cuts -= {(fault.members[0], other) for other in fault.members[1:]}
            case "heal":
                self.cuts.clear()
            case "split":
                side = {name: number for number, group in enumerate(fault.groups) for name in group}
                self.cuts |= {(a, b) for a in self._names for b in self._names if a != b and side.get(a) != side.get(b)}
            case _:
                pass

    def round_trip(self, a: str, b: str) -> bool:
        """Return whether members a and b run and can exchange a direct ping and ack."""
        return {a, b} <= self.up and not {a, b} & self.stopped and not {(a, b), (b, a)} & self.cuts

    def reaches(self, a: str) -> set[str]:
        """Return the members that member a can probe directly or through one helper."""
        direct = {b for b in self._names if b != a and self.round_trip(a, b)}
        return direct | {c for b in direct for c in self._names if c != a and self.round_trip(b, c)}
