"""Builders for the tests of cluster membership."""

from __future__ import annotations

import random

from chutepin.cluster import Detector, Record, Status
from chutepin.cluster.frames import cluster_id
from chutepin.cluster.messages import Gossip, Packet
from chutepin.cluster.records import ShortRecord, shorten
from chutepin.config import Address
from chutepin.config.cluster import ClusterSetup

FLEET = cluster_id("fleet")


def record(number: int, incarnation: int = 1, status: Status = Status.ALIVE, zone: str = "a") -> Record:
    """Return the record of the member `n<number>`."""
    name = f"n{number}"
    return Record(name, f"10.0.0.{number}:7301", "r1", zone, incarnation, status, name)


def gossip_packet(update: Record | ShortRecord) -> Packet:
    """Return a gossip packet from n1 to n2 that carries one update."""
    return Packet("n2", shorten(record(1)), 1, 1, 0, Gossip(), (update,))


def make_detector(number: int, *others: int) -> Detector:
    """Return a detector of the member `n<number>` whose table holds the other members."""
    setup = ClusterSetup("fleet", "r1", "a", Address(f"10.0.0.{number}", 7301), members=8192)
    detector = Detector(setup, f"n{number}", 1, 0.0, random.Random(number))
    for other in others:
        detector.view.table.put(0.0, record(other))
    return detector
