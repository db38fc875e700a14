"""Checks the block `agree` of the operator's file. Imported only where the block is there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .checks import TIME, Check, ConfigError, OneOrMore, quantity, size, text
from .cluster import MAX_NAME


@dataclass(frozen=True, slots=True)
class ConsensusSetup:
    """The first voters of the replicated log, the times of elections, and when its log is compacted."""

    voters: tuple[str, ...]
    election_timeout_s: float = 1.0  # the shortest; each timeout is drawn from once to twice this
    heartbeat_interval_s: float = 0.2
    snapshot_after_bytes: int = 2**20  # of committed entries


FIELDS = {
    "voters": "voters",
    "election": "election_timeout_s",
    "heartbeat": "heartbeat_interval_s",
    "log": "snapshot_after_bytes",
}


def _member_name(raw: Any, name: str) -> str:
    member = text(raw, name)
    if len(member) > MAX_NAME or not member.isprintable() or any(character in member for character in " =~"):
        raise ConfigError(f"{name}: not a member's name of up to {MAX_NAME} characters")
    return member


CHECKS: Mapping[str, Check | OneOrMore] = {
    "voters": OneOrMore(_member_name),
    "election": quantity(TIME, 0.1, 60.0),
    "heartbeat": quantity(TIME, 0.02, 10.0),
    "log": size(2**16, 2**26),
}


def build_setup(values: dict[str, Any]) -> ConsensusSetup:
    """Check the block's values against each other and build its setup. Raises ConfigError."""
    if "voters" not in values:
        raise ConfigError("agree.voters: missing")
    setup = ConsensusSetup(**{FIELDS[name]: value for name, value in values.items()})
    if len(set(setup.voters)) != len(setup.voters):
        raise ConfigError("agree.voters: a member stands there twice")
    if len(setup.voters) not in (1, 3, 5, 7):
        raise ConfigError("agree.voters: 1, 3, 5 or 7 members")
    if setup.heartbeat_interval_s * 3 > setup.election_timeout_s:
        raise ConfigError("agree.heartbeat: more than a third of agree.election")
    return setup
