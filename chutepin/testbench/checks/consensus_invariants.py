"""What must hold of a log in common, as functions of what was seen from outside: one text for simulator and real
processes.

Each takes a record and gives the faults it found as lines; none is right. Values that are set are all different, so a
value tells who set it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

CAUSE = 10.0  # seconds for which a trouble explains that another one leads


@dataclass(slots=True)
class Asked:
    """A name was set or read at a member. `outcome`: committed, rejected, unknown (also: no answer). Of a read, `at`
    is the entry that set what it showed (0: not set), `up_to_index` the index that it was good for, `times` how often
    the name was set."""

    what: str  # set, get
    member: str
    name: str
    value: str
    began: float
    ended: float = float("inf")
    outcome: str = "unknown"
    at: int = 0
    up_to_index: int = 0
    times: int = 0
    id: str = ""


@dataclass(frozen=True, slots=True)
class Showed:
    """What one life of a member showed of itself."""

    at: float
    member: str
    life: int
    role: str
    term: int
    applied_index: int
    chain: str


@dataclass(slots=True)
class Record:
    """All that was asked and seen; `settled` is when nothing was broken any more."""

    asked: list[Asked] = field(default_factory=list)
    showed: list[Showed] = field(default_factory=list)
    settled: float = float("inf")
    troubles: list[float] = field(default_factory=list)  # when something was done to members or links, or went on

    def agreed(self) -> list[Asked]:
        """Sets that were agreed."""
        return [asked for asked in self.asked if asked.what == "set" and asked.outcome == "committed"]

    def reads(self) -> list[Asked]:
        """Reads that were answered."""
        return [asked for asked in self.asked if asked.what == "get" and asked.outcome == "committed"]

    def names(self) -> list[str]:
        """All names that were asked for."""
        return sorted({asked.name for asked in self.asked})


def one_leader_a_term(record: Record) -> Iterator[str]:
    """In no term two members lead."""
    leaders: dict[int, str] = {}
    for showed in record.showed:
        if showed.role == "leader" and leaders.setdefault(showed.term, showed.member) != showed.member:
            yield f"{showed.at:.2f} {showed.member} leads in term {showed.term}, so does {leaders[showed.term]}"


def one_state_at_an_index(record: Record) -> Iterator[str]:
    """Whoever has applied all up to an index has applied the same, in the same order."""
    known: dict[int, tuple[str, str]] = {}
    for showed in record.showed:
        chain, member = known.setdefault(showed.applied_index, (showed.chain, showed.member))
        if showed.applied_index and chain != showed.chain:
            yield f"{showed.at:.2f} {showed.member} differs from {member} at {showed.applied_index}"


def nobody_goes_back(record: Record) -> Iterator[str]:
    """In one life what was applied and the term only rise."""
    last: dict[tuple[str, int], Showed] = {}
    for showed in record.showed:
        before = last.get((showed.member, showed.life))
        if before is not None and (showed.applied_index < before.applied_index or showed.term < before.term):
            yield f"{showed.at:.2f} {showed.member} went back from {before.applied_index} to {showed.applied_index}"
        last[showed.member, showed.life] = showed


def every_entry_is_one_proposal(record: Record) -> Iterator[str]:
    """An index is agreed for one proposal, and a proposal at one index."""
    by_index: dict[int, str] = {}
    by_value: dict[str, int] = {}
    for asked in record.agreed():
        if by_index.setdefault(asked.at, asked.value) != asked.value:
            yield f"{asked.value} and {by_index[asked.at]} are both agreed at {asked.at}"
        if by_value.setdefault(asked.value, asked.at) != asked.at:
            yield f"{asked.value} is agreed at {asked.at} and at {by_value[asked.value]}"


def order_is_that_of_time(record: Record) -> Iterator[str]:
    """Linearizable, with the index as witness: what ended before something else began stands before it."""
    for name in record.names():
        sets = [asked for asked in record.agreed() if asked.name == name]
        reads = sorted((asked for asked in record.reads() if asked.name == name), key=lambda asked: asked.began)
        ended = sorted(sets, key=lambda asked: asked.ended)
        for asked in sets + reads:
            before = [other.at for other in ended if other.ended < asked.began]
            if before and (asked.at <= max(before) if asked.what == "set" else asked.at < max(before)):
                yield f"{asked.began:.3f} {asked.member} {asked.what} {name}: {asked.at}, {max(before)} was before"
        highest = sorted(reads, key=lambda asked: asked.ended)
        for read in reads:
            seen = [other.at for other in highest if other.ended < read.began]
            if seen and read.at < max(seen):
                yield f"{read.began:.3f} {read.member} reads {name} as of {read.at}, {max(seen)} was read before"


def reads_show_what_was_set(record: Record) -> Iterator[str]:
    """What is read was set by somebody, at the index that the setter was told, not refused, and not in the future."""
    sets = {asked.value: asked for asked in record.asked if asked.what == "set"}
    for read in record.reads():
        if not read.at:
            continue
        asked = sets.get(read.value)
        if asked is None or asked.name != read.name or asked.began > read.ended:
            yield f"{read.began:.3f} {read.member} reads {read.name} as {read.value}, which nobody had set"
        elif asked.outcome == "rejected" or (asked.outcome == "committed" and asked.at != read.at):
            yield f"{read.began:.3f} {read.member} reads {read.value} of {read.at}; it was {asked.outcome} {asked.at}"


def every_proposal_counts_once(record: Record) -> Iterator[str]:
    """A name was set as often as sets of it were agreed, those that may have been not counted for sure."""
    for name in record.names():
        sets = {asked.value: asked for asked in record.asked if asked.what == "set" and asked.name == name}
        for read in record.reads():
            if read.name != name:
                continue
            sure = sum(asked.outcome == "committed" and asked.at <= read.up_to_index for asked in sets.values())
            perhaps = sum(asked.outcome == "unknown" and asked.began < read.ended for asked in sets.values())
            if not sure <= read.times <= sure + perhaps:
                yield (
                    f"{read.began:.3f} {read.member}: {name} was set {read.times} times, {sure} were agreed, "
                    f"{perhaps} may have been"
                )


def it_agrees_when_well(record: Record) -> Iterator[str]:
    """Once nothing is broken any more, what is asked is agreed."""
    late = [asked for asked in record.asked if asked.began > record.settled]
    if record.settled < float("inf") and not late:
        yield "nothing was asked in the end"
    for asked in late:
        if asked.outcome != "committed":
            yield f"{asked.began:.2f} {asked.member} {asked.what} {asked.name}: {asked.outcome}"


def a_leader_stands(record: Record) -> Iterator[str]:
    """Nobody takes over without a cause in the last seconds."""
    first: dict[int, Showed] = {}
    for showed in record.showed:
        if showed.role == "leader":
            first.setdefault(showed.term, showed)
    for showed in first.values():
        if not any(0 <= showed.at - trouble <= CAUSE for trouble in (0.0, *record.troubles)):
            yield f"{showed.at:.2f} {showed.member} took over in term {showed.term}; nothing had happened"


CLAIMS: tuple[Callable[[Record], Iterator[str]], ...] = (
    one_leader_a_term,
    one_state_at_an_index,
    nobody_goes_back,
    every_entry_is_one_proposal,
    order_is_that_of_time,
    reads_show_what_was_set,
    every_proposal_counts_once,
    it_agrees_when_well,
    a_leader_stands,
)


def broken(record: Record) -> dict[str, list[str]]:
    """Which claims do not hold, and how that shows."""
    found = {claim.__name__: list(claim(record)) for claim in CLAIMS}
    return {name: lines[:20] for name, lines in found.items() if lines}
