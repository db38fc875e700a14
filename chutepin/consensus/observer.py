"""Those that follow the log without a vote, and follow each other, so that many of them do not load the leader. Pure.

An observer asks one member (`Pull`), which answers once (`Feed`), when there is news or after a heartbeat. It is only
told what is agreed, so it needs no vote, no term and no disk: after a restart it asks from nothing."""

from __future__ import annotations

import math
import random
import zlib
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .identity import node_name
from .messages import Entry, Membership, Snapshot
from .raft import RaftNode

FAN = 8  # observers that one member serves directly, about
MOST = 64  # that may ask at once
KEPT = 256 * 1024  # bytes of entries that an observer can pass on
HOLD, AGAIN = 4.0, 6.0  # heartbeats: an answer without news waits so long; then the question comes again
SILENT = 15.0  # heartbeats without news of a leader after which somebody else is asked
MAX_DEPTH = 16


class FetchRequest(NamedTuple):
    """Tell me what is agreed behind `applied`; of the snapshot at `upto` I have `offset` bytes. `depth` is the asker's
    distance from a voter: who is as far away itself has nothing to give."""

    applied_index: int
    up_to_index: int
    offset: int
    depth: int


class FetchReply(NamedTuple):
    """Entries behind what was asked for, or a piece of the snapshot at `upto`; who takes part, who leads, how
    many milliseconds ago that was heard (-1: not lately), and how far from a voter the sender is."""

    entries: tuple[Entry, ...]
    leader: str
    age: int
    depth: int
    membership: Membership
    up_to_index: int
    last_term: int
    total: int
    check: int
    offset: int
    data: bytes


