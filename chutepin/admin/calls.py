"""What operators may call, as a table. No I/O: a line in, the answer out."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..figures import Figures
from ..lifecycle import Lifecycle, Move
from .exposition import exposition

CLUSTER = ("members", "links", "changes", "view")  # calls of the cluster, where there is one


def success(text: str = "") -> str:
    """An answer that the call was carried out."""
    return f"SUCCESS {text}".rstrip() + "\n"


def failure(why: str) -> str:
    """An answer that it was not, and why."""
    return f"FAILURE {why}\n"


class Calls:
    """The calls of one process."""

    def __init__(self, lifecycle: Lifecycle, figures: Figures,
                 more: Mapping[str, Callable[[], str]] | None = None) -> None:
        """`more`: calls of subsystems that the operator's file has switched on."""
        self._lifecycle, self._figures = lifecycle, figures
        self.table: dict[str, Callable[[], str]] = {
            "ready": self._ready, "show-stat": self._show_stat, "drain": self._drain, "resume": self._resume}
        self.table |= {name: lambda: failure("no cluster") for name in CLUSTER} | dict(more or {})

    def answer(self, line: str) -> str:
        """The whole answer to a line. Calls take no arguments; every call in every state has an answer."""
        name, *rest = line.split()
        call = self.table.get(name)
        if call is None:
            return failure(f"no such call; there are {', '.join(self.table)}")
        if rest:
            return failure(f"{name} takes no arguments")
        return call()

    def _ready(self) -> str:
        state = self._lifecycle.state.value
        return success(f"yes, {state}") if self._lifecycle.can_serve else failure(f"no, {state}")

    def _show_stat(self) -> str:
        return success() + exposition(self._figures) + "EOT\n"

    def _drain(self) -> str:
        return self._moved(Move.DRAIN, "drained: health checks are bad until resume, what comes is served")

    def _resume(self) -> str:
        return self._moved(Move.RESUME, "serving")

    def _moved(self, move: Move, text: str) -> str:
        before = self._lifecycle.state.value
        return success(text) if self._lifecycle.move(move) else failure(f"not now, {before}")
