"""Pending fetch requests from downstream nodes; each waits for new entries, up to a hold time."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from .messages import Entry, Membership, Snapshot
from .observer import MAX_DEPTH
from .protocol import NO_LEADER_CONTACT, FetchReply, FetchRequest
from .raft_log import RaftLog, entry_bytes

MAX_WAITING_FETCHES = 64
FETCH_HOLD_HEARTBEATS = 4.0  # heartbeat intervals after which a fetch is answered without new entries
MAX_CONTACT_AGE_S = 60.0  # an older contact with the leader is reported as NO_LEADER_CONTACT


class FetchSource(NamedTuple):
    """The data of this node from which fetches are answered."""

    log: RaftLog
    retained: Iterable[Entry]  # the latest entries that this node has fetched from its upstream
    applied_index: int
    leader: str
    last_leader_contact: float
    depth: int
    membership: Membership
    make_snapshot: Callable[[], Snapshot]

    @property
    def is_ahead_of_log(self) -> bool:
        """Return whether fetched entries beyond the log's commit index are applied.

        The log's entries after its commit index may then still be replaced, so they must not be sent."""
        return self.log.commit_index < self.applied_index

    def entries_after(self, index: int) -> Iterable[Entry]:
        """Return the entries from which to answer a fetch after `index`; the first may be before or after it."""
        if not self.is_ahead_of_log and self.log.base_index <= index:
            return self.log.entries
        return self.retained


class WaitingFetch(NamedTuple):
    """A fetch request that is not answered yet."""

    answer_by: float
    request: FetchRequest


class FetchQueue:
    """The waiting fetches of one node, at most one per requester."""

    def __init__(self, max_chunk_bytes: int, heartbeat_interval_s: float) -> None:
        self._max_chunk_bytes = max_chunk_bytes
        self._hold_s = FETCH_HOLD_HEARTBEATS * heartbeat_interval_s
        self._waiting: dict[str, WaitingFetch] = {}
        self._offered: Snapshot | None = None  # the snapshot being sent to requesters

    def next_deadline(self) -> float:
        """Return the time at which the first reply without new entries is due."""
        return min((fetch.answer_by for fetch in self._waiting.values()), default=math.inf)

    def add(self, now: float, sender: str, request: FetchRequest) -> None:
        """Add a fetch; above MAX_WAITING_FETCHES it is dropped, and the requester chooses another upstream."""
        if sender in self._waiting or len(self._waiting) < MAX_WAITING_FETCHES:
            self._waiting[sender] = WaitingFetch(now + self._hold_s, request)

    def replies(self, now: float, source: FetchSource) -> Iterator[tuple[str, FetchReply]]:
        """Iterate over the replies that are due, with the name of the requester."""
        for name, fetch in list(self._waiting.items()):
            if source.applied_index <= fetch.request.applied_index and now < fetch.answer_by:
                continue
            del self._waiting[name]
            if fetch.request.depth < source.depth < MAX_DEPTH:
                yield name, EMPTY_REPLY  # the requester is closer to a voter; a reply could create a fetch cycle
            else:
                yield name, self._reply(now, source, fetch.request)

    def _reply(self, now: float, source: FetchSource, request: FetchRequest) -> FetchReply:
        entries = self._entries(source, request)
        reply = EMPTY_REPLY._replace(
            entries=entries,
            leader=source.leader,
            leader_contact_ms=_leader_contact_ms(now, source),
            depth=source.depth,
            membership=source.membership,
        )
        if entries or source.applied_index <= request.applied_index:
            return reply
        snapshot = self._choose_snapshot(source, request)
        offset = request.snapshot_offset if request.snapshot_index == snapshot.up_to_index else 0
        return reply._replace(
            snapshot_index=snapshot.up_to_index,
            snapshot_term=snapshot.term,
            snapshot_bytes=len(snapshot.data),
            snapshot_checksum=zlib.crc32(snapshot.data),
            offset=offset,
            data=snapshot.data[offset : offset + self._max_chunk_bytes],
        )

    def _entries(self, source: FetchSource, request: FetchRequest) -> tuple[Entry, ...]:
        """Return the contiguous applied entries after the requested index; empty if they are compacted."""
        entries = list[Entry]()
        size = 0
        for entry in source.entries_after(request.applied_index):
            if not request.applied_index < entry.index <= source.applied_index:
                continue
            if entry.index != request.applied_index + len(entries) + 1 or size > self._max_chunk_bytes:
                break
            entries.append(entry)
            size += entry_bytes(entry)
        return tuple(entries)

    def _choose_snapshot(self, source: FetchSource, request: FetchRequest) -> Snapshot:
        """Return the snapshot being sent if it is still usable, else the log's snapshot, else a new one."""
        offered = self._offered
        if offered is not None and offered.up_to_index > request.applied_index:
            if source.is_ahead_of_log:
                is_usable = request.snapshot_index == offered.up_to_index
            else:
                is_usable = offered.up_to_index >= source.log.base_index
            if is_usable:
                return offered
        newest = source.log.snapshot if not source.is_ahead_of_log else None
        if newest is None or newest.up_to_index <= request.applied_index:
            newest = source.make_snapshot()
        self._offered = newest
        return newest


EMPTY_REPLY = FetchReply((), "", NO_LEADER_CONTACT, MAX_DEPTH, Membership(()), 0, 0, 0, 0, 0, b"")


def _leader_contact_ms(now: float, source: FetchSource) -> int:
    age_s = now - source.last_leader_contact
    return int(1000 * age_s) if source.leader and age_s < MAX_CONTACT_AGE_S else NO_LEADER_CONTACT
