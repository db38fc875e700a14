"""Model checker of the Raft node: drives the production code through all interleavings of a small scope.

A step is one input to one member (a delivered message, the start of an election, a heartbeat, a proposal, a change of
membership, a restart) with all effects that follow, or with a crash after some of them. Messages may be delayed,
lost, duplicated and reordered. A member's effects are invisible to other members before they are executed, so these
steps cover all interleavings; input during a write in progress is equivalent to a message lost in the crash."""

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
# Safety must not depend on time, so the clock is fixed at 0. One entry per message lets old entries arrive alone.
NO_LEASE = RaftSettings(election_timeout_s=0.0, heartbeat_interval_s=0.0, max_chunk_bytes=1)


class _ZeroRandom(random.Random):
    """A random generator that always returns zero: the node draws durations only."""

    def random(self) -> float:
        return 0.0


@dataclass(frozen=True, slots=True)
class Scope:
    """The bounds of one run: the maximum number of events of each kind."""

    voters: int = 3
    elections: int = 2
    proposals: int = 1
    beats: int = 0
    crashes: int = 0
    twice: int = 0  # duplicated deliveries
    changes: tuple[Membership, ...] = ()
    snapshots: int = 0


class InvariantViolationError(Exception):
    """An invariant is violated; the message names the violation."""


