"""The edge of the operators' socket: bounded callers, each with one line, one answer and one absolute deadline."""

from __future__ import annotations

import asyncio
import socket

from ..admission import CLOSING_AT_ONCE, Acceptor, DescriptorBudget, Welcome
from ..counters import Counters
from ..logs import Log
from .calls import Calls, failure
from .lines import LineError, LineReader

PART = "ops"  # in the descriptors of descriptors
LINE_BY = 5.0  # seconds in which a caller must have sent its line
GONE_BY = 1.0  # seconds that it has to read the answer
PIECE = 512  # bytes read at a time


class Listener:
    """Serves callers at one address. Decides nothing but who must go: callers that have not finished their line give
    way to newcomers, oldest first, so that they can't shut the others out."""

    def __init__(self, calls: Calls, descriptors: DescriptorBudget, counters: Counters, log: Log) -> None:
        self._calls, self._descriptors, self._counters = calls, descriptors, counters
        self._acceptor = Acceptor(self, failure("busy").encode(), counters, log, self._has_descriptor)
        self._tasks: dict[int, asyncio.Task[None]] = {}  # by number of arrival
        self._unfinished: dict[int, asyncio.Task[None]] = {}  # of these, oldest first
        self._making_room: set[int] = set()  # cancelled, and not ended yet
        self._number = 0

    async def listen(self, host: str, port: int) -> None:
        """Take calls from now on. Raises OSError."""
        await self._acceptor.listen(host, port)

    def close(self) -> None:
        """Take no more calls; the open ones end by their deadlines or with the process."""
        self._acceptor.close()

    # --- admission.Gate ---

    def _has_descriptor(self, dropped: int) -> bool:
        """One is free, or few are about to be: callers that made room hold theirs until their tasks have ended."""
        return self._descriptors.available(PART) > dropped or len(self._making_room) + dropped < CLOSING_AT_ONCE

    def admits(self, address: bytes, short: bool) -> Welcome:
        """There is room, or the oldest unfinished caller makes some."""
        if self._descriptors.available(PART) > 0 and not short:
            return Welcome.SERVE
        if not self._unfinished:
            self._counters.add("ops.refused")
            return Welcome.TELL
        self._counters.add("ops.made_room")
        number = next(iter(self._unfinished))
        self._making_room.add(number)
        self._unfinished.pop(number).cancel()
        return Welcome.SERVE

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Take over a caller."""
        self._counters.add("ops.connections")
        self._descriptors.parts[PART].in_use += 1
        self._number += 1
        number, task = self._number, asyncio.get_running_loop().create_task(self._live(self._number, sock))
        self._tasks[number] = self._unfinished[number] = task
        task.add_done_callback(lambda _: self._ended(number, sock))

    def _ended(self, number: int, sock: socket.socket) -> None:
        """Also of a caller that made room before its task had begun."""
        sock.close()
        self._tasks.pop(number, None)
        self._unfinished.pop(number, None)
        self._making_room.discard(number)
        self._descriptors.release(PART)
        self._acceptor.room()

    async def _live(self, number: int, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            try:
                async with asyncio.timeout_at(loop.time() + LINE_BY):
                    answer = await self._asked(sock)
            except LineError as error:
                answer = failure(str(error))
            except TimeoutError:
                answer = failure("no line came")
            self._unfinished.pop(number, None)
            async with asyncio.timeout_at(loop.time() + GONE_BY):
                await loop.sock_sendall(sock, answer.encode())
                sock.shutdown(socket.SHUT_WR)
                # A close over unread input would reset the answer away.
                while await loop.sock_recv(sock, PIECE):
                    pass
        except (OSError, TimeoutError):
            self._counters.add("ops.gone")

    async def _asked(self, sock: socket.socket) -> str:
        """The answer to the caller's line. Raises LineError, also where the caller ends before its line does."""
        reader = LineReader()
        while True:
            data = await asyncio.get_running_loop().sock_recv(sock, PIECE)
            # A line that the caller's end of sending cuts off is whole: some tools send no line feed.
            line = reader.feed(data or b"\n")
            if line is not None:
                self._counters.add("ops.calls")
                answer = self._calls.answer(line)
                return answer if isinstance(answer, str) else await answer
