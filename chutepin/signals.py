"""Signals, each with the moment at which it came, whatever the loop is doing then and before there is a loop.

By their default each would end the process: a SIGHUP that crosses a start must not. And a notice to leave counts from
when it came: a loop that is busy, or a start that is slow, hears of it later. It knows no node."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable, Iterator, Mapping
from types import FrameType

HEARD = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
# When each came that was not handed over. A signal may come between any two steps below: the table never changes its
# size, and a signal is taken out before it is acted on, so that one which comes meanwhile counts anew.
_kept: dict[int, float | None] = dict.fromkeys(HEARD)
_wake: Callable[[], object] | None = None


def listen() -> None:
    """Keep what comes from now on. To be called before anything that takes time."""
    for number in HEARD:
        signal.signal(number, _came)


def _came(number: int, _: FrameType | None) -> None:
    """Runs between two steps of whatever is being done, in Unix time as the other end's clock has it."""
    if _kept[number] is None:
        _kept[number] = time.time()
    if _wake is not None:
        _wake()


@contextlib.contextmanager
def heard(loop: asyncio.AbstractEventLoop, by: Mapping[signal.Signals, Callable[[float], None]]) -> Iterator[None]:
    """Hand signals over on this loop, each with its moment, also those that came before. What comes later is kept."""
    global _wake

    def hand_over() -> None:
        for number in HEARD if _wake is wake else ():  # else they are no longer heard here: this was asked for before
            if (at := _kept[number]) is not None:
                _kept[number] = None
                by[number](at)

    def wake() -> None:
        loop.call_soon_threadsafe(hand_over)  # as asyncio's runner wakes its loop for SIGINT

    listen()
    _wake = wake
    try:
        hand_over()
        yield
    finally:
        _wake = None
