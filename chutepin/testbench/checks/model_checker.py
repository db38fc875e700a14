"""Model checking of the Raft node: the real code, driven through all interleavings of a small scope.

A step is one input to one member (a message that arrives, an election that begins, a heartbeat, a proposal, a change of
membership, a restart) with all effects that follow, or with a crash after some of them. A message may arrive late,
never or twice, in any order. As nobody sees a member's effects before they are carried out, that covers all
interleavings; what a member does while a write is under way amounts to the message being lost in the crash."""

from __future__ import annotations

import contextlib
import copy
import itertools
import random
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from chutepin.consensus.errors import RejectedError
from chutepin.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Apply,
    Effect,
    Entry,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Membership,
    Persist,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Restore,
    Send,
    TimeoutNow,
)
from chutepin.consensus.persistent_state import PersistentState
from chutepin.consensus.progress import Progress
from chutepin.consensus.raft import RaftNode
from chutepin.consensus.settings import RaftSettings
from chutepin.consensus.state import Role

Packet = tuple[str, str, RaftMessage]  # to, from, message
MESSAGE_ORDER: tuple[type, ...] = (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    TimeoutNow,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    RequestVoteReply,
)
# Safety must not rest on time, so it stands still. One entry in a message, so old entries arrive without newer ones.
NO_LEASE = RaftSettings(election_timeout_s=0.0, heartbeat_interval_s=0.0, max_chunk_bytes=1)


class _Zero(random.Random):
    """A generator that always draws zero: the node draws times only."""

    def random(self) -> float:
        return 0.0


@dataclass(frozen=True, slots=True)
class Scope:
    """How much may happen in one run."""

    voters: int = 3
    elections: int = 2
    proposals: int = 1
    beats: int = 0
    crashes: int = 0
    twice: int = 0  # messages that are delivered twice
    changes: tuple[Membership, ...] = ()
    snapshots: int = 0


class BrokenError(Exception):
    """An invariant does not hold."""


