"""What this member believes of all, itself included, and what it tells on. Pure; time is an argument.

It takes records in by the rules of docs/membership.md. Who is probed and accused is the detector's."""

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
    """Something an operator may want to know: what happened to which member, and why."""

    kind: str
    member: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class PersistIncarnation:
    """This incarnation must be known again after a restart."""

    incarnation: int


MAX_STATE_BYTES = MAX_STREAM_FRAME_BYTES - 2048  # bytes of the updates of a whole state
MAX_SUSPECTED_BY = 8  # accusers that are kept of one incarnation
# Seconds of a suspicion after which an exchange may bring the death that this member has missed: who lives has refuted
# the suspicion by then, as it was told of it by gossip and by each that asks it.
ACCEPT_DEATH_AFTER_S = 6.0
RECORD_KNOWN_S = LEFT_RETENTION_S / 2  # seconds after which others may have forgotten one that has gone


def _is_routine(old: Record | None, new: Record) -> bool:
    """Whether a change is one that everybody expects: a member joins, leaves in order, or is back after that."""
    if new.status is Status.LEFT:
        return True
    return new.status is Status.ALIVE and (old is None or old.status in (Status.ALIVE, Status.LEFT))


def fit_updates(updates: Iterable[Update], room: int) -> tuple[list[Update], int]:
    """As many updates, from the first on, as fit into so many bytes and one frame; how many bytes are left."""
    chosen: list[Update] = []
    for update in updates:
        size = update_bytes(update)
        if size > room or len(chosen) >= MAX_UPDATES:
            break
        chosen.append(update)
        room -= size
    return chosen, room


