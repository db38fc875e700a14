"""The log: events with fields, rate-limited, on standard error."""

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
MAX_LINES_PER_S = 5.0  # after a burst


class LogFormat(Enum):
    """How an event is written: for people, or one JSON object a line."""

    PLAIN = "plain"
    JSON = "json"


def print_line(text: str) -> None:
    """Print a line. Guards the node against a log that nobody reads any more."""
    with contextlib.suppress(OSError, ValueError):
        print(f"chutepin: {text}", file=sys.stderr, flush=True)


class _Sink:
    """The end of the log: standard error, as it is at the time. Guards as `print_line` does."""

    def msg(self, message: str) -> None:
        """Write one line."""
        with contextlib.suppress(OSError, ValueError):
            print(message, file=sys.stderr, flush=True)

    info = msg


def _structlog() -> ModuleType:
    """The library.

    Where the tools' rich is installed too, structlog's console renderer would load it: 5 MB that a node never uses.
    So that import is refused meanwhile, which structlog provides for."""
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


class Log:
    """Events with fields, through structlog to standard error.

    Past the rate they are counted instead, so that a peer cannot flood the log."""

    def __init__(self, clock: Clock, format: LogFormat = LogFormat.PLAIN) -> None:
        structlog = _structlog()
        self._clock = clock
        self._logger: Any = structlog.wrap_logger(
            _Sink(), processors=_processors(format), wrapper_class=structlog.BoundLogger
        )
        self._tokens, self._at = float(MAX_BURST_LINES), clock.now()
        self.dropped = 0

    def event(self, name: str, /, **fields: object) -> None:
        """Write one event, or count it."""
        now = self._clock.now()
        self._tokens = min(MAX_BURST_LINES, self._tokens + (now - self._at) * MAX_LINES_PER_S)
        self._at = now
        if self._tokens < 1:
            self.dropped += 1
            return
        self._tokens -= 1
        self.always(name, **fields)

    def always(self, name: str, /, **fields: object) -> None:
        """Write one event that the rate limit must not drop: what an operator asked for."""
        self._logger.info(name, **fields)
