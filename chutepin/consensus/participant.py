"""One node's part in the replicated log: Raft, the state that follows from it, and the requests that wait for it.

Pure: time and a random generator are arguments, and what is to be done comes out of `drain_effects`, in order. Nothing
behind a `Persist` may be done before it is durable; `Apply`, `Restore` and `ReadReady` are given back by `done` when
their turn has come. The same code runs in the node and in the simulator."""

from __future__ import annotations

import math
import random

from .change_reports import ChangeReports, LeaderView
from .directory import NodeDirectory
from .errors import RejectedError, UnsupportedFormatError
from .fetch_queue import FetchQueue, FetchSource
from .identity import node_name
from .messages import Apply, Entry, Membership, ReadReady, Restore, Snapshot
from .messages import Send as RaftSend
from .observer import Observer
from .outbox import Effect, Outbox, Send
from .persistent_state import PersistentState
from .proposals import ProposalTracker
from .protocol import (
    FetchReply,
    FetchRequest,
    ForwardProposal,
    Greeting,
    ParticipantMessage,
    ProposalRejected,
    ReadIndexReply,
    ReadIndexRequest,
)
from .raft import RaftNode
from .reads import ReadTracker
from .replicated_state import (
    Outcome,
    OutcomeState,
    Proposal,
    ReplicatedState,
    StateMachine,
    new_proposal_id,
    pack_proposal,
)
from .retry import RetrySchedule
from .settings import RaftSettings
from .state import Role

MAX_PENDING_REQUESTS = 256  # proposals and reads of this node without an outcome


