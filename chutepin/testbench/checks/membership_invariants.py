"""What must hold of members, as functions of a history: one text for simulator and real processes.

Each takes a history and gives the faults it found as lines; none is right. Bounds are seconds at default settings; they
are promises of docs/membership.md, wider where a machine under test is busy (`slack`)."""

from __future__ import annotations

import bisect
from collections.abc import Callable

from chutepin.testbench.checks.history import History, Truth

SETTLED = 10.0  # within which views are equal once nothing happens
KNOWN = 10.0  # within which a crash is known to all
JUST = 1.0  # a probe that was under way when a member was stopped would be over
AWAKE = 10.0  # for which a woken member must accuse nobody to death
CORRECTIONS = 16  # times that an update may be told besides, to those that tell older news
WINDOW = 10.0  # seconds over which bytes and repairs are counted
PROBE_BYTES = 2000  # a second, that probes, their answers and those of helpers take in the worst hour
LATELY = 60.0  # seconds for which a change may still be missing somewhere
MAX_REPAIRS = 8  # of one member in a window: one in 1.25 seconds at the soonest
SUSPICION = 10.0  # for how long back somebody must have been out of reach to be rightly called dead


class Past:
    """What was so at any time of a history."""

    def __init__(self, history: History) -> None:
        self.times = [0.0]
        self.truths = [Truth(history.schedule)]
        truth = Truth(history.schedule)
        for fault in history.done:
            truth.do(fault)
            copy = Truth(history.schedule)
            copy.up, copy.stopped, copy.cuts = set(truth.up), set(truth.stopped), set(truth.cuts)
            copy.slow, copy.loss = dict(truth.slow), truth.loss
            self.times.append(fault.at)
            self.truths.append(copy)

    def during(self, begin: float, end: float) -> list[Truth]:
        """All that was so at some time between."""
        first = max(0, bisect.bisect_right(self.times, begin) - 1)
        return self.truths[first : bisect.bisect_right(self.times, end)]


def no_live_member_is_declared_dead(history: History, slack: float = 1.0) -> list[str]:
    """Nobody calls dead who ran, was not stopped or starved, and could be asked by most others for the last seconds."""
    past, found = Past(history), []
    for seen in history.seen:
        if seen.what != "dead":
            continue
        truths = past.during(seen.at - SUSPICION * slack, seen.at)
        # The declarer's own trouble excuses nothing: that is what local health is for. Being cut off does.
        sound = all(
            seen.subject in truth.up
            and seen.subject not in truth.stopped
            and seen.subject not in truth.slow
            and 2 * len(truth.reaches(seen.subject)) >= len(truth.up)
            and (seen.subject in truth.reaches(seen.by or seen.member) or seen.by not in truth.up)
            for truth in truths
        )
        if sound:
            found.append(f"{seen.at:.2f} {seen.member} holds {seen.subject} for dead (by {seen.by}), which was well")
    return found


def a_woken_member_accuses_nobody_to_death(history: History, slack: float = 1.0) -> list[str]:
    """Who was stopped and woke declares nobody dead that runs."""
    past, found = Past(history), []
    woken = [(fault.at, name) for fault in history.done if fault.what == "wake" for name in fault.members]
    for seen in history.seen:
        if seen.what == "dead" and any(name == seen.by and at <= seen.at <= at + AWAKE * slack for at, name in woken):
            truth = past.during(seen.at, seen.at)[-1]
            if seen.subject in truth.up and seen.subject not in truth.stopped and not truth.cuts:
                found.append(f"{seen.at:.2f} {seen.by} woke and declared {seen.subject} dead")
    return found


def a_woken_member_suspects_nobody(history: History, slack: float = 1.0) -> list[str]:
    """Who was stopped and woke does not take its own silence for that of those that are well. On a busy machine
    (`slack` above 1) others may really be silent just then, so nothing is said."""
    if slack > 1:
        return []
    past, found = Past(history), []
    woken = [(fault.at, name) for fault in history.done if fault.what == "wake" for name in fault.members]
    for seen in history.seen:
        if seen.what == "suspect" and any(name == seen.by and at <= seen.at <= at + JUST for at, name in woken):
            truths = past.during(seen.at - AWAKE * slack, seen.at)
            if (
                all(seen.subject in truth.up and not truth.cuts and not truth.loss for truth in truths)
                and seen.subject not in truths[-1].stopped
            ):
                found.append(f"{seen.at:.2f} {seen.by} woke and suspects {seen.subject}")
    return found


