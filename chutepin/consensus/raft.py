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
    AppendEntries,
    AppendEntriesReply,
    Apply,
    Effect,
    Entry,
    EntryKind,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Membership,
    Persist,
    RaftMessage,
    ReadReady,
    RequestVote,
    RequestVoteReply,
    Restore,
    Send,
    Snapshot,
    TimeoutNow,
)


class Role(IntEnum):
    """What a member is at the moment."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1  # asks whether it would win
    CANDIDATE = 2
    LEADER = 3


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Seconds, and bytes."""

    election: float = 1.0  # without a leader before a vote is asked for; up to twice that, drawn
    heartbeat: float = 0.2
    in_flight: int = 256 * 1024  # bytes of entries that a follower has not acknowledged
    piece: int = 64 * 1024  # bytes of entries, or of a snapshot, in one message
    log: int = 4 * 2**20  # bytes of entries for which a leader waits for those behind before it lets go of them
    kept: int = 256 * 1024  # bytes of entries behind a snapshot that are kept in any case, for those a little behind


@dataclass(slots=True)
class PersistentState:
    """What survives a crash."""

    term: int = 0
    voted_for: str = ""
    entries: list[Entry] = field(default_factory=list)  # all behind `base`
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0

    def persist(self, change: Persist) -> None:
        """Take in what has become durable."""
        self.term, self.voted_for = change.term, change.voted_for
        if change.snapshot is not None:
            self.snapshot = change.snapshot
            if change.discard_log:
                self.entries, self.base_index, self.base_term = [], change.snapshot.up_to_index, change.snapshot.term
            elif change.base_index > self.base_index:
                self.base_term = self.entries[change.base_index - self.base_index - 1].term
                del self.entries[: change.base_index - self.base_index]
                self.base_index = change.base_index
        if change.entries:
            self.entries[change.first - self.base_index - 1 :] = change.entries


@dataclass(slots=True)
class Progress:
    """What a leader knows of one follower."""

    next: int
    match_index: int = 0
    probing: bool = True  # where its log ends is not known: one message at a time
    in_flight: list[tuple[int, int]] = field(default_factory=list)  # (last index, bytes) of messages not yet answered
    heard: float = -math.inf
    round: int = 0  # of heartbeats that it has answered
    piece: tuple[int, int] = (0, 0)  # index and bytes of the snapshot that it has
    sent: bool = False  # a piece is on its way
    told: int = 0  # how far all is agreed, as it was last told


def _cost(entry: Entry) -> int:
    """Bytes that an entry takes, about."""
    return len(entry.data) + 32


class RejectedError(Exception):
    """It was not taken, and never will be under this call; the message says why, `leader` who may take it."""

    def __init__(self, why: str, leader: str = "") -> None:
        super().__init__(why)
        self.leader = leader


