"""Invariants of membership, as functions of a history, for the simulator and for real processes alike.

Each invariant returns one line for each violation. The bounds are the guarantees of docs/membership.md at default
settings; `slack` multiplies the time bounds on a busy machine."""

from __future__ import annotations

import bisect
from collections.abc import Callable

from chutepin.testbench.checks.history import History, Truth

CONVERGENCE_S = 10.0  # time after the last fault within which all views become equal
DETECTION_S = 10.0  # time within which all members detect a crash
PROBE_TIMEOUT_S = 1.0  # time after a resume within which a probe that was in flight at the stop ends
RESUME_GRACE_S = 10.0  # time after a resume in which the member must not declare running members dead
MAX_CORRECTIONS = 16  # additional transmissions of an update, to members with older records
WINDOW_S = 10.0  # window over which bytes and repairs are counted
PROBE_BYTES_PER_SECOND = 2000  # allowance for direct and indirect probes and their answers
RECENT_CHANGE_S = 60.0  # time for which some members may lack a change
MAX_REPAIRS = 8  # per member and window: at most one repair in 1.25 seconds
SUSPICION_LOOKBACK_S = 10.0  # seconds before a death declaration that are searched for a cause


class TruthTimeline:
    """The ground truth at every time of a history."""

    def __init__(self, history: History) -> None:
        self.times = [0.0]
        self.truths = [Truth(history.schedule)]
        truth = Truth(history.schedule)
        for fault in history.done:
            truth.apply(fault)
            copy = Truth(history.schedule)
            copy.up, copy.stopped, copy.cuts = set(truth.up), set(truth.stopped), set(truth.cuts)
            copy.slow, copy.loss = dict(truth.slow), truth.loss
            self.times.append(fault.at)
            self.truths.append(copy)

    def during(self, begin: float, end: float) -> list[Truth]:
        """Return the ground truths in force at some time from `begin` to `end`."""
        first = max(0, bisect.bisect_right(self.times, begin) - 1)
        return self.truths[first : bisect.bisect_right(self.times, end)]


def no_live_member_is_declared_dead(history: History, slack: float = 1.0) -> list[str]:
    """Return death declarations of members that recently ran, unstopped and unstarved, in reach of most others."""
    timeline, found = TruthTimeline(history), []
    for seen in history.seen:
        if seen.what != "dead":
            continue
        truths = timeline.during(seen.at - SUSPICION_LOOKBACK_S * slack, seen.at)
        # A stop or starvation of the declaring member is no excuse, as local health covers both; a cut link is one.
        reachable = all(
            seen.subject in truth.up
            and seen.subject not in truth.stopped
            and seen.subject not in truth.slow
            and 2 * len(truth.reaches(seen.subject)) >= len(truth.up)
            and (seen.subject in truth.reaches(seen.by or seen.member) or seen.by not in truth.up)
            for truth in truths
        )
        if reachable:
            found.append(
                f"{seen.at:.2f} {seen.member} considers {seen.subject} dead (by {seen.by}), which was reachable"
            )
    return found


def resumed_member_declares_no_live_member_dead(history: History, slack: float = 1.0) -> list[str]:
    """Return death declarations of running members by members that were recently resumed."""
    timeline, found = TruthTimeline(history), []
    resumed = [(fault.at, name) for fault in history.done if fault.what == "wake" for name in fault.members]
    for seen in history.seen:
        if seen.what == "dead" and any(
            name == seen.by and at <= seen.at <= at + RESUME_GRACE_S * slack for at, name in resumed
        ):
            truth = timeline.during(seen.at, seen.at)[-1]
            if seen.subject in truth.up and seen.subject not in truth.stopped and not truth.cuts:
                found.append(f"{seen.at:.2f} {seen.by} resumed and declared {seen.subject} dead")
    return found