class Observer:
    """What a member without a vote knows of whom it follows."""

    def __init__(self, name: str, now: float, rng: random.Random, every: float) -> None:
        self.name, self._rng, self._every = name, rng, every
        self.others: tuple[str, ...] = ()  # observers that live, this one among them, sorted; the edge keeps it
        self.leader, self.fresh, self.depth = "", -math.inf, MAX_DEPTH
        self.upstream = ""
        self.kept: deque[Entry] = deque()
        self._kept = 0  # bytes
        self._incoming: tuple[tuple[int, int, int], bytearray] | None = None
        self._at = now  # when to ask
        self._since = now  # when this upstream was chosen, or last had news

    def next_deadline(self) -> float:
        """When `pull` is due."""
        return self._at

    def pull(self, now: float, applied: int, voters: tuple[str, ...]) -> tuple[str, FetchRequest] | None:
        """Whom to ask what."""
        self._at = now + AGAIN * self._every
        if now - self.fresh > 2 * SILENT * self._every:
            self.leader, self.depth = "", MAX_DEPTH
        if now - self._since > SILENT * self._every or not self.upstream:
            self._choose(now, voters)
        if not self.upstream:
            return None
        at, offset = (self._incoming[0][0], len(self._incoming[1])) if self._incoming is not None else (0, 0)
        return self.upstream, FetchRequest(applied, at, offset, self.depth)

    def _choose(self, now: float, voters: tuple[str, ...]) -> None:
        """By its place among the observers, so that each serves a few; where that one is silent any voter will do."""
        self._since = now
        others = self.others or (self.name,)
        me = node_name(self.name)
        place = others.index(me) if me in others else 0
        at = place - FAN * len(voters)
        wanted = voters[place % len(voters)] if voters and at < 0 else others[at // FAN] if others and at >= 0 else ""
        if node_name(wanted) in (node_name(self.upstream), me):
            wanted = self._rng.choice(voters) if voters else ""
        self.upstream = wanted

    def fed(self, now: float, sender: str, feed: FetchReply, applied: int) -> Snapshot | None:
        """Take in news; a snapshot that is whole now. The next question is due at once where there is more."""
        if node_name(sender) != node_name(self.upstream) or feed.depth >= MAX_DEPTH:
            return None
        if 0 <= feed.age < 1000 * SILENT * self._every:
            self._since, self.depth = now, feed.depth + 1
            if now - feed.age / 1000 >= self.fresh:
                self.leader, self.fresh = feed.leader, now - feed.age / 1000
        else:
            self.depth = MAX_DEPTH
        self._at = now if feed.entries or feed.total else now + 0.01
        for entry in feed.entries:
            if not self.kept or entry.index == self.kept[-1].index + 1:
                self.kept.append(entry)
                self._kept += len(entry.data) + 32
        while self._kept > KEPT:
            self._kept -= len(self.kept.popleft().data) + 32
        if not feed.total or feed.up_to_index <= applied:
            return None
        return self._piece(feed)

    def _piece(self, feed: FetchReply) -> Snapshot | None:
        which = (feed.up_to_index, feed.total, feed.check)
        if self._incoming is None or self._incoming[0] != which:
            self._incoming = (which, bytearray())
        data = self._incoming[1]
        if feed.offset <= len(data):
            data[feed.offset :] = feed.data
        if len(data) < feed.total:
            return None
        self._incoming = None
        if zlib.crc32(data) != feed.check:
            return None
        self.kept.clear()
        self._kept = 0
        return Snapshot(feed.up_to_index, feed.last_term, feed.membership, bytes(data))


class PendingFetches:
    """Those that have asked this member and wait for news."""

    def __init__(self, piece: int, every: float) -> None:
        """`piece`: bytes in one answer. `every`: seconds of a heartbeat."""
        self._piece, self._hold = piece, HOLD * every
        self._waiting: dict[str, tuple[float, FetchRequest]] = {}  # until when, what
        self._offered: Snapshot | None = None  # that some are being sent
        self.refused = 0

    def next_deadline(self) -> float:
        """When an answer without news is due."""
        return min((until for until, _ in self._waiting.values()), default=math.inf)

    def ask(self, now: float, sender: str, pull: FetchRequest) -> None:
        """Somebody asks."""
        if sender not in self._waiting and len(self._waiting) >= MOST:
            self.refused += 1
            return
        self._waiting[sender] = (now + self._hold, pull)

    def feeds(
        self,
        now: float,
        core: RaftNode,
        observer: Observer,
        applied: int,
        leader: str,
        fresh: float,
        depth: int,
        make: Callable[[], Snapshot],
        membership: Membership,
    ) -> Iterator[tuple[str, FetchReply]]:
        """Answers that are due. `make`: the state of now, for one that lacks more than is kept here."""
        if not self._waiting:
            return
        age = int(1000 * (now - fresh)) if leader and now - fresh < 60 else -1
        for name, (until, pull) in list(self._waiting.items()):
            if applied <= pull.applied_index and now < until:
                continue
            del self._waiting[name]
            if pull.depth < depth < MAX_DEPTH:  # who is nearer to a voter itself: nothing may go round in a circle
                yield name, FetchReply((), "", -1, MAX_DEPTH, Membership(()), 0, 0, 0, 0, 0, b"")
                continue
            yield name, self._answer(core, observer, pull, applied, leader, age, depth, make, membership)

    def _answer(
        self,
        core: RaftNode,
        observer: Observer,
        pull: FetchRequest,
        applied: int,
        leader: str,
        age: int,
        depth: int,
        make: Callable[[], Snapshot],
        membership: Membership,
    ) -> FetchReply:
        entries, size = list[Entry](), 0
        # What others have told beyond what this member's log knows to be agreed: its own entries there may be others.
        follows = core.log.commit_index < applied
        mine: Iterator[Entry] = (
            iter(core.log.entries) if not follows and core.log.base_index <= pull.applied_index else iter(observer.kept)
        )
        for entry in mine:
            if pull.applied_index < entry.index <= applied:
                if entry.index != pull.applied_index + len(entries) + 1 or size > self._piece:
                    break
                entries.append(entry)
                size += len(entry.data) + 32
        head = (tuple(entries), leader, age, depth, membership)
        if entries or applied <= pull.applied_index:
            return FetchReply(*head, 0, 0, 0, 0, 0, b"")
        snapshot = self._offered
        if (
            snapshot is None
            or snapshot.up_to_index <= pull.applied_index
            or (snapshot.up_to_index < core.log.base_index if not follows else pull.up_to_index != snapshot.up_to_index)
        ):
            newest = core.log.snapshot if not follows else None
            snapshot = self._offered = (
                newest if newest is not None and newest.up_to_index > pull.applied_index else make()
            )
        offset = pull.offset if pull.up_to_index == snapshot.up_to_index else 0
        return FetchReply(
            *head,
            snapshot.up_to_index,
            snapshot.term,
            len(snapshot.data),
            zlib.crc32(snapshot.data),
            offset,
            snapshot.data[offset : offset + self._piece],
        )
