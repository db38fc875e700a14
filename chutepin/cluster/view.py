"""What this member believes of all, itself included, and what it tells on. Pure; time is an argument.

It takes records in by the rules of docs/membership.md. Who is probed and accused is the detector's."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .frames import MAX_STREAM, MAX_UPDATES, update_bytes
from .gossip import Queue, limits, repeats
from .links import LinkTable
from .records import Claim, Links, Record, ShortRecord, Status, Update, expand, shorten
from .table import LEFT_REMEMBERED, Member, Table, digest_of


@dataclass(frozen=True, slots=True)
class Tell:
    """Something an operator may want to know: what happened to which member, and why."""

    what: str
    member: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class Persist:
    """This incarnation must be known again after a restart."""

    incarnation: int


WHOLE = MAX_STREAM - 2048  # bytes of the updates of a whole state
CONFIRMED = 8  # accusers that are kept of one incarnation
# Seconds of a suspicion after which an exchange may bring the death that this member has missed: who lives has refuted
# the suspicion by then, as it was told of it by gossip and by each that asks it.
BELIEVED_AFTER = 6.0
FORGOTTEN_SOON = LEFT_REMEMBERED / 2  # seconds after which others may have forgotten one that has gone


def _is_routine(old: Record | None, new: Record) -> bool:
    """Whether a change is one that everybody expects: a member joins, leaves in order, or is back after that."""
    if new.status is Status.LEFT:
        return True
    return new.status is Status.ALIVE and (old is None or old.status in (Status.ALIVE, Status.LEFT))


def fitting(updates: Iterable[Update], room: int) -> tuple[list[Update], int]:
    """As many updates, from the first on, as fit into so many bytes and one frame; how many bytes are left."""
    chosen: list[Update] = []
    for update in updates:
        size = update_bytes(update)
        if size > room or len(chosen) >= MAX_UPDATES:
            break
        chosen.append(update)
        room -= size
    return chosen, room


class View:
    """Beliefs of one member."""

    def __init__(self, me: Record, most: int, remember: float) -> None:
        self.me = me
        self.life = me.incarnation
        self.table = Table(most, remember)
        self.links = LinkTable(me.name, me.incarnation)
        self.queue = Queue()
        self.counts: Counter[str] = Counter()
        self.told: list[Tell | Persist] = []
        self.refused_by: Record | None = None  # who holds this member's name
        self.joined = False  # some member has taken this one in
        self.accused = 0  # times that this member had to refute
        self.suspected: list[tuple[str, str]] = []  # (member, accuser) that came up, for the detector to look at

    def tell(self, what: str, member: str, **fields: object) -> None:
        """For the log and the operators."""
        self.counts[what] += 1
        self.told.append(Tell(what, member, fields))

    @property
    def members(self) -> int:
        """Live members, this one included."""
        return len(self.table.live()) + 1

    @property
    def digest(self) -> int:
        """Equal where views are equal but for suspicions and the gone."""
        return self.table.digest ^ self.links.digest ^ (digest_of(self.me) if self.me.live else 0)

    def repeats(self) -> int:
        """How often each update is told on."""
        return repeats(self.members)

    def pick(self, room: int) -> list[Update]:
        """Updates that go along with a packet."""
        allowed = limits(self.repeats(), len(self.queue))
        return self.queue.pick(room, allowed.urgent, allowed.routine)

    def whole_record(self, short: ShortRecord) -> Record | None:
        """The record that a short one stands for; None where its member is not known, or was at another place."""
        if short.name == self.me.name:
            return expand(short, self.me)
        member = self.table.members.get(short.name)
        return expand(short, member.record) if member is not None else None

    # --- records ---

    def take(self, now: float, update: Record | Links, sync: bool = False, spread: bool = True) -> Claim:
        """Take in what a believed member tells. `sync`: in an exchange of states, where what the other side of a cut
        holds for dead may answer here. `spread`: tell it on; what one learns that joins, all others know."""
        if isinstance(update, Links):
            self.take_links(now, update)
            return Claim.KNOWN
        if update.name == self.me.name:
            self.take_own(now, update)
            return Claim.KNOWN
        member = self.table.members.get(update.name)
        if sync and update.status is Status.DEAD and member is not None and member.record.live:
            if member.record.address != update.address or update.incarnation < member.record.incarnation:
                return Claim.STALE
            if not (member.record.status is Status.SUSPECT and now - member.since >= BELIEVED_AFTER):
                # Not told on: after a cut each side holds all of the other for dead, and asks them itself.
                update, spread = update._replace(status=Status.SUSPECT), False
        old, since = (member.record, member.since) if member is not None else (None, now)
        claim = self.table.put(now, update)
        if claim is Claim.NEW:
            if spread:
                self._spread(now, old, since, update)
            self._changed(now, old, update)
        elif claim is Claim.KNOWN and update.status is Status.SUSPECT and member is not None:
            self._confirmed(member, update)
        return claim

    def _spread(self, now: float, old: Record | None, since: float, new: Record) -> None:
        """Tell a new record on: short where the others can be expected to hold the rest, whole where they may not."""
        known = old is not None and old[:4] == new[:4] and (old.live or now - since < FORGOTTEN_SOON)
        self.queue.add(shorten(new) if known else new, urgent=not _is_routine(old, new))

    def _changed(self, now: float, old: Record | None, new: Record) -> None:
        """Say what a new record means."""
        before = old.status if old is not None else None
        if new.status is Status.SUSPECT:
            self.table.members[new.name].accusers = (new.by,)
            self.suspected.append((new.name, new.by))
            if before is not Status.SUSPECT:
                self.tell("suspect", new.name, by=new.by, incarnation=new.incarnation)
        elif new.status is Status.DEAD:
            self.forget_links(now, new.name)
            if before is not Status.DEAD:
                self.tell("dead", new.name, by=new.by, incarnation=new.incarnation)
        elif new.status is Status.LEFT:
            self.forget_links(now, new.name)
            if before is not Status.LEFT:
                self.tell("left", new.name, incarnation=new.incarnation)
        else:
            self._alive(old, new)

    def _alive(self, old: Record | None, new: Record) -> None:
        """A member is there, or there again."""
        if old is None:
            self.tell("joined", new.name, incarnation=new.incarnation, address=new.address)
        elif old.status is Status.SUSPECT:
            self.tell("refuted", new.name, incarnation=new.incarnation)
        elif old.status is not Status.ALIVE:
            self.tell("returned", new.name, incarnation=new.incarnation, address=new.address)
        elif new.address != old.address:
            self.tell("moved", new.name, incarnation=new.incarnation, address=new.address)

    def _confirmed(self, member: Member, update: Record) -> None:
        """Somebody else accuses the suspect as well. Told on while it still counts."""
        if update.by in member.accusers or len(member.accusers) >= CONFIRMED:
            return
        member.accusers += (update.by,)
        self.queue.add(shorten(update))
        self.tell("confirmed", update.name, by=update.by, incarnation=update.incarnation)

    def take_own(self, now: float, record: Record) -> None:
        """Others tell of this member."""
        if record.address != self.me.address:
            if not record.live:
                if record.incarnation >= self.me.incarnation:
                    self.raise_above(record.incarnation)
            elif record.incarnation < self.me.incarnation:
                self.refuse(record)
            else:
                self.counts["namesakes"] += 1
                self.queue.add(self.me)
        elif not self.me.live:
            return
        elif record.live and record.status is Status.ALIVE:
            if record.incarnation > self.me.incarnation:  # of a process of this node that ran before, by a later clock
                self.raise_above(record.incarnation)
        elif record.incarnation >= self.me.incarnation:
            self.refute(record)

    def refute(self, record: Record) -> None:
        """Others hold this member for less than alive: say so at a higher incarnation."""
        self.accused += 1
        self.raise_above(record.incarnation)
        self.tell(
            "refuted", self.me.name, by=record.by, was=record.status.name.lower(), incarnation=self.me.incarnation
        )

    def raise_above(self, incarnation: int) -> None:
        """Be known at a higher incarnation."""
        self.me = self.me._replace(incarnation=max(incarnation, self.me.incarnation) + 1)
        self.queue.add(self.me)
        self.told.append(Persist(self.me.incarnation))

    def begin_life(self, above: int) -> None:
        """Others know a later process of this name: be later than that."""
        self.raise_above(max(above, self.life))
        self.life = self.me.incarnation
        self.links.live_on(self.life)

    def refuse(self, holder: Record) -> None:
        """The name is another process's."""
        if self.refused_by is None or self.refused_by.address != holder.address:
            self.tell("refused", self.me.name, holder=holder.address, incarnation=holder.incarnation)
        self.refused_by, self.joined = holder, False

    # --- links ---

    def take_links(self, now: float, links: Links) -> None:
        """Another member tells of bad links."""
        reporter = self.table.members.get(links.reporter)
        if reporter is None or not reporter.record.live:
            return
        if self.links.hear(now, links):
            self.queue.add(links)

    def find_link(self, now: float, source: str, target: str, bad: bool) -> None:
        """This member has found out about a link."""
        if self.links.find(now, source, target, bad):
            self.tell(
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

    def whole(self, now: float) -> list[Update]:
        """All that is known here."""
        table = self.table
        records = [table.members[name].record for name in table.live()]
        records += [table.members[name].record for status in (Status.DEAD, Status.LEFT) for name in table.of(status)]
        updates, room = fitting(records, WHOLE)  # those beyond that are brought by repair
        return (updates + self.all_links(now, room))[:MAX_UPDATES]

    def all_links(self, now: float, room: int) -> list[Update]:
        """What is known here of bad links, as much as fits."""
        reports = [self.links.report(now)] if self.links.version else []
        return fitting(reports + self.links.told(now), room)[0]

    def age(self, now: float) -> None:
        """Forget the gone that have been remembered long enough."""
        for name in self.table.aged(now):
            self.tell("forgotten", name)
            self.table.drop(name)
