"""Implements `python -m chutepin store …`: inspect, compact and repair an embedded store.

Exit codes: 0 success; 1 damage was found, or records could not be salvaged; 2 usage error, no store, or an operating
system error; 3 the store is open in another process."""

from __future__ import annotations

import functools
import sys
import time
from collections.abc import Callable
from typing import Any

import click

from ..logs import print_line
from ..store import Store, StoreDamagedError, StoreError, StoreLockedError, inspection
from ..store import repair as store_repair
from ..store.codec import NEVER_MS
from ..store.store import DEFAULT_MAX_BYTES
from .output import show_fields, show_json, show_table, use_json

EXIT_DAMAGED = 1
EXIT_ERROR = 2
EXIT_LOCKED = 3
JSON_OPTION = click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")


def with_store_exit_codes(command: Callable[..., int]) -> Callable[..., int]:
    """Decorate a command to print a StoreError as one line and return the matching exit code."""

    @functools.wraps(command)
    def wrapped(*arguments: Any, **options: Any) -> int:
        try:
            return command(*arguments, **options)
        except StoreError as error:
            print_line(str(error))
            return _exit_code(error)

    return wrapped


def _exit_code(error: StoreError) -> int:
    match error:
        case StoreLockedError():
            return EXIT_LOCKED
        case StoreDamagedError():
            return EXIT_DAMAGED
        case _:
            return EXIT_ERROR


@click.group("store")
def command() -> None:
    """Inspect, compact or repair an embedded store that no node has open."""


@command.command()
@click.argument("directory")
@JSON_OPTION
@with_store_exit_codes
def check(directory: str, json_requested: bool) -> int:
    """Read every record and list all damage. Changes nothing."""
    with inspection.locked_directory(directory) as files:
        checked = inspection.check(files)
    if use_json(json_requested):
        show_json(checked.as_dict())
    else:
        show_fields(
            directory,
            {"segments": checked.segments, "records": checked.records, "bytes": checked.bytes, "sound": checked.sound},
        )
        show_table(
            "findings", [{"file": f.file, "offset": f.offset, "loss": f.loss, "what": f.what} for f in checked.findings]
        )
    return 0 if checked.sound else EXIT_DAMAGED


@command.command()
@click.argument("directory")
@JSON_OPTION
@with_store_exit_codes
def stat(directory: str, json_requested: bool) -> int:
    """Show sizes and counts of the store and of each segment. Changes nothing."""
    with inspection.locked_directory(directory) as files:
        statistics = inspection.statistics(files)
    if use_json(json_requested):
        show_json(statistics)
    else:
        segments = statistics.pop("segments")
        assert isinstance(segments, list)
        show_fields(directory, statistics)
        show_table("segments", segments)
    return 0


@command.command()
@click.argument("directory")
@click.option(
    "--all", "include_dead", is_flag=True, help="Include records that were overwritten, deleted or have expired."
)
@JSON_OPTION
@with_store_exit_codes
def dump(directory: str, include_dead: bool, json_requested: bool) -> int:
    """Print the records in log order. Changes nothing."""
    rows = []
    with inspection.locked_directory(directory) as files:
        for record in inspection.dump(files, include_dead):
            row = {
                "seq": record.sequence,
                "kind": record.kind.name.lower(),
                "key": _text(record.key),
                "expires": None if record.expires_ms == NEVER_MS else record.expires_ms / 1000,
                "bytes": len(record.value),
            }
            if use_json(json_requested):
                show_json(row | {"value": _text(record.value)})
            else:
                rows.append(row)
    if rows:
        show_table(directory, rows)
    return 0


def _text(data: bytes) -> str:
    """Decode printable text; format other bytes as `0x` and hexadecimal digits."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return "0x" + data.hex()
    return text if text.isprintable() and not text.startswith("0x") else "0x" + data.hex()


@command.command()
@click.argument("directory")
@click.option(
    "--max-mib",
    type=click.IntRange(1),
    default=DEFAULT_MAX_BYTES >> 20,
    show_default=True,
    help="The store's size limit, as in the operator's file.",
)
@JSON_OPTION
@with_store_exit_codes
def compact(directory: str, max_mib: int, json_requested: bool) -> int:
    """Drop dead records, so that the store takes the least disk space."""
    with inspection.locked_directory(directory):
        pass  # fails without a store, which Store.open would create
    with Store.open(directory, max_bytes=max_mib << 20) as store:
        before = store.metrics()["disk_bytes"]
        store.compact()
        after = store.metrics()
    result = {
        "disk_bytes_before": before,
        "disk_bytes": after["disk_bytes"],
        "live_bytes": after["live_bytes"],
        "copied_bytes": after.get("copied_bytes", 0),
        "keys": after["keys"],
    }
    if use_json(json_requested):
        show_json(result)
    else:
        show_fields(directory, result)
    return 0


@command.command()
@click.argument("directory")
@click.argument("into")
@click.option(
    "--max-mib",
    type=click.IntRange(1),
    default=DEFAULT_MAX_BYTES >> 20,
    show_default=True,
    help="The new store's size limit.",
)
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@JSON_OPTION
@with_store_exit_codes
def repair(directory: str, into: str, max_mib: int, yes: bool, json_requested: bool) -> int:
    """Salvage the readable records of DIRECTORY into a new store INTO, and list the losses.

    If the last record of a key is unreadable, an older value reappears, even of a deleted key: ask the owner of the
    keys before starting a node on the result."""
    if not yes and sys.stdin.isatty():
        click.confirm(f"Salvage {directory} into {into}? Older values of damaged keys may reappear", abort=True)
    with inspection.locked_directory(directory) as files:
        salvaged = store_repair.repair(files, into, time.time, max_mib << 20)
    if use_json(json_requested):
        show_json(salvaged.as_dict())
    else:
        show_fields(
            into,
            {
                "kept": salvaged.kept,
                "read": salvaged.read,
                "expired": salvaged.expired,
                "records lost": salvaged.missing,
            },
        )
        show_table("losses", [{"file": g.file, "offset": g.offset, "what": g.what} for g in salvaged.gaps])
    return EXIT_DAMAGED if salvaged.gaps or salvaged.missing else 0
