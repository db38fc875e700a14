"""What operators may call, as a table. No I/O: a line in, the answer out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from ..lifecycle import Lifecycle, Transition
from ..request_metrics import RequestMetrics
from .exposition import exposition

# Calls of subsystems that may be off, and what is said then.
OFF = dict.fromkeys(("members", "links", "changes", "view"), "no cluster") | dict.fromkeys(
    (
        "agree",
        "agree-set",
        "agree-get",
        "agree-ask",
        "agree-void",
        "agree-add",
        "agree-remove",
        "agree-transfer",
        "agree-snapshot",
    ),
    "no log in common",
)


def success(text: str = "") -> str:
    """An answer that the call was carried out."""
    return f"SUCCESS {text}".rstrip() + "\n"


def failure(why: str) -> str:
    """An answer that it was not, and why."""
    return f"FAILURE {why}\n"


class Calls:
    """The calls of one process."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        figures: RequestMetrics,
        more: Mapping[str, Callable[[], str]] | None = None,
        orders: Mapping[str, Callable[[list[str]], Awaitable[str]]] | None = None,
    ) -> None:
        """`more`, `orders`: calls of subsystems that the operator's file has switched on, without words and with."""
        self._lifecycle, self._figures = lifecycle, figures
        self.table: dict[str, Callable[[], str]] = {
            "ready": self._ready,
            "show-stat": self._show_stat,
            "drain": self._drain,
            "resume": self._resume,
        }
        self.table |= {name: lambda why=why: failure(why) for name, why in OFF.items()} | dict(more or {})
        self._orders = orders or {}
        self._on = frozenset(more or ())

    def answer(self, line: str) -> str | Awaitable[str]:
        """The whole answer to a line, or what it is to be waited for. Every call in every state has one."""
        name, *rest = line.split()
        if name in self._orders:
            return self._orders[name](rest)
        call = self.table.get(name)
        if call is None:
            return failure(f"no such call; there are {', '.join(self.table)}")
        if name in OFF and name not in self._on:
            return failure(OFF[name])
        if rest:
            return failure(f"{name} takes no arguments")
        return call()

    def _ready(self) -> str:
        state = self._lifecycle.state.value
        return success(f"yes, {state}") if self._lifecycle.can_serve else failure(f"no, {state}")

    def _show_stat(self) -> str:
        return success() + exposition(self._figures) + "EOT\n"

    def _drain(self) -> str:
        return self._moved(Transition.DRAIN, "drained: health checks are bad until resume, what comes is served")

    def _resume(self) -> str:
        return self._moved(Transition.RESUME, "serving")

    def _moved(self, transition: Transition, text: str) -> str:
        before = self._lifecycle.state.value
        return success(text) if self._lifecycle.apply(transition) else failure(f"not now, {before}")
