"""The membership view: the records of all members that one member knows, its own included, and its gossip queue.

Merges records by the rules of docs/membership.md. The detector decides which members to probe and to suspect. Pure;
time is an argument."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .frames import MAX_STREAM_FRAME_BYTES, MAX_UPDATES, update_bytes
from .gossip import UpdateQueue, limits, repeats
from .link_table import LinkTable
from .member_table import LEFT_RETENTION_S, Member, MemberTable, digest_of
from .records import LinkReport, MergeResult, Record, ShortRecord, Status, Update, expand, shorten


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """A change in the state of a member or a link, for the log and for operators."""

    kind: str
    member: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class PersistIncarnation:
    """An effect: store this incarnation durably, for use after a restart."""

    incarnation: int


MAX_STATE_BYTES = MAX_STREAM_FRAME_BYTES - 2048  # of the updates in a full-state message
MAX_SUSPECTED_BY = 8  # members recorded as suspecting one incarnation
# Once a suspicion is this old, a death received by state exchange is accepted: a live member would have refuted the
# suspicion by then, as it receives it by gossip and with every ping.
ACCEPT_DEATH_AFTER_S = 6.0
RECORD_RETAINED_S = LEFT_RETENTION_S / 2  # after this time other members may have expired a departed member


def _is_routine(old: Record | None, new: Record) -> bool:
    """Return whether a change is routine, hence not urgent: a member joins, leaves, or rejoins after leaving."""
    if new.status is Status.LEFT:
        return True
    return new.status is Status.ALIVE and (old is None or old.status in (Status.ALIVE, Status.LEFT))


def fit_updates(updates: Iterable[Update], room: int) -> tuple[list[Update], int]:
    """Return the leading updates that fit into `room` bytes and into one frame, and the remaining bytes."""
    chosen: list[Update] = []
    for update in updates:
        size = update_bytes(update)
        if size > room or len(chosen) >= MAX_UPDATES:
            break
        chosen.append(update)
        room -= size
    return chosen, room


class MembershipView:
    """The membership view of one member.

    The incarnation of `me` rises with each refutation; `process_incarnation` rises only if other members know another
    process of this name, or the name was held by one."""

    def __init__(self, me: Record, max_names: int, dead_retention_s: float) -> None:
        self.me = me
        self.process_incarnation = me.incarnation
        self.table = MemberTable(max_names, dead_retention_s)
        self.links = LinkTable(me.name, me.incarnation)
        self.queue = UpdateQueue()
        self.counts: Counter[str] = Counter()
        self.events: list[MembershipEvent | PersistIncarnation] = []
        self.name_holder: Record | None = None  # another process that holds this member's name
        self.joined = False  # at least one member has accepted this one
        self.refutation_count = 0  # records of this member as suspect, dead or left that it refuted
        self.reported_suspects: list[tuple[str, str]] = []  # (suspect, suspecting member), not yet verified

    def record_event(self, kind: str, member: str, **fields: object) -> None:
        """Count an event and emit it as an effect."""
        self.counts[kind] += 1
        self.events.append(MembershipEvent(kind, member, fields))

    @property
    def live_count(self) -> int:
        """The number of live members, this one included."""
        return len(self.table.live()) + 1

    @property
    def digest(self) -> int:
        """The digest of the view. It does not cover suspicions and departed members."""
        return self.table.digest ^ self.links.digest ^ (digest_of(self.me) if self.me.live else 0)

    def repeats(self) -> int:
        """Return the number of times that an urgent update is sent."""
        return repeats(self.live_count)

    def pick_updates(self, room: int) -> list[Update]:
        """Pick the updates to piggyback on a packet with so many bytes of room."""
        allowed = limits(self.repeats(), len(self.queue))
        return self.queue.pick(room, allowed.urgent, allowed.routine)

    def expand_record(self, short: ShortRecord) -> Record | None:
        """Return the whole record of a short one; None if the member is unknown or has another known location."""
        if short.name == self.me.name:
            return expand(short, self.me)
        member = self.table.members.get(short.name)
        return expand(short, member.record) if member is not None else None

    def merge(
        self, now: float, update: Record | LinkReport, full_state: bool = False, disseminate: bool = True
    ) -> MergeResult:
        """Merge an update received from a live sender.

        `full_state`: the update is from a state exchange, whose sender may have been on the other side of a partition
        and may list members as dead that are alive on this side. `disseminate`: gossip the update if it is new."""
        if isinstance(update, LinkReport):
            self.merge_link_report(now, update)
            return MergeResult.UNCHANGED
        if update.name == self.me.name:
            self.merge_own_record(now, update)
            return MergeResult.UNCHANGED
        member = self.table.members.get(update.name)
        if full_state and update.status is Status.DEAD and member is not None and member.record.live:
            if member.record.address != update.address or update.incarnation < member.record.incarnation:
                return MergeResult.STALE
            if not (member.record.status is Status.SUSPECT and now - member.changed_at >= ACCEPT_DEATH_AFTER_S):
                # Not disseminated: after a partition each side considers the whole other side dead. Each member
                # verifies that with its own probes.
                update, disseminate = update._replace(status=Status.SUSPECT), False
        old, since = (member.record, member.changed_at) if member is not None else (None, now)
        result = self.table.put(now, update)
        if result is MergeResult.ACCEPTED:
            if disseminate:
                self._disseminate(now, old, since, update)
            self._record_change(now, old, update)
        elif result is MergeResult.UNCHANGED and update.status is Status.SUSPECT and member is not None:
            self._confirm_suspicion(member, update)
        return result

    def _disseminate(self, now: float, old: Record | None, since: float, new: Record) -> None:
        """Queue a new record for gossip: short if other members can be expected to hold the rest, else whole."""
        known = old is not None and old[:4] == new[:4] and (old.live or now - since < RECORD_RETAINED_S)
        self.queue.add(shorten(new) if known else new, urgent=not _is_routine(old, new))

    def _record_change(self, now: float, old: Record | None, new: Record) -> None:
        """Emit the event for an accepted record, and remove the links of a departed member."""
        old_status = old.status if old is not None else None
        if new.status is Status.SUSPECT:
            self.table.members[new.name].suspected_by = (new.by,)
            self.reported_suspects.append((new.name, new.by))
            if old_status is not Status.SUSPECT:
                self.record_event("suspect", new.name, by=new.by, incarnation=new.incarnation)
        elif new.status is Status.DEAD:
            self.forget_links_with(now, new.name)
            if old_status is not Status.DEAD:
                self.record_event("dead", new.name, by=new.by, incarnation=new.incarnation)
        elif new.status is Status.LEFT:
            self.forget_links_with(now, new.name)
            if old_status is not Status.LEFT:
                self.record_event("left", new.name, incarnation=new.incarnation)
        else:
            self._record_alive(old, new)

    def _record_alive(self, old: Record | None, new: Record) -> None:
        """Emit the event for an accepted record with the status alive."""
        if old is None:
            self.record_event("joined", new.name, incarnation=new.incarnation, address=new.address)
        elif old.status is Status.SUSPECT:
            self.record_event("refuted", new.name, incarnation=new.incarnation)
        elif old.status is not Status.ALIVE:
            self.record_event("returned", new.name, incarnation=new.incarnation, address=new.address)
        elif new.address != old.address:
            self.record_event("moved", new.name, incarnation=new.incarnation, address=new.address)

    def _confirm_suspicion(self, member: Member, update: Record) -> None:
        """Add a confirmation of a suspicion by another member, and gossip it, up to `MAX_SUSPECTED_BY` of them."""
        if update.by in member.suspected_by or len(member.suspected_by) >= MAX_SUSPECTED_BY:
            return
        member.suspected_by += (update.by,)
        self.queue.add(shorten(update))
        self.record_event("confirmed", update.name, by=update.by, incarnation=update.incarnation)

    def merge_own_record(self, now: float, record: Record) -> None:
        """Merge a record of this member's own name.

        Refutes it, raises the own incarnation above it, or yields the name to the process that holds it."""
        if record.address != self.me.address:
            if not record.live:
                if record.incarnation >= self.me.incarnation:
                    self.raise_incarnation_above(record.incarnation)
            elif record.incarnation < self.me.incarnation:
                self.reject_name(record)
            else:
                self.counts["name_conflicts"] += 1
                self.queue.add(self.me)
        elif not self.me.live:
            return
        elif record.live and record.status is Status.ALIVE:
            if record.incarnation > self.me.incarnation:  # an earlier process whose clock was ahead
                self.raise_incarnation_above(record.incarnation)
        elif record.incarnation >= self.me.incarnation:
            self.refute(record)

    def refute(self, record: Record) -> None:
        """Refute a record of this member as suspect, dead or left, by raising the incarnation above it."""
        self.refutation_count += 1
        self.raise_incarnation_above(record.incarnation)
        self.record_event(
            "refuted", self.me.name, by=record.by, was=record.status.name.lower(), incarnation=self.me.incarnation
        )

    def raise_incarnation_above(self, incarnation: int) -> None:
        """Raise the own incarnation above the given one, gossip it and have it stored."""
        self.me = self.me._replace(incarnation=max(incarnation, self.me.incarnation) + 1)
        self.queue.add(self.me)
        self.events.append(PersistIncarnation(self.me.incarnation))

    def start_process_incarnation(self, above: int) -> None:
        """Start a new process incarnation, above that of a later process of this name which other members know."""
        self.raise_incarnation_above(max(above, self.process_incarnation))
        self.process_incarnation = self.me.incarnation
        self.links.set_process_incarnation(self.process_incarnation)

    def reject_name(self, holder: Record) -> None:
        """Record that another process holds this member's name, and leave the joined state."""
        if self.name_holder is None or self.name_holder.address != holder.address:
            self.record_event("refused", self.me.name, holder=holder.address, incarnation=holder.incarnation)
        self.name_holder, self.joined = holder, False

    def merge_link_report(self, now: float, report: LinkReport) -> None:
        """Merge another member's report of its bad links."""
        reporter = self.table.members.get(report.reporter)
        if reporter is None or not reporter.record.live:
            return
        if self.links.merge(now, report):
            self.queue.add(report)

    def record_link(self, now: float, source: str, target: str, bad: bool) -> None:
        """Record whether a link of this member is bad, and gossip the report if that has changed."""
        if self.links.record(now, source, target, bad):
            self.record_event(
                "link_bad" if bad else "link_good",
                target if source == self.me.name else source,
                source=source,
                target=target,
            )
            self.queue.add(self.links.report(now))

    def forget_links_with(self, now: float, name: str) -> None:
        """Remove the links with a departed member."""
        if self.links.forget(name):
            self.queue.add(self.links.report(now))

    def full_state(self, now: float) -> list[Update]:
        """Return the updates of the full state: records of all members, and the reports of bad links."""
        table = self.table
        records = [table.members[name].record for name in table.live()]
        records += [
            table.members[name].record for status in (Status.DEAD, Status.LEFT) for name in table.with_status(status)
        ]
        updates, room = fit_updates(records, MAX_STATE_BYTES)  # anti-entropy transfers the rest
        return (updates + self.link_reports(now, room))[:MAX_UPDATES]

    def link_reports(self, now: float, room: int) -> list[Update]:
        """Return the reports of bad links, this member's own first, as many as fit into `room` bytes."""
        reports = [self.links.report(now)] if self.links.version else []
        return fit_updates(reports + self.links.reports(now), room)[0]

    def expire(self, now: float) -> None:
        """Remove departed members whose retention time has passed."""
        for name in self.table.expired(now):
            self.record_event("forgotten", name)
            self.table.remove(name)
