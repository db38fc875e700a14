"""Writes the log: rate-limited events with fields, on standard error."""

from __future__ import annotations

import contextlib
import importlib
import sys
from enum import Enum
from types import ModuleType
from typing import TYPE_CHECKING, Any

from .clock import Clock

if TYPE_CHECKING:
    from structlog.typing import EventDict, Processor

MAX_BURST_LINES = 20
MAX_LINES_PER_S = 5.0  # sustained, after a burst


class LogFormat(Enum):
    """The output format of an event: a readable line, or one JSON object a line."""

    PLAIN = "plain"
    JSON = "json"


def print_line(text: str) -> None:
    """Print a line to standard error; ignore errors, such as a closed pipe, that must not end the node."""
    with contextlib.suppress(OSError, ValueError):
        print(f"chutepin: {text}", file=sys.stderr, flush=True)


class _StderrLogger:
    """A structlog logger that writes to the current `sys.stderr` and, like `print_line`, ignores write errors."""

    def msg(self, message: str) -> None:
        """Write one line."""
        with contextlib.suppress(OSError, ValueError):
            print(message, file=sys.stderr, flush=True)

    info = msg


def _import_structlog() -> ModuleType:
    """Import structlog without rich.

    If rich, a requirement of the tools, is installed, structlog's console renderer would import it: 5 MB that a node
    never uses. The import of rich is blocked meanwhile; structlog treats rich as optional."""
    if "rich" in sys.modules or "structlog" in sys.modules:
        return importlib.import_module("structlog")
    sys.modules["rich"] = None  # type: ignore[assignment]
    try:
        return importlib.import_module("structlog")
    finally:
        del sys.modules["rich"]


def _processors(format: LogFormat) -> list[Processor]:
    from structlog import processors

    if format is LogFormat.JSON:
        return [processors.TimeStamper(fmt="iso", utc=True), processors.JSONRenderer(default=str)]
    fields = processors.LogfmtRenderer()

    def plain(logger: object, method: str, event: EventDict) -> str:
        name = event.pop("event")
        text = fields(logger, method, {key: str(value) for key, value in event.items()})
        return f"chutepin: {name} {text}".rstrip()

    return [plain]


class _LineRate:
    """The rate limit of one event: a token bucket."""

    def __init__(self, now: float) -> None:
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Return whether a line may be written now."""
        self._tokens = min(MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Log:
    """A log of events with fields, written by structlog to standard error.

    Each event has its own rate limit. Events above it are dropped and counted, so that a peer can neither flood the log
    nor keep other events out of it."""

    def __init__(self, clock: Clock, format: LogFormat = LogFormat.PLAIN) -> None:
        structlog = _import_structlog()
        self._clock = clock
        self._logger: Any = structlog.wrap_logger(
            _StderrLogger(), processors=_processors(format), wrapper_class=structlog.BoundLogger
        )
        self._rates: dict[str, _LineRate] = {}  # by event; the events are named in the code
        self.dropped = 0

    def event(self, name: str, /, **fields: object) -> None:
        """Write one event, or drop and count it above the rate limit."""
        now = self._clock.now()
        rate = self._rates.get(name)
        if rate is None:
            rate = self._rates[name] = _LineRate(now)
        if not rate.take(now):
            self.dropped += 1
            return
        self.always(name, **fields)

    def always(self, name: str, /, **fields: object) -> None:
        """Write one event regardless of the rate limit, such as output that an operator requested."""
        self._logger.info(name, **fields)
