"""Implements `handover.HandoverHost` on top of the broker, the listeners and the subsystems of a node."""

from __future__ import annotations

from collections.abc import Sequence

from .admission import DescriptorBudget
from .broker import Broker
from .clock import Clock
from .descriptors import SUCCESSOR, successor_reserve
from .handover import IntentFile, ProcessUsage
from .idempotency import IdempotencyRecord, KeyRequest
from .lifecycle import Event, Lifecycle, NewClients, Peer
from .logs import Log
from .net.resp import RespListener
from .node_intent import NodeIntent
from .subsystem import Subsystem


class NodeHandoverHost:
    """The node's side of a hand-over between its two processes (`handover.HandoverHost`)."""

    def __init__(
        self,
        broker: Broker,
        front: RespListener,
        subsystems: Sequence[Subsystem],
        lifecycle: Lifecycle,
        intent_file: IntentFile,
        clock: Clock,
        log: Log,
        drain_grace_s: float,
        descriptors: DescriptorBudget,
        max_descriptors: int,
    ) -> None:
        """Create the host.

        `drain_grace_s`: how long after a notice to leave a request that arrives may run. `max_descriptors`: the limit
        of both processes together."""
        self._broker = broker
        self._front = front
        self._subsystems = subsystems
        self._lifecycle = lifecycle
        self._intent_file = intent_file
        self._clock = clock
        self._log = log
        self._drain_grace_s = drain_grace_s
        self._descriptors = descriptors
        self._max_descriptors = max_descriptors

    def records(self) -> list[IdempotencyRecord]:
        """Return all records of this process."""
        return list(self._broker.keys.records.values())

    def recent_run_ids(self) -> list[str]:
        """Return the ids of the requests that ran lately at either process."""
        return self._broker.recent_runs.ids()

    def peer_runs_started(self, ids: Sequence[str]) -> None:
        """Record requests that ran at the peer process."""
        self._broker.peer_exchange.runs_started(ids)

    def is_current(self, record: IdempotencyRecord) -> bool:
        """Return whether the record is still in the table."""
        return self._broker.keys.records.get(record.key) is record

    def peer_record_changed(self, record: IdempotencyRecord) -> None:
        """Apply a record of the peer process."""
        self._broker.peer_exchange.peer_record_changed(record)

    def peer_key_removed(self, key: str) -> None:
        """Apply the removal of a key by the peer process."""
        self._broker.peer_exchange.peer_key_removed(key)

    def peer_requests_key(self, request: KeyRequest) -> bool:
        """Return whether the peer process may take a key."""
        return self._broker.peer_exchange.peer_requests_key(request)

    def key_replied(self, request_id: str, key: str, is_granted: bool) -> None:
        """Resume a request that waits for its key, or reject it."""
        self._broker.peer_exchange.key_replied(request_id, key, is_granted)

    def peer_lost(self) -> None:
        """Process the end of the peer: its keys, unfinished runs and usage."""
        self._broker.peer_exchange.peer_lost()

    def learned_statistics(self) -> dict[str, object]:
        """Return the learned statistics of this process's decision module."""
        return self._broker.peer_exchange.learned()

    def adopt_statistics(self, statistics: dict[str, object]) -> None:
        """Adopt the learned statistics of the predecessor's decision module."""
        self._broker.peer_exchange.adopt(statistics)

    def usage(self) -> ProcessUsage:
        """Return the share of the node's limits that this process uses: runs, memory and descriptors.

        The usage also says what the node was told."""
        running, memory_kb = self._broker.peer_exchange.usage
        descriptors = self._descriptors.in_use + self._descriptors.unattributed
        return ProcessUsage(running, memory_kb, descriptors, intent=self._lifecycle.intent)

    def set_peer_usage(self, usage: ProcessUsage) -> None:
        """Deduct the usage of the peer process from this process's limits."""
        self._descriptors.limit = self._max_descriptors - usage.descriptors
        # A peer process has its descriptors; without one they are kept for a successor.
        has_peer = usage.descriptors > 0
        self._descriptors.reserve(SUCCESSOR, 0 if has_peer else successor_reserve(self._max_descriptors))
        self._broker.peer_exchange.set_peer_usage(usage.running, usage.memory_kb)

    def is_leaving(self) -> bool:
        """Return whether the node was told to leave."""
        return self._lifecycle.is_leaving

    def peer_told(self, intent: NodeIntent, peer: Peer) -> None:
        """Apply what the node was told at the peer process."""
        self._lifecycle.merge(intent, peer, self._clock.now())

    def recall_intent(self, peer: Peer) -> None:
        """Apply what the node was told at a peer process that may have ended before it could tell this one."""
        self._lifecycle.merge(self._intent_file.load(), peer, self._clock.now())

    def keep_intent(self) -> None:
        """Keep what the node was told for a process that outlives this one."""
        self._intent_file.store(self._lifecycle.intent)

    def discard_intent(self) -> None:
        """Discard what is kept of the intent."""
        self._intent_file.remove()

    def successor_left(self) -> None:
        """Record that a successor of an earlier version has ended after a notice to leave.

        Such a process ends after the grace, so nothing that arrives from now on may run."""
        now = self._clock.now()
        notice_at = max(self._lifecycle.started_at, now - self._drain_grace_s)
        self._lifecycle.merge(NodeIntent(left_at=notice_at), Peer.SUCCESSOR, now)

    def successor_ignores_intent(self) -> None:
        """Record that a successor of an earlier version serves, which is not told the intent.

        What is kept of the intent is discarded, as that successor does not keep it up to date."""
        self._log.event("handover.peer_without_intent", state=self._lifecycle.state.value)
        self._intent_file.remove()

    def yield_ownership(self) -> None:
        """Stop accepting and finish open requests, since the successor serves."""
        self._lifecycle.apply(Event.SUCCESSOR_SERVES)
        self._front.yield_ownership()
        for subsystem in self._subsystems:
            subsystem.yield_ownership()

    def resume_ownership(self) -> None:
        """Accept again after the end of the successor, unless this process or the node was told to end."""
        self._lifecycle.apply(Event.SUCCESSOR_LOST)
        if self._lifecycle.behaviour.new_clients is NewClients.NOT_ACCEPTED:
            return
        if self._broker.started:
            self._lifecycle.apply(Event.CAN_SERVE)
        self._front.resume_ownership()
        for subsystem in self._subsystems:
            subsystem.resume_ownership()
