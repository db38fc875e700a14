"""The edge of the operators' socket: bounded callers, each with one line, one answer and one absolute deadline."""

from __future__ import annotations

import asyncio
import socket

from ..admission import MAX_CLOSING, AcceptDecision, Acceptor, DescriptorBudget
from ..counters import Counters
from ..logs import Log
from .commands import CommandTable, failure
from .line_reader import InvalidLineError, LineReader

DESCRIPTOR_PART = "ops"  # the name in the descriptor budget
LINE_TIMEOUT_S = 5.0
ANSWER_READ_TIMEOUT_S = 1.0  # that a caller has to read the answer
READ_BYTES = 512


class OperatorListener:
    """Serves callers at one address (`admission.ConnectionHandler`).

    Callers that have not finished their line give way to new ones, oldest first: they can't shut the others out."""

    def __init__(self, commands: CommandTable, descriptors: DescriptorBudget, counters: Counters, log: Log) -> None:
        self._commands = commands
        self._descriptors = descriptors
        self._counters = counters
        self._acceptor = Acceptor(self, failure("busy").encode(), counters, log, self._has_descriptor)
        self._tasks: dict[int, asyncio.Task[None]] = {}  # by number of arrival
        self._unfinished: dict[int, asyncio.Task[None]] = {}  # of these, oldest first
        self._making_room: set[int] = set()  # cancelled, and not ended yet
        self._last_number = 0

    async def listen(self, host: str, port: int) -> None:
        """Accept callers from now on. Raises OSError."""
        await self._acceptor.listen(host, port)

    def close(self) -> None:
        """Accept no more callers; the open ones end by their deadlines or with the process."""
        self._acceptor.close()

    def _has_descriptor(self, dropped: int) -> bool:
        """Whether one is free, or soon will be: callers that made room hold theirs until their tasks have ended."""
        return self._descriptors.available(DESCRIPTOR_PART) > dropped or len(self._making_room) + dropped < MAX_CLOSING

    def decide(self, address: bytes, short: bool) -> AcceptDecision:
        """Serve a caller if there is room, or if the oldest unfinished one can make some."""
        if self._descriptors.available(DESCRIPTOR_PART) > 0 and not short:
            return AcceptDecision.SERVE
        if not self._unfinished:
            self._counters.add("ops.refused")
            return AcceptDecision.REJECT
        self._counters.add("ops.made_room")
        number = next(iter(self._unfinished))
        self._making_room.add(number)
        self._unfinished.pop(number).cancel()
        return AcceptDecision.SERVE

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Take over a caller."""
        self._counters.add("ops.connections")
        self._descriptors.parts[DESCRIPTOR_PART].in_use += 1
        self._last_number += 1
        number = self._last_number
        task = asyncio.get_running_loop().create_task(self._serve_caller(number, sock))
        self._tasks[number] = self._unfinished[number] = task
        task.add_done_callback(lambda _: self._close(number, sock))

    def _close(self, number: int, sock: socket.socket) -> None:
        """Release what a caller held, also one that made room before its task had begun."""
        sock.close()
        self._tasks.pop(number, None)
        self._unfinished.pop(number, None)
        self._making_room.discard(number)
        self._descriptors.release(DESCRIPTOR_PART)
        self._acceptor.descriptor_freed()

    async def _serve_caller(self, number: int, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            try:
                async with asyncio.timeout_at(loop.time() + LINE_TIMEOUT_S):
                    answer = await self._read_and_answer(sock)
            except InvalidLineError as error:
                answer = failure(str(error))
            except TimeoutError:
                answer = failure("no line came")
            self._unfinished.pop(number, None)
            async with asyncio.timeout_at(loop.time() + ANSWER_READ_TIMEOUT_S):
                await loop.sock_sendall(sock, answer.encode())
                sock.shutdown(socket.SHUT_WR)
                # A close over unread input resets the connection and loses the answer.
                while await loop.sock_recv(sock, READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            self._counters.add("ops.gone")

    async def _read_and_answer(self, sock: socket.socket) -> str:
        """Read a line and return its answer. Raises InvalidLineError, also where the caller ends before its line."""
        reader = LineReader()
        while True:
            data = await asyncio.get_running_loop().sock_recv(sock, READ_BYTES)
            # A line that ends with the caller's sending is complete: some tools send no line feed.
            line = reader.feed(data or b"\n")
            if line is not None:
                self._counters.add("ops.calls")
                answer = self._commands.answer(line)
                return answer if isinstance(answer, str) else await answer
