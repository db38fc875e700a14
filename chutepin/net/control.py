"""Health reports to the control plane: HTTP/1.1 by h11, one request a second on a persistent connection."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from urllib.parse import quote

import h11

from ..config import Address
from ..counters import Counters
from .streams import open_connection

REPORT_INTERVAL_S = 1.0  # at most; the control plane drops a node 3 s after its last report
JITTER_SHARE = 0.2  # of the interval; spreads the reports of nodes that lost the control plane together
REPORT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024
READ_BYTES = 4096
NO_CONTENT = 204  # the status of an accepted report


class Reporter:
    """Reports `Ready` to the control plane while the node is healthy and accepts requests, else `NotReady`."""

    def __init__(
        self, address: Address | None, name: str, ready: Callable[[], bool], counters: Counters, seed: int = 0
    ) -> None:
        self._random = random.Random(seed)
        self._address, self._name, self._ready, self._counters = address, name, ready, counters
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._stale = False  # the connection is to a previous address

    def move(self, address: Address | None) -> None:
        """Send reports to this address from the next one on."""
        self._stale = self._stale or address != self._address
        self._address = address

    async def run(self) -> None:
        """Report until cancelled. A missing or wrong answer fails only the one report."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            try:
                async with asyncio.timeout_at(started_at + REPORT_TIMEOUT_S):
                    if self._stale:
                        self._stale = False
                        self._close()
                    status = await self._report(self._address) if self._address is not None else NO_CONTENT
                self._counters.add("control.reports" if status == NO_CONTENT else "control.rejected")
            except (OSError, TimeoutError, h11.ProtocolError, EOFError):
                self._counters.add("control.failed")
                self._close()
            wait_s = REPORT_INTERVAL_S * (1 - JITTER_SHARE * self._random.random())
            await asyncio.sleep(max(0.0, started_at + wait_s - loop.time()))

    async def _report(self, address: Address) -> int:
        if self._streams is None:
            self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_BYTES)
            self._streams = await open_connection(address.host, address.port, READ_BYTES)
        reader, writer = self._streams
        body = json.dumps({"condition": "Ready" if self._ready() else "NotReady"}).encode()
        request = h11.Request(
            method="PUT",
            target=f"/v2/endpoints/{quote(self._name, safe='')}",
            headers=[
                ("Host", f"{address.host}:{address.port}"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(self._http.send(event) or b"")
        await writer.drain()
        status, size = 0, 0
        while True:
            answer = self._http.next_event()
            if answer is h11.NEED_DATA:
                data = await reader.read(READ_BYTES)
                size += len(data)
                if size > MAX_ANSWER_BYTES:
                    raise h11.RemoteProtocolError("answer from the control plane is too long")
                self._http.receive_data(data)
            elif isinstance(answer, h11.Response):
                status = answer.status_code
            elif isinstance(answer, h11.EndOfMessage):
                break
            elif isinstance(answer, h11.ConnectionClosed):
                raise EOFError
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._close()
        return status

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
