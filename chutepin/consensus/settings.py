"""Timing and size limits of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """The settings of a Raft node; times in seconds, sizes in bytes."""

    election_timeout_s: float = 1.0  # minimum; each timeout is drawn uniformly from one to two times this
    heartbeat_interval_s: float = 0.2
    max_in_flight_bytes: int = 256 * 1024  # unacknowledged entries sent to one follower
    max_chunk_bytes: int = 64 * 1024  # entries or snapshot data in one message
    max_log_bytes: int = 4 * 2**20  # above this, a leader compacts entries that followers still need
    retained_bytes: int = 256 * 1024  # entries kept before a snapshot, so that short lags need no snapshot transfer


DEFAULT_SETTINGS = RaftSettings()
