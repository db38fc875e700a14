"""Log replication: sending entries from the leader, and appending them to a follower's log."""

from __future__ import annotations

import copy
import itertools

from .messages import AppendEntries, AppendEntriesReply, Entry, InstallSnapshotReply, Membership
from .progress import Batch, Progress
from .raft_log import entry_bytes
from .snapshot_transfer import SnapshotSender
from .state import NodeState


def accept_entries(state: NodeState, message: AppendEntries) -> AppendEntriesReply:
    """Append entries from the leader of the current term if they continue the log; return the reply."""
    log = state.log
    previous = message.prev_index
    # Entries up to and including the base index are committed, so the leader has the same ones.
    is_known = previous <= log.last_index
    if not is_known or (previous >= log.base_index and log.term_at(previous) != message.prev_term):
        return AppendEntriesReply(state.term, False, _conflict_hint(state, previous), message.heartbeat_round)
    for position, entry in enumerate(message.entries):
        if entry.index > log.base_index and log.term_at(entry.index) != entry.term:
            assert entry.index > log.commit_index, "AppendEntries would replace a committed entry"
            log.replace_from(entry.index, message.entries[position:])
            state.membership = log.membership_at(log.last_index)
            state.persist(entry.index)
            break
    return AppendEntriesReply(state.term, True, previous + len(message.entries), message.heartbeat_round)


def _conflict_hint(state: NodeState, previous: int) -> int:
    """Return the highest index at which the logs may match; skips the whole conflicting term to save round trips."""
    log = state.log
    hint = min(log.last_index, previous - 1)
    conflicting_term = log.term_at(hint + 1)
    while conflicting_term and hint > log.commit_index and log.term_at(hint) == conflicting_term:
        hint -= 1
    return max(hint, log.commit_index)


