"""The Raft state machine of one node: dispatches messages and timer ticks to elections, replication and reads.

Implements Raft with pre-vote, check-quorum, single-voter membership changes, ReadIndex reads and leadership transfer.
The module performs no I/O and reads no clock; the time and a random generator are arguments. `drain_effects` returns
the writes, messages and committed entries in order: an effect after a `Persist` must wait until that is durable."""

from __future__ import annotations

import copy
import random

from .election import Election
from .errors import RejectedError
from .leadership import Leadership
from .messages import (
    AppendEntries,
    AppendEntriesReply,
    Effect,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Membership,
    Persist,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Restore,
    Snapshot,
    TimeoutNow,
)
from .persistent_state import PersistentState
from .raft_log import RaftLog
from .replication import accept_entries
from .settings import DEFAULT_SETTINGS, RaftSettings
from .snapshot_transfer import SnapshotReceiver
from .state import NodeState, Role


class RaftNode:
    """One node of a Raft group."""

    def __init__(
        self,
        name: str,
        initial_membership: Membership,
        saved: PersistentState,
        now: float,
        rng: random.Random,
        settings: RaftSettings = DEFAULT_SETTINGS,
    ) -> None:
        """Start from the persistent state `saved`, which is copied.

        `initial_membership` is the same on all nodes; membership changes in the log override it."""
        log = RaftLog(initial_membership, saved)
        membership = log.membership_at(log.last_index)
        self.name = name
        self.state = NodeState(name, settings, log, saved.term, saved.voted_for, membership)
        self.election = Election(now, rng, settings)
        self.leadership = Leadership()
        self.snapshot_receiver = SnapshotReceiver()
        if log.snapshot is not None:
            self.state.effects.append(Restore(log.snapshot))

    def copy(self) -> RaftNode:
        """Return an independent node in the same state, without pending effects (for model checking)."""
        other = copy.copy(self)
        other.state = self.state.copy()
        other.election = self.election.copy()
        other.leadership = self.leadership.copy()
        other.snapshot_receiver = self.snapshot_receiver.copy()
        return other

    @property
    def log(self) -> RaftLog:
        """The log: entries, snapshot and commit index."""
        return self.state.log

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """The role in the current term."""
        return self.state.role

    @property
    def leader(self) -> str:
        """The leader of the current term; empty if unknown."""
        return self.state.leader

    @property
    def membership(self) -> Membership:
        """Voters and learners, as of the latest membership change in the log, committed or not."""
        return self.state.membership

    def drain_effects(self) -> list[Effect]:
        """Return the effects produced since the last call, in the order in which they must be carried out."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def next_deadline(self) -> float:
        """Return the time at which `tick` is due."""
        if self.role is Role.LEADER:
            return min(self.leadership.heartbeat_at, self.leadership.quorum_check_at)
        return self.election.deadline

    def tick(self, now: float) -> None:
        """Run the expired timers: heartbeat and quorum check on a leader, the election timeout on other nodes."""
        if self.role is Role.LEADER:
            if now >= self.leadership.heartbeat_at:
                self.leadership.heartbeat(now, self.state)
            if now >= self.leadership.quorum_check_at and not self.leadership.keeps_quorum(now, self.state):
                self.follow(now, self.term, "")
        elif now >= self.election.deadline:
            self.election.restart_timeout(now, self.state.settings)
            if self.state.is_voter:
                self.campaign(now, Role.PRE_CANDIDATE)

    def lag(self, name: str) -> int:
        """Return how many log entries a member lacks, by the leader's match index of it."""
        return self.leadership.replication.lag(self.state, name)

    def voters_by_lag(self) -> list[str]:
        """Return the other voters, ordered by lag, the most up-to-date first."""
        return sorted(self.state.other_voters, key=self.lag)

    def propose(self, data: bytes) -> int:
        """Append a proposal to the log; return its index. Raises RejectedError.

        The proposal is committed once an `Apply` contains an entry with this index and the current term. If the leader
        changes before that, the proposal may or may not be committed."""
        self._require_leadership()
        return self.leadership.propose(self.state, data)

    def change_membership(self, wanted: Membership) -> int:
        """Append a membership change: any number of learners, at most one voter; return its index.

        Raises RejectedError."""
        self._require_leadership()
        return self.leadership.change_membership(self.state, wanted)

    def read(self, read_id: int) -> None:
        """Begin a linearizable read; a `ReadReady` effect returns the index to apply first. Raises RejectedError."""
        self._require_leadership()
        self.leadership.read(self.state, read_id)

    def transfer_leadership(self, now: float, target: str) -> None:
        """Transfer the leadership to another voter; proposals are rejected for up to one election timeout meanwhile.

        Raises RejectedError."""
        self._require_leadership()
        if target not in self.state.other_voters:
            raise RejectedError(f"{target} is no other voter", self.name)
        self.leadership.start_transfer(now, self.state, target)

    def _require_leadership(self) -> None:
        if self.role is not Role.LEADER:
            raise RejectedError("not the leader", self.leader)
        if self.leadership.transfer.target:
            raise RejectedError("the leader hands over", self.leadership.transfer.target)

    def announce_commit(self) -> None:
        """Send a new commit index to up-to-date followers before the next heartbeat."""
        if self.role is Role.LEADER:
            self.leadership.replication.announce_commit(self.state)

    def compact(self, now: float, data: bytes) -> None:
        """Store `data` as the snapshot of the committed state and truncate the log before it.

        A leader retains entries that recently contacted followers still need, unless the log exceeds `max_log_bytes`.
        Does nothing if no entry was committed since the last snapshot."""
        log = self.log
        if log.commit_index <= log.snapshot_index:
            return
        index = log.commit_index
        snapshot = Snapshot(index, log.term_at(index), log.membership_at(index), data)
        base_index = log.retention_base(self.state.settings.retained_bytes)
        if self.role is Role.LEADER and log.size_bytes <= self.state.settings.max_log_bytes:
            base_index = min(base_index, self.leadership.replication.required_base(now, self.state))
        log.compact(snapshot, base_index)
        self.state.effects.append(Persist(self.term, self.state.voted_for, 0, (), snapshot, base_index))

    def receive(self, now: float, sender: str, message: RaftMessage) -> None:
        """Process a message from another member. Replies from an earlier term or candidacy are ignored."""
        if isinstance(message, RequestVote) and self._ignores_vote_request(now, message):
            return
        if message.term > self.term and not _is_pre_vote(message):
            self.follow(now, message.term, "")
        self._dispatch(now, sender, message)

    def _dispatch(self, now: float, sender: str, message: RaftMessage) -> None:
        match message:
            case RequestVote():
                self._receive_vote_request(now, sender, message)
            case RequestVoteReply():
                if self.election.add_vote(self.state, sender, message):
                    self._count_votes(now)
            case AppendEntries():
                self._receive_append_entries(now, sender, message)
            case InstallSnapshotChunk():
                self._receive_snapshot_chunk(now, sender, message)
            case AppendEntriesReply() | InstallSnapshotReply():
                if message.term == self.term and self.role is Role.LEADER:
                    self.leadership.receive(now, self.state, sender, message)
            case TimeoutNow() if message.term == self.term and self.state.is_voter:
                self.campaign(now, Role.CANDIDATE, is_transfer=True)
            case _:
                pass

    def follow(self, now: float, term: int, leader: str) -> None:
        """Become a follower in `term`; `leader` is empty while unknown."""
        state = self.state
        if term > state.term:
            state.term = term
            state.voted_for = ""
            state.persist()
        if state.role is Role.LEADER:
            self.leadership.step_down(state)
        state.role = Role.FOLLOWER
        state.leader = leader
        self.election.restart_timeout(now, state.settings)

    def campaign(self, now: float, role: Role, *, is_transfer: bool = False) -> None:
        """Start an election, or the pre-vote that precedes it."""
        self.election.start(now, self.state, role, is_transfer=is_transfer)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self.election.is_won(self.state):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.campaign(now, Role.CANDIDATE)
        elif self.role is Role.CANDIDATE:
            self.state.role = Role.LEADER
            self.state.leader = self.name
            self.leadership.begin(now, self.state)

    def _ignores_vote_request(self, now: float, request: RequestVote) -> bool:
        """Return whether to ignore a vote request because a leader is active and is not transferring leadership."""
        if request.is_transfer:
            return False
        if self.role is Role.LEADER and self.leadership.replication.has_recent_majority_contact(now, self.state):
            return True
        return self.election.has_recent_leader_contact(now, self.state)

    def _receive_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        self.election.answer(now, self.state, sender, request)

    def _receive_append_entries(self, now: float, sender: str, message: AppendEntries) -> None:
        if message.term < self.term:
            reply = AppendEntriesReply(self.term, False, self.log.last_index, message.heartbeat_round)
            self.state.send(sender, reply)
            return
        self._recognize_leader(now, sender, message.term)
        reply = accept_entries(self.state, message)
        self.state.send(sender, reply)
        if reply.success:
            self.state.commit(min(message.commit_index, reply.match_index))

    def _receive_snapshot_chunk(self, now: float, sender: str, message: InstallSnapshotChunk) -> None:
        if message.term < self.term:
            reply = InstallSnapshotReply(self.term, message.up_to_index, 0, message.heartbeat_round)
            self.state.send(sender, reply)
            return
        self._recognize_leader(now, sender, message.term)
        self.state.send(sender, self.snapshot_receiver.receive(self.state, message))

    def _recognize_leader(self, now: float, sender: str, term: int) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self.follow(now, term, sender)
        self.election.record_leader_contact(now, self.state.settings)


def _is_pre_vote(message: RaftMessage) -> bool:
    """Return whether the message belongs to a pre-vote, where `term` is the next term and not the sender's own."""
    match message:
        case RequestVote():
            return message.pre_vote
        case RequestVoteReply():
            return message.pre_vote and message.granted
        case _:
            return False
