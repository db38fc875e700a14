"""A node's configuration: the platform's JSON file, checked field by field."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from poststall import api, wire


class ConfigError(ValueError):
    """What is wrong; the message names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    """Where to listen or connect."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that a node is told at its start."""

    name: str
    listen: Address
    executor: Address
    control: Address | None
    records: Address | None
    seed: int
    stop: float  # seconds from the notice to drain to the end of the process
    memory: int  # bytes
    sockets: int
    settings: api.Settings


def address(raw: Any, field: str) -> Address:
    """`host:port`, both present."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{field}: not an address of the form host:port")
    return Address(host, int(port))


def positive(raw: Any, field: str) -> float:
    """A finite number above 0."""
    if isinstance(raw, bool) or not isinstance(raw, (int, float)) or not 0 < raw < float("inf"):
        raise ConfigError(f"{field}: not a number above 0")
    return float(raw)


def text(raw: Any, field: str) -> str:
    """A text that is not empty."""
    if not isinstance(raw, str) or not raw:
        raise ConfigError(f"{field}: missing or not a text")
    return raw


def _seed(raw: Any) -> int:
    try:
        return int(text(raw, "seed"), 16)
    except ValueError:
        raise ConfigError("seed: not a hexadecimal number") from None


def parse(raw: Any, environment: Mapping[str, str]) -> Config:
    """Check the decoded file; the environment's name and listening address stand in where it has none."""
    if not isinstance(raw, dict):
        raise ConfigError("LB_CONFIG: not a JSON object")
    limits = raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    try:
        settings = wire.parse_settings(raw.get("settings"))
    except (wire.WireError, ValueError, TypeError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from None
    below, control = raw.get("records"), raw.get("control")
    return Config(
        name=text(raw.get("name", environment.get("LB_NAME")), "name"),
        listen=address(raw.get("listen", environment.get("LB_LISTEN")), "listen"),
        executor=address(raw.get("executor"), "executor"),
        control=address(control, "control") if control is not None else None,
        records=address(below, "records") if below is not None else None,
        seed=_seed(raw.get("seed", "0")),
        stop=positive(raw.get("stop_ms", 3000), "stop_ms") / 1000,
        memory=int(positive(limits.get("memory_mb", 192), "limits.memory_mb") * 2**20),
        sockets=int(positive(limits.get("sockets", 1024), "limits.sockets")),
        settings=settings)


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that `LB_CONFIG` names."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error.strerror or error}") from None
    except (ValueError, RecursionError):
        raise ConfigError("LB_CONFIG: not JSON") from None
    return parse(raw, environment)
