"""Asking a node over its operators' socket: one line, one answer, one absolute deadline."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Mapping
from typing import Any

import click

BY = 5.0  # seconds in which a node must have answered

OPS = click.option(
    "--ops", envvar="LB_OPS", required=True, metavar="HOST:PORT", help="Where the node listens for operators (LB_OPS)."
)


class AskError(click.ClickException):
    """The node can't be asked, or says no; exit code 2."""

    exit_code = 2


def line(ops: str, call: str) -> str:
    """The one line of an answer, whatever it says. Raises AskError where there is none."""
    lines = _answer(ops, call)
    if not lines:
        raise AskError(f"{ops}: no answer")
    return lines[0]


def ask(ops: str, call: str) -> tuple[str, list[str]]:
    """What stands behind SUCCESS, and the lines up to EOT. Raises AskError."""
    lines = _answer(ops, call)
    if not lines or not lines[0].startswith("SUCCESS"):
        raise AskError(f"{ops}: {lines[0] if lines else 'no answer'}")
    if lines[-1] != "EOT":
        raise AskError(f"{ops}: the answer broke off")
    return lines[0][len("SUCCESS") :].strip(), lines[1:-1]


def _answer(ops: str, call: str) -> list[str]:
    host, _, port = ops.rpartition(":")
    if not host or not port.isdigit():
        raise AskError(f"--ops: {ops} is not of the form host:port")
    until, data = time.monotonic() + BY, b""
    try:
        with socket.create_connection((host.strip("[]"), int(port)), BY) as sock:
            sock.sendall(call.encode() + b"\n")
            while True:
                sock.settimeout(max(0.01, until - time.monotonic()))
                piece = sock.recv(65536)
                if not piece:
                    break
                data += piece
    except OSError as error:
        raise AskError(f"{ops}: {error.strerror or error}") from None
    return data.decode(errors="replace").splitlines()


def rows(lines: list[str], fields: Mapping[str, Callable[[str], Any]]) -> list[dict[str, Any]]:
    """Lines of fixed fields as rows."""
    return [
        {name: convert(word) for (name, convert), word in zip(fields.items(), line.split(), strict=True)}
        for line in lines
    ]
