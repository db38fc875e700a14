"""Transfer of snapshots in chunks: assembly at the receiver, and what a follower and a leader do with them."""

from __future__ import annotations

import copy
import zlib
from typing import NamedTuple

from .messages import AppendEntriesReply, InstallSnapshotChunk, InstallSnapshotReply, Persist, Restore, Snapshot
from .progress import Progress
from .state import NodeState


class SnapshotKey(NamedTuple):
    """What tells one snapshot from another: chunks of two senders fit together only if all of it is the same."""

    up_to_index: int
    term: int
    total_bytes: int
    checksum: int


class SnapshotAssembly:
    """Puts the chunks of one snapshot at a time together."""

    def __init__(self) -> None:
        self.key: SnapshotKey | None = None
        self.data = bytearray()

    def copy(self) -> SnapshotAssembly:
        """Return an independent copy."""
        other = copy.copy(self)
        other.data = self.data[:]
        return other

    def add(self, key: SnapshotKey, offset: int, chunk: bytes) -> bytes | None:
        """Add a chunk; the data once it is complete. Data with a wrong checksum is dropped, to be sent again."""
        if self.key != key:
            self.key = key
            self.data = bytearray()
        if offset <= len(self.data):
            self.data[offset:] = chunk
        if len(self.data) < key.total_bytes:
            return None
        data = bytes(self.data)
        self.key = None
        self.data = bytearray()
        return data if zlib.crc32(data) == key.checksum else None


class SnapshotReceiver:
    """A follower's part: it collects the leader's chunks and installs the snapshot."""

    def __init__(self) -> None:
        self.assembly = SnapshotAssembly()

    def copy(self) -> SnapshotReceiver:
        """Return an independent copy."""
        other = copy.copy(self)
        other.assembly = self.assembly.copy()
        return other

    def receive(self, state: NodeState, message: InstallSnapshotChunk) -> AppendEntriesReply | InstallSnapshotReply:
        """Take a chunk of the leader of this term; return the reply."""
        if message.up_to_index <= state.log.commit_index:
            return AppendEntriesReply(state.term, True, state.log.commit_index, message.heartbeat_round)
        key = SnapshotKey(message.up_to_index, message.last_term, message.total_bytes, message.checksum)
        data = self.assembly.add(key, message.offset, message.data)
        if data is None:
            received_bytes = len(self.assembly.data)
            return InstallSnapshotReply(state.term, message.up_to_index, received_bytes, message.heartbeat_round)
        install(state, Snapshot(message.up_to_index, message.last_term, message.membership, data))
        return AppendEntriesReply(state.term, True, message.up_to_index, message.heartbeat_round)


def install(state: NodeState, snapshot: Snapshot) -> None:
    """Take over a leader's snapshot, unless the log holds all that it covers."""
    log = state.log
    if snapshot.up_to_index <= log.last_index and log.term_at(snapshot.up_to_index) == snapshot.term:
        state.commit(snapshot.up_to_index)
        return
    log.install(snapshot)
    state.membership = snapshot.membership
    persist = Persist(state.term, state.voted_for, 0, (), snapshot, snapshot.up_to_index, True)
    state.effects += [persist, Restore(snapshot)]


class SnapshotSender:
    """A leader's part: it sends the same snapshot to all followers, as long as the log still continues it."""

    def __init__(self) -> None:
        self.offered: Snapshot | None = None

    def send_chunk(
        self, state: NodeState, name: str, progress: Progress, heartbeat_round: int, *, resend: bool
    ) -> None:
        """Send a follower its next chunk. One is in flight at a time; `resend` repeats it."""
        if progress.chunk_in_flight and not resend:
            return
        assert state.log.snapshot is not None, "the log was compacted without a snapshot"
        if self.offered is None or self.offered.up_to_index < state.log.base_index:
            self.offered = state.log.snapshot
        snapshot = self.offered
        if progress.snapshot_index != snapshot.up_to_index:
            progress.snapshot_index = snapshot.up_to_index
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        progress.chunk_in_flight = True
        chunk = InstallSnapshotChunk(
            term=state.term,
            up_to_index=snapshot.up_to_index,
            last_term=snapshot.term,
            membership=snapshot.membership,
            total_bytes=len(snapshot.data),
            checksum=zlib.crc32(snapshot.data),
            offset=offset,
            data=snapshot.data[offset : offset + state.settings.max_chunk_bytes],
            heartbeat_round=heartbeat_round,
        )
        state.send(name, chunk)
