"""The observer role: a non-voting node that fetches committed entries from one node, its upstream.

Observers form a tree below the voters and fetch from each other, which limits the load on the leader. An observer
receives committed entries only, so it needs no vote, term or persistent log; after a restart it fetches the state
again."""

from __future__ import annotations

import math
import random
from collections import deque

from .identity import node_name
from .messages import Entry, Snapshot
from .protocol import FetchReply, FetchRequest
from .raft_log import entry_bytes
from .snapshot_transfer import SnapshotAssembly, SnapshotKey

FAN_OUT = 8  # approximate number of observers that fetch from one node
MAX_RETAINED_BYTES = 256 * 1024  # entries that an observer keeps for its downstream nodes
FETCH_RETRY_HEARTBEATS = 6.0  # heartbeat intervals without a reply after which a fetch is sent again
UPSTREAM_TIMEOUT_HEARTBEATS = 15.0  # heartbeat intervals without leader contact until another upstream is chosen
EMPTY_FETCH_DELAY_S = 0.01  # delay until the next fetch after a reply without entries
MAX_DEPTH = 16  # depth limit of the tree; also the depth of a node without a known leader
NO_TERM = 0  # snapshots in fetch replies are not distinguished by term


class Observer:
    """The state of a fetching node: its upstream, the known leader and the retained entries."""

    def __init__(self, name: str, now: float, rng: random.Random, heartbeat_interval_s: float) -> None:
        self.name = name
        self._rng = rng
        self._heartbeat_interval_s = heartbeat_interval_s
        self.peers: tuple[str, ...] = ()  # sorted names of the live observers, this one included; set by the caller
        self.leader = ""
        self.last_leader_contact = -math.inf
        self.depth = MAX_DEPTH
        self.upstream = ""
        self.retained: deque[Entry] = deque()
        self._retained_bytes = 0
        self._assembly = SnapshotAssembly()
        self._fetch_at = now
        self._upstream_contact = now  # time at which the upstream was chosen or last reported leader contact

    def next_deadline(self) -> float:
        """Return the time at which `next_fetch` is due."""
        return self._fetch_at

    def next_fetch(self, now: float, applied_index: int, voters: tuple[str, ...]) -> tuple[str, FetchRequest] | None:
        """Return the upstream and the request to send to it; None if there is no upstream."""
        self._fetch_at = now + FETCH_RETRY_HEARTBEATS * self._heartbeat_interval_s
        silence_s = UPSTREAM_TIMEOUT_HEARTBEATS * self._heartbeat_interval_s
        if now - self.last_leader_contact > 2 * silence_s:
            self.leader = ""
            self.depth = MAX_DEPTH
        if now - self._upstream_contact > silence_s or not self.upstream:
            self._choose_upstream(now, voters)
        if not self.upstream:
            return None
        key = self._assembly.key
        snapshot_index = key.up_to_index if key is not None else 0
        return self.upstream, FetchRequest(applied_index, snapshot_index, len(self._assembly.data), self.depth)

    def _choose_upstream(self, now: float, voters: tuple[str, ...]) -> None:
        """Choose the upstream by the position among the observers, to spread the load; else a random voter."""
        self._upstream_contact = now
        peers = self.peers or (self.name,)
        own_name = node_name(self.name)
        position = peers.index(own_name) if own_name in peers else 0
        wanted = _upstream_by_position(position, voters, peers)
        if node_name(wanted) in (node_name(self.upstream), own_name):  # the upstream that timed out, or this node
            wanted = self._rng.choice(voters) if voters else ""
        self.upstream = wanted

    def receive(self, now: float, sender: str, reply: FetchReply, applied_index: int) -> Snapshot | None:
        """Process the upstream's reply; return a snapshot if this chunk completes it."""
        if node_name(sender) != node_name(self.upstream) or reply.depth >= MAX_DEPTH:
            return None
        self._record_leader_contact(now, reply)
        has_more = bool(reply.entries or reply.snapshot_bytes)
        self._fetch_at = now if has_more else now + EMPTY_FETCH_DELAY_S
        self._retain(reply.entries)
        if not reply.snapshot_bytes or reply.snapshot_index <= applied_index:
            return None
        key = SnapshotKey(reply.snapshot_index, NO_TERM, reply.snapshot_bytes, reply.snapshot_checksum)
        data = self._assembly.add(key, reply.offset, reply.data)
        if data is None:
            return None
        self.retained.clear()
        self._retained_bytes = 0
        return Snapshot(reply.snapshot_index, reply.snapshot_term, reply.membership, data)

    def _record_leader_contact(self, now: float, reply: FetchReply) -> None:
        if not 0 <= reply.leader_contact_ms < 1000 * UPSTREAM_TIMEOUT_HEARTBEATS * self._heartbeat_interval_s:
            self.depth = MAX_DEPTH
            return
        self._upstream_contact = now
        self.depth = reply.depth + 1
        contact = now - reply.leader_contact_ms / 1000
        if contact >= self.last_leader_contact:
            self.leader = reply.leader
            self.last_leader_contact = contact

    def _retain(self, entries: tuple[Entry, ...]) -> None:
        """Keep entries for downstream nodes; above MAX_RETAINED_BYTES the oldest are dropped."""
        for entry in entries:
            if not self.retained or entry.index == self.retained[-1].index + 1:
                self.retained.append(entry)
                self._retained_bytes += entry_bytes(entry)
        while self._retained_bytes > MAX_RETAINED_BYTES:
            self._retained_bytes -= entry_bytes(self.retained.popleft())


def _upstream_by_position(position: int, voters: tuple[str, ...], peers: tuple[str, ...]) -> str:
    """Return the upstream of the observer at a position: first ones fetch from voters, others from observers."""
    position_below_voters = position - FAN_OUT * len(voters)
    if position_below_voters >= 0:
        return peers[position_below_voters // FAN_OUT]
    return voters[position % len(voters)]
