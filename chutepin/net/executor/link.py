"""The connection to the executor, opened again when it is lost or the executor's address changes."""

from __future__ import annotations

import asyncio

from ...config import Address
from ...counters import Counters
from ...logs import Log
from ...memory_budget import DEFAULT_BUDGET
from ..lines import ProtocolError, line
from ..streams import LINK_READ_BYTES, open_connection
from .session import Session

MIN_RECONNECT_DELAY_S = 0.02  # doubled after each attempt
MAX_RECONNECT_DELAY_S = 0.5
CONNECT_TIMEOUT_S = 2.0  # an unresponsive host would keep the attempt pending for minutes
MOVE_TIMEOUT_S = 0.3  # after which a link to an old address is closed, even with unconfirmed commands


class ExecutorLink:
    """Keeps one connection to the executor open while the node runs, and writes commands to it."""

    def __init__(
        self,
        address: Address,
        session: Session,
        counters: Counters,
        log: Log,
        max_unsent_bytes: int = DEFAULT_BUDGET.executor,
    ) -> None:
        """Create a link. `max_unsent_bytes`: over which it is closed, as the executor does not read."""
        self._max_unsent_bytes = max_unsent_bytes
        self._address, self._session, self._counters, self._log = address, session, counters, log
        self._transport: asyncio.WriteTransport | None = None
        self._moving = False
        session.on_quiesced = self._close_for_move

    def move(self, address: Address) -> None:
        """Connect to the executor at this address from now on.

        Runs and notice numbers are kept. The old link is closed once the commands on it are confirmed, or after
        MOVE_TIMEOUT_S."""
        if address == self._address:
            return
        self._address, self._moving = address, True
        if self._transport is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + MOVE_TIMEOUT_S, self._close_for_move, self._transport)
            self._session.quiesce()

    def _close_for_move(self, transport: asyncio.WriteTransport | None = None) -> None:
        """Close this link, or the current one, so that the next one is opened to the new address."""
        if self._transport is not None and transport in (None, self._transport):
            self._transport.abort()

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None:
        """Start a run. An EXEC that is not repeatable is written once: a notice or the deadline ends the request."""
        self._session.command(id, line("EXEC", id, cls, body=body), repeatable)

    def kill(self, id: str) -> None:
        """Stop a run."""
        self._session.stop(id)

    def terminate(self, id: str) -> None:
        """Stop a run, and report its end once the executor has read the stop, even without a notice."""
        self._session.terminate(id)

    def return_reply(self, id: str, reply: bytes) -> None:
        """Send the reply to the call that a run waits for."""
        self._session.answer_call(id, reply)

    def bypass(self, id: str, notice: int) -> None:
        """Let a run continue without its call."""
        self._session.command(id, line("BYPASS", id, notice), True)

    def resolve(self, id: str, executor_detects_end: bool) -> None:
        """Find out the end of the run of a request that is over, if its EXEC is unconfirmed."""
        self._session.resolve(id, executor_detects_end)

    def meter(self) -> bool:
        """Request the gauges; return False while no executor is connected."""
        return self._session.meter()

    async def run(self) -> None:
        """Connect, and reconnect with a growing delay when the link is lost, until cancelled."""
        loop = asyncio.get_running_loop()
        delay = MIN_RECONNECT_DELAY_S
        while True:
            address = self._address
            try:
                async with asyncio.timeout_at(loop.time() + CONNECT_TIMEOUT_S):
                    reader, writer = await open_connection(address.host, address.port)
            except OSError:
                self._counters.add("executor.refused")
            else:
                if address != self._address:  # the address changed while connecting, when there was no link to close
                    writer.transport.abort()
                    continue
                delay = MIN_RECONNECT_DELAY_S
                self._transport = writer.transport
                self._moving = False
                try:
                    await self._serve(reader, writer)
                finally:
                    self._transport = None
                    self._session.lost()
                    writer.transport.abort()
                self._counters.add("executor.moved" if self._moving else "executor.lost")
                if self._moving:
                    continue
                self._log.event("executor.lost")
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RECONNECT_DELAY_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def send(data: bytes) -> None:
            writer.write(data)
            if writer.transport.get_write_buffer_size() > self._max_unsent_bytes:
                self._counters.add("executor.stuck")
                writer.transport.abort()

        self._session.connected(send)
        try:
            while data := await reader.read(LINK_READ_BYTES):
                self._session.received(data)
        except OSError as error:
            self._log.event("executor.broken", why=str(error))
        except ProtocolError as error:
            self._counters.add("executor.malformed")
            self._log.event("executor.malformed", why=str(error))
        except Exception as error:  # noqa: BLE001  any fault of the handlers is counted and logged; the link reconnects
            self._counters.add("errors")
            self._log.event("executor.error", error=repr(error))