class MembershipView:
    """Beliefs of one member."""

    def __init__(self, me: Record, max_names: int, remember: float) -> None:
        self.me = me
        self.process_incarnation = me.incarnation
        self.table = MemberTable(max_names, remember)
        self.links = LinkTable(me.name, me.incarnation)
        self.queue = UpdateQueue()
        self.counts: Counter[str] = Counter()
        self.events: list[MembershipEvent | PersistIncarnation] = []
        self.name_holder: Record | None = None  # who holds this member's name
        self.joined = False  # some member has taken this one in
        self.refutation_count = 0  # times that this member had to refute
        self.reported_suspects: list[tuple[str, str]] = []  # (member, suspecting member), for the detector

    def record_event(self, kind: str, member: str, **fields: object) -> None:
        """For the log and the operators."""
        self.counts[kind] += 1
        self.events.append(MembershipEvent(kind, member, fields))

    @property
    def live_count(self) -> int:
        """Live members, this one included."""
        return len(self.table.live()) + 1

    @property
    def digest(self) -> int:
        """Equal where views are equal but for suspicions and the gone."""
        return self.table.digest ^ self.links.digest ^ (digest_of(self.me) if self.me.live else 0)

    def repeats(self) -> int:
        """How often each update is told on."""
        return repeats(self.live_count)

    def pick_updates(self, room: int) -> list[Update]:
        """Updates that go along with a packet."""
        allowed = limits(self.repeats(), len(self.queue))
        return self.queue.pick(room, allowed.urgent, allowed.routine)

    def expand_record(self, short: ShortRecord) -> Record | None:
        """The record that a short one stands for; None where its member is not known, or was at another place."""
        if short.name == self.me.name:
            return expand(short, self.me)
        member = self.table.members.get(short.name)
        return expand(short, member.record) if member is not None else None

    # --- records ---

    def merge(self, now: float, update: Record | LinkReport, sync: bool = False, spread: bool = True) -> MergeResult:
        """Take in what a believed member tells. `sync`: in an exchange of states, where what the other side of a cut
        holds for dead may answer here. `spread`: tell it on; what one learns that joins, all others know."""
        if isinstance(update, LinkReport):
            self.merge_links(now, update)
            return MergeResult.UNCHANGED
        if update.name == self.me.name:
            self.merge_own(now, update)
            return MergeResult.UNCHANGED
        member = self.table.members.get(update.name)
        if sync and update.status is Status.DEAD and member is not None and member.record.live:
            if member.record.address != update.address or update.incarnation < member.record.incarnation:
                return MergeResult.STALE
            if not (member.record.status is Status.SUSPECT and now - member.changed_at >= ACCEPT_DEATH_AFTER_S):
                # Not told on: after a cut each side holds all of the other for dead, and asks them itself.
                update, spread = update._replace(status=Status.SUSPECT), False
        old, since = (member.record, member.changed_at) if member is not None else (None, now)
        result = self.table.put(now, update)
        if result is MergeResult.ACCEPTED:
            if spread:
                self._spread(now, old, since, update)
            self._record_change(now, old, update)
        elif result is MergeResult.UNCHANGED and update.status is Status.SUSPECT and member is not None:
            self._confirm_suspicion(member, update)
        return result

    def _spread(self, now: float, old: Record | None, since: float, new: Record) -> None:
        """Tell a new record on: short where the others can be expected to hold the rest, whole where they may not."""
        known = old is not None and old[:4] == new[:4] and (old.live or now - since < RECORD_KNOWN_S)
        self.queue.add(shorten(new) if known else new, urgent=not _is_routine(old, new))

    def _record_change(self, now: float, old: Record | None, new: Record) -> None:
        """Say what a new record means."""
        before = old.status if old is not None else None
        if new.status is Status.SUSPECT:
            self.table.members[new.name].suspected_by = (new.by,)
            self.reported_suspects.append((new.name, new.by))
            if before is not Status.SUSPECT:
                self.record_event("suspect", new.name, by=new.by, incarnation=new.incarnation)
        elif new.status is Status.DEAD:
            self.forget_links(now, new.name)
            if before is not Status.DEAD:
                self.record_event("dead", new.name, by=new.by, incarnation=new.incarnation)
        elif new.status is Status.LEFT:
            self.forget_links(now, new.name)
            if before is not Status.LEFT:
                self.record_event("left", new.name, incarnation=new.incarnation)
        else:
            self._record_alive(old, new)

    def _record_alive(self, old: Record | None, new: Record) -> None:
        """A member is there, or there again."""
        if old is None:
            self.record_event("joined", new.name, incarnation=new.incarnation, address=new.address)
        elif old.status is Status.SUSPECT:
            self.record_event("refuted", new.name, incarnation=new.incarnation)
        elif old.status is not Status.ALIVE:
            self.record_event("returned", new.name, incarnation=new.incarnation, address=new.address)
        elif new.address != old.address:
            self.record_event("moved", new.name, incarnation=new.incarnation, address=new.address)

    def _confirm_suspicion(self, member: Member, update: Record) -> None:
        """Somebody else accuses the suspect as well. Told on while it still counts."""
        if update.by in member.suspected_by or len(member.suspected_by) >= MAX_SUSPECTED_BY:
            return
        member.suspected_by += (update.by,)
        self.queue.add(shorten(update))
        self.record_event("confirmed", update.name, by=update.by, incarnation=update.incarnation)

    def merge_own(self, now: float, record: Record) -> None:
        """Others tell of this member."""
        if record.address != self.me.address:
            if not record.live:
                if record.incarnation >= self.me.incarnation:
                    self.raise_incarnation_above(record.incarnation)
            elif record.incarnation < self.me.incarnation:
                self.reject_name(record)
            else:
                self.counts["namesakes"] += 1
                self.queue.add(self.me)
        elif not self.me.live:
            return
        elif record.live and record.status is Status.ALIVE:
            if record.incarnation > self.me.incarnation:  # of a process of this node that ran before, by a later clock
                self.raise_incarnation_above(record.incarnation)
        elif record.incarnation >= self.me.incarnation:
            self.refute(record)

    def refute(self, record: Record) -> None:
        """Others hold this member for less than alive: say so at a higher incarnation."""
        self.refutation_count += 1
        self.raise_incarnation_above(record.incarnation)
        self.record_event(
            "refuted", self.me.name, by=record.by, was=record.status.name.lower(), incarnation=self.me.incarnation
        )

    def raise_incarnation_above(self, incarnation: int) -> None:
        """Be known at a higher incarnation."""
        self.me = self.me._replace(incarnation=max(incarnation, self.me.incarnation) + 1)
        self.queue.add(self.me)
        self.events.append(PersistIncarnation(self.me.incarnation))

    def start_process_incarnation(self, above: int) -> None:
        """Others know a later process of this name: be later than that."""
        self.raise_incarnation_above(max(above, self.process_incarnation))
        self.process_incarnation = self.me.incarnation
        self.links.set_process_incarnation(self.process_incarnation)

    def reject_name(self, holder: Record) -> None:
        """The name is another process's."""
        if self.name_holder is None or self.name_holder.address != holder.address:
            self.record_event("refused", self.me.name, holder=holder.address, incarnation=holder.incarnation)
        self.name_holder, self.joined = holder, False

    # --- links ---

    def merge_links(self, now: float, links: LinkReport) -> None:
        """Another member tells of bad links."""
        reporter = self.table.members.get(links.reporter)
        if reporter is None or not reporter.record.live:
            return
        if self.links.merge(now, links):
            self.queue.add(links)

    def record_link(self, now: float, source: str, target: str, bad: bool) -> None:
        """This member has found out about a link."""
        if self.links.record(now, source, target, bad):
            self.record_event(
                "link_bad" if bad else "link_good",
                target if source == self.me.name else source,
                source=source,
                target=target,
            )
            self.queue.add(self.links.report(now))

    def forget_links(self, now: float, name: str) -> None:
        """A member has gone."""
        if self.links.forget(name):
            self.queue.add(self.links.report(now))

    # --- whole states ---

    def full_state(self, now: float) -> list[Update]:
        """All that is known here."""
        table = self.table
        records = [table.members[name].record for name in table.live()]
        records += [
            table.members[name].record for status in (Status.DEAD, Status.LEFT) for name in table.with_status(status)
        ]
        updates, room = fit_updates(records, MAX_STATE_BYTES)  # those beyond that are brought by repair
        return (updates + self.link_reports(now, room))[:MAX_UPDATES]

    def link_reports(self, now: float, room: int) -> list[Update]:
        """What is known here of bad links, as much as fits."""
        reports = [self.links.report(now)] if self.links.version else []
        return fit_updates(reports + self.links.reports(now), room)[0]

    def expire(self, now: float) -> None:
        """Forget the gone that have been remembered long enough."""
        for name in self.table.expired(now):
            self.record_event("forgotten", name)
            self.table.remove(name)
