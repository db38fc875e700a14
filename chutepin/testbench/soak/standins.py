"""The stand-ins of one process in a soak: an executor whose runs take time, and books of what it began."""

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

from .books import RunSeen

MIN_RUN_S = 0.002
MAX_RUN_S = 0.06
LONG_RUN_SHARE = 0.05
MAX_LONG_RUN_S = 0.6
CALL_SHARE = 0.5  # of the runs of classes that call
NEXT_CALL_SHARE = 0.4  # of the runs whose call was answered, that call once more
KEY_WINDOW_S = 44.118
CALLING_CLASSES = ("status-read", "work-order")


def soak_settings() -> dict[str, Any]:
    """Return the example's settings, with a window for keys that is longer than a soak."""
    settings: dict[str, Any] = json.loads(json.dumps(EXAMPLE["settings"]))
    for category in settings["categories"]:
        if category["idempotency"] == "token":
            category["window"] = KEY_WINDOW_S
    return settings


class SoakStandins(Standins):
    """One process's executor, records service and control plane."""

    def __init__(self, process_name: str, seed: int, runs: list[RunSeen]) -> None:
        """`runs`: the books that each run is entered into."""
        super().__init__(soak_settings())
        self._process_name = process_name
        self._chance = random.Random(seed)
        self._books = runs
        self._bodies: dict[str, bytes] = {}  # of runs that are not over
        self._ended: set[str] = set()
        self._call_count = 0
        self._wrongly_answered: set[str] = set()  # runs that got the reply to another call
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self.open_records_connections = 0

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        match words[0]:
            case "EXEC":
                self._begin(words[1], words[2], body)
            case "RETURN":
                self._take_reply(words[1], body)
            case "BYPASS":
                if self._waiting.pop(words[1], None) is not None:
                    self._finish_later(words[1])
            case "KILL":
                self._pause(words[1])
            case "WAKE":
                if words[1] in self._bodies and words[1] not in self._waiting:
                    self._finish_later(words[1])
            case "METER":
                with contextlib.suppress(OSError):
                    writer.write(line("METERS", words[1], "0.1", 1))
            case _:
                super()._command(writer, words, body)

    def _begin(self, id: str, cls: str, body: bytes) -> None:
        """Begin a run. For one that runs already nothing happens, and one that is over does not run again."""
        if id in self._bodies:
            return
        if id in self._ended:
            self.notify("EXIT", id, "unknown", 0, body=b"")
            return
        self._bodies[id] = body
        self._books.append(RunSeen(id, body, time.time(), self._process_name))
        if cls in CALLING_CLASSES and self._chance.random() < CALL_SHARE:
            self._later(id, self._run_time(), self._call)
        else:
            self._finish_later(id)

    def _run_time(self) -> float:
        if self._chance.random() < LONG_RUN_SHARE:
            return self._chance.uniform(MAX_RUN_S, MAX_LONG_RUN_S)
        return self._chance.uniform(MIN_RUN_S, MAX_RUN_S)

    def _call(self, id: str) -> None:
        self._call_count += 1
        call = b"call %d for %b" % (self._call_count, self._bodies[id])
        self._waiting[id] = ("", call)
        self.notify("CALLOUT", id, body=call)

    def _take_reply(self, id: str, reply: bytes) -> None:
        """Go on with the reply to a run's call, and note one that was to another call."""
        waiting = self._waiting.pop(id, None)
        if waiting is None:
            return
        if reply != b"row of " + waiting[1]:
            self._wrongly_answered.add(id)
        if self._chance.random() < NEXT_CALL_SHARE:
            self._later(id, self._run_time(), self._call)
        else:
            self._finish_later(id)

    def _finish_later(self, id: str) -> None:
        self._later(id, self._run_time(), self._finish)

    def _later(self, id: str, delay_s: float, step: Callable[[str], None]) -> None:
        loop = asyncio.get_running_loop()
        if (timer := self._timers.pop(id, None)) is not None:
            timer.cancel()
        self._timers[id] = loop.call_later(delay_s, step, id)

    def _finish(self, id: str) -> None:
        body = self._bodies.pop(id, None)
        if body is None:
            return
        self._ended.add(id)
        is_wrong = id in self._wrongly_answered
        self._wrongly_answered.discard(id)
        self.finish(id, (b"wrongly done " if is_wrong else b"done ") + body)

    def _pause(self, id: str) -> None:
        """Stop work on a core; it keeps its progress. What was never begun stays so, and nothing is said."""
        if id not in self._bodies or id in self._waiting:
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
        """Break the executor's link, if there is one."""
        if self._executor is not None:
            self.cut()

    def refuse_control_once(self) -> bool:
        """Have the control plane refuse connections; false where it does so already."""
        if self._control_address is not None:
            return False
        self.refuse_control()
        return True
