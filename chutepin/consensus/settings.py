"""Timing and size limits of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times in seconds, sizes in bytes."""

    election_timeout_s: float = 1.0  # the shortest; each timeout is drawn from once to twice this
    heartbeat_interval_s: float = 0.2
    max_in_flight_bytes: int = 256 * 1024  # entries sent to one follower and not yet acknowledged
    max_chunk_bytes: int = 64 * 1024  # entries, or snapshot data, in one message
    max_log_bytes: int = 4 * 2**20  # above this a leader compacts although followers lack what it removes
    retained_bytes: int = 256 * 1024  # entries kept behind a snapshot, so that a short lag needs no snapshot transfer


DEFAULT_SETTINGS = RaftSettings()