def resumed_member_suspects_nobody(history: History, slack: float = 1.0) -> list[str]:
    """Return suspicions of running members by members that were just resumed from their own pause.

    Not checked on a busy machine (`slack` above 1), where other members may in fact not respond."""
    if slack > 1:
        return []
    timeline, found = TruthTimeline(history), []
    resumed = [(fault.at, name) for fault in history.done if fault.what == "wake" for name in fault.members]
    for seen in history.seen:
        if seen.what == "suspect" and any(
            name == seen.by and at <= seen.at <= at + PROBE_TIMEOUT_S for at, name in resumed
        ):
            truths = timeline.during(seen.at - RESUME_GRACE_S * slack, seen.at)
            if (
                all(seen.subject in truth.up and not truth.cuts and not truth.loss for truth in truths)
                and seen.subject not in truths[-1].stopped
            ):
                found.append(f"{seen.at:.2f} {seen.by} resumed and suspects {seen.subject}")
    return found


def every_crash_is_detected(history: History, slack: float = 1.0) -> list[str]:
    """Return views that show a crashed member alive or suspect after `DETECTION_S`, if it stayed down that long."""
    timeline, found = TruthTimeline(history), []
    for fault in history.done:
        if fault.what != "crash":
            continue
        by = fault.at + DETECTION_S * slack
        truths = timeline.during(fault.at, by)
        is_undisturbed = not any(truth.cuts or truth.slow or truth.stopped for truth in truths)
        if not is_undisturbed or by > history.schedule.seconds:
            continue
        for crashed in fault.members:
            if any(crashed in truth.up for truth in truths[1:]):
                continue
            for shown in history.shown:
                if (
                    by <= shown.at <= by + 1.0
                    and all(shown.member in truth.up for truth in truths)
                    and shown.state(crashed) in ("alive", "suspect")
                ):
                    found.append(
                        f"{shown.at:.2f} {shown.member} shows {crashed} {shown.state(crashed)}, down since {fault.at}"
                    )
    return found


def views_converge(history: History, slack: float = 1.0) -> list[str]:
    """Return views that differ from the ground truth at the end, `CONVERGENCE_S` or more after the last fault."""
    timeline, found = TruthTimeline(history), []
    last_fault_at = history.done[-1].at if history.done else 0.0
    truth = timeline.truths[-1]
    if history.schedule.seconds < last_fault_at + CONVERGENCE_S * slack or truth.cuts or truth.stopped or truth.slow:
        return [f"the schedule ends less than {CONVERGENCE_S * slack} s after the last fault, or with a fault active"]
    for member in sorted(truth.up):
        last = history.last(member)
        if last is None or last.at < last_fault_at + CONVERGENCE_S * slack - 2.0:
            found.append(f"{member} shows no view at the end")
            continue
        for name in history.schedule.names():
            state = last.state(name)
            if (state == "alive") != (name in truth.up):
                found.append(f"{last.at:.2f} {member} shows {name} {state}")
    return found


def incarnations_never_decrease(history: History, slack: float = 1.0) -> list[str]:
    """Return views that show a lower incarnation of a member than earlier views of the same process."""
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
                found.append(f"{shown.at:.2f} {shown.member} shows {name} at incarnation {incarnation}, was higher")
            known[shown.member, name] = incarnation
    return found


def only_cut_links_are_reported(history: History, slack: float = 1.0) -> list[str]:
    """Return views that lack a link cut for `CONVERGENCE_S` between reachable members.

    Without loss, stops and slow members, also return links that are shown but were not cut."""
    timeline, found = TruthTimeline(history), []
    losses = any(fault.what in ("slow", "stop") or (fault.what == "loss" and fault.value > 0) for fault in history.done)
    for shown in history.shown:
        truths = timeline.during(shown.at - CONVERGENCE_S * slack, shown.at)
        if shown.at < CONVERGENCE_S * slack or any(
            truth.up != truths[0].up or truth.stopped or truth.slow for truth in truths
        ):
            continue
        ever_cut = set().union(*(truth.cuts for truth in truths))
        always_cut = set.intersection(*(truth.cuts for truth in truths))
        for source, target in sorted(always_cut):
            is_reachable = all(
                target in truth.reaches(source) and shown.member in truth.reaches(source) | {source} for truth in truths
            )
            if is_reachable and (source, target) not in shown.links:
                found.append(f"{shown.at:.2f} {shown.member} does not show the link {source} {target}, which is cut")
        if not losses:
            found += [
                f"{shown.at:.2f} {shown.member} shows the link {source} {target}, which works"
                for source, target in shown.links
                if (source, target) not in ever_cut
            ]
    return found


