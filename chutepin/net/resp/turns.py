"""Turns to process messages: how much of an iteration of the event loop the connections take together.

Without a limit, hundreds of connections that send at full speed would make each iteration so long that answers, timers
and the executor's notices wait for them."""

from __future__ import annotations

import asyncio
from collections import deque

MAX_TURNS_PER_ITERATION = 8
ITERATION_S = 0.005  # turns are counted anew after this time, or in the next iteration if connections wait


class MessageTurns:
    """Grants turns in the order in which they are asked for."""

    def __init__(self) -> None:
        self._left = MAX_TURNS_PER_ITERATION
        self._renewed_at = 0.0  # time of the event loop
        self._waiting: deque[asyncio.Future[None]] = deque()

    def take(self) -> bool:
        """Take a turn, unless many connections have messages; return whether the caller has one."""
        if self._waiting:
            return False
        now = asyncio.get_running_loop().time()
        if now >= self._renewed_at + ITERATION_S:
            self._renewed_at = now
            self._left = MAX_TURNS_PER_ITERATION
        if not self._left:
            return False
        self._left -= 1
        return True

    async def wait(self) -> None:
        """Wait for a turn, after `take` gave none."""
        loop = asyncio.get_running_loop()
        if not self._waiting:
            loop.call_soon(self._next_iteration)
        turn = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _next_iteration(self) -> None:
        self._left = MAX_TURNS_PER_ITERATION
        self._renewed_at = asyncio.get_running_loop().time()
        while self._waiting and self._left:
            turn = self._waiting.popleft()
            if not turn.done():  # a task that was cancelled needs no turn
                turn.set_result(None)
                self._left -= 1
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._next_iteration)
