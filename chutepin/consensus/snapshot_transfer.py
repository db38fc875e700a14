"""Transfer of snapshots in chunks: sending by a leader, assembly and installation by a follower."""

from __future__ import annotations

import copy
import zlib
from typing import NamedTuple

from .messages import AppendEntriesReply, InstallSnapshotChunk, InstallSnapshotReply, Persist, Restore, Snapshot
from .progress import Progress
from .state import NodeState


class SnapshotKey(NamedTuple):
    """The identity of a snapshot; chunks from two senders are combined only if all fields are equal."""

    up_to_index: int
    term: int
    total_bytes: int
    checksum: int


class SnapshotAssembly:
    """A buffer that assembles the chunks of one snapshot at a time."""

    def __init__(self) -> None:
        self.key: SnapshotKey | None = None
        self.data = bytearray()

    def copy(self) -> SnapshotAssembly:
        """Return an independent copy."""
        other = copy.copy(self)
        other.data = self.data[:]
        return other

    def add(self, key: SnapshotKey, offset: int, chunk: bytes) -> bytes | None:
        """Add a chunk; return the data once it is complete, else None.

        Complete data with a wrong checksum is discarded, so that the sender starts again."""
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
    """The follower's side of a transfer: collects the leader's chunks and installs the snapshot."""

    def __init__(self) -> None:
        self.assembly = SnapshotAssembly()

    def copy(self) -> SnapshotReceiver:
        """Return an independent copy."""
        other = copy.copy(self)
        other.assembly = self.assembly.copy()
        return other

    def receive(self, state: NodeState, message: InstallSnapshotChunk) -> AppendEntriesReply | InstallSnapshotReply:
        """Add a chunk from the leader of the current term; return the reply."""
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
    """Install a leader's snapshot; if the log already contains all entries it covers, only commit up to its index."""
    log = state.log
    if snapshot.up_to_index <= log.last_index and log.term_at(snapshot.up_to_index) == snapshot.term:
        state.commit(snapshot.up_to_index)
        return
    log.install(snapshot)
    state.membership = snapshot.membership
    persist = Persist(state.term, state.voted_for, 0, (), snapshot, snapshot.up_to_index, True)
    state.effects += [persist, Restore(snapshot)]


class SnapshotSender:
    """The leader's side of a transfer: sends one snapshot to all followers while the log still continues it."""

    def __init__(self) -> None:
        self.offered: Snapshot | None = None

    def send_chunk(
        self, state: NodeState, name: str, progress: Progress, heartbeat_round: int, *, resend: bool
    ) -> None:
        """Send a follower its next chunk; one chunk is in flight at a time, `resend` sends it again."""
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
