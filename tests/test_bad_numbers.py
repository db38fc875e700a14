"""Tests invalid numbers in configuration and arguments: the error is one line with the field, not a traceback."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from chutepin.cli.node_client import NodeRequestError, request_line
from chutepin.config import ConfigError, load
from chutepin.config.checks import address

from .helper import ROOT

# Texts that are no valid port number. Guards against a ValueError from `int` instead of an error that names the field.
INVALID_PORTS = ["²", "٣", "9" * 5000, "0", "65536", "-1", "1_0", " 1", "", "1e3"]


@pytest.mark.parametrize("port", INVALID_PORTS, ids=lambda port: ascii(port[:6]))
def test_invalid_port_is_configuration_error(port: str) -> None:
    with pytest.raises(ConfigError, match="listen: not an address"):
        address(f"127.0.0.1:{port}", "listen")


@pytest.mark.parametrize("port", INVALID_PORTS, ids=lambda port: ascii(port[:6]))
def test_invalid_port_is_command_line_error(port: str) -> None:
    with pytest.raises(NodeRequestError, match="not of the form host:port"):
        request_line(f"127.0.0.1:{port}", "ready")


# Guards against an OverflowError from `float` instead of an error that names the field.
@pytest.mark.parametrize(
    ("place", "field"),
    [
        (("stop_ms",), "stop_ms"),
        (("limits", "memory_mb"), "memory_mb"),
        (("settings", "tick"), "tick"),
        (("settings", "categories", 0, "deadline"), "deadline"),
        (("settings", "safety", "warmAfter"), "warmAfter"),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_integer_of_400_digits_is_configuration_error(place: tuple[str | int, ...], field: str, tmp_path: Path) -> None:
    config: Any = json.loads((ROOT / "deploy" / "example.json").read_text())
    part = config
    for name in place[:-1]:
        part = part[name]
    part[place[-1]] = 10**399
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    with pytest.raises(ConfigError, match=field):
        load({"LB_CONFIG": str(path)})
