"""Holds the command table of the operators' socket: maps a line to its answer, without I/O."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from ..lifecycle import Lifecycle
from ..node_intent import NodeIntent
from ..request_metrics import RequestMetrics
from .exposition import exposition

# Commands of optional subsystems, with the reason in the answer while the subsystem is disabled.
DISABLED_REASONS = dict.fromkeys(("members", "links", "changes", "view"), "no cluster") | dict.fromkeys(
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
    """Format the answer to a command that succeeded."""
    return f"SUCCESS {text}".rstrip() + "\n"


def failure(reason: str) -> str:
    """Format the answer to a command that failed, with the reason."""
    return f"FAILURE {reason}\n"


class CommandTable:
    """The operators' commands of one process."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        metrics: RequestMetrics,
        subsystem_commands: Mapping[str, Callable[[], str]] | None = None,
        commands_with_arguments: Mapping[str, Callable[[list[str]], Awaitable[str]]] | None = None,
        pass_on: Callable[[NodeIntent], bool] = lambda intent: False,
    ) -> None:
        """Initialize the table; the two mappings hold the commands of the enabled subsystems.

        `pass_on`: sends what the node is told to a successor; returns whether the successor receives it."""
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._pass_on = pass_on
        self.table: dict[str, Callable[[], str]] = {
            "ready": self._ready,
            "show-stat": self._show_stat,
            "drain": self._drain,
            "resume": self._resume,
        }
        self.table |= {name: partial(failure, reason) for name, reason in DISABLED_REASONS.items()}
        self.table |= dict(subsystem_commands or {})
        self._with_arguments = commands_with_arguments or {}
        self._enabled = frozenset(subsystem_commands or ())

    def answer(self, line: str) -> str | Awaitable[str]:
        """Return the complete answer to a line, or an awaitable of the answer.

        Every command has an answer in every state of the process."""
        name, *rest = line.split()
        if name in self._with_arguments:
            return self._with_arguments[name](rest)
        command = self.table.get(name)
        if command is None:
            return failure(f"no such call; there are {', '.join(self.table)}")
        if name in DISABLED_REASONS and name not in self._enabled:
            return failure(DISABLED_REASONS[name])
        if rest:
            return failure(f"{name} takes no arguments")
        return command()

    def _ready(self) -> str:
        state = self._lifecycle.state.value
        return success(f"yes, {state}") if self._lifecycle.can_serve else failure(f"no, {state}")

    def _show_stat(self) -> str:
        return success() + exposition(self._metrics) + "EOT\n"

    def _drain(self) -> str:
        text = "drained: health checks are bad until resume, what comes is served"
        return self._tell(self._lifecycle.drain, text)

    def _resume(self) -> str:
        return self._tell(self._lifecycle.resume, "serving")

    def _tell(self, command: Callable[[Callable[[NodeIntent], bool]], bool], text: str) -> str:
        before = self._lifecycle.state.value
        return success(text) if command(self._pass_on) else failure(f"not now, {before}")
