"""Parses and checks the platform's JSON file and the operator's TOML file for AMQP.

Errors raise `ConfigError` with one line that names the field."""

from __future__ import annotations

import json
import os
import sys
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .. import decision
from ..decision import simulator_protocol as wire
from .checks import Address, ConfigError, address, text

MAX_QUEUE_NAME_BYTES = 255  # limit of a short string in AMQP
MAX_QUEUES = 100
MAX_HEARTBEAT_S = 3600
MAX_PREFETCH = 1024
MAX_BODY_BYTES = 2048


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a node, as the platform provides it."""

    name: str
    listen: Address
    executor: Address
    control: Address | None
    records: Address | None
    seed: int
    stop: float  # seconds from the shutdown signal until the platform ends the process
    memory: int  # bytes
    sockets: int
    settings: decision.Settings
    ops: Address | None = None  # the operators' socket


def positive_number(raw: Any, field: str) -> float:
    """Check that a value is a finite number above 0, and return the number. Raises ConfigError."""
    if isinstance(raw, bool) or not isinstance(raw, (int, float)) or not 0 < raw <= sys.float_info.max:
        raise ConfigError(f"{field}: not a number above 0")
    return float(raw)


def _parse_seed(raw: Any) -> int:
    try:
        return int(text(raw, "seed"), 16)
    except ValueError as error:
        raise ConfigError("seed: not a hexadecimal number") from error


def parse(raw: Any, environment: Mapping[str, str]) -> Config:
    """Check the decoded file and return the configuration. Raises ConfigError.

    A missing name, listen address or operators' address is taken from the environment."""
    if not isinstance(raw, dict):
        raise ConfigError("LB_CONFIG: not a JSON object")
    limits = raw.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    try:
        settings = wire.parse_settings(raw.get("settings"))
    except (decision.DecisionError, ValueError, TypeError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from error
    records = raw.get("records")
    control = raw.get("control")
    ops = raw.get("ops", environment.get("LB_OPS"))
    return Config(
        name=text(raw.get("name", environment.get("LB_NAME")), "name"),
        listen=address(raw.get("listen", environment.get("LB_LISTEN")), "listen"),
        executor=address(raw.get("executor"), "executor"),
        control=address(control, "control") if control is not None else None,
        records=address(records, "records") if records is not None else None,
        seed=_parse_seed(raw.get("seed", "0")),
        stop=positive_number(raw.get("stop_ms", 3000), "stop_ms") / 1000,
        memory=int(positive_number(limits.get("memory_mb", 192), "limits.memory_mb") * 2**20),
        sockets=int(positive_number(limits.get("sockets", 1024), "limits.sockets")),
        settings=settings,
        ops=address(ops, "ops") if ops is not None else None,
    )


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """The settings of one AMQP queue: the team and the class of its messages."""

    name: str
    team: str
    cls: str
    held_kb: float  # memory accounted for each queued message


@dataclass(frozen=True, slots=True)
class AmqpConfig:
    """The contents of the operator's file for the AMQP consumer."""

    address: Address
    virtual_host: str
    user: str
    password: str
    heartbeat: int  # seconds
    prefetch: int
    max_body: int  # bytes
    redelivery_window: float  # seconds during which a redelivered message is recognized
    queues: tuple[QueueConfig, ...]


def _check_whole_number(raw: Any, field: str, maximum: int) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not 0 < raw <= maximum:
        raise ConfigError(f"{field}: not a whole number from 1 to {maximum}")
    return raw


def _check_table(raw: Any, field: str, known: set[str]) -> dict[str, Any]:
    """Check that a value is a table that contains only the names in `known`, and return the table."""
    if not isinstance(raw, dict):
        raise ConfigError(f"{field}: missing or not a table")
    if unknown := sorted(set(raw) - known):
        raise ConfigError(f"{field}.{unknown[0]}: unknown")
    return raw


def _parse_queue(raw: Any, field: str, settings: decision.Settings) -> QueueConfig:
    table = _check_table(raw, field, {"name", "team", "class", "held_kb"})
    queue = QueueConfig(
        text(table.get("name"), f"{field}.name"),
        text(table.get("team"), f"{field}.team"),
        text(table.get("class"), f"{field}.class"),
        positive_number(table.get("held_kb", 32.0), f"{field}.held_kb"),
    )
    if len(queue.name.encode()) > MAX_QUEUE_NAME_BYTES:
        raise ConfigError(f"{field}.name: over 255 bytes")
    if queue.cls not in {cls.name for cls in settings.classes}:
        raise ConfigError(f"{field}.class: no contract of this name")
    if settings.tenants and queue.team not in {tenant.name for tenant in settings.tenants}:
        raise ConfigError(f"{field}.team: no team of this name")
    return queue


def parse_amqp(raw: Any, settings: decision.Settings, environment: Mapping[str, str]) -> AmqpConfig:
    """Check the decoded file against the classes and tenants of the settings, and return its settings.

    Raises ConfigError."""
    raw = _check_table(raw, "amqp", {"broker", "queue"})
    broker = _check_table(
        raw.get("broker"),
        "broker",
        {
            "address",
            "virtual_host",
            "user",
            "password_from",
            "heartbeat_s",
            "prefetch",
            "max_body",
            "redelivery_window_s",
        },
    )
    variable = text(broker.get("password_from", "CHUTEPIN_AMQP_PASSWORD"), "broker.password_from")
    if variable not in environment:
        raise ConfigError(f"broker.password_from: {variable} is not set")
    queues = raw.get("queue")
    if not isinstance(queues, list) or not 0 < len(queues) <= MAX_QUEUES:
        raise ConfigError("queue: from 1 to 100 are needed")
    return AmqpConfig(
        address=address(broker.get("address"), "broker.address"),
        virtual_host=text(broker.get("virtual_host", "/"), "broker.virtual_host"),
        user=text(broker.get("user"), "broker.user"),
        password=environment[variable],
        heartbeat=_check_whole_number(broker.get("heartbeat_s", 10), "broker.heartbeat_s", MAX_HEARTBEAT_S),
        prefetch=_check_whole_number(broker.get("prefetch", 32), "broker.prefetch", MAX_PREFETCH),
        max_body=_check_whole_number(broker.get("max_body", 2048), "broker.max_body", MAX_BODY_BYTES),
        redelivery_window=positive_number(broker.get("redelivery_window_s", 900), "broker.redelivery_window_s"),
        queues=tuple(_parse_queue(q, f"queue.{index}", settings) for index, q in enumerate(queues)),
    )


def load_amqp(path: str, settings: decision.Settings, environment: Mapping[str, str] = os.environ) -> AmqpConfig:
    """Read and check the TOML file at `path`. Raises ConfigError."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"amqp: {error.strerror or error}") from error
    except (ValueError, RecursionError) as error:  # tomllib parses arrays within each other by recursion
        raise ConfigError(f"amqp: not TOML: {error}") from error
    return parse_amqp(raw, settings, environment)


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read and check the JSON file whose path is in `LB_CONFIG`. Raises ConfigError."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error.strerror or error}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError("LB_CONFIG: not JSON") from error
    try:
        return parse(raw, environment)
    except ConfigError as error:
        raise ConfigError(f"{error} ({path})") from error
