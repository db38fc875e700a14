"""Futures of coroutines that wait for a commit, on one or more event loops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from .errors import StoreError


class CommitWaiter(NamedTuple):
    """The future of a coroutine that waits until the log is durable up to a sequence number."""

    sequence: int
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[None]


class CommitWaiters:
    """The pending commit waiters. Not thread-safe."""

    def __init__(self) -> None:
        self._waiters: list[CommitWaiter] = []

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def add(self, sequence: int, loop: asyncio.AbstractEventLoop) -> asyncio.Future[None]:
        """Return a future of `loop` that completes once the log is durable up to `sequence`."""
        future: asyncio.Future[None] = loop.create_future()
        self._waiters.append(CommitWaiter(sequence, loop, future))
        return future

    def resolve(self, durable_sequence: int, error: StoreError | None) -> None:
        """Complete the futures up to `durable_sequence`. With `error`, which ended all writing, fail all others."""
        done = [waiter for waiter in self._waiters if waiter.sequence <= durable_sequence or error is not None]
        if not done:
            return
        self._waiters = [waiter for waiter in self._waiters if waiter.sequence > durable_sequence and error is None]
        for loop in {waiter.loop for waiter in done}:
            loop_waiters = [waiter for waiter in done if waiter.loop is loop]
            with contextlib.suppress(RuntimeError):  # the loop is closed, and with it its waiters
                loop.call_soon_threadsafe(_complete_futures, loop_waiters, durable_sequence, error)


def _complete_futures(waiters: list[CommitWaiter], durable_sequence: int, error: StoreError | None) -> None:
    for waiter in waiters:
        if waiter.future.done():
            continue
        if waiter.sequence <= durable_sequence or error is None:
            waiter.future.set_result(None)
        else:
            waiter.future.set_exception(error)