class ModelState:
    """The state of a run: all members, the messages in flight, and all entries committed so far."""

    def __init__(self, scope: Scope, make: type[RaftNode] = RaftNode) -> None:
        self.remaining, self._make = scope, make
        self.names = [f"v{number}" for number in range(1, scope.voters + 1)]
        self.first = Membership(tuple(self.names))
        added_members = sorted({name for change in scope.changes for name in change.all_members} - set(self.names))
        self.saved = {name: PersistentState() for name in self.names + added_members}
        self.nodes: dict[str, RaftNode | None] = {name: self._start_node(name) for name in self.saved}
        self.network: tuple[Packet, ...] = ()
        self.leaders: dict[int, str] = {}
        self.committed: tuple[Entry, ...] = ()

    def _start_node(self, name: str) -> RaftNode:
        return self._make(name, self.first, self.saved[name], 0.0, _ZeroRandom(), NO_LEASE)

    def copy(self) -> ModelState:
        """Return an independent copy of this state."""
        other = copy.copy(self)
        other.saved = {name: replace(d, entries=d.entries[:]) for name, d in self.saved.items()}
        other.nodes = {name: None if node is None else node.copy() for name, node in self.nodes.items()}
        other.leaders = dict(self.leaders)
        return other

    # --- steps ---

    def steps(self) -> Iterator[tuple[str, ...]]:
        """Yield all steps that are possible in this state."""
        for number in range(len(self.network)):
            if self.network[number] in self.network[:number]:
                continue
            if self.nodes[self.network[number][0]] is not None:
                yield ("deliver", str(number))
                if self.remaining.twice:
                    yield ("twice", str(number))
        for name, node in self.nodes.items():
            if node is None:
                yield ("restart", name)
                continue
            yield from self._spontaneous_steps(name, node)

    def _spontaneous_steps(self, name: str, node: RaftNode) -> Iterator[tuple[str, ...]]:
        """Yield the steps that a running member can take without a message."""
        if self.remaining.snapshots and node.log.commit_index > node.log.base_index:
            yield ("compact", name)
        if node.role is not Role.LEADER:
            if self.remaining.elections and name in node.membership.voters:
                yield ("elect", name)
            return
        if self.remaining.beats:
            yield ("beat", name)
        if self.remaining.proposals:
            yield ("propose", name)
        if self.remaining.changes:
            yield ("change", name)

    def take(self, step: tuple[str, ...], crash_after: int | None = None) -> int:
        """Execute a step and return its number of effects. Raises InvariantViolationError.

        `crash_after`: number of effects that are executed before a crash."""
        kind, target = step
        name = target
        if kind in ("deliver", "twice"):
            to, sender, message = self.network[int(target)]
            if kind == "deliver":
                self.network = self.network[: int(target)] + self.network[int(target) + 1 :]
            else:
                self.remaining = replace(self.remaining, twice=self.remaining.twice - 1)
            name = to
            self._node(name).receive(0.0, sender, message)
        elif kind == "restart":
            self.nodes[name] = self._start_node(name)
        else:
            self._take_spontaneous_step(kind, name)
        effects = self._node(name).drain_effects()
        for effect in effects if crash_after is None else effects[:crash_after]:
            self._carry_out(name, effect)
        if crash_after is not None:
            self.remaining = replace(self.remaining, crashes=self.remaining.crashes - 1)
            self.nodes[name] = None
        self._check(name)
        return len(effects)

    def _node(self, name: str) -> RaftNode:
        node = self.nodes[name]
        assert node is not None
        return node

    def _take_spontaneous_step(self, kind: str, name: str) -> None:
        node = self._node(name)
        match kind:
            case "elect":  # without pre-vote, which only prevents elections: safety must not depend on it
                self.remaining = replace(self.remaining, elections=self.remaining.elections - 1)
                node.campaign(0.0, Role.CANDIDATE)
            case "beat":
                self.remaining = replace(self.remaining, beats=self.remaining.beats - 1)
                node.leadership.replication.heartbeat(node.state)
            case "propose":
                self.remaining = replace(self.remaining, proposals=self.remaining.proposals - 1)
                node.propose(b"%d" % self.remaining.proposals)
            case "compact":  # the snapshot is the log itself, which exposes a wrong snapshot
                self.remaining = replace(self.remaining, snapshots=self.remaining.snapshots - 1)
                node.compact(0.0, repr(self.committed[: node.log.commit_index]).encode())
            case _:
                change, *rest = self.remaining.changes
                self.remaining = replace(self.remaining, changes=tuple(rest))
                with contextlib.suppress(RejectedError):
                    node.change_membership(change)

    def _carry_out(self, name: str, effect: Effect) -> None:
        match effect:
            case Persist():
                self.saved[name].persist(effect)
            case Send():
                self.network = tuple(sorted((*self.network, (effect.to, name, effect.message)), key=_packet_order))
            case Apply():
                self._check_applied(name, effect.entries)
            case Restore():
                self._check_restored(name, effect)
            case _:
                pass

    # --- invariants ---

    def _check_applied(self, name: str, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            known = self.committed[entry.index - 1] if entry.index <= len(self.committed) else None
            if known is not None and known != entry:
                raise InvariantViolationError(f"{name} applies {entry}, which differs from the committed {known}")
            if known is None:
                if entry.index != len(self.committed) + 1:
                    raise InvariantViolationError(
                        f"{name} applies {entry.index}, but the committed index is {len(self.committed)}"
                    )
                self.committed = (*self.committed, entry)

    def _check_restored(self, name: str, effect: Restore) -> None:
        if repr(self.committed[: effect.snapshot.up_to_index]).encode() != effect.snapshot.data:
            raise InvariantViolationError(
                f"{name} restores a state at {effect.snapshot.up_to_index} that was never committed"
            )

    def _check(self, name: str) -> None:
        node = self.nodes[name]
        if node is None:
            return
        if node.role is Role.LEADER:
            other = self.leaders.setdefault(node.term, name)
            if other != name:
                raise InvariantViolationError(f"{other} and {name} lead in term {node.term}")
            committed_suffix = self.committed[node.log.base_index :]
            if tuple(node.log.entries[: len(committed_suffix)]) != committed_suffix and node.term >= max(self.leaders):
                raise InvariantViolationError(f"{name} leads in term {node.term} without a committed entry")
        for other_node in self.nodes.values():
            if other_node is not None and other_node is not node:
                _check_log_matching(node, other_node)

    def key(self) -> tuple[object, ...]:
        """Return a key of this state; states that differ only in the names of the initial voters have equal keys."""
        return (
            min(self._key(order) for order in itertools.permutations(self.names))
            if not self.remaining.changes
            else self._key(tuple(self.names))
        )

    def _key(self, order: tuple[str, ...]) -> tuple[object, ...]:
        new_names = {name: f"v{number}" for number, name in enumerate(order, 1)}
        nodes = tuple(
            sorted(
                (new_names.get(name, name), _state(node, self.saved[name], new_names))
                for name, node in self.nodes.items()
            )
        )
        network = tuple(
            sorted(
                repr((new_names.get(to, to), new_names.get(sender, sender), message))
                for to, sender, message in self.network
            )
        )
        remaining = (
            self.remaining.elections,
            self.remaining.proposals,
            self.remaining.beats,
            self.remaining.crashes,
            self.remaining.twice,
            len(self.remaining.changes),
            self.remaining.snapshots,
        )
        leaders = tuple(sorted((term, new_names.get(name, name)) for term, name in self.leaders.items()))
        return nodes, network, remaining, leaders, repr(self.committed)


def _packet_order(packet: Packet) -> tuple[str, str, int, str]:
    """Return the sort key of a packet in flight. Walks draw in this order, so it is independent of type names."""
    to, sender, message = packet
    return to, sender, MESSAGE_ORDER.index(type(message)), repr(tuple(message))


def _check_log_matching(a: RaftNode, b: RaftNode) -> None:
    """Check that two logs are equal up to the last entry with equal index and term. Raises InvariantViolationError."""
    first = max(a.log.base_index, b.log.base_index)
    for index in range(min(a.log.last_index, b.log.last_index), first, -1):
        if a.log.term_at(index) == b.log.term_at(index):
            own_entries = a.log.entries[first - a.log.base_index : index - a.log.base_index]
            if own_entries != b.log.entries[first - b.log.base_index : index - b.log.base_index]:
                raise InvariantViolationError(f"the logs of {a.name} and {b.name} differ before {index}")
            return


def _state(node: RaftNode | None, saved: PersistentState, new_names: dict[str, str]) -> str:
    """Return the state of one member as text, with its peers renamed."""
    stored = (
        saved.term,
        new_names.get(saved.voted_for, saved.voted_for),
        saved.base_index,
        saved.snapshot,
        saved.entries,
    )
    if node is None:
        return repr(stored)
    progress = (
        sorted(
            (new_names.get(name, name), _progress_key(p)) for name, p in node.leadership.replication.progress.items()
        )
        if node.role is Role.LEADER
        else ()
    )
    votes = sorted(new_names.get(name, name) for name in node.election.votes) if node.role is Role.CANDIDATE else ()
    assembly = node.snapshot_receiver.assembly
    return repr(
        (
            stored,
            node.term,
            new_names.get(node.state.voted_for, node.state.voted_for),
            node.log.base_index,
            node.log.entries,
            node.role,
            node.log.commit_index,
            (assembly.key, assembly.data),
            progress,
            votes,
        )
    )


def _progress_key(p: Progress) -> tuple[object, ...]:
    snapshot = (p.snapshot_index, p.snapshot_offset, p.chunk_in_flight)
    return (p.next_index, p.match_index, p.probing, p.in_flight, p.heartbeat_round, snapshot)


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    whole: bool = True  # all states of the scope were explored
    broken: str = ""
    path: tuple[tuple[str, ...], ...] = ()  # steps that lead to the violation


@dataclass(frozen=True, slots=True)
class WalkResult:
    """The result of one random walk."""

    committed: int  # number of committed entries
    term: int  # highest term that had a leader
    broken: str


def explore(
    scope: Scope, make: type[RaftNode] = RaftNode, *, max_states: int = 100_000, deadline: float = float("inf")
) -> ExplorationResult:
    """Explore all states of a scope breadth-first, which finds a violation by a shortest path.

    `max_states`: number of states after which the exploration ends; `deadline`: monotonic time at which it ends."""
    started_at, result = time.monotonic(), ExplorationResult()
    state = ModelState(scope, make)
    seen = {hash(state.key())}
    waiting: deque[tuple[ModelState, tuple[tuple[str, ...], ...]]] = deque([(state, ())])
    while waiting:
        state, path = waiting.popleft()
        result.depth = len(path)
        for step in state.steps():
            branches: list[int | None] = [None]
            effects = -1
            while branches:
                crash_after, other = branches.pop(), state.copy()
                result.steps += 1
                next_path = (*path, step if crash_after is None else (*step, f"crash after {crash_after}"))
                try:
                    count = other.take(step, crash_after)
                except (InvariantViolationError, AssertionError) as error:
                    result.broken, result.path = str(error), next_path
                    result.states, result.seconds = len(seen), time.monotonic() - started_at
                    return result
                if effects < 0:
                    effects = count
                    if state.remaining.crashes:
                        branches += range(count)
                key = hash(other.key())
                if key not in seen:
                    seen.add(key)
                    waiting.append((other, next_path))
        if len(seen) >= max_states or time.monotonic() > deadline:
            result.whole = not waiting
            break
    result.states, result.seconds = len(seen), time.monotonic() - started_at
    return result


def walk(scope: Scope, seed: int, steps: int, make: type[RaftNode] = RaftNode) -> WalkResult:
    """Take random steps, drawn from a seed, through a scope too large to explore; return violation or progress."""
    rng = random.Random(seed)
    state = ModelState(scope, make)
    for _ in range(steps):
        choices = list(state.steps())
        if not choices:
            break
        other_steps = [step for step in choices if step[0] != "deliver"]
        step = rng.choice(other_steps) if other_steps and rng.random() < 0.25 else rng.choice(choices)
        crash_after = rng.randrange(4) if state.remaining.crashes and rng.random() < 0.15 else None
        try:
            state.take(step, crash_after)
        except (InvariantViolationError, AssertionError) as error:
            return WalkResult(len(state.committed), max(state.leaders, default=0), f"seed {seed}: {error}")
        if len(state.network) > 12:  # drop a random message to bound the messages in flight
            lost = rng.randrange(len(state.network))
            state.network = state.network[:lost] + state.network[lost + 1 :]
    return WalkResult(len(state.committed), max(state.leaders, default=0), "")