def every_crash_is_known(history: History, slack: float = 1.0) -> list[str]:
    """Who ran on and could be asked shows the crashed one dead in time, if it stayed down that long."""
    past, found = Past(history), []
    for fault in history.done:
        if fault.what != "crash":
            continue
        by = fault.at + KNOWN * slack
        truths = past.during(fault.at, by)
        quiet = not any(truth.cuts or truth.slow or truth.stopped for truth in truths)
        if not quiet or by > history.schedule.seconds:
            continue
        for gone in fault.members:
            if any(gone in truth.up for truth in truths[1:]):
                continue
            for shown in history.shown:
                if (
                    by <= shown.at <= by + 1.0
                    and all(shown.member in truth.up for truth in truths)
                    and shown.state(gone) in ("alive", "suspect")
                ):
                    found.append(
                        f"{shown.at:.2f} {shown.member} shows {gone} {shown.state(gone)}, down since {fault.at}"
                    )
    return found


def views_agree_in_the_end(history: History, slack: float = 1.0) -> list[str]:
    """Some time after the last fault all that run show the same: those that run alive, the others not."""
    past, found = Past(history), []
    calm = history.done[-1].at if history.done else 0.0
    truth = past.truths[-1]
    if history.schedule.seconds < calm + SETTLED * slack or truth.cuts or truth.stopped or truth.slow:
        return [f"the schedule ends before all is calm for {SETTLED * slack} s"]
    for member in sorted(truth.up):
        last = history.last(member)
        if last is None or last.at < calm + SETTLED * slack - 2.0:
            found.append(f"{member} shows nothing at the end")
            continue
        for name in history.schedule.names():
            state = last.state(name)
            if (state == "alive") != (name in truth.up):
                found.append(f"{last.at:.2f} {member} shows {name} {state}")
    return found


def incarnations_only_rise(history: History, slack: float = 1.0) -> list[str]:
    """No member goes back to an older incarnation of another one that it has shown, while it runs itself."""
    found = []
    known: dict[tuple[str, str], int] = {}
    restarts = sorted(
        (fault.at, name) for fault in history.done if fault.what in ("restart", "crash") for name in fault.members
    )
    for shown in sorted(history.shown, key=lambda shown: shown.at):
        while restarts and restarts[0][0] <= shown.at:
            _, name = restarts.pop(0)
            known = {key: number for key, number in known.items() if key[0] != name}
        for name, _, incarnation in shown.states:
            if incarnation < known.get((shown.member, name), 0):
                found.append(f"{shown.at:.2f} {shown.member} shows {name} at {incarnation}, less than before")
            known[shown.member, name] = incarnation
    return found


def cut_links_are_told_and_no_others(history: History, slack: float = 1.0) -> list[str]:
    """A link cut for long between members that stay in touch by others is shown by all; where nothing was cut for long
    and nothing was lost no link is shown."""
    past, found = Past(history), []
    losses = any(fault.what in ("slow", "stop") or (fault.what == "loss" and fault.value > 0) for fault in history.done)
    for shown in history.shown:
        truths = past.during(shown.at - SETTLED * slack, shown.at)
        if shown.at < SETTLED * slack or any(
            truth.up != truths[0].up or truth.stopped or truth.slow for truth in truths
        ):
            continue
        ever = set().union(*(truth.cuts for truth in truths))
        always = set.intersection(*(truth.cuts for truth in truths))
        for source, target in sorted(always):
            around = all(
                target in truth.reaches(source) and shown.member in truth.reaches(source) | {source} for truth in truths
            )
            if around and (source, target) not in shown.links:
                found.append(f"{shown.at:.2f} {shown.member} does not show the link {source} {target}, which is cut")
        if not losses:
            found += [
                f"{shown.at:.2f} {shown.member} shows the link {source} {target}, which is well"
                for source, target in shown.links
                if (source, target) not in ever
            ]
    return found