class Participant:
    """One node's part."""

    def __init__(
        self,
        name: str,
        initial_membership: Membership,
        saved: PersistentState,
        machine: StateMachine,
        now: float,
        rng: random.Random,
        settings: RaftSettings,
        raft_type: type[RaftNode] = RaftNode,
    ) -> None:
        """`saved` is what the journal holds; `initial_membership` holds until the log says otherwise."""
        self.name = name
        self._settings = settings
        self._rng = rng
        self.raft = raft_type(name, initial_membership, saved, now, rng, settings)
        self.state = ReplicatedState(machine)
        self.observer = Observer(name, now, rng, settings.heartbeat_interval_s)
        self.directory = NodeDirectory(name, now)
        self._outbox = Outbox()
        self._reports = ChangeReports(self._outbox, self.raft.membership)
        self.counts = self._reports.counts
        retries = RetrySchedule(settings, rng)
        self._proposals = ProposalTracker(self._outbox, retries)
        self._reads = ReadTracker(name, self._outbox, retries)
        self._fetches = FetchQueue(settings.max_chunk_bytes, settings.heartbeat_interval_s)
        self._drain_raft()

    def drain_effects(self) -> list[Effect]:
        """Return what is to be done since the last call, in order."""
        return self._outbox.drain()

    def next_deadline(self) -> float:
        """Return when `tick` is due."""
        return min(
            self.raft.next_deadline() if self._runs_raft else math.inf,
            self.observer.next_deadline() if self._fetches_entries else math.inf,
            self._fetches.next_deadline(),
            *self._proposals.deadlines(),
            *self._reads.deadlines(),
        )

    @property
    def receives_log(self) -> bool:
        """Whether the leader itself replicates to it, as to a voter or a learner."""
        return self.name in self.membership.everybody

    @property
    def _runs_raft(self) -> bool:
        """Whether Raft's timers run; also those of a leader until its own removal is committed."""
        return self.receives_log or self.raft.role is Role.LEADER

    @property
    def _fetches_entries(self) -> bool:
        """Whether it fetches entries; also a voter that hears no leader: it may be removed, or cut off from some."""
        return not self.receives_log or self.raft.leader == ""

    @property
    def leader(self) -> str:
        """The leader, as far as is known here; empty if unknown."""
        if self.raft.role is Role.LEADER:
            return self.name
        return (self.raft.leader if self.receives_log else "") or self.observer.leader

    @property
    def membership(self) -> Membership:
        """Voters and learners, by its own log or by what it has fetched, whichever is newer."""
        is_ahead_of_log = self.state.applied_index > self.raft.log.last_index
        if is_ahead_of_log and self.state.membership.voters:
            return self.state.membership
        return self.raft.membership

    @property
    def pending_requests(self) -> int:
        """How many proposals and reads of this node have no outcome yet."""
        return len(self._proposals) + len(self._reads)

    def set_alive(self, names: tuple[str, ...]) -> None:
        """Note which nodes are alive, sorted by name."""
        voters = set(map(node_name, self.membership.voters))
        self.directory.alive = names
        self.observer.peers = tuple(name for name in names if name not in voters)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self._runs_raft and now >= self.raft.next_deadline():
            self.raft.tick(now)
            self._drain_raft()
        if self._fetches_entries and now >= self.observer.next_deadline():
            voters = tuple(name for name in self.membership.voters if name != self.name)
            fetch = self.observer.next_fetch(now, self.state.applied_index, voters)
            if fetch is not None:
                self._outbox.add(Send(*fetch))
        if self.raft.role is Role.LEADER:
            self.directory.greet_unknown(now, self._rng, self._outbox)
        self._answer_fetches(now)
        self._proposals.retry(now, self._submit_proposal)
        self._reads.retry(now, self._submit_read, self._settings.election_timeout_s)
        self._report_changes(now)

    def receive(self, now: float, sender: str, message: ParticipantMessage) -> None:
        """Take a message of another member."""
        match message:
            case ForwardProposal():
                self._accept_proposal(now, sender, message)
            case ProposalRejected():
                self._proposals.receive_rejection(now, message)
            case ReadIndexRequest():
                self._serve_read(sender, message.number)
            case ReadIndexReply():
                self._reads.receive_index(now, message, self.state.applied_index)
            case Greeting():
                if message.wants_reply:
                    self._outbox.send(sender, Greeting(False))
            case FetchRequest():
                self._fetches.add(now, sender, message)
                self._answer_fetches(now)
            case FetchReply():
                self._receive_fetched(now, sender, message)
            case _:
                self.raft.receive(now, sender, message)
                self.raft.announce_commit()
                self._drain_raft()
        self._report_changes(now)

    def done(self, now: float, effect: Apply | Restore | ReadReady) -> None:
        """Carry out an effect whose turn has come: all before it is durable."""
        match effect:
            case Apply():
                self._apply(now, effect.entries)
            case Restore():
                self._restore(now, effect.snapshot)
            case ReadReady():
                self._reads.finish(now, effect, self.state.applied_index)

    def _drain_raft(self) -> None:
        for effect in self.raft.drain_effects():
            self._outbox.add(Send(*effect) if isinstance(effect, RaftSend) else effect)

    def _report_changes(self, now: float) -> None:
        """Log a change of leader or membership; send again what the former leader may never answer."""
        leader = self.leader
        if leader and leader != self._reports.leader:
            self._proposals.retry_at(now)
            self._reads.retry_at(now)
        self._reports.report_leader(LeaderView(self.raft.role is Role.LEADER, leader), self.raft.term)
        self._reports.report_membership(self.membership)

    def _apply(self, now: float, entries: tuple[Entry, ...]) -> None:
        for proposal_id, outcome in self.state.apply(entries):
            self._proposals.complete(proposal_id, outcome)
        self._reads.complete(self.state.applied_index)
        self.raft.announce_commit()
        self._drain_raft()
        self._answer_fetches(now)

    def _restore(self, now: float, snapshot: Snapshot) -> None:
        try:
            if not self.state.restore(snapshot):
                return
        except UnsupportedFormatError as error:
            self._outbox.log("unsupported_format", {"why": str(error)})
            return
        self._proposals.complete_decided(self.state)
        self._reads.complete(self.state.applied_index)
        self._answer_fetches(now)

    def compact(self, now: float) -> None:
        """Keep a snapshot of the state and drop the log before it, unless committed entries are yet to be applied."""
        if self.state.applied_index == self.raft.log.commit_index:
            self.raft.compact(now, self.state.snapshot())
            self._drain_raft()

    def new_proposal_id(self) -> bytes:
        """Return an id for a proposal that is made now."""
        return new_proposal_id(self.state.applied_index, self._rng.getrandbits(64))

    def propose(
        self,
        now: float,
        proposal_id: bytes,
        data: bytes,
        deadline: float,
        version: int = 1,
        *,
        repeated: bool = False,
        void: bool = False,
    ) -> int:
        """Propose; return the ticket of the answer, which comes by `deadline`, or at once where nothing can be done.

        `repeated`: it was proposed before under this id, and counts once. `void`: make sure that the proposal with
        this id is never committed, unless it is by now."""
        repeated = repeated or void
        ticket = self._outbox.new_ticket()
        outcome = self.state.outcome(proposal_id)
        if outcome is not None:
            self._outbox.complete(ticket, outcome)
            return ticket
        obstacle = self._proposals.obstacle(proposal_id, data)
        if obstacle is None and self.pending_requests >= MAX_PENDING_REQUESTS:
            obstacle = "full"
        if obstacle is None and not self.leader:
            obstacle = "no leader"
        if obstacle is not None:
            self.counts["proposal_rejected"] += 1
            state = OutcomeState.UNKNOWN if repeated or proposal_id in self._proposals else OutcomeState.REJECTED
            retry_after_s = self._settings.election_timeout_s
            self._outbox.complete(ticket, Outcome(state, reason=obstacle, retry_after_s=retry_after_s))
            return ticket
        packed = pack_proposal(Proposal(proposal_id, version, data, void))
        message = ForwardProposal(proposal_id, version, packed)
        self._proposals.add(now, ticket, message, deadline, repeated=repeated)
        self._submit_proposal(now, message)
        return ticket

    def _submit_proposal(self, now: float, message: ForwardProposal) -> None:
        if self.raft.role is Role.LEADER:
            self._accept_proposal(now, self.name, message)
        elif self.leader:
            self._outbox.send(self.leader, message)

    def _accept_proposal(self, now: float, sender: str, message: ForwardProposal) -> None:
        """Append a proposal to the log, as the leader; it is skipped where its outcome is known already."""
        self.directory.forget_departed(self.raft.membership)
        outdated = self.directory.outdated(message.version)
        try:
            if outdated:
                raise RejectedError(f"{outdated[0]} does not know version {message.version}")
            if self.raft.log.size_bytes > 2 * self._settings.max_log_bytes:
                raise RejectedError("full")
            if self.state.outcome(message.proposal_id) is None:
                self.raft.propose(message.data)
                self._drain_raft()
        except RejectedError as error:
            rejection = ProposalRejected(message.proposal_id, str(error), bool(outdated))
            if sender == self.name:
                self._proposals.receive_rejection(now, rejection)
            else:
                self._outbox.send(sender, rejection)

    def read(self, now: float, deadline: float) -> int:
        """Have the state here come to show all that is committed now; return the ticket of the answer.

        The answer is COMMITTED with the index that the state shows then, or REJECTED."""
        ticket = self._outbox.new_ticket()
        number = self._reads.new_number()
        if self.pending_requests >= MAX_PENDING_REQUESTS or not self.leader:
            reason = "no leader" if not self.leader else "full"
            retry_after_s = self._settings.election_timeout_s
            outcome = Outcome(OutcomeState.REJECTED, reason=reason, retry_after_s=retry_after_s)
            self._outbox.complete(ticket, outcome)
        else:
            self._reads.add(now, number, ticket, deadline)
            self._submit_read(now, number)
        return ticket

    def _submit_read(self, now: float, number: int) -> None:
        if self.raft.role is Role.LEADER:
            self._serve_read(self.name, number)
        elif self.leader:
            self._outbox.send(self.leader, ReadIndexRequest(number))

    def _serve_read(self, sender: str, number: int) -> None:
        self._reads.serve(self.raft, sender, number)
        self._drain_raft()

    def _answer_fetches(self, now: float) -> None:
        """Answer the members that follow this one, where there is something new."""
        source = FetchSource(
            log=self.raft.log,
            retained=self.observer.retained,
            applied_index=self.state.applied_index,
            leader=self.leader,
            last_leader_contact=self._last_leader_contact(now),
            depth=0 if self.receives_log else self.observer.depth,
            membership=self.membership,
            make_snapshot=lambda: self.state.make_snapshot(self.membership),
        )
        for to, reply in self._fetches.replies(now, source):
            self._outbox.send(to, reply)

    def _last_leader_contact(self, now: float) -> float:
        if self.raft.role is Role.LEADER:
            return now
        return self.raft.election.last_leader_contact if self.receives_log else self.observer.last_leader_contact

    def _receive_fetched(self, now: float, sender: str, reply: FetchReply) -> None:
        snapshot = self.observer.receive(now, sender, reply, self.state.applied_index)
        if snapshot is not None:
            self._outbox.add(Restore(snapshot))
        if reply.entries:
            self._outbox.add(Apply(reply.entries))

    def transfer_leadership(self, now: float, target: str) -> None:
        """Have the voter of this identity lead. Raises RejectedError."""
        self.raft.transfer_leadership(now, target)
        self._drain_raft()

    def change_membership(self, now: float, membership: Membership) -> None:
        """Change who takes part. Raises RejectedError."""
        self.raft.change_membership(membership)
        self._drain_raft()
        self._report_changes(now)
