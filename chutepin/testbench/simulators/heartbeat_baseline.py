"""Baseline failure detector for comparison: all-to-all heartbeats with a fixed timeout.

The baseline implements the interface of `Detector`, so the simulator runs both under the same faults."""

from __future__ import annotations

import random

from chutepin.cluster.detector import Detector, Effect, Send
from chutepin.cluster.messages import Gossip, Packet
from chutepin.cluster.records import Status
from chutepin.config.cluster import ClusterSetup

INTERVAL_S = 0.5  # equal to the probe interval of the detector
TIMEOUT_S = 3.0  # time within which the detector must detect a crash


class HeartbeatDetector(Detector):
    """A detector that sends heartbeats to all other members."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._next_heartbeat_at = now + INTERVAL_S * rng.random()

    def receive(self, now: float, packet: Packet, stream: bool = False) -> None:
        """Record that the sender is alive."""
        member = self.view.table.members.get(packet.sender.name)
        if member is None:
            return
        member.last_heard = now
        if not member.record.live:
            self.view.merge(
                now,
                member.record._replace(status=Status.ALIVE, incarnation=member.record.incarnation + 1, by=self.me.name),
            )

    def tick(self, now: float) -> None:
        """Send heartbeats, and declare members dead whose last heartbeat is older than the timeout."""
        self._next_heartbeat_at = now + INTERVAL_S
        for name, member in self.view.table.members.items():
            self.send_queue.send(name, Gossip())
            if member.record.live and now - max(member.last_heard, 0.0) > TIMEOUT_S:
                self.view.merge(now, member.record._replace(status=Status.DEAD, by=self.me.name))
        for name in list(self.view.table.members):
            self.view.queue.remove(self.view.table.members[name].record)

    def wake_at(self) -> float:
        """Return the time at which the next heartbeats are due."""
        return self._next_heartbeat_at

    def drain_effects(self) -> list[Effect]:
        """Return the pending effects, with datagrams replaced by heartbeats without updates."""
        return [
            effect
            if not isinstance(effect, Send)
            else Send(
                effect.address,
                Packet(
                    effect.packet.to,
                    effect.packet.sender,
                    effect.packet.process_incarnation,
                    effect.packet.sequence,
                    0,
                    Gossip(),
                ),
            )
            for effect in super().drain_effects()
        ]
