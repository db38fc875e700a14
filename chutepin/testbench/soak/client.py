"""A client of a soak: requests on connections that it keeps using, entered into the books with all that comes back."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time

from chutepin.net.lines import ProtocolError
from chutepin.net.resp import RespParser, array

from .books import AnswerSeen, Books, CloseCause, ConnectionSeen, RequestSeen
from .schedule import ClientPlan

READ_BYTES = 65536
RECONNECT_DELAY_S = 0.02
MIN_WAIT_MS = 300
MAX_WAIT_MS = 5000
MAX_OPEN_REQUESTS = 32  # on one connection
CANCEL_SHARE = 0.04
REPEAT_SHARE = 0.4  # of keyed requests, those under a key that was used before
REMEMBERED_KEYS = 20
KEYED_CLASS = "work-order"
CLASSES = ("status-read", "status-read", "position-push", KEYED_CLASS)
TEAM = "bernard-lodge"


class SoakClient:
    """Asks until it is told to stop, over one connection at a time."""

    def __init__(self, plan: ClientPlan, port: int, books: Books) -> None:
        self._plan = plan
        self._port = port
        self._books = books
        self._chance = random.Random(plan.seed)
        self._is_stopping = False
        self._keys: list[tuple[str, bytes]] = []  # of late, with what was asked under each
        self._connections = 0
        self._withdrawn: dict[int, RequestSeen] = {}  # by tag, on the present connection; each may get one answer

    def stop(self) -> None:
        """Ask nothing more; end once the connection has ended or the patience is over."""
        self._is_stopping = True

    async def run(self) -> None:
        """Ask on one connection after the other."""
        while not self._is_stopping:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self._connections += 1
            await self._use(reader, writer)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use one connection until it ends."""
        connection = ConnectionSeen(self._connections, time.time())
        open_requests: dict[int, RequestSeen] = {}  # by tag
        self._withdrawn = {}
        reading = asyncio.create_task(self._read(reader, connection, open_requests))
        try:
            await self._ask_until_closed(writer, connection, open_requests, reading)
            if not reading.done():
                await self._await_answers(open_requests, reading)
        finally:
            if connection.closed_at == math.inf:
                connection.closed_at = time.time()
                connection.closed_by = CloseCause.CLIENT
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
            writer.transport.abort()

    async def _ask_until_closed(
        self,
        writer: asyncio.StreamWriter,
        connection: ConnectionSeen,
        open_requests: dict[int, RequestSeen],
        reading: asyncio.Task[None],
    ) -> None:
        tag = 0
        while not reading.done() and not self._is_stopping:
            if self._plan.heeds_bye and connection.bye_at < math.inf:
                return
            if len(open_requests) < MAX_OPEN_REQUESTS:
                tag += 1
                self._ask(writer, connection, open_requests, tag)
            await asyncio.sleep(self._plan.interval_s * self._chance.uniform(0.5, 1.5))

    async def _await_answers(self, open_requests: dict[int, RequestSeen], reading: asyncio.Task[None]) -> None:
        """Wait for what is open, until the node ends the connection or everything is overdue."""
        while not reading.done() and open_requests:
            if all(request.due_at + 1.0 < time.time() for request in open_requests.values()):
                return
            await asyncio.sleep(0.01)

    def _ask(
        self,
        writer: asyncio.StreamWriter,
        connection: ConnectionSeen,
        open_requests: dict[int, RequestSeen],
        tag: int,
    ) -> None:
        cls = self._chance.choice(CLASSES)
        key, body = self._key_and_body(cls)
        wait_ms = self._chance.randint(MIN_WAIT_MS, MAX_WAIT_MS)
        now = time.time()
        id = f"{self._chance.getrandbits(64):016x}"
        fields = f"i={id},s={int(now * 1000)},f={self._plan.seed % 1000},t={TEAM},m=24.5,p=0.5,d={wait_ms}"
        if key is not None:
            fields += f",k={key}"
        writer.write(array(b"RPC.CALL", b"%d" % tag, cls.encode(), fields.encode(), body))
        request = RequestSeen(id, cls, body, key, connection, now, now + wait_ms / 1000)
        self._books.requests.append(request)
        open_requests[tag] = request
        if self._chance.random() < CANCEL_SHARE:
            writer.write(array(b"RPC.CANCEL", b"%d" % tag))
            request.is_withdrawn = True
            self._withdrawn[tag] = open_requests.pop(tag)

    def _key_and_body(self, cls: str) -> tuple[str | None, bytes]:
        """A new key, or one of late with its body: a further try of one request."""
        if cls != KEYED_CLASS:
            return None, b"read %016x" % self._chance.getrandbits(64)
        if self._keys and self._chance.random() < REPEAT_SHARE:
            return self._chance.choice(self._keys)
        number = self._chance.getrandbits(128)
        self._keys.append((f"{number:032x}", b"order %016x" % (number >> 64)))
        del self._keys[:-REMEMBERED_KEYS]
        return self._keys[-1]

    async def _read(
        self, reader: asyncio.StreamReader, connection: ConnectionSeen, open_requests: dict[int, RequestSeen]
    ) -> None:
        """Enter what comes into the books, until the end of the connection."""
        parser = RespParser()
        with contextlib.suppress(OSError, ProtocolError):
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (items := parser.next()) is not None:
                    self._received(items, connection, open_requests)
        connection.closed_at = time.time()
        connection.closed_by = CloseCause.NODE

    def _received(self, items: list[bytes], connection: ConnectionSeen, open_requests: dict[int, RequestSeen]) -> None:
        now = time.time()
        tag = int(items[0])
        if tag == 0:
            connection.bye_at = min(connection.bye_at, now)
            return
        request = open_requests.pop(tag, None) or self._withdrawn.pop(tag, None)
        if request is None:
            self._books.unasked_answers += 1
            return
        body = items[3] if len(items) > 3 else b""
        request.answers.append(AnswerSeen(now, items[1].decode(), body))
