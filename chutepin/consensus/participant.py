"""One node's part in the log in common: consensus, the state that follows, and who waits for what. Pure.

Times and chance are arguments; what is to be done comes out of `take`, in order. Nothing behind a `Persist` may be
done before it is durable; `Apply`, `Restore` and `Readable` are to be given back by `done` when their turn has come.
The same text runs in the node and in the simulator."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from .errors import RejectedError
from .identity import node_name
from .messages import Apply, Entry, Membership, Persist, RaftMessage, ReadReady, Restore, Snapshot
from .messages import Send as CoreSend
from .observer import FetchReply, FetchRequest, Observer, PendingFetches
from .persistent_state import PersistentState
from .raft import RaftNode
from .replica import (
    MAX_PROPOSAL_BYTES,
    Outcome,
    OutcomeState,
    Proposal,
    Replica,
    StateMachine,
    new_proposal_id,
    pack_proposal,
)
from .settings import RaftSettings
from .state import Role

MAX_WAITING = 256  # proposals and reads of this node that are not decided yet
GREETED, GREET_EVERY = 4, 1.0  # nodes that a leader greets at once, seconds between
MAX_FORWARDED = 1024  # reads of others that wait for their round


class ForwardProposal(NamedTuple):
    """Propose this for me; it is `replica.pack`ed."""

    id: bytes
    version: int
    data: bytes


class ProposalRejected(NamedTuple):
    """Nothing was done about the proposal with that id. `final`: nor will be, whoever is asked."""

    id: bytes
    why: str
    final: bool


class ReadIndexRequest(NamedTuple):
    """From which index on does a read see all that is agreed now?"""

    number: int


class ReadIndexReply(NamedTuple):
    """From this one on; -1: ask elsewhere."""

    number: int
    up_to_index: int


class Greeting(NamedTuple):
    """A leader wants to know as whom a node takes part, and which entries it knows; `asked` is false in the answer.
    Who speaks has said both when its connection began."""

    asked: bool


ParticipantMessage = (
    RaftMessage
    | Greeting
    | ForwardProposal
    | ProposalRejected
    | ReadIndexRequest
    | ReadIndexReply
    | FetchRequest
    | FetchReply
)


class Send(NamedTuple):
    """A word for another member."""

    to: str
    message: ParticipantMessage


class RequestCompleted(NamedTuple):
    """To whoever holds this ticket."""

    ticket: int
    outcome: Outcome


class LogEvent(NamedTuple):
    """For the log and operators."""

    what: str
    fields: dict[str, object]


class AddedNode(NamedTuple):
    """A node takes part under `identity`: as a voter, or as a learner until it has caught up."""

    identity: str
    votes: bool


class TransferStarted(NamedTuple):
    """The leader hands over to the voter `to`."""

    to: str


Effect = Persist | Apply | Restore | ReadReady | Send | RequestCompleted | LogEvent


@dataclass(slots=True)
class _Proposed:
    ticket: int
    version: int
    data: bytes
    by: float
    next: float  # ask again
    repeated: bool  # an earlier try may be on its way


@dataclass(slots=True)
class _Read:
    ticket: int
    by: float
    next: float
    up_to_index: int = -1  # once it is known


class Participant:
    """One node."""

    def __init__(
        self,
        name: str,
        first: Membership,
        durable: PersistentState,
        machine: StateMachine,
        now: float,
        rng: random.Random,
        settings: RaftSettings,
    ) -> None:
        """`durable` is what the journal holds; `first` who votes before the log says otherwise."""
        self.name, self._settings, self._rng = name, settings, rng
        self.raft = RaftNode(name, first, durable, now, rng, settings)
        self.replica = Replica(machine)
        self.observer = Observer(name, now, rng, settings.heartbeat_interval_s)
        self.subscribers = PendingFetches(settings.max_chunk_bytes, settings.heartbeat_interval_s)
        self.alive: tuple[str, ...] = ()  # nodes that live; the edge keeps it
        self.known: dict[str, tuple[str, int]] = {}  # a node to its identity and the version of entries that it knows
        self.counts: Counter[str] = Counter()
        self._proposed: dict[bytes, _Proposed] = {}
        self._reads: dict[int, _Read] = {}
        self._forwarded: dict[int, tuple[str, int]] = {}  # a read of the core to who asked, and its number
        self._number = self._ticket = 0
        self._greet_at = now
        self._was: tuple[Role, int, str] = (Role.FOLLOWER, 0, "")
        self._members = self.raft.membership
        self._effects: list[Effect] = []
        self._from_core()

    # --- in and out ---

    def drain_effects(self) -> list[Effect]:
        """What is to be done since the last time, in order."""
        effects, self._effects = self._effects, []
        return effects

    def next_deadline(self) -> float:
        """When `tick` is due."""
        at = min(self.raft.next_deadline() if self._active else math.inf, self.subscribers.next_deadline())
        if not self.votes or self._orphaned:
            at = min(at, self.observer.next_deadline())
        return min(
            (
                at,
                *(min(waiting.by, waiting.next) for waiting in self._proposed.values()),
                *(min(waiting.by, waiting.next) for waiting in self._reads.values()),
            )
        )

    @property
    def votes(self) -> bool:
        """It is told everything by the leader itself, as a voter or to become one."""
        return self.name in self.membership.everybody

    @property
    def _active(self) -> bool:
        """Its core has times to keep; also a leader's that goes, until that is agreed."""
        return self.votes or self.raft.role is Role.LEADER

    @property
    def _orphaned(self) -> bool:
        """It should hear a leader and does not: it was cut off, or removed without having been told."""
        return self.raft.leader == ""

    @property
    def leader(self) -> str:
        """Who leads, as far as is known here; empty for nobody."""
        if self.raft.role is Role.LEADER:  # also one that goes, until that is agreed
            return self.name
        return (self.raft.leader if self.votes else "") or self.observer.leader

    @property
    def membership(self) -> Membership:
        """Who takes part, as far as is known here. The log's own word is older than that of others where they have
        told more than it holds."""
        ahead = self.replica.applied_index > self.raft.log.last_index and self.replica.membership.voters
        return self.replica.membership if ahead else self.raft.membership

    @property
    def waiting(self) -> int:
        """Proposals and reads that are not decided yet."""
        return len(self._proposed) + len(self._reads)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self._active and now >= self.raft.next_deadline():
            self.raft.tick(now)
            self._from_core()
        if (not self.votes or self._orphaned) and now >= self.observer.next_deadline():
            voters = tuple(name for name in self.membership.voters if name != self.name)
            if (pull := self.observer.pull(now, self.replica.applied_index, voters)) is not None:
                self._effects.append(Send(*pull))
        self._greet(now)
        self._feed(now)
        self._again(now)
        self._changed(now)

    def _greet(self, now: float) -> None:
        """A leader must know all: whom an operator lets vote, and what it may agree on."""
        if self.raft.role is not Role.LEADER or now < self._greet_at:
            return
        self._greet_at = now + GREET_EVERY
        strangers = [name for name in self.alive if name not in self.known and name != node_name(self.name)]
        for name in self._rng.sample(strangers, min(GREETED, len(strangers))):
            self._effects.append(Send(name, Greeting(True)))

    def met(self, identity: str, version: int) -> None:
        """A node that speaks, as whom, and what it knows."""
        if node_name(identity) in self.alive or node_name(identity) in self.known:
            self.known[node_name(identity)] = identity, version

    def receive(self, now: float, sender: str, word: ParticipantMessage) -> None:
        """Take in what another member says."""
        match word:
            case ForwardProposal():
                self._forward(now, sender, word)
            case ProposalRejected():
                self._rejected(now, word)
            case ReadIndexRequest():
                self._asked(now, sender, word.number)
            case ReadIndexReply():
                self._readable(now, word.number, word.up_to_index)
            case Greeting():
                if word.asked:
                    self._effects.append(Send(sender, Greeting(False)))
            case FetchRequest():
                self.subscribers.ask(now, sender, word)
                self._feed(now)
            case FetchReply():
                self._fed(now, sender, word)
            case _:
                self.raft.receive(now, sender, word)
                self.raft.announce_commit()
                self._from_core()
        self._changed(now)

    def done(self, now: float, effect: Apply | Restore | ReadReady) -> None:
        """The turn of one of these effects has come: all before it is durable."""
        match effect:
            case Apply():
                self._apply(now, effect.entries)
            case Restore():
                self._restore(now, effect.snapshot)
            case ReadReady():
                sender, number = self._forwarded.pop(effect.read_id, ("", -1))
                if sender == self.name:
                    self._readable(now, number, effect.index)
                elif sender:
                    self._effects.append(Send(sender, ReadIndexReply(number, effect.index)))

    def _from_core(self) -> None:
        for effect in self.raft.drain_effects():
            self._effects.append(Send(*effect) if isinstance(effect, CoreSend) else effect)

    def _changed(self, now: float) -> None:
        """Say what an operator may want to know."""
        core = self.raft
        leader = self.leader
        if leader and leader != self._was[2]:  # what was said to the former one may never be answered
            for proposed in self._proposed.values():
                proposed.next = now
            for read in self._reads.values():
                read.next = now
        if (core.role is Role.LEADER) != (self._was[0] is Role.LEADER) or leader != self._was[2]:
            what = "leads" if core.role is Role.LEADER else "follows" if self.leader else "no_leader"
            self.counts[what] += 1
            self._effects.append(LogEvent(what, {"leader": leader, "term": core.term}))
        self._was = core.role, core.term, leader
        if self.membership != self._members:
            self._members = self.membership
            self._effects.append(
                LogEvent(
                    "members", {"voters": ",".join(self._members.voters), "learners": ",".join(self._members.learners)}
                )
            )

    # --- the state ---

    def _apply(self, now: float, entries: tuple[Entry, ...]) -> None:
        for id, outcome in self.replica.apply(entries):
            if (proposed := self._proposed.pop(id, None)) is not None:
                self._answer(proposed.ticket, outcome)
        self._reads_done()
        self.raft.announce_commit()
        self._from_core()
        self._feed(now)

    def _restore(self, now: float, snapshot: Snapshot) -> None:
        try:
            if not self.replica.restore(snapshot):
                return
        except ValueError as error:
            self._effects.append(LogEvent("unknown_format", {"why": str(error)}))
            return
        for id in list(self._proposed):  # what was decided by an entry that was never seen here
            if (outcome := self.replica.outcome(id)) is not None:
                self._answer(self._proposed.pop(id).ticket, outcome)
        self._reads_done()
        self._feed(now)

    def compact(self, now: float) -> None:
        """Keep the state, and let go of the log that led to it."""
        if self.replica.applied_index == self.raft.log.commit_index:  # else effects of the core are on their way here
            self.raft.compact(now, self.replica.snapshot())
            self._from_core()

    # --- proposals ---

    def new_proposal_id(self) -> bytes:
        """For a proposal that is made now."""
        return new_proposal_id(self.replica.applied_index, self._rng.getrandbits(64))

    def propose(
        self,
        now: float,
        id: bytes,
        data: bytes,
        by: float,
        version: int = 1,
        *,
        repeated: bool = False,
        void: bool = False,
    ) -> int:
        """Have something agreed. `repeated`: it was proposed before under this id, and may have been agreed; it counts
        once. `void`: make sure that the one with this id never comes, if it has not yet. The ticket; its `Answer` comes
        by `by` (unknown then), or at once where nothing can be done."""
        repeated = repeated or void
        self._ticket += 1
        if (outcome := self.replica.outcome(id)) is not None:
            self._answer(self._ticket, outcome)
        elif (why := self._why_not(id, data)) is not None:
            self.counts["refused"] += 1
            state = OutcomeState.UNKNOWN if repeated or id in self._proposed else OutcomeState.REJECTED
            self._answer(self._ticket, Outcome(state, why=why, again=self._settings.election_timeout_s))
        else:
            packed = pack_proposal(Proposal(id, version, data, void))
            self._proposed[id] = _Proposed(self._ticket, version, packed, by, now + self._later(), repeated)
            self._say(now, id)
        return self._ticket

    def _why_not(self, id: bytes, data: bytes) -> str | None:
        if len(id) != 16 or len(data) > MAX_PROPOSAL_BYTES:
            return f"an id has 16 bytes, a proposal up to {MAX_PROPOSAL_BYTES}"
        if id in self._proposed:
            return "under way"
        if self.waiting >= MAX_WAITING:
            return "full"
        return None if self.leader else "no leader"

    def _later(self) -> float:
        return self._settings.election_timeout_s * (0.5 + 0.5 * self._rng.random())

    def _say(self, now: float, id: bytes) -> None:
        """Bring a proposal to the leader."""
        proposed = self._proposed[id]
        word = ForwardProposal(id, proposed.version, proposed.data)
        if self.raft.role is Role.LEADER:
            self._forward(now, self.name, word)
        elif self.leader:
            self._effects.append(Send(self.leader, word))

    def _forward(self, now: float, sender: str, word: ForwardProposal) -> None:
        """The leader's part."""
        there = {*self.alive, *map(node_name, self.raft.membership.everybody)}
        for name in self.known.keys() - there:
            del self.known[name]
        old = sorted(name for name, (_, version) in self.known.items() if version < word.version)
        try:
            if old:
                raise RejectedError(f"{old[0]} does not know version {word.version}")
            if self.raft.log.size_bytes > 2 * self._settings.max_log_bytes:
                raise RejectedError("full")
            if self.replica.outcome(word.id) is None:
                self.raft.propose(word.data)
                self._from_core()
        except RejectedError as error:
            rejected = ProposalRejected(word.id, str(error), bool(old))
            if sender == self.name:
                self._rejected(now, rejected)
            else:
                self._effects.append(Send(sender, rejected))

    def _rejected(self, now: float, word: ProposalRejected) -> None:
        """Ask again soon, or not at all. Where an earlier try may be on its way it stays unknown."""
        proposed = self._proposed.get(word.id)
        if proposed is None:
            return
        if word.final:
            del self._proposed[word.id]
            self._answer(
                proposed.ticket,
                Outcome(OutcomeState.UNKNOWN if proposed.repeated else OutcomeState.REJECTED, why=word.why),
            )
        else:
            proposed.next = min(proposed.next, now + self._settings.heartbeat_interval_s)

    def _again(self, now: float) -> None:
        """What was not decided in time is asked for again, or is unknown from now on."""
        for id, proposed in list(self._proposed.items()):
            if now >= proposed.by:
                del self._proposed[id]
                self._answer(proposed.ticket, Outcome(OutcomeState.UNKNOWN, why="not decided in time"))
            elif now >= proposed.next:
                proposed.next, proposed.repeated = now + self._later(), True
                self._say(now, id)
        for number, read in list(self._reads.items()):
            if now >= read.by:
                del self._reads[number]
                self._answer(
                    read.ticket,
                    Outcome(
                        OutcomeState.REJECTED, why="no leader answered in time", again=self._settings.election_timeout_s
                    ),
                )
            elif now >= read.next:
                read.next = now + self._later()
                if read.up_to_index < 0:
                    self._ask(now, number)

    def _answer(self, ticket: int, outcome: Outcome) -> None:
        self._effects.append(RequestCompleted(ticket, outcome))

    # --- reads ---

    def read(self, now: float, by: float) -> int:
        """Have this copy come to where it shows all that is agreed at this moment; the ticket. The answer is `AGREED`
        with the index up to which it then shows, or `REFUSED`."""
        self._ticket += 1
        self._number += 1
        if self.waiting >= MAX_WAITING or not self.leader:
            why = "no leader" if not self.leader else "full"
            self._answer(self._ticket, Outcome(OutcomeState.REJECTED, why=why, again=self._settings.election_timeout_s))
        else:
            self._reads[self._number] = _Read(self._ticket, by, now + self._later())
            self._ask(now, self._number)
        return self._ticket

    def _ask(self, now: float, number: int) -> None:
        if self.raft.role is Role.LEADER:
            self._asked(now, self.name, number)
        elif self.leader:
            self._effects.append(Send(self.leader, ReadIndexRequest(number)))

    def _asked(self, now: float, sender: str, number: int) -> None:
        if len(self._forwarded) >= MAX_FORWARDED:
            return
        self._number += 1
        try:
            self._forwarded[self._number] = sender, number
            self.raft.read(self._number)
            self._from_core()
        except RejectedError:
            del self._forwarded[self._number]
            if sender != self.name:
                self._effects.append(Send(sender, ReadIndexReply(number, -1)))

    def _readable(self, now: float, number: int, up_to_index: int) -> None:
        read = self._reads.get(number)
        if read is None:
            return
        if up_to_index < 0:
            read.next = min(read.next, now + self._settings.heartbeat_interval_s)
        elif read.up_to_index < 0:
            read.up_to_index = up_to_index
            self._reads_done()

    def _reads_done(self) -> None:
        for number, read in list(self._reads.items()):
            if 0 <= read.up_to_index <= self.replica.applied_index:
                del self._reads[number]
                self._answer(read.ticket, Outcome(OutcomeState.COMMITTED, self.replica.applied_index))

    # --- those that follow ---

    def _feed(self, now: float) -> None:
        """Tell those that asked what is new."""
        fresh = (
            now
            if self.raft.role is Role.LEADER
            else self.raft.election.last_leader_contact
            if self.votes
            else self.observer.fresh
        )
        for to, feed in self.subscribers.feeds(
            now,
            self.raft,
            self.observer,
            self.replica.applied_index,
            self.leader,
            fresh,
            0 if self.votes else self.observer.depth,
            self._state,
            self.membership,
        ):
            self._effects.append(Send(to, feed))

    def _state(self) -> Snapshot:
        return Snapshot(self.replica.applied_index, 0, self.membership, self.replica.snapshot())

    def _fed(self, now: float, sender: str, feed: FetchReply) -> None:
        """News from whom this member follows."""
        snapshot = self.observer.fed(now, sender, feed, self.replica.applied_index)
        if snapshot is not None:
            self._effects.append(Restore(snapshot))
        if feed.entries:
            self._effects.append(Apply(feed.entries))

    # --- operators ---

    def transfer_leadership(self, now: float, to: str) -> None:
        """Have another voter lead. Raises RefusedError."""
        self.raft.transfer_leadership(now, to)
        self._from_core()

    def transfer(self, now: float, name: str) -> str:
        """Have the voter of this node name or identity lead; its identity. Raises RefusedError."""
        voters = self.raft.membership.voters
        identity = next((voter for voter in voters if name in (voter, node_name(voter))), name)
        self.transfer_leadership(now, identity)
        return identity

    def add_node(self, now: float, name: str) -> AddedNode:
        """Make a node a learner, or a voter where it is a learner already. Raises RefusedError."""
        membership = self.raft.membership
        if name in self.known:
            identity, _ = self.known[name]
        elif name == node_name(self.name):
            identity = self.name
        else:
            raise RejectedError(f"{name} is not known here: only a leader has met all nodes that live")
        votes = identity in membership.everybody
        if votes:
            learners = tuple(other for other in membership.learners if other != identity)
            self.change_membership(now, Membership((*membership.voters, identity), learners))
        else:
            self.change_membership(now, Membership(membership.voters, (*membership.learners, identity)))
        return AddedNode(identity, votes)

    def remove_node(self, now: float, name: str) -> TransferStarted | None:
        """Let the voter or learner of this node name or identity take no part any more. Raises RefusedError.

        A leader does not remove itself: it hands over first, and the new leader is to be asked."""
        if name in (self.name, node_name(self.name)) and self.raft.role is Role.LEADER:
            to = next(iter(self.raft.voters_by_lag()), "")
            self.transfer_leadership(now, to)
            return TransferStarted(to)
        membership = self.raft.membership
        rest = Membership(
            tuple(other for other in membership.voters if name not in (other, node_name(other))),
            tuple(other for other in membership.learners if name not in (other, node_name(other))),
        )
        if rest == membership:
            raise RejectedError(f"{name} takes no part")
        self.change_membership(now, rest)
        return None

    def change_membership(self, now: float, membership: Membership) -> None:
        """Change who takes part. Raises RefusedError."""
        self.raft.change_membership(membership)
        self._from_core()
        self._changed(now)