def traffic_is_bounded(history: History, slack: float = 1.0) -> list[str]:
    """Return exceeded bounds: transmissions of an update, size of a datagram, datagrams per second of a member."""
    from chutepin.cluster.gossip import repeats

    found = []
    members = history.schedule.members
    allowed = 2 * repeats(members) + MAX_CORRECTIONS
    if history.repeats > allowed:
        found.append(f"an update was sent {history.repeats} times, {allowed} are allowed")
    if history.longest > 1200:
        found.append(f"a datagram has {history.longest} bytes")
    datagrams_per_second = history.packets / members / history.schedule.seconds
    if datagrams_per_second > 120:
        found.append(f"{datagrams_per_second:.0f} datagrams per second of each member")
    return found


def bytes_are_within_budget(history: History, slack: float = 1.0) -> list[str]:
    """Return a violation if a member sends more in `WINDOW_S` than its budget and its probes allow."""
    from chutepin.cluster.budget import BURST_S, BYTES_PER_SECOND

    allowed = BYTES_PER_SECOND * (1 + BURST_S / WINDOW_S) + PROBE_BYTES_PER_SECOND
    if history.peak > allowed:
        return [f"a member sent {history.peak:.0f} bytes per second for ten seconds, {allowed:.0f} are allowed"]
    return []


def repairs_transfer_only_differences(history: History, slack: float = 1.0) -> list[str]:
    """Return repairs that transfer more records than the recently changed members account for."""
    from chutepin.cluster.anti_entropy import NAMES_PER_BUCKET

    found = []
    events = sorted((seen.at, seen.subject) for seen in history.seen)
    for repair in history.repairs:
        first = bisect.bisect_left(events, (repair.at - RECENT_CHANGE_S, ""))
        changed = {subject for _, subject in events[first : bisect.bisect_right(events, (repair.at, "~"))]}
        allowed = 2 * NAMES_PER_BUCKET * (len(changed) + 1)  # a bucket may hold twice the average number of names
        if repair.records > allowed:
            found.append(
                f"{repair.at:.2f} {repair.member} received {repair.records} records, {len(changed)} members had changed"
            )
    return found


def repairs_are_paced(history: History, slack: float = 1.0) -> list[str]:
    """Return members with more than `MAX_REPAIRS` in `WINDOW_S`, except after recent deaths, which add contacts."""
    found = []
    dead = sorted(seen.at for seen in history.seen if seen.what == "dead")
    last: dict[str, list[float]] = {}
    for repair in history.repairs:
        times = [at for at in last.get(repair.member, []) if at > repair.at - WINDOW_S]
        last[repair.member] = times = [*times, repair.at]
        lately_dead = bisect.bisect_right(dead, repair.at) > bisect.bisect_left(dead, repair.at - RECENT_CHANGE_S)
        if len(times) > MAX_REPAIRS and not lately_dead:
            found.append(f"{repair.at:.2f} {repair.member} repaired {len(times)} times in {WINDOW_S} s")
    return found


def departed_members_are_forgotten(history: History, slack: float = 1.0) -> list[str]:
    """Return views that show a departed member as left for longer than `LEFT_RETENTION_S` and the slack."""
    from chutepin.cluster.member_table import LEFT_RETENTION_S

    latest = {name: fault.at for fault in history.done if fault.what == "leave" for name in fault.members}
    return [
        f"{shown.at:.2f} {shown.member} shows {name} left, which left at {latest[name]:.2f}"
        for shown in history.shown
        for name, state, _ in shown.states
        if state == "left" and name in latest and shown.at > latest[name] + LEFT_RETENTION_S + CONVERGENCE_S * slack
    ]


Invariant = Callable[[History, float], list[str]]
INVARIANTS: tuple[Invariant, ...] = (
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
    """Return the violations of each violated invariant, by the name of the invariant."""
    return {check.__name__: found for check in INVARIANTS if (found := check(history, slack))}
