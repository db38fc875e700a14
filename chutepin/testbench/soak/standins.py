"""The stand-ins of one process in a soak: an executor whose runs take time, and a record of the runs it started."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from typing import Any

from chutepin.net.lines import line
from chutepin.testbench.standins.platform import EXAMPLE, Standins

from .books import ObservedRun

MIN_RUN_S = 0.002
MAX_RUN_S = 0.06
LONG_RUN_SHARE = 0.05
MAX_LONG_RUN_S = 0.6
CALL_SHARE = 0.5  # of runs of the classes that make calls
NEXT_CALL_SHARE = 0.4  # of runs with a reply to a call, the share that make another call
KEY_WINDOW_S = 44.118
CALLING_CLASSES = ("status-read", "work-order")


def soak_settings() -> dict[str, Any]:
    """Return the settings of the example deployment, with a window for keys that is longer than a soak."""
    settings: dict[str, Any] = json.loads(json.dumps(EXAMPLE["settings"]))
    for category in settings["categories"]:
        if category["idempotency"] == "token":
            category["window"] = KEY_WINDOW_S
    return settings


class SoakStandins(Standins):
    """The executor, records service and control plane of one process."""

    def __init__(self, process_name: str, seed: int, runs: list[ObservedRun]) -> None:
        """Each run is appended to `runs` when it starts."""
        super().__init__(soak_settings())
        self._process_name = process_name
        self._rng = random.Random(seed)
        self._runs = runs
        self._bodies: dict[str, bytes] = {}  # of active runs, by id
        self._ended_runs: set[str] = set()
        self._call_count = 0
        self._runs_with_wrong_reply: set[str] = set()  # runs that received the reply to another call
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self.open_records_connections = 0

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        match words[0]:
            case "EXEC":
                self._start_run(words[1], words[2], body)
            case "RETURN":
                self._handle_reply(words[1], body)
            case "BYPASS":
                if self._pending_calls.pop(words[1], None) is not None:
                    self._schedule_finish(words[1])
            case "KILL":
                self._pause_run(words[1])
            case "WAKE":
                if words[1] in self._bodies and words[1] not in self._pending_calls:
                    self._schedule_finish(words[1])
            case "METER":
                with contextlib.suppress(OSError):
                    writer.write(line("METERS", words[1], "0.1", 1))
            case _:
                super()._command(writer, words, body)

    def _start_run(self, id: str, cls: str, body: bytes) -> None:
        """Start a run. Ignore an active one; answer `unknown` for one that has ended, without running it again."""
        if id in self._bodies:
            return
        if id in self._ended_runs:
            self.notify("EXIT", id, "unknown", 0, body=b"")
            return
        self._bodies[id] = body
        self._runs.append(ObservedRun(id, body, time.time(), self._process_name))
        if cls in CALLING_CLASSES and self._rng.random() < CALL_SHARE:
            self._schedule_step(id, self._draw_run_time_s(), self._make_call)
        else:
            self._schedule_finish(id)

    def _draw_run_time_s(self) -> float:
        if self._rng.random() < LONG_RUN_SHARE:
            return self._rng.uniform(MAX_RUN_S, MAX_LONG_RUN_S)
        return self._rng.uniform(MIN_RUN_S, MAX_RUN_S)

    def _make_call(self, id: str) -> None:
        self._call_count += 1
        call = b"call %d for %b" % (self._call_count, self._bodies[id])
        self._pending_calls[id] = ("", call)
        self.notify("CALLOUT", id, body=call)

    def _handle_reply(self, id: str, reply: bytes) -> None:
        """Continue a run with the reply to its call, and record a reply that belongs to another call."""
        pending_call = self._pending_calls.pop(id, None)
        if pending_call is None:
            return
        if reply != b"row of " + pending_call[1]:
            self._runs_with_wrong_reply.add(id)
        if self._rng.random() < NEXT_CALL_SHARE:
            self._schedule_step(id, self._draw_run_time_s(), self._make_call)
        else:
            self._schedule_finish(id)

    def _schedule_finish(self, id: str) -> None:
        self._schedule_step(id, self._draw_run_time_s(), self._finish_run)

    def _schedule_step(self, id: str, delay_s: float, step: Callable[[str], None]) -> None:
        loop = asyncio.get_running_loop()
        if (timer := self._timers.pop(id, None)) is not None:
            timer.cancel()
        self._timers[id] = loop.call_later(delay_s, step, id)

    def _finish_run(self, id: str) -> None:
        body = self._bodies.pop(id, None)
        if body is None:
            return
        self._ended_runs.add(id)
        had_wrong_reply = id in self._runs_with_wrong_reply
        self._runs_with_wrong_reply.discard(id)
        self.finish(id, (b"wrongly done " if had_wrong_reply else b"done ") + body)

    def _pause_run(self, id: str) -> None:
        """Pause a run that is active and has no open call: cancel its timer and report EXIT. Ignore any other run."""
        if id not in self._bodies or id in self._pending_calls:
            return
        if (timer := self._timers.pop(id, None)) is not None:
            timer.cancel()
        self.notify("EXIT", id, "cancelled", 10, body=b"")

    async def _records_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_records_connections += 1
        try:
            with contextlib.suppress(OSError):
                await super()._records_side(reader, writer)
        finally:
            self.open_records_connections -= 1
            writer.transport.abort()

    def cut_if_linked(self) -> None:
        """Abort the link of the executor if there is one."""
        if self._executor is not None:
            self.cut()

    def refuse_control_once(self) -> bool:
        """Make the control plane refuse connections; return whether it accepted them before."""
        if self._control_address is not None:
            return False
        self.refuse_control()
        return True
