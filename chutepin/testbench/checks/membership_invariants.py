"""Invariants of membership, as functions of a history: the same for simulator and real processes.

Each takes a history and returns its violations as lines. Bounds are the promises of docs/membership.md at default
settings, wider where the machine under test is busy (`slack`)."""

from __future__ import annotations

import bisect
from collections.abc import Callable

from chutepin.testbench.checks.history import History, Truth

CONVERGENCE_S = 10.0  # within which views are equal once nothing happens
DETECTION_S = 10.0  # within which a crash is known to all
PROBE_OVER_S = 1.0  # after which a probe that was under way when a member was stopped is over
RESUMED_S = 10.0  # for which a resumed member must declare nobody dead
CORRECTIONS = 16  # further times that an update may be sent, to members with older ones
WINDOW_S = 10.0  # over which bytes and repairs are counted
PROBE_BYTES_PER_SECOND = 2000  # that direct and indirect probes and their answers may take
RECENT_S = 60.0  # for which a change may still be missing somewhere
MAX_REPAIRS = 8  # of one member in a window: one in 1.25 seconds at the soonest
SUSPICION = 10.0  # for how long back somebody must have been out of reach to be rightly called dead


class Past:
    """What was true at any time of a history."""

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
        """Return everything that was true at some time between."""
        first = max(0, bisect.bisect_right(self.times, begin) - 1)
        return self.truths[first : bisect.bisect_right(self.times, end)]


def no_live_member_is_declared_dead(history: History, slack: float = 1.0) -> list[str]:
    """Nobody declares a member dead that ran, was not stopped or starved, and could be probed by most others lately."""
    past, found = Past(history), []
    for seen in history.seen:
        if seen.what != "dead":
            continue
        truths = past.during(seen.at - SUSPICION * slack, seen.at)
        # Stops and starvation of the declaring member excuse nothing: for these there is local health. A cut does.
        reachable = all(
            seen.subject in truth.up
            and seen.subject not in truth.stopped
            and seen.subject not in truth.slow
            and 2 * len(truth.reaches(seen.subject)) >= len(truth.up)
            and (seen.subject in truth.reaches(seen.by or seen.member) or seen.by not in truth.up)
            for truth in truths
        )
        if reachable:
            found.append(f"{seen.at:.2f} {seen.member} holds {seen.subject} for dead (by {seen.by}), which was well")
    return found


def resumed_member_declares_no_live_member_dead(history: History, slack: float = 1.0) -> list[str]:
    """A member that was stopped and resumed declares no running member dead."""
    past, found = Past(history), []
    resumed = [(fault.at, name) for fault in history.done if fault.what == "wake" for name in fault.members]
    for seen in history.seen:
        if seen.what == "dead" and any(
            name == seen.by and at <= seen.at <= at + RESUMED_S * slack for at, name in resumed
        ):
            truth = past.during(seen.at, seen.at)[-1]
            if seen.subject in truth.up and seen.subject not in truth.stopped and not truth.cuts:
                found.append(f"{seen.at:.2f} {seen.by} woke and declared {seen.subject} dead")
    return found


def resumed_member_suspects_nobody(history: History, slack: float = 1.0) -> list[str]:
    """A member that was stopped and resumed does not take its own pause for the silence of others.

    Not checked on a busy machine (`slack` above 1), where others may really be silent."""
    if slack > 1:
        return []
    past, found = Past(history), []
    resumed = [(fault.at, name) for fault in history.done if fault.what == "wake" for name in fault.members]
    for seen in history.seen:
        if seen.what == "suspect" and any(
            name == seen.by and at <= seen.at <= at + PROBE_OVER_S for at, name in resumed
        ):
            truths = past.during(seen.at - RESUMED_S * slack, seen.at)
            if (
                all(seen.subject in truth.up and not truth.cuts and not truth.loss for truth in truths)
                and seen.subject not in truths[-1].stopped
            ):
                found.append(f"{seen.at:.2f} {seen.by} woke and suspects {seen.subject}")
    return found


def every_crash_is_detected(history: History, slack: float = 1.0) -> list[str]:
    """All that ran and could be probed show a crashed member dead in time, if it stayed down that long."""
    past, found = Past(history), []
    for fault in history.done:
        if fault.what != "crash":
            continue
        by = fault.at + DETECTION_S * slack
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


def views_converge(history: History, slack: float = 1.0) -> list[str]:
    """Some time after the last fault all running members show the same: running members alive, others not."""
    past, found = Past(history), []
    calm = history.done[-1].at if history.done else 0.0
    truth = past.truths[-1]
    if history.schedule.seconds < calm + CONVERGENCE_S * slack or truth.cuts or truth.stopped or truth.slow:
        return [f"the schedule ends before all is calm for {CONVERGENCE_S * slack} s"]
    for member in sorted(truth.up):
        last = history.last(member)
        if last is None or last.at < calm + CONVERGENCE_S * slack - 2.0:
            found.append(f"{member} shows nothing at the end")
            continue
        for name in history.schedule.names():
            state = last.state(name)
            if (state == "alive") != (name in truth.up):
                found.append(f"{last.at:.2f} {member} shows {name} {state}")
    return found