class World:
    """All members, the messages in flight, and all that was ever committed."""

    def __init__(self, scope: Scope, make: type[RaftNode] = RaftNode) -> None:
        self.left, self._make = scope, make
        self.names = [f"v{number}" for number in range(1, scope.voters + 1)]
        self.first = Membership(tuple(self.names))
        extra = sorted({name for change in scope.changes for name in change.all_members} - set(self.names))
        self.saved = {name: PersistentState() for name in self.names + extra}
        self.nodes: dict[str, RaftNode | None] = {name: self._begin(name) for name in self.saved}
        self.network: tuple[Packet, ...] = ()
        self.leaders: dict[int, str] = {}
        self.committed: tuple[Entry, ...] = ()

    def _begin(self, name: str) -> RaftNode:
        return self._make(name, self.first, self.saved[name], 0.0, _Zero(), NO_LEASE)

    def copy(self) -> World:
        """Return an independent copy."""
        other = copy.copy(self)
        other.saved = {name: replace(d, entries=d.entries[:]) for name, d in self.saved.items()}
        other.nodes = {name: None if node is None else node.copy() for name, node in self.nodes.items()}
        other.leaders = dict(self.leaders)
        return other

    # --- steps ---

    def steps(self) -> Iterator[tuple[str, ...]]:
        """Iterate over all that may happen next."""
        for number in range(len(self.network)):
            if self.network[number] in self.network[:number]:
                continue
            if self.nodes[self.network[number][0]] is not None:
                yield ("deliver", str(number))
                if self.left.twice:
                    yield ("twice", str(number))
        for name, node in self.nodes.items():
            if node is None:
                yield ("restart", name)
                continue
            yield from self._of(name, node)

    def _of(self, name: str, node: RaftNode) -> Iterator[tuple[str, ...]]:
        """Iterate over what a running member may do by itself."""
        if self.left.snapshots and node.log.commit_index > node.log.base_index:
            yield ("compact", name)
        if node.role is not Role.LEADER:
            if self.left.elections and name in node.membership.voters:
                yield ("elect", name)
            return
        if self.left.beats:
            yield ("beat", name)
        if self.left.proposals:
            yield ("propose", name)
        if self.left.changes:
            yield ("change", name)

    def take(self, step: tuple[str, ...], done: int | None = None) -> int:
        """Make a step; return how many effects it has. `done`: crash after so many of them. Raises BrokenError."""
        what, which = step
        name = which
        if what in ("deliver", "twice"):
            to, sender, message = self.network[int(which)]
            if what == "deliver":
                self.network = self.network[: int(which)] + self.network[int(which) + 1 :]
            else:
                self.left = replace(self.left, twice=self.left.twice - 1)
            name = to
            self._node(name).receive(0.0, sender, message)
        elif what == "restart":
            self.nodes[name] = self._begin(name)
        else:
            self._act(what, name)
        effects = self._node(name).drain_effects()
        for effect in effects if done is None else effects[:done]:
            self._carry_out(name, effect)
        if done is not None:
            self.left = replace(self.left, crashes=self.left.crashes - 1)
            self.nodes[name] = None
        self._check(name)
        return len(effects)

    def _node(self, name: str) -> RaftNode:
        node = self.nodes[name]
        assert node is not None
        return node

    def _act(self, what: str, name: str) -> None:
        node = self._node(name)
        match what:
            case "elect":  # pre-vote only keeps elections from being held, which safety must not need
                self.left = replace(self.left, elections=self.left.elections - 1)
                node.campaign(0.0, Role.CANDIDATE)
            case "beat":
                self.left = replace(self.left, beats=self.left.beats - 1)
                node.leadership.replication.heartbeat(node.state)
            case "propose":
                self.left = replace(self.left, proposals=self.left.proposals - 1)
                node.propose(b"%d" % self.left.proposals)
            case "compact":  # the state is the log itself, so that a wrong one shows
                self.left = replace(self.left, snapshots=self.left.snapshots - 1)
                node.compact(0.0, repr(self.committed[: node.log.commit_index]).encode())
            case _:
                change, *rest = self.left.changes
                self.left = replace(self.left, changes=tuple(rest))
                with contextlib.suppress(RejectedError):
                    node.change_membership(change)

    def _carry_out(self, name: str, effect: Effect) -> None:
        match effect:
            case Persist():
                self.saved[name].persist(effect)
            case Send():
                self.network = tuple(sorted((*self.network, (effect.to, name, effect.message)), key=_packet_order))
            case Apply():
                self._applied(name, effect.entries)
            case Restore():
                self._restored(name, effect)
            case _:
                pass

    # --- invariants ---

    def _applied(self, name: str, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            known = self.committed[entry.index - 1] if entry.index <= len(self.committed) else None
            if known is not None and known != entry:
                raise BrokenError(f"{name} applies {entry}, committed was {known}")
            if known is None:
                if entry.index != len(self.committed) + 1:
                    raise BrokenError(f"{name} applies {entry.index}, agreed is up to {len(self.committed)}")
                self.committed = (*self.committed, entry)

    def _restored(self, name: str, effect: Restore) -> None:
        if repr(self.committed[: effect.snapshot.up_to_index]).encode() != effect.snapshot.data:
            raise BrokenError(f"{name} takes over a state at {effect.snapshot.up_to_index} that was never agreed")

    def _check(self, name: str) -> None:
        node = self.nodes[name]
        if node is None:
            return
        if node.role is Role.LEADER:
            other = self.leaders.setdefault(node.term, name)
            if other != name:
                raise BrokenError(f"{other} and {name} lead in term {node.term}")
            behind = self.committed[node.log.base_index :]
            if tuple(node.log.entries[: len(behind)]) != behind and node.term >= max(self.leaders):
                raise BrokenError(f"{name} leads in term {node.term} without an agreed entry")
        for other_node in self.nodes.values():
            if other_node is not None and other_node is not node:
                _match(node, other_node)

    def key(self) -> tuple[object, ...]:
        """Return what tells this world from others; equal for worlds that differ by the names of the first voters."""
        return (
            min(self._key(order) for order in itertools.permutations(self.names))
            if not self.left.changes
            else self._key(tuple(self.names))
        )

    def _key(self, order: tuple[str, ...]) -> tuple[object, ...]:
        new = {name: f"v{number}" for number, name in enumerate(order, 1)}
        nodes = tuple(
            sorted((new.get(name, name), _state(node, self.saved[name], new)) for name, node in self.nodes.items())
        )
        network = tuple(
            sorted(repr((new.get(to, to), new.get(sender, sender), message)) for to, sender, message in self.network)
        )
        left = (
            self.left.elections,
            self.left.proposals,
            self.left.beats,
            self.left.crashes,
            self.left.twice,
            len(self.left.changes),
            self.left.snapshots,
        )
        leaders = tuple(sorted((term, new.get(name, name)) for term, name in self.leaders.items()))
        return nodes, network, left, leaders, repr(self.committed)


def _packet_order(packet: Packet) -> tuple[str, str, int, str]:
    """The order of packets on the way; a walk draws by it, so it must not depend on how types are named."""
    to, sender, message = packet
    return to, sender, MESSAGE_ORDER.index(type(message)), repr(tuple(message))


def _match(a: RaftNode, b: RaftNode) -> None:
    """Where two logs have an entry of one index and term they are the same up to there."""
    first = max(a.log.base_index, b.log.base_index)
    for index in range(min(a.log.last_index, b.log.last_index), first, -1):
        if a.log.term_at(index) == b.log.term_at(index):
            ours = a.log.entries[first - a.log.base_index : index - a.log.base_index]
            if ours != b.log.entries[first - b.log.base_index : index - b.log.base_index]:
                raise BrokenError(f"the logs of {a.name} and {b.name} differ before {index}")
            return


def _state(node: RaftNode | None, saved: PersistentState, new: dict[str, str]) -> str:
    """The state of one member, its peers under new names."""
    stored = (saved.term, new.get(saved.voted_for, saved.voted_for), saved.base_index, saved.snapshot, saved.entries)
    if node is None:
        return repr(stored)
    progress = (
        sorted((new.get(name, name), _progress(p)) for name, p in node.leadership.replication.progress.items())
        if node.role is Role.LEADER
        else ()
    )
    votes = sorted(new.get(name, name) for name in node.election.votes) if node.role is Role.CANDIDATE else ()
    assembly = node.snapshot_receiver.assembly
    return repr(
        (
            stored,
            node.term,
            new.get(node.state.voted_for, node.state.voted_for),
            node.log.base_index,
            node.log.entries,
            node.role,
            node.log.commit_index,
            (assembly.key, assembly.data),
            progress,
            votes,
        )
    )


def _progress(p: Progress) -> tuple[object, ...]:
    snapshot = (p.snapshot_index, p.snapshot_offset, p.chunk_in_flight)
    return (p.next_index, p.match_index, p.probing, p.in_flight, p.heartbeat_round, snapshot)


@dataclass(slots=True)
class Explored:
    """The result of an exploration."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    whole: bool = True  # nothing was left out
    broken: str = ""
    path: tuple[tuple[str, ...], ...] = ()  # the steps to the violation


@dataclass(frozen=True, slots=True)
class Walked:
    """The result of one walk."""

    committed: int  # entries
    term: int  # of the last leader
    broken: str


def explore(
    scope: Scope, make: type[RaftNode] = RaftNode, *, most: int = 100_000, until: float = float("inf")
) -> Explored:
    """Explore all worlds of a scope, breadth first, so that a violation is found by a shortest path.

    `most`: states after which it ends; `until`: the monotonic time at which it does."""
    begun, found = time.monotonic(), Explored()
    world = World(scope, make)
    seen = {hash(world.key())}
    waiting: deque[tuple[World, tuple[tuple[str, ...], ...]]] = deque([(world, ())])
    while waiting:
        world, path = waiting.popleft()
        found.depth = len(path)
        for step in world.steps():
            branches: list[int | None] = [None]
            effects = -1
            while branches:
                done, other = branches.pop(), world.copy()
                found.steps += 1
                way = (*path, step if done is None else (*step, f"crash after {done}"))
                try:
                    count = other.take(step, done)
                except (BrokenError, AssertionError) as error:
                    found.broken, found.path = str(error), way
                    found.states, found.seconds = len(seen), time.monotonic() - begun
                    return found
                if effects < 0:
                    effects = count
                    if world.left.crashes:
                        branches += range(count)
                key = hash(other.key())
                if key not in seen:
                    seen.add(key)
                    waiting.append((other, way))
        if len(seen) >= most or time.monotonic() > until:
            found.whole = not waiting
            break
    found.states, found.seconds = len(seen), time.monotonic() - begun
    return found


def walk(scope: Scope, seed: int, steps: int, make: type[RaftNode] = RaftNode) -> Walked:
    """Walk once through a scope that is too large to explore, drawn from a seed; return a violation or the progress."""
    rng = random.Random(seed)
    world = World(scope, make)
    for _ in range(steps):
        choices = list(world.steps())
        if not choices:
            break
        rare = [step for step in choices if step[0] != "deliver"]
        step = rng.choice(rare) if rare and rng.random() < 0.25 else rng.choice(choices)
        done = rng.randrange(4) if world.left.crashes and rng.random() < 0.15 else None
        try:
            world.take(step, done)
        except (BrokenError, AssertionError) as error:
            return Walked(len(world.committed), max(world.leaders, default=0), f"seed {seed}: {error}")
        if len(world.network) > 12:  # some messages are lost
            lost = rng.randrange(len(world.network))
            world.network = world.network[:lost] + world.network[lost + 1 :]
    return Walked(len(world.committed), max(world.leaders, default=0), "")
