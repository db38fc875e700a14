"""A client of a soak: it sends requests on one connection at a time and records requests and answers."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import time

from chutepin.net.lines import ProtocolError
from chutepin.net.resp import RespParser, array

from .books import CloseCause, Observations, ObservedAnswer, ObservedConnection, ObservedRequest
from .schedule import ClientPlan

READ_BYTES = 65536
RECONNECT_DELAY_S = 0.02
MIN_WAIT_MS = 300
MAX_WAIT_MS = 5000
MAX_OPEN_REQUESTS = 32  # open requests on one connection
CANCEL_SHARE = 0.04
REPEAT_SHARE = 0.4  # share of keyed requests that reuse a recent key
MAX_RECENT_KEYS = 20
KEYED_CLASS = "work-order"
CLASSES = ("status-read", "status-read", "position-push", KEYED_CLASS)
TEAM = "bernard-lodge"


class SoakClient:
    """A client that sends requests, over one connection at a time, until `stop`."""

    def __init__(self, plan: ClientPlan, port: int, observations: Observations) -> None:
        self._plan = plan
        self._port = port
        self._observations = observations
        self._rng = random.Random(plan.seed)
        self._is_stopping = False
        self._recent_keys: list[tuple[str, bytes]] = []  # recent keys, each with the body of its request
        self._connections = 0
        self._cancelled: dict[int, ObservedRequest] = {}  # by tag, on this connection; each may get one answer

    def stop(self) -> None:
        """Send no more requests; `run` returns once open requests are answered or overdue, or the connection closes."""
        self._is_stopping = True

    async def run(self) -> None:
        """Send requests on one connection after another until stopped."""
        while not self._is_stopping:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self._connections += 1
            await self._use_connection(reader, writer)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests on one connection until it closes or the client leaves it."""
        connection = ObservedConnection(self._connections, time.time())
        open_requests: dict[int, ObservedRequest] = {}  # by tag
        self._cancelled = {}
        read_task = asyncio.create_task(self._read(reader, connection, open_requests))
        try:
            await self._send_until_closed(writer, connection, open_requests, read_task)
            if not read_task.done():
                await self._await_answers(open_requests, read_task)
        finally:
            if connection.closed_at == math.inf:
                connection.closed_at = time.time()
                connection.closed_by = CloseCause.CLIENT
            read_task.cancel()
            await asyncio.gather(read_task, return_exceptions=True)
            writer.transport.abort()

    async def _send_until_closed(
        self,
        writer: asyncio.StreamWriter,
        connection: ObservedConnection,
        open_requests: dict[int, ObservedRequest],
        read_task: asyncio.Task[None],
    ) -> None:
        tag = 0
        while not read_task.done() and not self._is_stopping:
            if self._plan.heeds_bye and connection.bye_at < math.inf:
                return
            if len(open_requests) < MAX_OPEN_REQUESTS:
                tag += 1
                self._send_request(writer, connection, open_requests, tag)
            await asyncio.sleep(self._plan.interval_s * self._rng.uniform(0.5, 1.5))

    async def _await_answers(self, open_requests: dict[int, ObservedRequest], read_task: asyncio.Task[None]) -> None:
        """Wait for open requests until all are answered or overdue, or the node closes the connection."""
        while not read_task.done() and open_requests:
            if all(request.deadline_at + 1.0 < time.time() for request in open_requests.values()):
                return
            await asyncio.sleep(0.01)

    def _send_request(
        self,
        writer: asyncio.StreamWriter,
        connection: ObservedConnection,
        open_requests: dict[int, ObservedRequest],
        tag: int,
    ) -> None:
        cls = self._rng.choice(CLASSES)
        key, body = self._key_and_body(cls)
        wait_ms = self._rng.randint(MIN_WAIT_MS, MAX_WAIT_MS)
        now = time.time()
        id = f"{self._rng.getrandbits(64):016x}"
        fields = f"i={id},s={int(now * 1000)},f={self._plan.seed % 1000},t={TEAM},m=24.5,p=0.5,d={wait_ms}"
        if key is not None:
            fields += f",k={key}"
        writer.write(array(b"RPC.CALL", b"%d" % tag, cls.encode(), fields.encode(), body))
        request = ObservedRequest(id, cls, body, key, connection, now, now + wait_ms / 1000)
        self._observations.requests.append(request)
        open_requests[tag] = request
        if self._rng.random() < CANCEL_SHARE:
            writer.write(array(b"RPC.CANCEL", b"%d" % tag))
            request.is_cancelled = True
            self._cancelled[tag] = open_requests.pop(tag)

    def _key_and_body(self, cls: str) -> tuple[str | None, bytes]:
        """Return a new key and body, or a recent key with its body, which makes a further attempt of one request."""
        if cls != KEYED_CLASS:
            return None, b"read %016x" % self._rng.getrandbits(64)
        if self._recent_keys and self._rng.random() < REPEAT_SHARE:
            return self._rng.choice(self._recent_keys)
        number = self._rng.getrandbits(128)
        self._recent_keys.append((f"{number:032x}", b"order %016x" % (number >> 64)))
        del self._recent_keys[:-MAX_RECENT_KEYS]
        return self._recent_keys[-1]

    async def _read(
        self, reader: asyncio.StreamReader, connection: ObservedConnection, open_requests: dict[int, ObservedRequest]
    ) -> None:
        """Record answers until the connection closes."""
        parser = RespParser()
        with contextlib.suppress(OSError, ProtocolError):
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (items := parser.next()) is not None:
                    self._record_message(items, connection, open_requests)
        connection.closed_at = time.time()
        connection.closed_by = CloseCause.NODE

    def _record_message(
        self, items: list[bytes], connection: ObservedConnection, open_requests: dict[int, ObservedRequest]
    ) -> None:
        now = time.time()
        tag = int(items[0])
        if tag == 0:
            connection.bye_at = min(connection.bye_at, now)
            return
        request = open_requests.pop(tag, None) or self._cancelled.pop(tag, None)
        if request is None:
            self._observations.unexpected_answers += 1
            return
        body = items[3] if len(items) > 3 else b""
        request.answers.append(ObservedAnswer(now, items[1].decode(), body))
