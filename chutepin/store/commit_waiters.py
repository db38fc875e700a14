"""Coroutines that wait for a commit, on any event loops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from .errors import StoreError


class CommitWaiter(NamedTuple):
    """A coroutine that waits until everything up to a sequence number is durable."""

    sequence: int
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[None]


class CommitWaiters:
    """Waiting coroutines. Not thread-safe by itself."""

    def __init__(self) -> None:
        self._waiters: list[CommitWaiter] = []

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def add(self, sequence: int, loop: asyncio.AbstractEventLoop) -> asyncio.Future[None]:
        """A future of this loop that is done once everything up to `sequence` is durable."""
        future: asyncio.Future[None] = loop.create_future()
        self._waiters.append(CommitWaiter(sequence, loop, future))
        return future

    def resolve(self, durable_sequence: int, error: StoreError | None) -> None:
        """Finish the futures of what is durable; with an `error`, which ended all writing, all of them."""
        done = [waiter for waiter in self._waiters if waiter.sequence <= durable_sequence or error is not None]
        if not done:
            return
        self._waiters = [waiter for waiter in self._waiters if waiter.sequence > durable_sequence and error is None]
        for loop in {waiter.loop for waiter in done}:
            of_loop = [waiter for waiter in done if waiter.loop is loop]
            with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits there any more
                loop.call_soon_threadsafe(_finish, of_loop, durable_sequence, error)


def _finish(waiters: list[CommitWaiter], durable_sequence: int, error: StoreError | None) -> None:
    for waiter in waiters:
        if waiter.future.done():
            continue
        if waiter.sequence <= durable_sequence or error is None:
            waiter.future.set_result(None)
        else:
            waiter.future.set_exception(error)
