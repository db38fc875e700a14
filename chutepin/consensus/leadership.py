"""The leader's duties in its term: appending entries, commit index, reads, heartbeats and leadership transfer."""

from __future__ import annotations

import copy
import math

from .membership_change import check_change, check_term_committed
from .messages import AppendEntriesReply, Entry, EntryKind, InstallSnapshotReply, Membership, TimeoutNow
from .read_index import QueuedRead, ReadIndexQueue
from .replication import Replication
from .state import NodeState

NEVER = math.inf
IMMEDIATELY = -math.inf


class LeadershipTransfer:
    """The leadership transfer in progress, if any; proposals are rejected until the target leads or the deadline."""

    def __init__(self) -> None:
        self.target = ""
        self.deadline = NEVER

    def start(self, target: str, deadline: float) -> None:
        """Begin a transfer to `target`."""
        self.target = target
        self.deadline = deadline

    def cancel(self) -> None:
        """End the transfer, so that proposals are accepted again."""
        self.target = ""
        self.deadline = NEVER


class Leadership:
    """The leader-only state of one node; it persists between terms and is used only while the node leads."""

    def __init__(self) -> None:
        self.replication = Replication()
        self.reads = ReadIndexQueue()
        self.transfer = LeadershipTransfer()
        self.heartbeat_at = NEVER
        self.quorum_check_at = NEVER

    def copy(self) -> Leadership:
        """Return an independent copy."""
        other = copy.copy(self)
        other.replication = self.replication.copy()
        other.reads = self.reads.copy()
        other.transfer = copy.copy(self.transfer)
        return other

    def begin(self, now: float, state: NodeState) -> None:
        """Begin a term with a no-op entry, whose commit also commits all entries of earlier terms."""
        self.replication.reset(now, state)
        self.heartbeat_at = now + state.settings.heartbeat_interval_s
        self.quorum_check_at = now + state.settings.election_timeout_s
        self.append(state, Entry(state.log.last_index + 1, state.term, EntryKind.NO_OP))

    def step_down(self, state: NodeState) -> None:
        """Fail the pending reads and cancel the transfer when the node stops being leader."""
        self.reads.fail(state)
        self.transfer.cancel()

    def append(self, state: NodeState, entry: Entry) -> int:
        """Append an entry to the leader's log and replicate it; return its index.

        The entry is sent before it is durable on this node; effects that depend on that come after its `Persist`."""
        state.log.replace_from(entry.index, (entry,))
        if entry.membership is not None:
            state.membership = entry.membership
            self.replication.track(entry.membership, entry.index)
        self.replication.replicate_to_all(state)
        state.persist(entry.index)
        self.advance_commit(state)
        return entry.index

    def propose(self, state: NodeState, data: bytes) -> int:
        """Append a proposal; return its index."""
        return self.append(state, Entry(state.log.last_index + 1, state.term, EntryKind.PROPOSAL, data))

    def change_membership(self, state: NodeState, wanted: Membership) -> int:
        """Append a membership change; return its index. Raises RejectedError."""
        check_change(state, self.replication, wanted)
        entry = Entry(state.log.last_index + 1, state.term, EntryKind.VOTERS, membership=wanted)
        return self.append(state, entry)

    def read(self, state: NodeState, read_id: int) -> None:
        """Begin a heartbeat round that confirms the leadership for a read. Raises RejectedError."""
        check_term_committed(state)
        self.replication.heartbeat(state)
        self.reads.add(QueuedRead(read_id, state.log.commit_index, self.replication.heartbeat_round))
        self._answer_reads(state)

    def start_transfer(self, now: float, state: NodeState, target: str) -> None:
        """Bring a voter up to date and make it start an election, within one election timeout."""
        self.transfer.start(target, now + state.settings.election_timeout_s)
        self._continue_transfer(state)

    def heartbeat(self, now: float, state: NodeState) -> None:
        """Send a round of heartbeats and schedule the next one."""
        self.heartbeat_at = now + state.settings.heartbeat_interval_s
        self.replication.heartbeat(state)

    def keeps_quorum(self, now: float, state: NodeState) -> bool:
        """Return whether the node remains leader: it is a voter, and a majority has replied recently.

        The caller calls this when the quorum check is due; the next check is scheduled."""
        self.quorum_check_at = now + state.settings.election_timeout_s
        if now > self.transfer.deadline:
            self.transfer.cancel()
        return state.is_voter and self.replication.has_recent_majority_contact(now, state)

    def receive(
        self, now: float, state: NodeState, sender: str, reply: AppendEntriesReply | InstallSnapshotReply
    ) -> None:
        """Process a follower's reply of the current term: advance the commit index, replicate, complete reads."""
        if sender not in self.replication.progress:
            return
        match reply:
            case AppendEntriesReply():
                self.replication.receive_append_reply(now, state, sender, reply)
                if reply.success:
                    self.advance_commit(state)
                    self._continue_transfer(state)
            case InstallSnapshotReply():
                self.replication.receive_snapshot_reply(now, sender, reply)
        self.replication.replicate(state, sender)
        self._answer_reads(state)

    def advance_commit(self, state: NodeState) -> None:
        """Commit up to the index that a majority has stored, if that entry is of the current term.

        An entry of an earlier term may still be replaced, even if a majority has it."""
        index = self.replication.majority_match_index(state)
        if index <= state.log.commit_index or state.log.term_at(index) != state.term:
            return
        state.commit(index)
        if not state.is_voter and not state.log.has_pending_membership_change():
            # The leader's own removal is committed: this heartbeat sends the commit index before it steps down.
            self.replication.heartbeat(state)
            self.quorum_check_at = IMMEDIATELY

    def _answer_reads(self, state: NodeState) -> None:
        if self.reads.pending:
            self.reads.answer(state, self.replication.majority_heartbeat_round(state))

    def _continue_transfer(self, state: NodeState) -> None:
        """Send TimeoutNow to the transfer target once its log is complete."""
        progress = self.replication.progress.get(self.transfer.target)
        if progress is not None and progress.match_index == state.log.last_index:
            state.send(self.transfer.target, TimeoutNow(state.term))
