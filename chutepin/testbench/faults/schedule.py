"""Fault schedules as data: a list of faults with times and members, for the simulator and for real processes alike.

A schedule is drawn from a seed or read from a JSON file. It can be written as JSON, so that a failing run can be
stored, minimized and shared."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field, replace
from typing import Any


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault or its end. Members are named n1, n2, …; `at` is in seconds from the start of the schedule.

    | what | members | value |
    | --- | --- | --- |
    | `crash`, `restart`, `leave` | targets | |
    | `wipe` | targets | a crash with loss of the store |
    | `stop`, `wake` | targets | |
    | `slow` | targets | share of time without CPU (0 ends the fault) |
    | `loss` | none: all links | share of datagrams lost |
    | `delay` | none: all links | maximum in seconds, drawn for each datagram |
    | `duplicate` | none: all links | share of datagrams delivered twice |
    | `cut`, `mend` | directed links from the first to each of the others | |
    | `split` | | in `groups`: groups of members; links between groups are cut both ways |
    | `heal` | none: ends all cuts | |
    | `tear` | none: all links | share of TCP connections aborted within a frame |
    | `clock` | targets | offset of the system clock in seconds (for its next start) |
    """

    at: float
    what: str
    members: tuple[str, ...] = ()
    value: float = 0.0
    groups: tuple[tuple[str, ...], ...] = ()


ZONES = "abcdefghijklmnopqrstuvwxyz"
KINDS = frozenset(
    {
        "crash",
        "wipe",
        "restart",
        "leave",
        "stop",
        "wake",
        "slow",
        "loss",
        "delay",
        "duplicate",
        "cut",
        "mend",
        "split",
        "heal",
        "tear",
        "clock",
    }
)


@dataclass(frozen=True, slots=True)
class Schedule:
    """The faults, the number and placement of members, and the length of the observation."""

    members: int
    seconds: float
    faults: tuple[Fault, ...] = ()
    together: bool = True  # true: all members start at once; false: one after another
    zones: int = 3
    regions: int = 1
    notes: str = field(default="", compare=False)

    def names(self) -> list[str]:
        """Return the names of all members."""
        return [f"n{number}" for number in range(1, self.members + 1)]

    def zone(self, name: str) -> str:
        """Return the zone of a member; members are assigned to zones round-robin."""
        return ZONES[(int(name[1:]) - 1) % self.zones]

    def region(self, name: str) -> str:
        """Return the region of a member; zones are assigned to regions round-robin."""
        return f"r{1 + ZONES.index(self.zone(name)) % self.regions}"

    def as_json(self) -> str:
        """Return the schedule as JSON text."""
        return json.dumps(asdict(self), indent=1)


def load_schedule(text: str) -> Schedule:
    """Parse a schedule from JSON text. Raises ValueError for unknown kinds of faults and unknown members."""
    fields: dict[str, Any] = json.loads(text)
    zones = Schedule(
        int(fields["members"]), 0.0, zones=int(fields.get("zones", 3)), regions=int(fields.get("regions", 1))
    )

    def expand_members(words: Iterable[str]) -> tuple[str, ...]:
        """Return member names, with `zone:a` and `region:r1` expanded to the members of the zone or region."""
        places = {"zone": zones.zone, "region": zones.region}
        return tuple(
            name
            for word in words
            for kind, colon, place in [word.partition(":")]
            for name in (
                [name for name in zones.names() if places[kind](name) == place] if colon and kind in places else [word]
            )
        )

    faults = []
    for number, fault in enumerate(fields.pop("faults", [])):
        parsed = Fault(
            float(fault["at"]),
            str(fault["what"]),
            expand_members(fault.get("members", ())),
            float(fault.get("value", 0.0)),
            tuple(map(expand_members, fault.get("groups", ()))),
        )
        if parsed.what not in KINDS:
            raise ValueError(f"faults[{number}].what: {parsed.what} is not one of {', '.join(sorted(KINDS))}")
        faults.append(parsed)
    schedule = Schedule(**fields, faults=tuple(sorted(faults, key=lambda fault: fault.at)))
    unknown = {name for fault in faults for name in (*fault.members, *sum(fault.groups, ()))} - set(schedule.names())
    if unknown:
        raise ValueError(f"faults: no such members: {', '.join(sorted(unknown))}")
    return schedule


def split(at: float, groups: Iterable[Iterable[str]]) -> Fault:
    """Return a fault that partitions the members into groups."""
    return Fault(at, "split", groups=tuple(tuple(group) for group in groups))


def smallest(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Return a schedule that still fails after faults were removed greedily, one at a time.

    `fails` must be deterministic, as a run of the simulator is."""
    remaining = schedule
    kept = 0
    while kept < len(remaining.faults):
        candidate = replace(remaining, faults=remaining.faults[:kept] + remaining.faults[kept + 1 :])
        if fails(candidate):
            remaining = candidate
        else:
            kept += 1
    return remaining


def draw(seed: int, members: int, seconds: float) -> Schedule:
    """Return a random schedule of successive faults, all of which end before the last third of `seconds`."""
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(1, members + 1)]
    faults: list[Fault] = []
    if rng.random() < 0.5:
        faults.append(Fault(0.0, "loss", value=rng.choice([0.05, 0.1, 0.2, 0.3])))
    if rng.random() < 0.3:
        faults.append(Fault(0.0, "duplicate", value=0.2))
    at, end = 8.0, seconds * 2 / 3
    while at < end:
        targets = rng.sample(names, rng.choice([1, 1, 2, max(1, members // 3)]))
        duration_s = rng.choice([1.0, 3.0, 10.0])
        end_at = min(at + duration_s, end)
        match rng.choice(["crash", "stop", "cut", "split", "slow", "leave"]):
            case "crash":
                faults += [Fault(at, "crash", tuple(targets)), Fault(end_at, "restart", tuple(targets))]
            case "leave":
                faults += [Fault(at, "leave", tuple(targets)), Fault(end_at, "restart", tuple(targets))]
            case "stop":
                faults += [Fault(at, "stop", tuple(targets)), Fault(end_at, "wake", tuple(targets))]
            case "slow":
                faults += [Fault(at, "slow", tuple(targets), 0.9), Fault(end_at, "slow", tuple(targets), 0.0)]
            case "cut":
                source, *others = rng.sample(names, min(members, rng.choice([2, members])))
                faults += [Fault(at, "cut", (source, *others)), Fault(end_at, "heal")]
            case _:
                boundary = rng.randrange(1, members)
                shuffled = rng.sample(names, members)
                faults += [split(at, (shuffled[:boundary], shuffled[boundary:])), Fault(end_at, "heal")]
        at = end_at + rng.choice([0.5, 5.0, 15.0])
    faults += [Fault(end, "loss", value=0.0), Fault(end, "duplicate", value=0.0), Fault(end, "heal")]
    faults.sort(key=lambda fault: fault.at)
    return Schedule(members, seconds, tuple(faults), notes=f"drawn from seed {seed}")
