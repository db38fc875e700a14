"""Signals that come before the event loop hears them: kept, and handed over once it does.

By their default each would end the process: a SIGHUP that crosses a start must not. It knows no node."""

from __future__ import annotations

import signal

HEARD = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
_kept: list[int] = []


def listen() -> None:
    """Keep what comes from now on. To be called before anything that takes time."""
    for number in HEARD:
        signal.signal(number, lambda number, _frame: _kept.append(number))


def take() -> list[int]:
    """What has come, each signal once. To be called once the loop has its own handlers: what comes later is theirs."""
    kept = list(dict.fromkeys(_kept))
    _kept.clear()
    return kept
