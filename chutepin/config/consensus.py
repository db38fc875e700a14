"""Checks the block `agree` of the operator's file. Imported only if the file has the block."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .checks import TIME, Check, ConfigError, OneOrMore, quantity, size, text
from .cluster import MAX_NAME_LENGTH


@dataclass(frozen=True, slots=True)
class ConsensusSetup:
    """The initial voters of the replicated log, the election timing and the compaction threshold."""

    voters: tuple[str, ...]
    election_timeout_s: float = 1.0  # the minimum; each timeout is drawn at random from one to two times this value
    heartbeat_interval_s: float = 0.2
    snapshot_after_bytes: int = 2**20  # size of the committed entries that triggers a snapshot


FIELDS = {
    "voters": "voters",
    "election": "election_timeout_s",
    "heartbeat": "heartbeat_interval_s",
    "log": "snapshot_after_bytes",
}


def _parse_member_name(raw: Any, name: str) -> str:
    member = text(raw, name)
    if len(member) > MAX_NAME_LENGTH or not member.isprintable() or any(character in member for character in " =~"):
        raise ConfigError(f"{name}: not a member's name of up to {MAX_NAME_LENGTH} characters")
    return member


CHECKS: Mapping[str, Check | OneOrMore] = {
    "voters": OneOrMore(_parse_member_name),
    "election": quantity(TIME, 0.1, 60.0),
    "heartbeat": quantity(TIME, 0.02, 10.0),
    "log": size(2**16, 2**26),
}


def build_setup(values: dict[str, Any]) -> ConsensusSetup:
    """Check the values of the block against each other and return the setup. Raises ConfigError."""
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
