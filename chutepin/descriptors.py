"""The file descriptors of the process: how many are open, and the shares that the parts of a node may take."""

from __future__ import annotations

import os

from .admission import DescriptorBudget


def count_open_descriptors() -> int | None:
    """Return how many descriptors the process has open; None where the system doesn't tell."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # the listing itself holds one
    except OSError:
        return None


def build_budget(
    limit: int, amqp: bool, store: bool, ops: bool = False, cluster: bool = False, consensus: bool = False
) -> DescriptorBudget:
    """Build the budget of a node with these optional parts.

    Half is for the front at most, two fifths for records, as after a reload old and new connections stand side by
    side; what must reconnect has its own."""
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
