"""Implements a client of the operators' socket: sends one line and reads one answer by an absolute deadline."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Mapping
from typing import Any

import click

from chutepin.config.checks import is_port

ANSWER_TIMEOUT_S = 5.0

OPS_OPTION = click.option(
    "--ops",
    envvar="LB_OPS",
    required=True,
    metavar="HOST:PORT",
    help="Address of the node's operators' socket (LB_OPS).",
)


class NodeRequestError(click.ClickException):
    """An error for a node that cannot be reached or answers with a failure; exit code 2."""

    exit_code = 2


def request_line(ops: str, command: str) -> str:
    """Send a command and return the first line of its answer, SUCCESS or FAILURE. Raises NodeRequestError."""
    lines = _exchange(ops, command)
    if not lines:
        raise NodeRequestError(f"{ops}: no answer")
    return lines[0]


def request(ops: str, command: str) -> tuple[str, list[str]]:
    """Send a command and return the text after SUCCESS and the lines up to EOT. Raises NodeRequestError."""
    lines = _exchange(ops, command)
    if not lines or not lines[0].startswith("SUCCESS"):
        raise NodeRequestError(f"{ops}: {lines[0] if lines else 'no answer'}")
    if lines[-1] != "EOT":
        raise NodeRequestError(f"{ops}: the answer is incomplete")
    return lines[0][len("SUCCESS") :].strip(), lines[1:-1]


def _exchange(ops: str, command: str) -> list[str]:
    host, _, port = ops.rpartition(":")
    if not host or not is_port(port):
        raise NodeRequestError(f"--ops: {ops} is not of the form host:port")
    until, data = time.monotonic() + ANSWER_TIMEOUT_S, b""
    try:
        with socket.create_connection((host.strip("[]"), int(port)), ANSWER_TIMEOUT_S) as sock:
            sock.sendall(command.encode() + b"\n")
            while True:
                sock.settimeout(max(0.01, until - time.monotonic()))
                chunk = sock.recv(65536)
                if not chunk:
                    break
                data += chunk
    except OSError as error:
        raise NodeRequestError(f"{ops}: {error.strerror or error}") from None
    return data.decode(errors="replace").splitlines()


def parse_rows(lines: list[str], fields: Mapping[str, Callable[[str], Any]]) -> list[dict[str, Any]]:
    """Parse lines of space-separated fields into one dictionary per line."""
    return [
        {name: convert(word) for (name, convert), word in zip(fields.items(), line.split(), strict=True)}
        for line in lines
    ]
