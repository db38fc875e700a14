"""An observer follows the log without a vote: it fetches committed entries from one member, its upstream.

Observers fetch from each other as well, in a tree below the voters, so that many of them do not load the leader. An
observer is only told what is committed, so it needs no vote, no term and no disk: after a restart it fetches all."""

from __future__ import annotations

import math
import random
from collections import deque

from .identity import node_name
from .messages import Entry, Snapshot
from .protocol import FetchReply, FetchRequest
from .raft_log import entry_bytes
from .snapshot_transfer import SnapshotAssembly, SnapshotKey

FAN_OUT = 8  # observers that one member serves directly, about
MAX_RETAINED_BYTES = 256 * 1024  # of entries that an observer can pass on
FETCH_AGAIN_HEARTBEATS = 6.0  # without a reply
SILENT_HEARTBEATS = 15.0  # without contact to a leader, after which another upstream is chosen
FETCH_DELAY_S = 0.01  # after a reply without entries
MAX_DEPTH = 16  # of the tree; also the depth of a member that knows no leader
NO_TERM = 0  # a reply's term of a snapshot does not tell snapshots apart


class Observer:
    """What a member without a vote knows of its upstream and of the leader."""

    def __init__(self, name: str, now: float, rng: random.Random, heartbeat_interval_s: float) -> None:
        self.name = name
        self._rng = rng
        self._heartbeat_interval_s = heartbeat_interval_s
        self.peers: tuple[str, ...] = ()  # observers that are alive, this one among them, sorted; kept by the caller
        self.leader = ""
        self.last_leader_contact = -math.inf
        self.depth = MAX_DEPTH
        self.upstream = ""
        self.retained: deque[Entry] = deque()
        self._retained_bytes = 0
        self._assembly = SnapshotAssembly()
        self._fetch_at = now
        self._upstream_contact = now  # when the upstream was chosen or last knew a leader

    def next_deadline(self) -> float:
        """Return when `next_fetch` is due."""
        return self._fetch_at

    def next_fetch(self, now: float, applied_index: int, voters: tuple[str, ...]) -> tuple[str, FetchRequest] | None:
        """Return whom to ask for what; None while there is nobody."""
        self._fetch_at = now + FETCH_AGAIN_HEARTBEATS * self._heartbeat_interval_s
        silence_s = SILENT_HEARTBEATS * self._heartbeat_interval_s
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
        """Choose by the place among the observers, so that each member serves a few; else any voter."""
        self._upstream_contact = now
        peers = self.peers or (self.name,)
        own_name = node_name(self.name)
        place = peers.index(own_name) if own_name in peers else 0
        wanted = _upstream_by_place(place, voters, peers)
        if node_name(wanted) in (node_name(self.upstream), own_name):  # it is silent, or this node itself
            wanted = self._rng.choice(voters) if voters else ""
        self.upstream = wanted

    def receive(self, now: float, sender: str, reply: FetchReply, applied_index: int) -> Snapshot | None:
        """Take the upstream's reply; return a snapshot that is complete now."""
        if node_name(sender) != node_name(self.upstream) or reply.depth >= MAX_DEPTH:
            return None
        self._note_leader(now, reply)
        has_more = bool(reply.entries or reply.snapshot_bytes)
        self._fetch_at = now if has_more else now + FETCH_DELAY_S
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

    def _note_leader(self, now: float, reply: FetchReply) -> None:
        if not 0 <= reply.leader_contact_ms < 1000 * SILENT_HEARTBEATS * self._heartbeat_interval_s:
            self.depth = MAX_DEPTH
            return
        self._upstream_contact = now
        self.depth = reply.depth + 1
        contact = now - reply.leader_contact_ms / 1000
        if contact >= self.last_leader_contact:
            self.leader = reply.leader
            self.last_leader_contact = contact

    def _retain(self, entries: tuple[Entry, ...]) -> None:
        """Keep entries for members that fetch from this one; the oldest go first."""
        for entry in entries:
            if not self.retained or entry.index == self.retained[-1].index + 1:
                self.retained.append(entry)
                self._retained_bytes += entry_bytes(entry)
        while self._retained_bytes > MAX_RETAINED_BYTES:
            self._retained_bytes -= entry_bytes(self.retained.popleft())


def _upstream_by_place(place: int, voters: tuple[str, ...], peers: tuple[str, ...]) -> str:
    """Return the upstream of the observer at a place: the first ones fetch from voters, the others from observers."""
    place_below_voters = place - FAN_OUT * len(voters)
    if place_below_voters >= 0:
        return peers[place_below_voters // FAN_OUT]
    return voters[place % len(voters)]
