"""Signals, each with the time at which it came, whatever the loop is doing and before there is a loop.

By its default each would end the process: a SIGHUP that crosses a start must not. A notice to leave counts from when it
came, however late a busy loop or a slow start handles it. The module knows no node."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable, Iterator, Mapping
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
# When each signal came that is not delivered yet. A signal may come between any two steps below: the table never
# changes its size, and an entry is cleared before its handler runs, so that one which comes meanwhile counts anew.
_pending: dict[int, float | None] = dict.fromkeys(HANDLED_SIGNALS)
_wake: Callable[[], object] | None = None


def install_handlers() -> None:
    """Keep signals that come from now on. Call it before anything that takes time."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def ignore() -> None:
    """Ignore signals from now on: the process is about to exit.

    The interpreter's end gives each signal its default back, and the next of a series would change the exit code."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _record(number: int, _: FrameType | None) -> None:
    """Note the Unix time of a signal; runs between two steps of whatever is being done."""
    if _pending[number] is None:
        _pending[number] = time.time()
    if _wake is not None:
        _wake()


@contextlib.contextmanager
def deliver(
    loop: asyncio.AbstractEventLoop, handlers: Mapping[signal.Signals, Callable[[float], None]]
) -> Iterator[None]:
    """Call handlers on this loop, each with the signal's time, also for signals that came before.

    Signals that come after the context are kept."""
    global _wake  # noqa: PLW0603  a signal's handler has no other place to look

    def deliver_pending() -> None:
        for number in HANDLED_SIGNALS if _wake is wake else ():  # else the context has ended since this was scheduled
            if (at := _pending[number]) is not None:
                _pending[number] = None
                handlers[number](at)

    def wake() -> None:
        loop.call_soon_threadsafe(deliver_pending)  # as asyncio's runner wakes its loop for SIGINT

    install_handlers()
    _wake = wake
    try:
        deliver_pending()
        yield
    finally:
        _wake = None
