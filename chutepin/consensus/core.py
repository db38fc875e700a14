"""Consensus: Raft's mechanism with pre-vote, check-quorum, one change of voters at a time, reads and handing over.

Pure: no clock, no file, no socket, no chance of its own. It holds the log in memory; what must be durable, sent and
applied comes out of `take` in an order that has a meaning: nothing behind a `Persist` may be done before it is
durable."""

from __future__ import annotations

import itertools
import math
import random
import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from .messages import (
    Append,
    Appended,
    Apply,
    Ask,
    Begin,
    Effect,
    Entry,
    Kind,
    Message,
    Persist,
    Piece,
    Readable,
    Restore,
    Send,
    Snapshot,
    Taken,
    Vote,
    Voters,
)


class Role(IntEnum):
    """What a member is at the moment."""

    FOLLOWER = 0
    WOULD = 1  # asks whether it would win
    CANDIDATE = 2
    LEADER = 3


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds, and bytes."""

    election: float = 1.0  # without a leader before a vote is asked for; up to twice that, drawn
    heartbeat: float = 0.2
    in_flight: int = 256 * 1024  # bytes of entries that a follower has not acknowledged
    piece: int = 64 * 1024  # bytes of entries, or of a snapshot, in one message
    log: int = 4 * 2**20  # bytes of entries for which a leader waits for those behind before it lets go of them
    kept: int = 256 * 1024  # bytes of entries behind a snapshot that are kept in any case, for those a little behind


@dataclass(slots=True)
class Durable:
    """What survives a crash."""

    term: int = 0
    vote: str = ""
    entries: list[Entry] = field(default_factory=list)  # all behind `base`
    snapshot: Snapshot | None = None
    base: int = 0
    base_term: int = 0

    def persist(self, change: Persist) -> None:
        """Take in what has become durable."""
        self.term, self.vote = change.term, change.vote
        if change.snapshot is not None:
            self.snapshot = change.snapshot
            if change.anew:
                self.entries, self.base, self.base_term = [], change.snapshot.upto, change.snapshot.term
            elif change.base > self.base:
                self.base_term = self.entries[change.base - self.base - 1].term
                del self.entries[: change.base - self.base]
                self.base = change.base
        if change.entries:
            self.entries[change.first - self.base - 1 :] = change.entries


@dataclass(slots=True)
class Progress:
    """What a leader knows of one follower."""

    next: int
    match: int = 0
    probing: bool = True  # where its log ends is not known: one message at a time
    flying: list[tuple[int, int]] = field(default_factory=list)  # (last index, bytes) of messages not yet answered
    heard: float = -math.inf
    round: int = 0  # of heartbeats that it has answered
    piece: tuple[int, int] = (0, 0)  # index and bytes of the snapshot that it has
    sent: bool = False  # a piece is on its way
    told: int = 0  # how far all is agreed, as it was last told


def _cost(entry: Entry) -> int:
    """Bytes that an entry takes, about."""
    return len(entry.data) + 32


class RefusedError(Exception):
    """It was not taken, and never will be under this call; the message says why, `leader` who may take it."""

    def __init__(self, why: str, leader: str = "") -> None:
        super().__init__(why)
        self.leader = leader


class Core:
    """One member."""

    def __init__(
        self, name: str, first: Voters, durable: Durable, now: float, rng: random.Random, times: Times = Times()
    ) -> None:
        """`first`: who votes before any entry says otherwise; the same on all. `durable` is read, not kept."""
        self.name, self._first, self._rng, self._times = name, first, rng, times
        self.term, self.vote = durable.term, durable.vote
        self.log: list[Entry] = list(durable.entries)  # behind `base`
        self.base, self.base_term, self.snapshot = durable.base, durable.base_term, durable.snapshot
        self.size = sum(map(_cost, self.log))  # bytes of the log
        self.since = 0  # bytes of what was applied since the last snapshot
        self._offered: Snapshot | None = None  # the one that followers are being sent
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = self.snapshot.upto if self.snapshot is not None else 0
        self._incoming: tuple[tuple[int, int, int, int], bytearray] | None = None  # a snapshot that comes in pieces
        self.members = self._members_of_log()
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._round = 0
        self._reads: list[tuple[int, int, int]] = []  # (id, index, round that must be answered)
        self._handing = ""  # to whom
        self._handing_until = math.inf
        self.heard_leader = -math.inf
        self._election_at = now + self._drawn()
        self._heartbeat_at = math.inf
        self._effects: list[Effect] = [Restore(self.snapshot)] if self.snapshot is not None else []

    # --- in and out ---

    def take(self) -> list[Effect]:
        """What is to be done since the last time, in order."""
        effects, self._effects = self._effects, []
        return effects

    def wake_at(self) -> float:
        """When `tick` is due."""
        return min(self._heartbeat_at, self._election_at)

    @property
    def last(self) -> int:
        """The index of the last entry; 0 for none."""
        return self.base + len(self.log)

    def term_at(self, index: int) -> int:
        """The term of an entry; 0 before the first, and of those that are no more."""
        if index == self.base:
            return self.base_term
        return self.log[index - self.base - 1].term if self.base < index <= self.last else 0

    def _from(self, index: int) -> list[Entry]:
        return self.log[index - self.base - 1 :]

    def _cut_to(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Replace the log from an index on."""
        self.size += sum(map(_cost, entries)) - sum(map(_cost, self._from(first)))
        self.log[first - self.base - 1 :] = entries

    def lag(self, name: str) -> int:
        """Entries that a member lacks, as far as the leader knows."""
        progress = self._progress.get(name)
        return 0 if name == self.name else self.last - (progress.match if progress is not None else 0)

    def furthest(self) -> list[str]:
        """The other voters, those first that lack least."""
        return sorted((name for name in self.members.voters if name != self.name), key=self.lag)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._times.heartbeat
            self._beat()
        if now < self._election_at:
            return
        if self.role is Role.LEADER:
            self._election_at = now + self._times.election
            if now > self._handing_until:
                self._handing, self._handing_until = "", math.inf
            if self.name not in self.members.voters or not self._hears_majority(now):
                self._follow(now, self.term, "")
        else:
            self._election_at = now + self._drawn()
            if self.name in self.members.voters:
                self._campaign(now, Role.WOULD, False)

    def propose(self, now: float, data: bytes) -> int:
        """Put something to be agreed into the log; its index. It is agreed once it comes out as `Apply` at that index
        with this term; where the leader changes first, it may be or not. Raises RefusedError."""
        self._must_lead()
        return self._add(Entry(self.last + 1, self.term, Kind.PROPOSAL, data))

    def change(self, now: float, members: Voters) -> int:
        """Change who takes part: learners at will, voters one at a time. Raises RefusedError."""
        self._must_lead()
        if self.term_at(self.commit) != self.term:
            raise RefusedError("nothing of this term is agreed yet", self.name)
        if any(entry.kind is Kind.VOTERS for entry in self._from(self.commit + 1)):
            raise RefusedError("another change of voters is under way", self.name)
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            raise RefusedError("one voter at a time", self.name)
        if not members.voters:
            raise RefusedError("nobody would vote", self.name)
        for name in members.everybody:
            if members.everybody.count(name) > 1:  # it would count as two in a majority
                raise RefusedError(f"{name} takes part already", self.name)
        for name in set(members.voters) - set(self.members.voters):
            progress = self._progress.get(name)
            if progress is None or progress.match < self.commit:
                raise RefusedError(f"{name} has not caught up as a learner", self.name)
        return self._add(Entry(self.last + 1, self.term, Kind.VOTERS, members=members))

    def read(self, now: float, id: int) -> None:
        """Ask for an index at which a read sees all that was agreed before it; `Readable` tells it. Raises
        RefusedError."""
        self._must_lead()
        if self.term_at(self.commit) != self.term:
            raise RefusedError("nothing of this term is agreed yet", self.name)
        self._beat()
        self._reads.append((id, self.commit, self._round))
        self._answer_reads()

    def hand_over(self, now: float, to: str) -> None:
        """Bring `to` up to date and have it elected; proposals are refused meanwhile, for an election time at the most.
        Raises RefusedError."""
        self._must_lead()
        if to == self.name or to not in self.members.voters:
            raise RefusedError(f"{to} is no other voter", self.name)
        self._handing, self._handing_until = to, now + self._times.election
        self._hand()

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Take in a message."""
        if isinstance(message, Ask) and self._ignores(now, sender, message):
            return
        raises = not (isinstance(message, Ask) and message.pre) and not (
            isinstance(message, Vote) and message.pre and message.granted
        )
        if message.term > self.term and raises:
            self._follow(now, message.term, "")
        match message:
            case Ask():
                self._asked(now, sender, message)
            case Vote():
                self._voted(now, sender, message)
            case Append():
                self._append(now, sender, message)
            case Appended() if message.term == self.term and self.role is Role.LEADER:
                self._appended(now, sender, message)
            case Piece():
                self._piece(now, sender, message)
            case Taken() if message.term == self.term and self.role is Role.LEADER:
                self._taken(now, sender, message)
            case Begin() if message.term == self.term and self.name in self.members.voters:
                self._campaign(now, Role.CANDIDATE, True)
            case _:
                pass  # an answer to what is over

    # --- elections ---

    def _drawn(self) -> float:
        return self._times.election * (1 + self._rng.random())

    def _majority(self) -> int:
        return len(self.members.voters) // 2 + 1

    def _ignores(self, now: float, sender: str, ask: Ask) -> bool:
        """Whoever hears a leader does not vote against it, unless the leader itself hands over."""
        if ask.handed:
            return False
        leads = self.role is Role.LEADER and self._hears_majority(now)
        return leads or (self.leader != "" and now < self.heard_leader + self._times.election)

    def _hears_majority(self, now: float) -> bool:
        heard = sum(
            name == self.name or self._progress[name].heard > now - self._times.election for name in self.members.voters
        )
        return heard >= self._majority()

    def _follow(self, now: float, term: int, leader: str) -> None:
        """Be a follower in a term."""
        if term > self.term:
            self.term, self.vote = term, ""
            self._persist()
        if self.role is Role.LEADER:
            for id, _, _ in self._reads:
                self._effects.append(Readable(id, -1))
            self._reads.clear()
            self._handing, self._handing_until = "", math.inf
        self.role, self.leader = Role.FOLLOWER, leader
        self._heartbeat_at, self._election_at = math.inf, now + self._drawn()

    def _campaign(self, now: float, role: Role, handed: bool) -> None:
        self.role, self.leader = role, ""
        self._heartbeat_at, self._election_at = math.inf, now + self._drawn()
        term = self.term + 1
        if role is Role.CANDIDATE:
            self.term, self.vote = term, self.name
            self._persist()
        self._votes = {self.name}
        for name in self.members.voters:
            if name != self.name:
                self._say(name, Ask(term, self.last, self.term_at(self.last), role is Role.WOULD, handed))
        self._count(now)

    def _asked(self, now: float, sender: str, ask: Ask) -> None:
        upto_date = (ask.last_term, ask.last_index) >= (self.term_at(self.last), self.last)
        if ask.pre:
            self._say(
                sender,
                Vote(
                    ask.term if upto_date and ask.term > self.term else self.term,
                    True,
                    upto_date and ask.term > self.term,
                ),
            )
            return
        granted = ask.term == self.term and self.vote in ("", sender) and upto_date and self.role is Role.FOLLOWER
        if granted and self.vote != sender:
            self.vote = sender
            self._persist()
        if granted:
            self._election_at = now + self._drawn()
        self._say(sender, Vote(self.term, False, granted))

    def _voted(self, now: float, sender: str, vote: Vote) -> None:
        wanted = (Role.WOULD, self.term + 1) if vote.pre else (Role.CANDIDATE, self.term)
        if vote.granted and (self.role, vote.term) == wanted and sender in self.members.voters:
            self._votes.add(sender)
            self._count(now)

    def _count(self, now: float) -> None:
        """Whether the votes are enough."""
        if len(self._votes & set(self.members.voters)) < self._majority():
            return
        if self.role is Role.WOULD:
            self._campaign(now, Role.CANDIDATE, False)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._progress = {name: Progress(self.last + 1, heard=now) for name in self.members.everybody}
        self._round = 0
        self._heartbeat_at, self._election_at = now + self._times.heartbeat, now + self._times.election
        self._add(Entry(self.last + 1, self.term, Kind.EMPTY))

    # --- the log ---

    def _persist(self, first: int = 0) -> None:
        entries = tuple(self._from(first)) if first else ()
        self._effects.append(Persist(self.term, self.vote, first, entries))

    def _members_of_log(self) -> Voters:
        """The last change of voters in the log holds from the moment that it stands there, agreed or not."""
        return self._members_at(self.last)

    def _members_at(self, index: int) -> Voters:
        for entry in reversed(self.log[: max(0, index - self.base)]):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members if self.snapshot is not None else self._first

    def _must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise RefusedError("not the leader", self.leader)
        if self._handing:
            raise RefusedError("the leader hands over", self._handing)

    def _add(self, entry: Entry) -> int:
        """A leader's own entry. The followers may have it before it is durable here: its effects stand behind."""
        self._cut_to(entry.index, (entry,))
        if entry.members is not None:
            self.members = entry.members
            for name in entry.members.everybody:
                self._progress.setdefault(name, Progress(entry.index))
            for name in set(self._progress) - set(entry.members.everybody):
                del self._progress[name]
        for name in self._progress:
            self._replicate(name)
        self._persist(entry.index)
        self._advance()
        return entry.index

    def spread(self) -> None:
        """Tell followers that lack nothing how far all is agreed, lest they learn it with the next heartbeat only."""
        for name, progress in self._progress.items() if self.role is Role.LEADER else ():
            if name != self.name and progress.told < self.commit and progress.match == self.last:
                self._replicate(name, beat=True)

    def _beat(self) -> None:
        """A round of heartbeats. Each carries what its follower has room for."""
        self._round += 1
        for name, progress in self._progress.items():
            if name != self.name:
                progress.flying.clear()  # what was not answered by now is sent again
                self._replicate(name, beat=True)

    def _replicate(self, name: str, beat: bool = False) -> None:
        """Send a follower what it lacks, within its room; with `beat` also if that is nothing."""
        if name == self.name:
            return
        progress = self._progress[name]
        if progress.next <= self.base:
            self._send_piece(name, progress, beat)
            return
        while (part := self._next_part(progress)) or beat:
            entries, size = part or ((), 0)
            self._say(
                name,
                Append(
                    self.term, progress.next - 1, self.term_at(progress.next - 1), entries, self.commit, self._round
                ),
            )
            progress.told, beat = self.commit, False
            if entries:
                progress.flying.append((entries[-1].index, size))
                if not progress.probing:
                    progress.next = entries[-1].index + 1
            if progress.probing or not entries:
                return

    def _next_part(self, progress: Progress) -> tuple[tuple[Entry, ...], int] | None:
        """Entries for a follower and their bytes, if there are any and it has room for them."""
        room = self._times.in_flight - sum(part for _, part in progress.flying)
        if room <= 0 or (progress.probing and progress.flying):
            return None
        entries, size = list[Entry](), 0
        for entry in itertools.islice(self.log, progress.next - self.base - 1, None):
            cost = _cost(entry)
            if entries and size + cost > min(room, self._times.piece):
                break
            entries.append(entry)
            size += cost
        return (tuple(entries), size) if entries else None

    def _append(self, now: float, sender: str, message: Append) -> None:
        if message.term < self.term:
            self._say(sender, Appended(self.term, False, self.last, message.round))
            return
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(now, message.term, sender)
        self.heard_leader, self._election_at = now, now + self._drawn()
        prev = message.prev_index
        # What stands at the base or before it is agreed, so it is the leader's too.
        if prev > self.last or (prev >= self.base and self.term_at(prev) != message.prev_term):
            hint = min(self.last, prev - 1)
            bad = self.term_at(hint + 1)
            while bad and hint > self.commit and self.term_at(hint) == bad:
                hint -= 1  # no entry of a term that has conflicted is worth a try
            self._say(sender, Appended(self.term, False, max(hint, self.commit), message.round))
            return
        for entry in message.entries:
            if entry.index > self.base and self.term_at(entry.index) != entry.term:
                assert entry.index > self.commit, "an agreed entry would be replaced"
                self._cut_to(entry.index, message.entries[entry.index - prev - 1 :])
                self.members = self._members_of_log()
                self._persist(entry.index)
                break
        match = prev + len(message.entries)
        self._say(sender, Appended(self.term, True, match, message.round))
        self._commit(min(message.commit, match))

    def _appended(self, now: float, sender: str, message: Appended) -> None:
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.heard, progress.round = now, max(progress.round, message.round)
        progress.sent = False
        if message.ok:
            progress.probing = False
            progress.match = max(progress.match, message.match)
            progress.next = max(progress.next, progress.match + 1)
            progress.flying = [part for part in progress.flying if part[0] > progress.match]
            self._advance()
            self._hand()
        elif message.match >= progress.match:
            progress.probing, progress.next = True, min(max(progress.match, message.match) + 1, self.last + 1)
            progress.flying.clear()
        self._replicate(sender)
        self._answer_reads()

    def _advance(self) -> None:
        """What a majority has is agreed, if it is of this term; what stands before it is with it."""
        matches = sorted(self.last if name == self.name else self._progress[name].match for name in self.members.voters)
        agreed = matches[len(matches) - self._majority()]
        if agreed > self.commit and self.term_at(agreed) == self.term:
            self._commit(agreed)
            if self.name not in self.members.voters and not any(
                entry.kind is Kind.VOTERS for entry in self._from(self.commit + 1)
            ):
                self._beat()  # the others hear that it is agreed; then it steps down
                self._election_at = -math.inf

    def _commit(self, index: int) -> None:
        if index <= self.commit:
            return
        self.commit = index
        entries = tuple(self._from(self.applied + 1)[: index - self.applied])
        self.since += sum(map(_cost, entries))
        self._effects.append(Apply(entries))
        self.applied = index

    # --- snapshots ---

    def compact(self, now: float, data: bytes) -> None:
        """Keep the state after all that was applied, and let go of the log before it; a leader keeps what followers
        that it hears still lack, as long as that is not too much. Nothing is done where nothing was applied since."""
        if self.applied <= (self.snapshot.upto if self.snapshot is not None else 0):
            return
        snapshot = Snapshot(self.applied, self.term_at(self.applied), self._members_at(self.applied), data)
        base = min(self._kept_from(), self._wanted_from(now))
        self.snapshot, self.since = snapshot, 0
        base_term = self.term_at(base)
        gone = self.log[: base - self.base]
        self.size -= sum(map(_cost, gone))
        del self.log[: len(gone)]
        self.base, self.base_term = base, base_term
        self._effects.append(Persist(self.term, self.vote, 0, (), snapshot, base))

    def _kept_from(self) -> int:
        """The base that leaves as much of the log as is kept in any case."""
        base, size = self.applied, sum(map(_cost, self._from(self.applied + 1)))
        for entry in reversed(self.log[: self.applied - self.base]):
            size += _cost(entry)
            if size > self._times.kept:
                break
            base = entry.index - 1
        return base

    def _wanted_from(self, now: float) -> int:
        """The base that leaves a leader all that followers lack, or will once they have the snapshot that they are
        being sent; as long as that is not too much."""
        if self.role is not Role.LEADER or self.size > self._times.log:
            return self.applied
        wanted = self.applied
        for progress in self._progress.values():
            if progress.heard <= now - self._times.election:
                continue
            if progress.match > self.base:
                wanted = min(wanted, progress.match)
            elif self._offered is not None and progress.piece[0] == self._offered.upto:
                wanted = min(wanted, self._offered.upto)
        return wanted

    def _send_piece(self, name: str, progress: Progress, again: bool) -> None:
        """The next part of the snapshot; one at a time, the same again with the next heartbeat."""
        if progress.sent and not again:
            return
        assert self.snapshot is not None, "the log was cut without a snapshot"
        if self._offered is None or self._offered.upto < self.base:  # what stands behind it is no more
            self._offered = self.snapshot
        upto, term, members, data = self._offered
        if progress.piece[0] != upto:
            progress.piece = (upto, 0)
        offset = progress.piece[1]
        progress.sent = True
        self._say(
            name,
            Piece(
                self.term,
                upto,
                term,
                members,
                len(data),
                zlib.crc32(data),
                offset,
                data[offset : offset + self._times.piece],
                self._round,
            ),
        )

    def _piece(self, now: float, sender: str, message: Piece) -> None:
        if message.term < self.term:
            self._say(sender, Taken(self.term, message.upto, 0, message.round))
            return
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(now, message.term, sender)
        self.heard_leader, self._election_at = now, now + self._drawn()
        if message.upto <= self.commit:
            self._say(sender, Appended(self.term, True, self.commit, message.round))
            return
        which = (message.upto, message.last_term, message.total, message.check)
        if self._incoming is None or self._incoming[0] != which:
            self._incoming = (which, bytearray())
        data = self._incoming[1]
        if message.offset <= len(data):
            data[message.offset :] = message.data
        if len(data) < message.total:
            self._say(sender, Taken(self.term, message.upto, len(data), message.round))
            return
        self._incoming = None
        if zlib.crc32(data) != message.check:
            self._say(sender, Taken(self.term, message.upto, 0, message.round))
            return
        self._install(Snapshot(message.upto, message.last_term, message.members, bytes(data)))
        self._say(sender, Appended(self.term, True, message.upto, message.round))

    def _install(self, snapshot: Snapshot) -> None:
        """Take over a leader's state, unless the log has come there meanwhile."""
        if snapshot.upto <= self.last and self.term_at(snapshot.upto) == snapshot.term:
            self._commit(snapshot.upto)
            return
        self.snapshot, self.log, self.size, self.since = snapshot, [], 0, 0
        self.base, self.base_term = snapshot.upto, snapshot.term
        self.commit = self.applied = snapshot.upto
        self.members = snapshot.members
        self._effects += [Persist(self.term, self.vote, 0, (), snapshot, snapshot.upto, True), Restore(snapshot)]

    def _taken(self, now: float, sender: str, message: Taken) -> None:
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.heard, progress.round = now, max(progress.round, message.round)
        if message.upto == progress.piece[0]:
            progress.piece, progress.sent = (message.upto, message.offset), False
        self._replicate(sender)
        self._answer_reads()

    # --- reads, handing over ---

    def _answer_reads(self) -> None:
        """A majority has answered a round that began after the read was asked for: nobody else led before that."""
        if not self._reads:
            return
        rounds = sorted(
            self._round if name == self.name else self._progress[name].round for name in self.members.voters
        )
        sure = rounds[len(rounds) - self._majority()]
        for id, index, round in self._reads:
            if round <= sure:
                self._effects.append(Readable(id, index))
        self._reads = [read for read in self._reads if read[2] > sure]

    def _hand(self) -> None:
        """Have the successor begin, once it has everything."""
        progress = self._progress.get(self._handing)
        if progress is not None and progress.match == self.last:
            self._say(self._handing, Begin(self.term))

    def _say(self, to: str, message: Message) -> None:
        self._effects.append(Send(to, message))
