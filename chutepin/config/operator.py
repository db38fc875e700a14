"""The operator's file (`--setup FILE`): KDL, one block for each subsystem, every quantity with its unit.

A unit is a type annotation, `segment (MiB)8`: a number typed in milliseconds where seconds were meant is found by
reading, not by an outage. An unknown name, a missing unit or a value out of range is one line with file and field.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..ops import LogFormat
from .platform import ConfigError

TIME = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}  # in seconds
SIZE = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}  # in bytes
MAX_FILE = 256 * 1024  # bytes of an operator's file

Check = Callable[[Any, str], Any]  # (a value of the document, its field) to the value it means


@dataclass(frozen=True, slots=True)
class LogSetup:
    """The block `log`."""

    format: LogFormat = LogFormat.PLAIN


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """The block `store`: an embedded store that is opened with the node."""

    directory: str
    segment: int = 8 * 2**20  # bytes of a segment's file
    max: int = 256 * 2**20  # bytes of all files
    memory: int = 16 * 2**20  # bytes that the index may take
    sync_every: float = 0.005  # seconds after which a put is made durable unasked


@dataclass(frozen=True, slots=True)
class Setup:
    """The whole file; a block that is not there leaves its subsystem as it is by default."""

    log: LogSetup = field(default_factory=LogSetup)
    store: StoreSetup | None = None


def quantity(units: Mapping[str, float], least: float, most: float) -> Check:
    """A number with one of these units, within bounds that are given in the base unit."""
    def check(raw: Any, name: str) -> float:
        unit, value = getattr(raw, "type_annotation", None), getattr(raw, "value", raw)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ConfigError(f"{name}: not a number")
        if unit is None:
            raise ConfigError(f"{name}: {value} states no unit; write ({next(iter(units))}){value} or another of "
                              + ", ".join(units))
        if unit not in units:
            raise ConfigError(f"{name}: unknown unit {unit}; known are {', '.join(units)}")
        if not least <= value * units[unit] <= most:
            raise ConfigError(f"{name}: ({unit}){value} is out of range")
        return value * units[unit]
    return check


def size(least: int, most: int) -> Check:
    """Bytes."""
    checked = quantity(SIZE, least, most)
    return lambda raw, name: int(checked(raw, name))


def text(raw: Any, name: str) -> str:
    """A text that is not empty."""
    if not isinstance(raw, str) or not raw:
        raise ConfigError(f"{name}: missing or not a text")
    return raw


def choice(*known: str) -> Check:
    """One of a few words."""
    def check(raw: Any, name: str) -> str:
        if raw not in known:
            raise ConfigError(f"{name}: not one of {', '.join(known)}")
        return str(raw)
    return check


BLOCKS: dict[str, dict[str, Check]] = {
    "log": {"format": choice(*(format.value for format in LogFormat))},
    "store": {"directory": text, "segment": size(2**16, 2**30), "max": size(2**19, 2**46),
              "memory": size(2**20, 2**40), "sync-every": quantity(TIME, 0.001, 60.0)},
}


def _block(node: Any, known: Mapping[str, Check]) -> dict[str, Any]:
    if node.args or node.properties:
        raise ConfigError(f"{node.name}: takes a block in braces, no values of its own")
    found: dict[str, Any] = {}
    for child in node.children:
        name = f"{node.name}.{child.name}"
        if child.name not in known:
            raise ConfigError(f"{name}: unknown; known are {', '.join(known)}")
        if child.name in found:
            raise ConfigError(f"{name}: given twice")
        if len(child.args) != 1 or child.properties or child.children:
            raise ConfigError(f"{name}: takes one value")
        found[child.name] = known[child.name](child.args[0], name)
    return found


def parse_setup(source: str) -> Setup:
    """Check an operator's file. Raises `ConfigError` with one line that names the field."""
    import ckdl  # only where a file is given

    try:
        document = ckdl.parse(source)
    except ValueError as error:
        raise ConfigError(f"not KDL: {error}") from None
    blocks: dict[str, dict[str, Any]] = {}
    for node in document.nodes:
        if node.name not in BLOCKS:
            raise ConfigError(f"{node.name}: unknown block; known are {', '.join(BLOCKS)}")
        if node.name in blocks:
            raise ConfigError(f"{node.name}: given twice")
        blocks[node.name] = _block(node, BLOCKS[node.name])
    log = LogSetup(LogFormat(blocks.get("log", {}).get("format", LogFormat.PLAIN.value)))
    return Setup(log, _store(blocks["store"]) if "store" in blocks else None)


def _store(values: dict[str, Any]) -> StoreSetup:
    if "directory" not in values:
        raise ConfigError("store.directory: missing or not a text")
    store = StoreSetup(**{name.replace("-", "_"): value for name, value in values.items()})
    if store.max < 8 * store.segment:
        raise ConfigError("store.max: less than 8 times store.segment")
    return store


def load_setup(path: str) -> Setup:
    """Read and check the file at `path`; the message of an error begins with that path."""
    try:
        if Path(path).stat().st_size > MAX_FILE:
            raise ConfigError(f"{path}: over {MAX_FILE} bytes")
        return parse_setup(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8") from None
    except ConfigError as error:
        message = str(error)
        raise ConfigError(message if message.startswith(path) else f"{path}: {message}") from None
