"""What this member believes of all, itself included, and what it tells on. Pure; time is an argument.

It takes records in by the rules of docs/membership.md. Who is probed and accused is the detector's."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from .frames import MAX_STREAM, MAX_UPDATES, update_bytes
from .gossip import Queue, repeats
from .links import LinkTable
from .records import Claim, Links, Record, Status, Update
from .table import Member, Table, digest_of


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
        return self.queue.pick(room, self.repeats())

    # --- records ---

    def take(self, now: float, update: Update, sync: bool = False) -> Claim:
        """Take in what a believed member tells. `sync`: in an exchange of whole states, where what the other side of a
        cut holds for dead may answer here."""
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
            update = update._replace(status=Status.SUSPECT)
        old = member.record if member is not None else None
        claim = self.table.put(now, update)
        if claim is Claim.NEW:
            self.queue.add(update)
            self._changed(now, old, update)
        elif claim is Claim.KNOWN and update.status is Status.SUSPECT and member is not None:
            self._confirmed(member, update)
        return claim

    def _changed(self, now: float, old: Record | None, new: Record) -> None:
        """Say what a new record means."""
        before = old.status if old is not None else None
        if new.status is Status.SUSPECT:
            self.table.members[new.name].accusers = [new.by]
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
        member.accusers.append(update.by)
        self.queue.add(update)
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
        updates: list[Update] = [member.record for member in self.table.members.values()]
        if self.links.version:
            updates.append(self.links.report(now))
        room = WHOLE - sum(map(update_bytes, updates))
        for links in self.links.told(now):  # as many as a frame holds; names at their longest fit by themselves
            room -= update_bytes(links)
            if room < 0 or len(updates) >= MAX_UPDATES:
                break
            updates.append(links)
        return updates

    def age(self, now: float) -> None:
        """Forget the gone that have been remembered long enough."""
        for name in self.table.aged(now):
            self.tell("forgotten", name)
            self.table.drop(name)
