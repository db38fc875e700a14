"""The consensus logic of one node: the Raft node, the replicated state and the pending requests.

The module performs no I/O and reads no clock; the time and a random generator are arguments. `drain_effects` returns
the effects to carry out in order: an effect after a `Persist` must wait until that is durable, and `Apply`, `Restore`
and `ReadReady` are passed to `carry_out` in their turn. The node and the simulator run the same code."""

from __future__ import annotations

import math
import random

from .change_reports import ChangeReporter, LeaderStatus
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

MAX_PENDING_REQUESTS = 256  # proposals and reads of this node that have no outcome yet


class Participant:
    """One node of the replicated log: voter, learner or observer."""

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
        """Start from the journal's state `saved`; `initial_membership` applies until the log contains a change."""
        self.name = name
        self._settings = settings
        self._rng = rng
        self.raft = raft_type(name, initial_membership, saved, now, rng, settings)
        self.state = ReplicatedState(machine)
        self.observer = Observer(name, now, rng, settings.heartbeat_interval_s)
        self.directory = NodeDirectory(name, now)
        self._outbox = Outbox()
        self._reporter = ChangeReporter(self._outbox, self.raft.membership)
        self.counts = self._reporter.counts
        retries = RetrySchedule(settings, rng)
        self._proposals = ProposalTracker(self._outbox, retries)
        self._reads = ReadTracker(name, self._outbox, retries)
        self._fetches = FetchQueue(settings.max_chunk_bytes, settings.heartbeat_interval_s)
        self._drain_raft()

    def drain_effects(self) -> list[Effect]:
        """Return the effects produced since the last call, in the order in which they must be carried out."""
        return self._outbox.drain()

    def next_deadline(self) -> float:
        """Return the time at which `tick` is due."""
        return min(
            self.raft.next_deadline() if self._runs_raft else math.inf,
            self.observer.next_deadline() if self._fetches_entries else math.inf,
            self._fetches.next_deadline(),
            *self._proposals.deadlines(),
            *self._reads.deadlines(),
        )

    @property
    def receives_log(self) -> bool:
        """Return whether the leader replicates entries to this node: it is a voter or a learner."""
        return self.name in self.membership.all_members

    @property
    def _runs_raft(self) -> bool:
        """Return whether Raft's timers run; they also run on a leader until its own removal is committed."""
        return self.receives_log or self.raft.role is Role.LEADER

    @property
    def _fetches_entries(self) -> bool:
        """Return whether this node fetches entries from an upstream.

        A voter or learner without a leader does so too: it may have been removed, or a partition may separate it from
        the leader only."""
        return not self.receives_log or self.raft.leader == ""

    @property
    def leader(self) -> str:
        """The leader known to this node; empty if unknown."""
        if self.raft.role is Role.LEADER:
            return self.name
        return (self.raft.leader if self.receives_log else "") or self.observer.leader

    @property
    def membership(self) -> Membership:
        """Voters and learners as of the log or of the fetched entries, whichever is newer."""
        is_ahead_of_log = self.state.applied_index > self.raft.log.last_index
        if is_ahead_of_log and self.state.membership.voters:
            return self.state.membership
        return self.raft.membership

    @property
    def pending_requests(self) -> int:
        """The number of pending proposals and reads of this node."""
        return len(self._proposals) + len(self._reads)

    def set_alive(self, names: tuple[str, ...]) -> None:
        """Set the names of the nodes that are alive; `names` is sorted."""
        voters = set(map(node_name, self.membership.voters))
        self.directory.alive = names
        self.observer.peers = tuple(name for name in names if name not in voters)

    def tick(self, now: float) -> None:
        """Run the expired timers: Raft, fetches, retries of requests; report changes of leader and membership."""
        if self._runs_raft and now >= self.raft.next_deadline():
            self.raft.tick(now)
            self._drain_raft()
        if self._fetches_entries and now >= self.observer.next_deadline():
            voters = tuple(name for name in self.membership.voters if name != self.name)
            fetch = self.observer.next_fetch(now, self.state.applied_index, voters)
            if fetch is not None:
                self._outbox.add(Send(*fetch))
        if self.raft.role is Role.LEADER:
            self.directory.request_unknown_identities(now, self._rng, self._outbox)
        self._answer_fetches(now)
        self._proposals.retry(now, self._submit_proposal)
        self._reads.retry(now, self._submit_read, self._settings.election_timeout_s)
        self._report_changes(now)

    def receive(self, now: float, sender: str, message: ParticipantMessage) -> None:
        """Process a message from another node."""
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

    def carry_out(self, now: float, effect: Apply | Restore | ReadReady) -> None:
        """Carry out an effect; all effects before it must be durable."""
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
        """Log a change of leader or membership; on a new leader, retry the pending requests."""
        leader = self.leader
        if leader and leader != self._reporter.leader:
            self._proposals.schedule_retries(now)
            self._reads.schedule_retries(now)
        self._reporter.report_leader(LeaderStatus(self.raft.role is Role.LEADER, leader), self.raft.term)
        self._reporter.report_membership(self.membership)

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
        """Take a snapshot and truncate the log before it, unless committed entries are not applied yet."""
        if self.state.applied_index == self.raft.log.commit_index:
            self.raft.compact(now, self.state.snapshot())
            self._drain_raft()

    def new_proposal_id(self) -> bytes:
        """Return an id for a new proposal."""
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
        """Propose `data`; return the ticket of the outcome, delivered by `deadline` or immediately if rejected here.

        `repeated`: an earlier attempt used this id; the proposal is applied at most once. `void`: ensure that the
        proposal with this id is never committed, unless it is committed already."""
        repeated = repeated or void
        ticket = self._outbox.new_ticket()
        outcome = self.state.outcome(proposal_id)
        if outcome is not None:
            self._outbox.complete(ticket, outcome)
            return ticket
        rejection_reason = self._proposals.rejection_reason(proposal_id, data)
        if rejection_reason is None and self.pending_requests >= MAX_PENDING_REQUESTS:
            rejection_reason = "full"
        if rejection_reason is None and not self.leader:
            rejection_reason = "no leader"
        if rejection_reason is not None:
            self.counts["proposal_rejected"] += 1
            state = OutcomeState.UNKNOWN if repeated or proposal_id in self._proposals else OutcomeState.REJECTED
            retry_after_s = self._settings.election_timeout_s
            self._outbox.complete(ticket, Outcome(state, reason=rejection_reason, retry_after_s=retry_after_s))
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
        """Append a proposal to the log as the leader, unless its outcome is known already."""
        self.directory.remove_departed(self.raft.membership)
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
        """Begin a linearizable read of this node's state; return the ticket of the outcome.

        The outcome is COMMITTED, with the applied index that includes all entries committed before the call, or
        REJECTED."""
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
        """Reply to the waiting fetches for which there are new entries or whose hold time has ended."""
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
        """Transfer the leadership to the voter with this identity. Raises RejectedError."""
        self.raft.transfer_leadership(now, target)
        self._drain_raft()

    def change_membership(self, now: float, membership: Membership) -> None:
        """Propose a new membership. Raises RejectedError."""
        self.raft.change_membership(membership)
        self._drain_raft()
        self._report_changes(now)