class Replication:
    """The replication state of a leader: the progress of all members and the number of the heartbeat round."""

    def __init__(self) -> None:
        self.progress: dict[str, Progress] = {}
        self.heartbeat_round = 0
        self.snapshots = SnapshotSender()

    def copy(self) -> Replication:
        """Return an independent copy."""
        other = copy.copy(self)
        other.progress = {name: progress.copy() for name, progress in self.progress.items()}
        other.snapshots = copy.copy(self.snapshots)
        return other

    def reset(self, now: float, state: NodeState) -> None:
        """Reset the progress of all members at the start of a term as leader."""
        next_index = state.log.last_index + 1
        self.progress = {name: Progress(next_index, last_contact=now) for name in state.membership.all_members}
        self.heartbeat_round = 0

    def track(self, membership: Membership, index: int) -> None:
        """Track the members of a membership change at `index`: add new members, remove former ones."""
        for name in membership.all_members:
            self.progress.setdefault(name, Progress(index))
        for name in set(self.progress) - set(membership.all_members):
            del self.progress[name]

    def lag(self, state: NodeState, name: str) -> int:
        """Return how many log entries a member lacks, by its last known match index."""
        if name == state.name:
            return 0
        progress = self.progress.get(name)
        return state.log.last_index - (progress.match_index if progress is not None else 0)

    def has_recent_majority_contact(self, now: float, state: NodeState) -> bool:
        """Return whether a majority of the voters has replied within the election timeout."""
        earliest = now - state.settings.election_timeout_s
        responsive = sum(
            name == state.name or self.progress[name].last_contact > earliest for name in state.membership.voters
        )
        return responsive >= state.majority()

    def majority_match_index(self, state: NodeState) -> int:
        """Return the highest index up to which a majority of the voters has stored the log durably."""
        return state.reached_by_majority(
            state.log.last_index if name == state.name else self.progress[name].match_index
            for name in state.membership.voters
        )

    def majority_heartbeat_round(self, state: NodeState) -> int:
        """Return the latest heartbeat round acknowledged by a majority of the voters."""
        return state.reached_by_majority(
            self.heartbeat_round if name == state.name else self.progress[name].heartbeat_round
            for name in state.membership.voters
        )

    def required_base(self, now: float, state: NodeState) -> int:
        """Return the highest base index that retains all entries needed by recently contacted followers."""
        base = state.log.commit_index
        offered = self.snapshots.offered
        for progress in self.progress.values():
            if progress.last_contact <= now - state.settings.election_timeout_s:
                continue
            if progress.match_index > state.log.base_index:
                base = min(base, progress.match_index)
            elif offered is not None and progress.snapshot_index == offered.up_to_index:
                base = min(base, offered.up_to_index)
        return base

    def replicate_to_all(self, state: NodeState) -> None:
        """Send missing entries to every follower, up to its in-flight limit."""
        for name in self.progress:
            self.replicate(state, name)

    def heartbeat(self, state: NodeState) -> None:
        """Begin a heartbeat round; unacknowledged entries are sent again."""
        self.heartbeat_round += 1
        for name, progress in self.progress.items():
            if name != state.name:
                progress.in_flight.clear()
                self.replicate(state, name, heartbeat=True)

    def announce_commit(self, state: NodeState) -> None:
        """Send the commit index to followers whose log is up to date, without waiting for the next heartbeat."""
        for name, progress in self.progress.items():
            is_behind = progress.announced_commit < state.log.commit_index
            if name != state.name and is_behind and progress.match_index == state.log.last_index:
                self.replicate(state, name, heartbeat=True)

    def replicate(self, state: NodeState, name: str, heartbeat: bool = False) -> None:
        """Send missing entries or snapshot data to a follower, up to its in-flight limit.

        With `heartbeat`, a message is sent even if the follower lacks nothing."""
        if name == state.name:
            return
        progress = self.progress[name]
        if progress.next_index <= state.log.base_index:
            self.snapshots.send_chunk(state, name, progress, self.heartbeat_round, resend=heartbeat)
            return
        while (entries := self._next_entries(state, progress)) or heartbeat:
            previous = progress.next_index - 1
            commit_index = state.log.commit_index
            message = AppendEntries(
                state.term, previous, state.log.term_at(previous), entries, commit_index, self.heartbeat_round
            )
            state.send(name, message)
            progress.announced_commit = commit_index
            heartbeat = False
            if not entries:
                return
            progress.in_flight.append(Batch(entries[-1].index, sum(map(entry_bytes, entries))))
            if progress.probing:
                return
            progress.next_index = entries[-1].index + 1

    def _next_entries(self, state: NodeState, progress: Progress) -> tuple[Entry, ...]:
        """Return the next entries for a follower; empty if there are none or its in-flight limit is reached."""
        capacity = state.settings.max_in_flight_bytes - sum(batch.size_bytes for batch in progress.in_flight)
        if capacity <= 0 or (progress.probing and progress.in_flight):
            return ()
        limit = min(capacity, state.settings.max_chunk_bytes)
        entries = list[Entry]()
        size = 0
        for entry in itertools.islice(state.log.entries, progress.next_index - state.log.base_index - 1, None):
            cost = entry_bytes(entry)
            if entries and size + cost > limit:
                break
            entries.append(entry)
            size += cost
        return tuple(entries)

    def receive_append_reply(self, now: float, state: NodeState, sender: str, reply: AppendEntriesReply) -> None:
        """Update a follower's progress from its AppendEntries reply."""
        progress = self.progress[sender]
        progress.record_contact(now, reply.heartbeat_round)
        progress.chunk_in_flight = False
        if reply.success:
            progress.record_match(reply.match_index)
        elif reply.match_index >= progress.match_index:
            progress.record_mismatch(reply.match_index, state.log.last_index)

    def receive_snapshot_reply(self, now: float, sender: str, reply: InstallSnapshotReply) -> None:
        """Update a follower's progress from its reply to a snapshot chunk."""
        progress = self.progress[sender]
        progress.record_contact(now, reply.heartbeat_round)
        if reply.up_to_index == progress.snapshot_index:
            progress.snapshot_offset = reply.received_bytes
            progress.chunk_in_flight = False
