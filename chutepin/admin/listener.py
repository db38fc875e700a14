"""Accepts connections on the operators' socket, in bounded number and each with an absolute deadline."""

from __future__ import annotations

import asyncio
import socket

from ..admission import MAX_CLOSING, AcceptDecision, Acceptor, DescriptorBudget
from ..counters import Counters
from ..logs import Log
from .commands import CommandTable, failure
from .line_reader import InvalidLineError, LineReader

DESCRIPTOR_PART = "ops"  # name in the descriptor budget
LINE_TIMEOUT_S = 5.0
ANSWER_READ_TIMEOUT_S = 1.0  # for the client to read the answer and close
READ_BYTES = 512


class OperatorListener:
    """A server of operators' commands at one address (`admission.ConnectionHandler`).

    If the limit is reached, a new connection replaces the oldest connection whose line is incomplete, so that idle
    connections cannot block others."""

    def __init__(self, commands: CommandTable, descriptors: DescriptorBudget, counters: Counters, log: Log) -> None:
        self._commands = commands
        self._descriptors = descriptors
        self._counters = counters
        self._acceptor = Acceptor(self, failure("busy").encode(), counters, log, self._has_descriptor)
        self._tasks: dict[int, asyncio.Task[None]] = {}  # by connection number, in order of arrival
        self._unfinished: dict[int, asyncio.Task[None]] = {}  # the tasks whose line is incomplete, oldest first
        self._evicted: set[int] = set()  # cancelled to make room, task not ended yet
        self._last_connection_number = 0

    async def listen(self, host: str, port: int) -> None:
        """Accept connections from now on. Raises OSError."""
        await self._acceptor.listen(host, port)

    def close(self) -> None:
        """Accept no more connections; open connections end at their deadlines or with the process."""
        self._acceptor.close()

    def _has_descriptor(self, dropped: int) -> bool:
        """Return whether a descriptor is free or about to be: evicted connections hold theirs until their tasks end."""
        return self._descriptors.available(DESCRIPTOR_PART) > dropped or len(self._evicted) + dropped < MAX_CLOSING

    def decide(self, address: bytes, only_spare_left: bool) -> AcceptDecision:
        """Serve a connection if a descriptor is free or an unfinished connection can be evicted, else reject it."""
        if self._descriptors.available(DESCRIPTOR_PART) > 0 and not only_spare_left:
            return AcceptDecision.SERVE
        if not self._unfinished:
            self._counters.add("ops.refused")
            return AcceptDecision.REJECT
        self._counters.add("ops.made_room")
        number = next(iter(self._unfinished))
        self._evicted.add(number)
        self._unfinished.pop(number).cancel()
        return AcceptDecision.SERVE

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Start serving an accepted connection."""
        self._counters.add("ops.connections")
        self._descriptors.parts[DESCRIPTOR_PART].in_use += 1
        self._last_connection_number += 1
        number = self._last_connection_number
        task = asyncio.get_running_loop().create_task(self._serve_connection(number, sock))
        self._tasks[number] = self._unfinished[number] = task
        task.add_done_callback(lambda _: self._close(number, sock))

    def _close(self, number: int, sock: socket.socket) -> None:
        """Release the resources of a connection, also of one evicted before its task started."""
        sock.close()
        self._tasks.pop(number, None)
        self._unfinished.pop(number, None)
        self._evicted.discard(number)
        self._descriptors.release(DESCRIPTOR_PART)
        self._acceptor.descriptor_freed()

    async def _serve_connection(self, number: int, sock: socket.socket) -> None:
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
                # Closing a socket with unread input resets the connection, and the client loses the answer.
                while await loop.sock_recv(sock, READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            self._counters.add("ops.gone")

    async def _read_and_answer(self, sock: socket.socket) -> str:
        """Read a line and return its answer. Raises InvalidLineError, also if the client closes without a line."""
        reader = LineReader()
        while True:
            data = await asyncio.get_running_loop().sock_recv(sock, READ_BYTES)
            # The end of input completes a line, because some tools send no line feed.
            line = reader.feed(data or b"\n")
            if line is not None:
                self._counters.add("ops.calls")
                answer = self._commands.answer(line)
                return answer if isinstance(answer, str) else await answer
