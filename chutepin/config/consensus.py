"""Checks the block `agree` of the operator's file. Imported only where the block is there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .checks import TIME, Check, ConfigError, OneOrMore, quantity, size, text
from .cluster import MAX_NAME


@dataclass(frozen=True, slots=True)
class ConsensusSetup:
    """The first voters of the replicated log, and the times of elections, in seconds."""

    voters: tuple[str, ...]
    election: float = 1.0  # without a leader before a vote is asked for; up to twice that, drawn
    heartbeat: float = 0.2
    log: int = 2**20  # bytes of entries after which the state is kept and the log begins anew


def _name(raw: Any, name: str) -> str:
    name_text = text(raw, name)
    if len(name_text) > MAX_NAME or not name_text.isprintable() or any(sign in name_text for sign in " =~"):
        raise ConfigError(f"{name}: not a member's name of up to {MAX_NAME} characters")
    return name_text


CHECKS: Mapping[str, Check | OneOrMore] = {
    "voters": OneOrMore(_name),
    "election": quantity(TIME, 0.1, 60.0),
    "heartbeat": quantity(TIME, 0.02, 10.0),
    "log": size(2**16, 2**26),
}


def build_setup(values: dict[str, Any]) -> ConsensusSetup:
    """Check the block's values against each other and build its setup. Raises ConfigError."""
    if "voters" not in values:
        raise ConfigError("agree.voters: missing")
    setup = ConsensusSetup(**values)
    if len(set(setup.voters)) != len(setup.voters):
        raise ConfigError("agree.voters: a member stands there twice")
    if len(setup.voters) not in (1, 3, 5, 7):
        raise ConfigError("agree.voters: 1, 3, 5 or 7 members")
    if setup.heartbeat * 3 > setup.election:
        raise ConfigError("agree.heartbeat: more than a third of agree.election")
    return setup
