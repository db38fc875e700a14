"""Records signals with their arrival time and delivers them to handlers on the event loop.

The handlers are installed before an event loop exists, because the default action of these signals ends the process: a
SIGHUP during the start must not. The stop time of a node counts from the arrival of SIGTERM, even if a busy loop or a
slow start delays the handler."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable, Iterator, Mapping
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
# Unix time at which each undelivered signal arrived. A signal can come between any two instructions of this module, so
# the table never changes its size, and an entry is cleared before its handler runs: a signal that arrives during the
# handler is recorded again.
_pending: dict[int, float | None] = dict.fromkeys(HANDLED_SIGNALS)
_wake: Callable[[], object] | None = None


def install_handlers() -> None:
    """Record signals from now on. Call this function before any slow step of the start."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def ignore() -> None:
    """Ignore signals from now on: the process is about to exit.

    The interpreter restores the default actions when it exits; a repeated signal would then change the exit code."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _record(number: int, _: FrameType | None) -> None:
    """Record the Unix time of a signal. Runs as a signal handler, between any two instructions."""
    if _pending[number] is None:
        _pending[number] = time.time()
    if _wake is not None:
        _wake()


@contextlib.contextmanager
def deliver(
    loop: asyncio.AbstractEventLoop, handlers: Mapping[signal.Signals, Callable[[float], None]]
) -> Iterator[None]:
    """Call the handlers on this loop, each with the signal's arrival time, also for signals recorded earlier.

    Signals that arrive after the context has ended are recorded but not delivered."""
    global _wake  # noqa: PLW0603  the signal handler can only read module state

    def deliver_pending() -> None:
        for number in HANDLED_SIGNALS if _wake is wake else ():  # otherwise the context has ended
            if (at := _pending[number]) is not None:
                _pending[number] = None
                handlers[number](at)

    def wake() -> None:
        loop.call_soon_threadsafe(deliver_pending)  # as asyncio.Runner does for SIGINT

    install_handlers()
    _wake = wake
    try:
        deliver_pending()
        yield
    finally:
        _wake = None