def incarnations_never_decrease(history: History, slack: float = 1.0) -> list[str]:
    """No member shows an older incarnation of another one than before, while it runs itself."""
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


def only_cut_links_are_reported(history: History, slack: float = 1.0) -> list[str]:
    """A link that is cut for long between members that others reach is shown by all.

    Without cuts and loss no link is shown."""
    past, found = Past(history), []
    losses = any(fault.what in ("slow", "stop") or (fault.what == "loss" and fault.value > 0) for fault in history.done)
    for shown in history.shown:
        truths = past.during(shown.at - CONVERGENCE_S * slack, shown.at)
        if shown.at < CONVERGENCE_S * slack or any(
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
    """Updates are sent a bounded number of times, and the size and rate of datagrams are bounded, whatever happens."""
    from chutepin.cluster.gossip import repeats

    found = []
    members = history.schedule.members
    allowed = 2 * repeats(members) + CORRECTIONS
    if history.repeats > allowed:
        found.append(f"an update was sent {history.repeats} times, {allowed} are allowed")
    if history.longest > 1200:
        found.append(f"a datagram has {history.longest} bytes")
    each = history.packets / members / history.schedule.seconds
    if each > 120:
        found.append(f"{each:.0f} datagrams a second of each member")
    return found


def bytes_are_within_budget(history: History, slack: float = 1.0) -> list[str]:
    """A member sends no more in ten seconds than its budget and its probes allow, whatever happens."""
    from chutepin.cluster.budget import BURST_S, BYTES_PER_SECOND

    allowed = BYTES_PER_SECOND * (1 + BURST_S / WINDOW_S) + PROBE_BYTES_PER_SECOND
    if history.peak > allowed:
        return [f"a member sent {history.peak:.0f} bytes a second for ten seconds, {allowed:.0f} are allowed"]
    return []


def repairs_transfer_only_differences(history: History, slack: float = 1.0) -> list[str]:
    """What anti-entropy transfers grows with recent changes, not with the number of members."""
    from chutepin.cluster.anti_entropy import NAMES_PER_BUCKET

    found = []
    events = sorted((seen.at, seen.subject) for seen in history.seen)
    for repair in history.repairs:
        first = bisect.bisect_left(events, (repair.at - RECENT_S, ""))
        changed = {subject for _, subject in events[first : bisect.bisect_right(events, (repair.at, "~"))]}
        allowed = 2 * NAMES_PER_BUCKET * (len(changed) + 1)  # a bucket holds twice as many names as on average
        if repair.records > allowed:
            found.append(
                f"{repair.at:.2f} {repair.member} was sent {repair.records} records, {len(changed)} had changed"
            )
    return found


def repairs_are_paced(history: History, slack: float = 1.0) -> list[str]:
    """A member repairs a bounded number of times in ten seconds, except for its contacts with the dead."""
    found = []
    dead = sorted(seen.at for seen in history.seen if seen.what == "dead")
    last: dict[str, list[float]] = {}
    for repair in history.repairs:
        times = [at for at in last.get(repair.member, []) if at > repair.at - WINDOW_S]
        last[repair.member] = times = [*times, repair.at]
        lately_dead = bisect.bisect_right(dead, repair.at) > bisect.bisect_left(dead, repair.at - RECENT_S)
        if len(times) > MAX_REPAIRS and not lately_dead:
            found.append(f"{repair.at:.2f} {repair.member} repaired {len(times)} times in {WINDOW_S} s")
    return found


def departed_members_are_forgotten(history: History, slack: float = 1.0) -> list[str]:
    """A member that left and did not return is shown for minutes, not for a day."""
    from chutepin.cluster.member_table import LEFT_RETENTION_S

    latest = {name: fault.at for fault in history.done if fault.what == "leave" for name in fault.members}
    return [
        f"{shown.at:.2f} {shown.member} shows {name} left, which left at {latest[name]:.2f}"
        for shown in history.shown
        for name, state, _ in shown.states
        if state == "left" and name in latest and shown.at > latest[name] + LEFT_RETENTION_S + CONVERGENCE_S * slack
    ]


Invariant = Callable[[History, float], list[str]]
ALL: tuple[Invariant, ...] = (
    no_live_member_is_declared_dead,
    resumed_member_declares_no_live_member_dead,
    resumed_member_suspects_nobody,
    every_crash_is_detected,
    views_converge,
    incarnations_never_decrease,
    only_cut_links_are_reported,
    traffic_is_bounded,
    bytes_are_within_budget,
    repairs_transfer_only_differences,
    repairs_are_paced,
    departed_members_are_forgotten,
)


def broken(history: History, slack: float = 1.0) -> dict[str, list[str]]:
    """Return the violated invariants, each with its violations."""
    return {check.__name__: found for check in ALL if (found := check(history, slack))}