def traffic_is_bounded(history: History, slack: float = 1.0) -> list[str]:
    """Updates are told on a bounded number of times, datagrams keep their size, and members in all their trouble send
    no more than so many a second."""
    from chutepin.cluster.gossip import repeats

    found = []
    members = history.schedule.members
    allowed = 2 * repeats(members) + CORRECTIONS
    if history.repeats > allowed:
        found.append(f"an update was told on {history.repeats} times, {allowed} are allowed")
    if history.longest > 1200:
        found.append(f"a datagram has {history.longest} bytes")
    each = history.packets / members / history.schedule.seconds
    if each > 120:
        found.append(f"{each:.0f} datagrams a second of each member")
    return found


def bytes_are_within_budget(history: History, slack: float = 1.0) -> list[str]:
    """What a member sends in ten seconds is what its budget and its probes allow, whatever happens."""
    from chutepin.cluster.budget import BURST_S, BYTES_PER_SECOND

    allowed = BYTES_PER_SECOND * (1 + BURST_S / WINDOW) + PROBE_BYTES
    if history.peak > allowed:
        return [f"a member sent {history.peak:.0f} bytes a second for ten seconds, {allowed:.0f} are allowed"]
    return []


def repairs_move_only_differences(history: History, slack: float = 1.0) -> list[str]:
    """What anti-entropy brings grows with what has changed lately, not with the number of members."""
    from chutepin.cluster.anti_entropy import NAMES_PER_BUCKET

    found = []
    events = sorted((seen.at, seen.subject) for seen in history.seen)
    for repair in history.repairs:
        first = bisect.bisect_left(events, (repair.at - LATELY, ""))
        changed = {subject for _, subject in events[first : bisect.bisect_right(events, (repair.at, "~"))]}
        allowed = 2 * NAMES_PER_BUCKET * (len(changed) + 1)  # a bucket holds twice as many names as on average
        if repair.records > allowed:
            found.append(
                f"{repair.at:.2f} {repair.member} was sent {repair.records} records, {len(changed)} had changed"
            )
    return found


def repairs_are_paced(history: History, slack: float = 1.0) -> list[str]:
    """A member repairs a bounded number of times in ten seconds, but for its contacts with the dead."""
    found = []
    dead = sorted(seen.at for seen in history.seen if seen.what == "dead")
    last: dict[str, list[float]] = {}
    for repair in history.repairs:
        times = [at for at in last.get(repair.member, []) if at > repair.at - WINDOW]
        last[repair.member] = times = [*times, repair.at]
        lately_dead = bisect.bisect_right(dead, repair.at) > bisect.bisect_left(dead, repair.at - LATELY)
        if len(times) > MAX_REPAIRS and not lately_dead:
            found.append(f"{repair.at:.2f} {repair.member} repaired {len(times)} times in {WINDOW} s")
    return found


def the_departed_are_forgotten(history: History, slack: float = 1.0) -> list[str]:
    """Who left in order and did not come back is shown for minutes, not for a day."""
    from chutepin.cluster.member_table import LEFT_RETENTION_S

    latest = {name: fault.at for fault in history.done if fault.what == "leave" for name in fault.members}
    return [
        f"{shown.at:.2f} {shown.member} shows {name} left, which left at {latest[name]:.2f}"
        for shown in history.shown
        for name, state, _ in shown.states
        if state == "left" and name in latest and shown.at > latest[name] + LEFT_RETENTION_S + SETTLED * slack
    ]


Invariant = Callable[[History, float], list[str]]
ALL: tuple[Invariant, ...] = (
    no_live_member_is_declared_dead,
    a_woken_member_accuses_nobody_to_death,
    a_woken_member_suspects_nobody,
    every_crash_is_known,
    views_agree_in_the_end,
    incarnations_only_rise,
    cut_links_are_told_and_no_others,
    traffic_is_bounded,
    bytes_are_within_budget,
    repairs_move_only_differences,
    repairs_are_paced,
    the_departed_are_forgotten,
)


def broken(history: History, slack: float = 1.0) -> dict[str, list[str]]:
    """The invariants that do not hold, each with what was found."""
    return {check.__name__: found for check in ALL if (found := check(history, slack))}