class RaftNode:
    """One member."""

    def __init__(
        self,
        name: str,
        first: Membership,
        durable: PersistentState,
        now: float,
        rng: random.Random,
        times: RaftSettings = RaftSettings(),
    ) -> None:
        """`first`: who votes before any entry says otherwise; the same on all. `durable` is read, not kept."""
        self.name, self._first, self._rng, self._times = name, first, rng, times
        self.term, self.voted_for = durable.term, durable.voted_for
        self.log: list[Entry] = list(durable.entries)  # behind `base`
        self.base_index, self.base_term, self.snapshot = durable.base_index, durable.base_term, durable.snapshot
        self.size = sum(map(_cost, self.log))  # bytes of the log
        self.since = 0  # bytes of what was applied since the last snapshot
        self._offered: Snapshot | None = None  # the one that followers are being sent
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = self.applied_index = self.snapshot.up_to_index if self.snapshot is not None else 0
        self._incoming: tuple[tuple[int, int, int, int], bytearray] | None = None  # a snapshot that comes in pieces
        self.membership = self._members_of_log()
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

    def next_deadline(self) -> float:
        """When `tick` is due."""
        return min(self._heartbeat_at, self._election_at)

    @property
    def last_index(self) -> int:
        """The index of the last entry; 0 for none."""
        return self.base_index + len(self.log)

    def term_at(self, index: int) -> int:
        """The term of an entry; 0 before the first, and of those that are no more."""
        if index == self.base_index:
            return self.base_term
        return self.log[index - self.base_index - 1].term if self.base_index < index <= self.last_index else 0

    def _from(self, index: int) -> list[Entry]:
        return self.log[index - self.base_index - 1 :]

    def _cut_to(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Replace the log from an index on."""
        self.size += sum(map(_cost, entries)) - sum(map(_cost, self._from(first)))
        self.log[first - self.base_index - 1 :] = entries

    def lag(self, name: str) -> int:
        """Entries that a member lacks, as far as the leader knows."""
        progress = self._progress.get(name)
        return 0 if name == self.name else self.last_index - (progress.match_index if progress is not None else 0)

    def voters_by_lag(self) -> list[str]:
        """The other voters, those first that lack least."""
        return sorted((name for name in self.membership.voters if name != self.name), key=self.lag)

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
            if self.name not in self.membership.voters or not self._hears_majority(now):
                self._follow(now, self.term, "")
        else:
            self._election_at = now + self._drawn()
            if self.name in self.membership.voters:
                self._campaign(now, Role.PRE_CANDIDATE, False)

    def propose(self, now: float, data: bytes) -> int:
        """Put something to be agreed into the log; its index. It is agreed once it comes out as `Apply` at that index
        with this term; where the leader changes first, it may be or not. Raises RefusedError."""
        self._must_lead()
        return self._add(Entry(self.last_index + 1, self.term, EntryKind.PROPOSAL, data))

    def change_membership(self, now: float, membership: Membership) -> int:
        """Change who takes part: learners at will, voters one at a time. Raises RefusedError."""
        self._must_lead()
        if self.term_at(self.commit_index) != self.term:
            raise RejectedError("nothing of this term is agreed yet", self.name)
        if any(entry.kind is EntryKind.VOTERS for entry in self._from(self.commit_index + 1)):
            raise RejectedError("another change of voters is under way", self.name)
        if len(set(membership.voters) ^ set(self.membership.voters)) > 1:
            raise RejectedError("one voter at a time", self.name)
        if not membership.voters:
            raise RejectedError("nobody would vote", self.name)
        for name in membership.everybody:
            if membership.everybody.count(name) > 1:  # it would count as two in a majority
                raise RejectedError(f"{name} takes part already", self.name)
        for name in set(membership.voters) - set(self.membership.voters):
            progress = self._progress.get(name)
            if progress is None or progress.match_index < self.commit_index:
                raise RejectedError(f"{name} has not caught up as a learner", self.name)
        return self._add(Entry(self.last_index + 1, self.term, EntryKind.VOTERS, membership=membership))

    def read(self, now: float, id: int) -> None:
        """Ask for an index at which a read sees all that was agreed before it; `Readable` tells it. Raises
        RefusedError."""
        self._must_lead()
        if self.term_at(self.commit_index) != self.term:
            raise RejectedError("nothing of this term is agreed yet", self.name)
        self._beat()
        self._reads.append((id, self.commit_index, self._round))
        self._answer_reads()

    def transfer_leadership(self, now: float, to: str) -> None:
        """Bring `to` up to date and have it elected; proposals are refused meanwhile, for an election time at the most.
        Raises RefusedError."""
        self._must_lead()
        if to == self.name or to not in self.membership.voters:
            raise RejectedError(f"{to} is no other voter", self.name)
        self._handing, self._handing_until = to, now + self._times.election
        self._hand()

    def receive(self, now: float, sender: str, message: RaftMessage) -> None:
        """Take in a message."""
        if isinstance(message, RequestVote) and self._ignores(now, sender, message):
            return
        raises = not (isinstance(message, RequestVote) and message.pre) and not (
            isinstance(message, RequestVoteReply) and message.pre and message.granted
        )
        if message.term > self.term and raises:
            self._follow(now, message.term, "")
        match message:
            case RequestVote():
                self._asked(now, sender, message)
            case RequestVoteReply():
                self._voted(now, sender, message)
            case AppendEntries():
                self._append(now, sender, message)
            case AppendEntriesReply() if message.term == self.term and self.role is Role.LEADER:
                self._appended(now, sender, message)
            case InstallSnapshotChunk():
                self._piece(now, sender, message)
            case InstallSnapshotReply() if message.term == self.term and self.role is Role.LEADER:
                self._taken(now, sender, message)
            case TimeoutNow() if message.term == self.term and self.name in self.membership.voters:
                self._campaign(now, Role.CANDIDATE, True)
            case _:
                pass  # an answer to what is over

    # --- elections ---

    def _drawn(self) -> float:
        return self._times.election * (1 + self._rng.random())

    def _majority(self) -> int:
        return len(self.membership.voters) // 2 + 1

    def _ignores(self, now: float, sender: str, ask: RequestVote) -> bool:
        """Whoever hears a leader does not vote against it, unless the leader itself hands over."""
        if ask.handed:
            return False
        leads = self.role is Role.LEADER and self._hears_majority(now)
        return leads or (self.leader != "" and now < self.heard_leader + self._times.election)

    def _hears_majority(self, now: float) -> bool:
        heard = sum(
            name == self.name or self._progress[name].heard > now - self._times.election
            for name in self.membership.voters
        )
        return heard >= self._majority()

    def _follow(self, now: float, term: int, leader: str) -> None:
        """Be a follower in a term."""
        if term > self.term:
            self.term, self.voted_for = term, ""
            self._persist()
        if self.role is Role.LEADER:
            for id, _, _ in self._reads:
                self._effects.append(ReadReady(id, -1))
            self._reads.clear()
            self._handing, self._handing_until = "", math.inf
        self.role, self.leader = Role.FOLLOWER, leader
        self._heartbeat_at, self._election_at = math.inf, now + self._drawn()

    def _campaign(self, now: float, role: Role, handed: bool) -> None:
        self.role, self.leader = role, ""
        self._heartbeat_at, self._election_at = math.inf, now + self._drawn()
        term = self.term + 1
        if role is Role.CANDIDATE:
            self.term, self.voted_for = term, self.name
            self._persist()
        self._votes = {self.name}
        for name in self.membership.voters:
            if name != self.name:
                self._say(
                    name,
                    RequestVote(
                        term, self.last_index, self.term_at(self.last_index), role is Role.PRE_CANDIDATE, handed
                    ),
                )
        self._count(now)

    def _asked(self, now: float, sender: str, ask: RequestVote) -> None:
        upto_date = (ask.last_term, ask.last_index) >= (self.term_at(self.last_index), self.last_index)
        if ask.pre:
            self._say(
                sender,
                RequestVoteReply(
                    ask.term if upto_date and ask.term > self.term else self.term,
                    True,
                    upto_date and ask.term > self.term,
                ),
            )
            return
        granted = ask.term == self.term and self.voted_for in ("", sender) and upto_date and self.role is Role.FOLLOWER
        if granted and self.voted_for != sender:
            self.voted_for = sender
            self._persist()
        if granted:
            self._election_at = now + self._drawn()
        self._say(sender, RequestVoteReply(self.term, False, granted))

    def _voted(self, now: float, sender: str, vote: RequestVoteReply) -> None:
        wanted = (Role.PRE_CANDIDATE, self.term + 1) if vote.pre else (Role.CANDIDATE, self.term)
        if vote.granted and (self.role, vote.term) == wanted and sender in self.membership.voters:
            self._votes.add(sender)
            self._count(now)

    def _count(self, now: float) -> None:
        """Whether the votes are enough."""
        if len(self._votes & set(self.membership.voters)) < self._majority():
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, Role.CANDIDATE, False)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._progress = {name: Progress(self.last_index + 1, heard=now) for name in self.membership.everybody}
        self._round = 0
        self._heartbeat_at, self._election_at = now + self._times.heartbeat, now + self._times.election
        self._add(Entry(self.last_index + 1, self.term, EntryKind.NO_OP))

    # --- the log ---

    def _persist(self, first: int = 0) -> None:
        entries = tuple(self._from(first)) if first else ()
        self._effects.append(Persist(self.term, self.voted_for, first, entries))

    def _members_of_log(self) -> Membership:
        """The last change of voters in the log holds from the moment that it stands there, agreed or not."""
        return self._members_at(self.last_index)

    def _members_at(self, index: int) -> Membership:
        for entry in reversed(self.log[: max(0, index - self.base_index)]):
            if entry.membership is not None:
                return entry.membership
        return self.snapshot.membership if self.snapshot is not None else self._first

    def _must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise RejectedError("not the leader", self.leader)
        if self._handing:
            raise RejectedError("the leader hands over", self._handing)

    def _add(self, entry: Entry) -> int:
        """A leader's own entry. The followers may have it before it is durable here: its effects stand behind."""
        self._cut_to(entry.index, (entry,))
        if entry.membership is not None:
            self.membership = entry.membership
            for name in entry.membership.everybody:
                self._progress.setdefault(name, Progress(entry.index))
            for name in set(self._progress) - set(entry.membership.everybody):
                del self._progress[name]
        for name in self._progress:
            self._replicate(name)
        self._persist(entry.index)
        self._advance()
        return entry.index

    def announce_commit(self) -> None:
        """Tell followers that lack nothing how far all is agreed, lest they learn it with the next heartbeat only."""
        for name, progress in self._progress.items() if self.role is Role.LEADER else ():
            if name != self.name and progress.told < self.commit_index and progress.match_index == self.last_index:
                self._replicate(name, beat=True)

    def _beat(self) -> None:
        """A round of heartbeats. Each carries what its follower has room for."""
        self._round += 1
        for name, progress in self._progress.items():
            if name != self.name:
                progress.in_flight.clear()  # what was not answered by now is sent again
                self._replicate(name, beat=True)

    def _replicate(self, name: str, beat: bool = False) -> None:
        """Send a follower what it lacks, within its room; with `beat` also if that is nothing."""
        if name == self.name:
            return
        progress = self._progress[name]
        if progress.next <= self.base_index:
            self._send_piece(name, progress, beat)
            return
        while (part := self._next_part(progress)) or beat:
            entries, size = part or ((), 0)
            self._say(
                name,
                AppendEntries(
                    self.term,
                    progress.next - 1,
                    self.term_at(progress.next - 1),
                    entries,
                    self.commit_index,
                    self._round,
                ),
            )
            progress.told, beat = self.commit_index, False
            if entries:
                progress.in_flight.append((entries[-1].index, size))
                if not progress.probing:
                    progress.next = entries[-1].index + 1
            if progress.probing or not entries:
                return

    def _next_part(self, progress: Progress) -> tuple[tuple[Entry, ...], int] | None:
        """Entries for a follower and their bytes, if there are any and it has room for them."""
        room = self._times.in_flight - sum(part for _, part in progress.in_flight)
        if room <= 0 or (progress.probing and progress.in_flight):
            return None
        entries, size = list[Entry](), 0
        for entry in itertools.islice(self.log, progress.next - self.base_index - 1, None):
            cost = _cost(entry)
            if entries and size + cost > min(room, self._times.piece):
                break
            entries.append(entry)
            size += cost
        return (tuple(entries), size) if entries else None

    def _append(self, now: float, sender: str, message: AppendEntries) -> None:
        if message.term < self.term:
            self._say(sender, AppendEntriesReply(self.term, False, self.last_index, message.round))
            return
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(now, message.term, sender)
        self.heard_leader, self._election_at = now, now + self._drawn()
        prev = message.prev_index
        # What stands at the base or before it is agreed, so it is the leader's too.
        if prev > self.last_index or (prev >= self.base_index and self.term_at(prev) != message.prev_term):
            hint = min(self.last_index, prev - 1)
            bad = self.term_at(hint + 1)
            while bad and hint > self.commit_index and self.term_at(hint) == bad:
                hint -= 1  # no entry of a term that has conflicted is worth a try
            self._say(sender, AppendEntriesReply(self.term, False, max(hint, self.commit_index), message.round))
            return
        for entry in message.entries:
            if entry.index > self.base_index and self.term_at(entry.index) != entry.term:
                assert entry.index > self.commit_index, "an agreed entry would be replaced"
                self._cut_to(entry.index, message.entries[entry.index - prev - 1 :])
                self.membership = self._members_of_log()
                self._persist(entry.index)
                break
        match = prev + len(message.entries)
        self._say(sender, AppendEntriesReply(self.term, True, match, message.round))
        self._commit(min(message.commit_index, match))

    def _appended(self, now: float, sender: str, message: AppendEntriesReply) -> None:
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.heard, progress.round = now, max(progress.round, message.round)
        progress.sent = False
        if message.ok:
            progress.probing = False
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next = max(progress.next, progress.match_index + 1)
            progress.in_flight = [part for part in progress.in_flight if part[0] > progress.match_index]
            self._advance()
            self._hand()
        elif message.match_index >= progress.match_index:
            progress.probing, progress.next = (
                True,
                min(max(progress.match_index, message.match_index) + 1, self.last_index + 1),
            )
            progress.in_flight.clear()
        self._replicate(sender)
        self._answer_reads()

    def _advance(self) -> None:
        """What a majority has is agreed, if it is of this term; what stands before it is with it."""
        matches = sorted(
            self.last_index if name == self.name else self._progress[name].match_index
            for name in self.membership.voters
        )
        agreed = matches[len(matches) - self._majority()]
        if agreed > self.commit_index and self.term_at(agreed) == self.term:
            self._commit(agreed)
            if self.name not in self.membership.voters and not any(
                entry.kind is EntryKind.VOTERS for entry in self._from(self.commit_index + 1)
            ):
                self._beat()  # the others hear that it is agreed; then it steps down
                self._election_at = -math.inf

    def _commit(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        entries = tuple(self._from(self.applied_index + 1)[: index - self.applied_index])
        self.since += sum(map(_cost, entries))
        self._effects.append(Apply(entries))
        self.applied_index = index

    # --- snapshots ---

    def compact(self, now: float, data: bytes) -> None:
        """Keep the state after all that was applied, and let go of the log before it; a leader keeps what followers
        that it hears still lack, as long as that is not too much. Nothing is done where nothing was applied since."""
        if self.applied_index <= (self.snapshot.up_to_index if self.snapshot is not None else 0):
            return
        snapshot = Snapshot(
            self.applied_index, self.term_at(self.applied_index), self._members_at(self.applied_index), data
        )
        base_index = min(self._kept_from(), self._wanted_from(now))
        self.snapshot, self.since = snapshot, 0
        base_term = self.term_at(base_index)
        gone = self.log[: base_index - self.base_index]
        self.size -= sum(map(_cost, gone))
        del self.log[: len(gone)]
        self.base_index, self.base_term = base_index, base_term
        self._effects.append(Persist(self.term, self.voted_for, 0, (), snapshot, base_index))

    def _kept_from(self) -> int:
        """The base that leaves as much of the log as is kept in any case."""
        base_index, size = self.applied_index, sum(map(_cost, self._from(self.applied_index + 1)))
        for entry in reversed(self.log[: self.applied_index - self.base_index]):
            size += _cost(entry)
            if size > self._times.kept:
                break
            base_index = entry.index - 1
        return base_index

    def _wanted_from(self, now: float) -> int:
        """The base that leaves a leader all that followers lack, or will once they have the snapshot that they are
        being sent; as long as that is not too much."""
        if self.role is not Role.LEADER or self.size > self._times.log:
            return self.applied_index
        wanted = self.applied_index
        for progress in self._progress.values():
            if progress.heard <= now - self._times.election:
                continue
            if progress.match_index > self.base_index:
                wanted = min(wanted, progress.match_index)
            elif self._offered is not None and progress.piece[0] == self._offered.up_to_index:
                wanted = min(wanted, self._offered.up_to_index)
        return wanted

    def _send_piece(self, name: str, progress: Progress, again: bool) -> None:
        """The next part of the snapshot; one at a time, the same again with the next heartbeat."""
        if progress.sent and not again:
            return
        assert self.snapshot is not None, "the log was cut without a snapshot"
        if self._offered is None or self._offered.up_to_index < self.base_index:  # what stands behind it is no more
            self._offered = self.snapshot
        up_to_index, term, membership, data = self._offered
        if progress.piece[0] != up_to_index:
            progress.piece = (up_to_index, 0)
        offset = progress.piece[1]
        progress.sent = True
        self._say(
            name,
            InstallSnapshotChunk(
                self.term,
                up_to_index,
                term,
                membership,
                len(data),
                zlib.crc32(data),
                offset,
                data[offset : offset + self._times.piece],
                self._round,
            ),
        )

    def _piece(self, now: float, sender: str, message: InstallSnapshotChunk) -> None:
        if message.term < self.term:
            self._say(sender, InstallSnapshotReply(self.term, message.up_to_index, 0, message.round))
            return
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(now, message.term, sender)
        self.heard_leader, self._election_at = now, now + self._drawn()
        if message.up_to_index <= self.commit_index:
            self._say(sender, AppendEntriesReply(self.term, True, self.commit_index, message.round))
            return
        which = (message.up_to_index, message.last_term, message.total, message.check)
        if self._incoming is None or self._incoming[0] != which:
            self._incoming = (which, bytearray())
        data = self._incoming[1]
        if message.offset <= len(data):
            data[message.offset :] = message.data
        if len(data) < message.total:
            self._say(sender, InstallSnapshotReply(self.term, message.up_to_index, len(data), message.round))
            return
        self._incoming = None
        if zlib.crc32(data) != message.check:
            self._say(sender, InstallSnapshotReply(self.term, message.up_to_index, 0, message.round))
            return
        self._install(Snapshot(message.up_to_index, message.last_term, message.membership, bytes(data)))
        self._say(sender, AppendEntriesReply(self.term, True, message.up_to_index, message.round))

    def _install(self, snapshot: Snapshot) -> None:
        """Take over a leader's state, unless the log has come there meanwhile."""
        if snapshot.up_to_index <= self.last_index and self.term_at(snapshot.up_to_index) == snapshot.term:
            self._commit(snapshot.up_to_index)
            return
        self.snapshot, self.log, self.size, self.since = snapshot, [], 0, 0
        self.base_index, self.base_term = snapshot.up_to_index, snapshot.term
        self.commit_index = self.applied_index = snapshot.up_to_index
        self.membership = snapshot.membership
        self._effects += [
            Persist(self.term, self.voted_for, 0, (), snapshot, snapshot.up_to_index, True),
            Restore(snapshot),
        ]

    def _taken(self, now: float, sender: str, message: InstallSnapshotReply) -> None:
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.heard, progress.round = now, max(progress.round, message.round)
        if message.up_to_index == progress.piece[0]:
            progress.piece, progress.sent = (message.up_to_index, message.offset), False
        self._replicate(sender)
        self._answer_reads()

    # --- reads, handing over ---

    def _answer_reads(self) -> None:
        """A majority has answered a round that began after the read was asked for: nobody else led before that."""
        if not self._reads:
            return
        rounds = sorted(
            self._round if name == self.name else self._progress[name].round for name in self.membership.voters
        )
        sure = rounds[len(rounds) - self._majority()]
        for id, index, round in self._reads:
            if round <= sure:
                self._effects.append(ReadReady(id, index))
        self._reads = [read for read in self._reads if read[2] > sure]

    def _hand(self) -> None:
        """Have the successor begin, once it has everything."""
        progress = self._progress.get(self._handing)
        if progress is not None and progress.match_index == self.last_index:
            self._say(self._handing, TimeoutNow(self.term))

    def _say(self, to: str, message: RaftMessage) -> None:
        self._effects.append(Send(to, message))
