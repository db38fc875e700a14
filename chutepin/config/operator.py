"""Parses the operator's file (`--setup FILE`): KDL with one block for each subsystem and a unit on every quantity.

The unit is a type annotation, as in `segment (MiB)8`, so that a value in milliseconds where seconds were meant is
visible in the file. An unknown name, a missing unit or a value out of range raises `ConfigError` with one line that
names the file and the field.
"""

from __future__ import annotations

import importlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..logs import LogFormat
from .checks import RATE, SHARE, TIME, Check, ConfigError, OneOrMore, choice, count, network, quantity, size, text

if TYPE_CHECKING:
    from .cluster import ClusterSetup
    from .consensus import ConsensusSetup

MAX_NETWORKS = 1024  # in one setting
MAX_FILE_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class LogSetup:
    """The settings of the block `log`."""

    format: LogFormat = LogFormat.PLAIN


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """The settings of the block `store`: the embedded store that the node opens at its start."""

    directory: str
    segment: int = 8 * 2**20  # bytes of a segment file
    max: int = 256 * 2**20  # bytes of all files together
    memory: int = 16 * 2**20  # limit of the index, in bytes
    sync_every: float = 0.005  # seconds after which a put is synced to disk without a commit


@dataclass(frozen=True, slots=True)
class AdmissionSetup:
    """The settings of the block `admission`: limits on connections.

    The value 0 disables a rule; by default all rules are disabled."""

    per_address: int = 0  # connections from one address
    per_block: int = 0  # connections from one block of addresses
    block_v4: int = 24  # prefix length of a block, in bits
    block_v6: int = 64
    rate_address: float = 0.0  # new connections per second
    burst_address: int = 10
    rate_block: float = 0.0
    burst_block: int = 50
    new_share: float = 1.0  # share of the connection table
    reserve: float = 0.0
    known: tuple[str, ...] = ()  # networks whose addresses count as known
    relays: tuple[str, ...] = ()
    earn_requests: int = 0
    earn_over: float = 10.0  # seconds
    earned_age: float = 3600.0
    remembered: int = 4096  # addresses


@dataclass(frozen=True, slots=True)
class Setup:
    """The contents of the operator's file. A missing block leaves its subsystem disabled or at its defaults."""

    log: LogSetup = field(default_factory=LogSetup)
    store: StoreSetup | None = None
    admission: AdmissionSetup = field(default_factory=AdmissionSetup)
    cluster: ClusterSetup | None = None
    consensus: ConsensusSetup | None = None


# Maps a block to the module of this package that checks the block; imported only if the file has the block.
LAZY_BLOCKS = {"cluster": "cluster", "agree": "consensus"}

BLOCKS: dict[str, dict[str, Check | OneOrMore]] = {
    "log": {"format": choice(*(format.value for format in LogFormat))},
    "store": {
        "directory": text,
        "segment": size(2**16, 2**30),
        "max": size(2**19, 2**46),
        "memory": size(2**20, 2**40),
        "sync-every": quantity(TIME, 0.001, 60.0),
    },
    "admission": {
        "per-address": count("connections", 0, 2**20),
        "per-block": count("connections", 0, 2**20),
        "block-v4": count("bits", 8, 32),
        "block-v6": count("bits", 16, 128),
        "rate-address": quantity(RATE, 0.0, 1e6),
        "burst-address": count("connections", 1, 2**20),
        "rate-block": quantity(RATE, 0.0, 1e6),
        "burst-block": count("connections", 1, 2**20),
        "new-share": quantity(SHARE, 0.01, 1.0),
        "reserve": quantity(SHARE, 0.0, 0.95),
        "known": OneOrMore(network),
        "relays": OneOrMore(network),
        "earn-requests": count("requests", 0, 2**20),
        "earn-over": quantity(TIME, 0.0, 86400.0),
        "earned-age": quantity(TIME, 1.0, 30 * 86400.0),
        "remembered": count("addresses", 16, 2**20),
    },
}


def _parse_block(node: Any, known: Mapping[str, Check | OneOrMore]) -> dict[str, Any]:
    if node.args or node.properties:
        raise ConfigError(f"{node.name}: takes a block in braces, no values of its own")
    found: dict[str, Any] = {}
    for child in node.children:
        name = f"{node.name}.{child.name}"
        if child.name not in known:
            raise ConfigError(f"{name}: unknown; known are {', '.join(known)}")
        if child.name in found:
            raise ConfigError(f"{name}: given twice")
        found[child.name] = _parse_value(child, known[child.name], name)
    return found


def _parse_value(node: Any, check: Check | OneOrMore, name: str) -> Any:
    takes_several = isinstance(check, OneOrMore)
    if not 1 <= len(node.args) <= (MAX_NETWORKS if takes_several else 1) or node.properties or node.children:
        raise ConfigError(f"{name}: takes one value{f' to {MAX_NETWORKS}' if takes_several else ''}")
    if isinstance(check, OneOrMore):
        return tuple(check.check(raw, name) for raw in node.args)
    return check(node.args[0], name)


def parse_setup(source: str) -> Setup:
    """Parse and check an operator's file. Raises `ConfigError` with one line that names the field."""
    import ckdl  # a node without an operator's file does not load the library

    try:
        document = ckdl.parse(source)
    except ValueError as error:
        raise ConfigError(f"not KDL: {error}") from None
    blocks: dict[str, dict[str, Any]] = {}
    for node in document.nodes:
        if node.name not in (*BLOCKS, *LAZY_BLOCKS):
            raise ConfigError(f"{node.name}: unknown block; known are {', '.join((*BLOCKS, *LAZY_BLOCKS))}")
        if node.name in blocks:
            raise ConfigError(f"{node.name}: given twice")
        if node.name in LAZY_BLOCKS:
            lazy = importlib.import_module(f".{LAZY_BLOCKS[node.name]}", __package__)
            blocks[node.name] = {"setup": lazy.build_setup(_parse_block(node, lazy.CHECKS))}
        else:
            blocks[node.name] = _parse_block(node, BLOCKS[node.name])
    log = LogSetup(LogFormat(blocks.get("log", {}).get("format", LogFormat.PLAIN.value)))
    admission = AdmissionSetup(**{name.replace("-", "_"): value for name, value in blocks.get("admission", {}).items()})
    if admission.new_share + admission.reserve > 1 and admission.new_share < 1:
        raise ConfigError("admission.new-share: with admission.reserve more than 100 %")
    store = _build_store_setup(blocks["store"]) if "store" in blocks else None
    cluster, consensus = (blocks.get(name, {}).get("setup") for name in LAZY_BLOCKS)
    if consensus is not None and (cluster is None or store is None):
        raise ConfigError(f"agree: needs the block {'cluster' if cluster is None else 'store'} as well")
    return Setup(log, store, admission, cluster, consensus)


def _build_store_setup(values: dict[str, Any]) -> StoreSetup:
    if "directory" not in values:
        raise ConfigError("store.directory: missing or not a text")
    store = StoreSetup(**{name.replace("-", "_"): value for name, value in values.items()})
    if store.max < 8 * store.segment:
        raise ConfigError("store.max: less than 8 times store.segment")
    return store


def load_setup(path: str) -> Setup:
    """Read and check the file at `path`. Raises ConfigError; its message begins with the path."""
    try:
        if Path(path).stat().st_size > MAX_FILE_BYTES:
            raise ConfigError(f"{path}: over {MAX_FILE_BYTES} bytes")
        return parse_setup(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8") from None
    except ConfigError as error:
        message = str(error)
        raise ConfigError(message if message.startswith(path) else f"{path}: {message}") from None
