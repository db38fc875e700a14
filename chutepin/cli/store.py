"""`python -m chutepin store …`: inspect an embedded store, compact it, salvage the readable records of a damaged one.

Exit codes: 0 success; 1 damage was found, or something could not be salvaged; 2 usage error, no store, or an error of
the system; 3 the store is open in another process."""

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
from .output import as_json, show_fields, show_json, show_table

EXIT_DAMAGED = 1
EXIT_ERROR = 2
EXIT_LOCKED = 3
JSON_OPTION = click.option("--json", "wants_json", is_flag=True, help="Print JSON also on a terminal.")


def with_store_exit_codes(work: Callable[..., int]) -> Callable[..., int]:
    """Make a command print a StoreError as one line and return its exit code."""

    @functools.wraps(work)
    def wrapped(*arguments: Any, **options: Any) -> int:
        try:
            return work(*arguments, **options)
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
    """Look into an embedded store that no node has open, compact it, or salvage a damaged one."""


@command.command()
@click.argument("directory")
@JSON_OPTION
@with_store_exit_codes
def check(directory: str, wants_json: bool) -> int:
    """Read every record and list all damage. Changes nothing."""
    with inspection.locked_directory(directory) as files:
        checked = inspection.check(files)
    if as_json(wants_json):
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
def stat(directory: str, wants_json: bool) -> int:
    """Sizes and counts of the store and of each segment. Changes nothing."""
    with inspection.locked_directory(directory) as files:
        statistics = inspection.statistics(files)
    if as_json(wants_json):
        show_json(statistics)
    else:
        segments = statistics.pop("segments")
        assert isinstance(segments, list)
        show_fields(directory, statistics)
        show_table("segments", segments)
    return 0


@command.command()
@click.argument("directory")
@click.option("--all", "include_dead", is_flag=True, help="Also what was overruled, deleted or has expired.")
@JSON_OPTION
@with_store_exit_codes
def dump(directory: str, include_dead: bool, wants_json: bool) -> int:
    """The records, in the order of the log. Changes nothing."""
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
            if as_json(wants_json):
                show_json(row | {"value": _text(record.value)})
            else:
                rows.append(row)
    if rows:
        show_table(directory, rows)
    return 0


def _text(data: bytes) -> str:
    """Text as it is, other bytes as hexadecimal digits behind `0x`."""
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
def compact(directory: str, max_mib: int, wants_json: bool) -> int:
    """Leave behind all that is dead, so that the store takes the least room."""
    with inspection.locked_directory(directory):
        pass  # otherwise opening would begin a store in a directory without one
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
    if as_json(wants_json):
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
@click.option("--yes", is_flag=True, help="Do not ask; for scripts.")
@JSON_OPTION
@with_store_exit_codes
def repair(directory: str, into: str, max_mib: int, yes: bool, wants_json: bool) -> int:
    """Salvage what can be read of DIRECTORY into a new store INTO, and list what could not be kept.

    Where the last record of a key can't be read an older value comes back, a deleted one too: ask whoever owns the
    keys before a node is started on the result."""
    if not yes and sys.stdin.isatty():
        click.confirm(f"Salvage {directory} into {into}? Older values of damaged keys may come back", abort=True)
    with inspection.locked_directory(directory) as files:
        salvaged = store_repair.repair(files, into, time.time, max_mib << 20)
    if as_json(wants_json):
        show_json(salvaged.as_dict())
    else:
        show_fields(
            into,
            {
                "kept": salvaged.kept,
                "read": salvaged.read,
                "expired": salvaged.expired,
                "records known to be lost": salvaged.missing,
            },
        )
        show_table("could not be kept", [{"file": g.file, "offset": g.offset, "what": g.what} for g in salvaged.gaps])
    return EXIT_DAMAGED if salvaged.gaps or salvaged.missing else 0
