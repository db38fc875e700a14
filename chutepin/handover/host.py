"""The port to the node that a hand-over uses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..idempotency import IdempotencyRecord, KeyRequest
from ..lifecycle import Peer
from ..node_intent import NodeIntent
from .messages import ProcessUsage


class HandoverHost(Protocol):
    """The port to the node that a hand-over uses."""

    def records(self) -> list[IdempotencyRecord]:
        """Return all records of this process."""

    def recent_run_ids(self) -> list[str]:
        """Return the ids of the requests that ran lately at either process."""

    def peer_runs_started(self, ids: Sequence[str]) -> None:
        """Record requests that ran at the peer process."""

    def is_current(self, record: IdempotencyRecord) -> bool:
        """Return whether the record is still in the table."""

    def peer_record_changed(self, record: IdempotencyRecord) -> None:
        """Apply a record of the peer process."""

    def peer_key_removed(self, key: str) -> None:
        """Apply the removal of a key by the peer process."""

    def peer_requests_key(self, request: KeyRequest) -> bool:
        """Return whether the peer process may take a key."""

    def key_replied(self, request_id: str, key: str, is_granted: bool) -> None:
        """Resume a request that waits for its key, or reject it."""

    def peer_lost(self) -> None:
        """Process the end of the peer: its keys, unfinished runs and usage."""

    def learned_statistics(self) -> dict[str, object]:
        """Return the learned statistics of this process's decision module."""

    def adopt_statistics(self, statistics: dict[str, object]) -> None:
        """Adopt the learned statistics of the predecessor's decision module."""

    def usage(self) -> ProcessUsage:
        """Return the share of the node's limits that this process uses."""

    def set_peer_usage(self, usage: ProcessUsage) -> None:
        """Deduct the usage of the peer process from this process's limits."""

    def is_leaving(self) -> bool:
        """Return whether the node was told to leave."""

    def peer_told(self, intent: NodeIntent, peer: Peer) -> None:
        """Apply what the node was told at the peer process."""

    def recall_intent(self, peer: Peer) -> None:
        """Apply what the node was told at a peer process that may have ended before it could tell this one."""

    def keep_intent(self) -> None:
        """Keep what the node was told for a process that outlives this one."""

    def discard_intent(self) -> None:
        """Discard what is kept of the intent."""

    def successor_ignores_intent(self) -> None:
        """Record that a successor of an earlier version serves, which is not told the intent."""

    def successor_left(self) -> None:
        """Record that a successor of an earlier version has ended after a notice to leave."""

    def yield_ownership(self) -> None:
        """Stop accepting and finish open requests, since the successor serves."""

    def resume_ownership(self) -> None:
        """Accept again after the end of the successor."""
