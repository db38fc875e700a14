"""Counts the open file descriptors of the process and sets the share of each part of the node."""

from __future__ import annotations

import os

from .admission import DescriptorBudget


def count_open_descriptors() -> int | None:
    """Return the number of open descriptors of the process; None if the system does not provide it."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # listdir itself opens one
    except OSError:
        return None


SUCCESSOR = "successor"  # part that keeps room for the start of a successor process during an upgrade
SUCCESSOR_DESCRIPTORS = 28  # interpreter and sockets of its own, its reserved shares, and a few clients


def successor_reserve(limit: int) -> int:
    """Return how many descriptors a node of this limit keeps for the start of a successor."""
    return min(SUCCESSOR_DESCRIPTORS, limit // 4)


def build_budget(
    limit: int, amqp: bool, store: bool, ops: bool = False, cluster: bool = False, consensus: bool = False
) -> DescriptorBudget:
    """Build the descriptor budget of a node with these optional parts.

    The listener for balancers ("front") may take half of the limit. The records service may take two fifths, because
    after a reload old and new connections are open at the same time. Parts that must be able to reconnect have
    reserved descriptors."""
    return DescriptorBudget(
        limit,
        {
            "front": (0, max(8, limit // 2)),
            "records": (max(2, limit // 32), max(8, 2 * limit // 5)),
            "executor": (2, 2),
            "control": (1, 1),
            "amqp": (2 * amqp, 2),
            "store": (8 * store, 40),
            "files": (2, 8),
            "ops": (4 * ops, max(4, min(16, limit // 32)) * ops),
            "cluster": (8 * cluster, 24 * cluster + 72 * consensus),
        },
        count_open_descriptors() or 0,
    )
