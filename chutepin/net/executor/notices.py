"""The port through which a session passes on the executor's notices."""

from __future__ import annotations

from typing import Protocol

from ...facade import End


class NoticeHandler(Protocol):
    """The receiver of the executor's notices."""

    def executor_started(self, is_warming_up: bool, started_at: float) -> None:
        """Handle the start of an executor process at `started_at`, which may still be warming up."""

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        """Handle the end of a run after `elapsed` seconds."""

    def run_may_have_begun(self, id: str) -> None:
        """Record that a run began or may have begun, so a later `End.NOT_STARTED` does not prove the opposite."""

    def notices_missed(self) -> None:
        """Record that notices were lost, which may have reported the end of any run in progress."""

    def is_response_awaited(self, id: str) -> bool:
        """Return whether the caller of a run's request still awaits the response."""

    def is_run_wanted(self, id: str) -> bool:
        """Return whether a run's result is awaited: by its own caller, or by another attempt of its key."""

    def call_wanted(self, id: str, notice: int, body: bytes) -> None:
        """Handle a run's request for a call with this body; `notice` is the number by which to bypass it."""

    def command_not_carried_out(self, command: str, id: str) -> None:
        """Handle a command that the executor could not carry out."""

    def gauges_received(self, values: tuple[float, ...]) -> None:
        """Handle the gauges, in the order of the settings."""
