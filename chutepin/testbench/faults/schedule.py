"""Faults as data: a schedule is a list of things done to members at times. Simulator and real processes play the same.

A schedule is drawn from a seed or read from a JSON file; what it says can be written back, so that a failing run can be
kept, shortened and sent on."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field, replace
from typing import Any


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is done. Members are named n1, n2, …; `at` is seconds from the start of the schedule.

    | what | members | value |
    | --- | --- | --- |
    | `crash`, `restart`, `leave` | whom | |
    | `wipe` | whom | a crash, and its store is lost |
    | `stop`, `wake` | whom | |
    | `slow` | whom | share of the time that it gets no CPU (0: well again) |
    | `loss` | of all links | share of datagrams lost |
    | `delay` | of all links | seconds at the most, drawn for each datagram |
    | `duplicate` | of all links | share of datagrams that come twice |
    | `cut`, `mend` | from the first to each of the others, that direction | |
    | `split` | | groups of members; links between groups are cut both ways |
    | `heal` | all cuts end | |
    | `tear` | of all links | share of TCP connections that are cut in the middle of a frame |
    | `clock` | whom | seconds by which the system's clock is set (for its next start) |
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
    """What is done to how many members, and for how long they are watched."""

    members: int
    seconds: float
    faults: tuple[Fault, ...] = ()
    together: bool = True  # all start at once; else one after the other
    zones: int = 3
    regions: int = 1
    notes: str = field(default="", compare=False)

    def names(self) -> list[str]:
        """All members."""
        return [f"n{number}" for number in range(1, self.members + 1)]

    def zone(self, name: str) -> str:
        """Members are dealt out over the zones."""
        return ZONES[(int(name[1:]) - 1) % self.zones]

    def region(self, name: str) -> str:
        """Zones are dealt out over the regions."""
        return f"r{1 + ZONES.index(self.zone(name)) % self.regions}"

    def as_json(self) -> str:
        """The schedule as a file's text."""
        return json.dumps(asdict(self), indent=1)


def load_schedule(text: str) -> Schedule:
    """The schedule of a file's text. Raises ValueError naming what is wrong."""
    raw: dict[str, Any] = json.loads(text)
    zones = Schedule(int(raw["members"]), 0.0, zones=int(raw.get("zones", 3)), regions=int(raw.get("regions", 1)))

    def named(words: Iterable[str]) -> tuple[str, ...]:
        """`zone:a` stands for all members of that zone, `region:r1` for those of that region."""
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
    for number, fault in enumerate(raw.pop("faults", [])):
        made = Fault(
            float(fault["at"]),
            str(fault["what"]),
            named(fault.get("members", ())),
            float(fault.get("value", 0.0)),
            tuple(map(named, fault.get("groups", ()))),
        )
        if made.what not in KINDS:
            raise ValueError(f"faults[{number}].what: {made.what} is not one of {', '.join(sorted(KINDS))}")
        faults.append(made)
    schedule = Schedule(**raw, faults=tuple(sorted(faults, key=lambda fault: fault.at)))
    strangers = {name for fault in faults for name in (*fault.members, *sum(fault.groups, ()))} - set(schedule.names())
    if strangers:
        raise ValueError(f"faults: no such members: {', '.join(sorted(strangers))}")
    return schedule


def split(at: float, groups: Iterable[Iterable[str]]) -> Fault:
    """A partition."""
    return Fault(at, "split", groups=tuple(tuple(group) for group in groups))


def smallest(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """A schedule that still fails with as few faults as leaving one out after the other finds.

    `fails` must give the same verdict each time, as a run of the simulator does."""
    rest = schedule
    tried = 0
    while tried < len(rest.faults):
        fewer = replace(rest, faults=rest.faults[:tried] + rest.faults[tried + 1 :])
        if fails(fewer):
            rest = fewer
        else:
            tried += 1
    return rest


def draw(seed: int, members: int, seconds: float) -> Schedule:
    """A random schedule: a few troubles one after the other, all over by the last third."""
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(1, members + 1)]
    faults: list[Fault] = []
    if rng.random() < 0.5:
        faults.append(Fault(0.0, "loss", value=rng.choice([0.05, 0.1, 0.2, 0.3])))
    if rng.random() < 0.3:
        faults.append(Fault(0.0, "duplicate", value=0.2))
    at, end = 8.0, seconds * 2 / 3
    while at < end:
        some = rng.sample(names, rng.choice([1, 1, 2, max(1, members // 3)]))
        lasts = rng.choice([1.0, 3.0, 10.0])
        until = min(at + lasts, end)
        match rng.choice(["crash", "stop", "cut", "split", "slow", "leave"]):
            case "crash":
                faults += [Fault(at, "crash", tuple(some)), Fault(until, "restart", tuple(some))]
            case "leave":
                faults += [Fault(at, "leave", tuple(some)), Fault(until, "restart", tuple(some))]
            case "stop":
                faults += [Fault(at, "stop", tuple(some)), Fault(until, "wake", tuple(some))]
            case "slow":
                faults += [Fault(at, "slow", tuple(some), 0.9), Fault(until, "slow", tuple(some), 0.0)]
            case "cut":
                one, *others = rng.sample(names, min(members, rng.choice([2, members])))
                faults += [Fault(at, "cut", (one, *others)), Fault(until, "heal")]
            case _:
                border = rng.randrange(1, members)
                mixed = rng.sample(names, members)
                faults += [split(at, (mixed[:border], mixed[border:])), Fault(until, "heal")]
        at = until + rng.choice([0.5, 5.0, 15.0])
    faults += [Fault(end, "loss", value=0.0), Fault(end, "duplicate", value=0.0), Fault(end, "heal")]
    faults.sort(key=lambda fault: fault.at)
    return Schedule(members, seconds, tuple(faults), notes=f"drawn from seed {seed}")
