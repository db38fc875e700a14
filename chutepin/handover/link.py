"""The I/O of a hand-over: the connection between the two processes and the transfer of listening sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from ..clock import Clock
from ..counters import Counters
from ..logs import Log
from ..net.lines import ProtocolError
from .connection import open_stream
from .frames import PROTOCOL_VERSION, Frame, FrameReader, decode, encode, is_compatible_hello
from .messages import HandoverAccepted, Hello, Rejection
from .rendezvous import Rendezvous
from .session import Delivery, HandoverSession
from .state_machine import Event, Stage

USAGE_INTERVAL_S = 0.05  # interval between reports of this process's usage
RETRY_DELAY_S = 0.3  # interval between checks of a rendezvous whose owner did not hand over
FLUSH_POLL_S = 0.005  # interval between checks whether the write buffer is empty
STUCK_TIMEOUT_S = 2.0  # timeout of a peer that does not read while the kernel's buffer is full
MAX_SOCKETS = 8  # maximum number of listening sockets that are transferred
READ_BYTES = 65536


class HandoverLink:
    """The transport of a hand-over session over a Unix socket."""

    def __init__(
        self,
        rendezvous: Rendezvous,
        session: HandoverSession,
        listeners: Callable[[], list[socket.socket]],
        clock: Clock,
        counters: Counters,
        log: Log,
    ) -> None:
        """Create the link. `listeners`: returns the listening sockets to transfer to a successor."""
        self.session = session
        self._rendezvous = rendezvous
        self._listeners = listeners
        self._clock = clock
        self._counters = counters
        self._log = log
        self.start_serving: Callable[[], Awaitable[None]]  # makes this process accept connections; may be called again
        self.has_predecessor = rendezvous.has_listener()
        self.sockets: list[socket.socket] = []  # the predecessor's listening sockets
        self._writer: asyncio.StreamWriter | None = None
        self._unsent_since: float | None = None
        self._last_iteration_at = clock.now()  # of the event loop
        self._is_serving = False  # whether this process serves beside a predecessor that has not handed over
        self._is_closing = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Take over from a predecessor if there is one, serve, and wait for a successor, until cancelled."""
        try:
            if self.has_predecessor:
                await self._take_over()
            await self._listen()
            await self.start_serving()
            await self._supervise()
        finally:
            self._is_closing = True
            if self._writer is not None:
                self._writer.close()  # buffered data is still sent while the event loop runs
            self._rendezvous.close()
            self.session.close()

    async def _supervise(self) -> None:
        """Report usage periodically, and resume service when a disconnected successor has ended."""
        checked_at = 0.0
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            self._on_loop_iteration()
            if self._stage is not Stage.DISCONNECTED or self._last_iteration_at <= checked_at + RETRY_DELAY_S:
                continue
            checked_at = self._last_iteration_at
            self.session.recall_intent()
            if not self._rendezvous.has_listener():
                self.session.peer_ended(has_left=self._rendezvous.is_removed())
                await self._listen()

    @property
    def _stage(self) -> Stage:
        return self.session.machine.stage

    def _on_loop_iteration(self) -> None:
        """Record the iteration of the event loop, report usage, and abort the link to a peer that stopped reading."""
        now = self._last_iteration_at = self._clock.now()
        if self._writer is None:
            return
        if self.session.send_usage():
            self._unsent_since = None
        elif self._unsent_since is None:
            self._unsent_since = now
        if self._unsent_since is not None and now > self._unsent_since + STUCK_TIMEOUT_S:
            self._counters.add("handover.peer_not_reading")
            self._writer.transport.abort()

    def _attach(self, writer: asyncio.StreamWriter) -> None:
        """Make the session send through a connection."""

        def send(data: bytes) -> Delivery:
            if not writer.transport.is_closing():
                writer.write(data)
            if writer.transport.is_closing():  # possibly closed by the write above
                return Delivery.LINK_CLOSED
            return Delivery.BUFFERED if writer.transport.get_write_buffer_size() else Delivery.IN_KERNEL

        self._writer = writer
        self.session.send = send
        self._unsent_since = None
        self.session.link_opened()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _listen(self) -> None:
        """Listen for a successor. After a failure the node serves, but a successor cannot connect to it."""
        try:
            await self._rendezvous.listen(self._handle_connection)
        except OSError as error:
            self._log.event("handover.rendezvous_unavailable", why=error.strerror or str(error))

    # Successor:

    async def _take_over(self) -> None:
        """Retry until the predecessor has handed over or ended; serve beside it while uncoordinated."""
        while True:
            self.session.recall_intent()
            await self._try_take_over()
            if self._stage in (Stage.TAKEN_OVER, Stage.ALONE):
                return
            if self._stage is Stage.UNCOORDINATED:
                await self.start_serving()
                self._is_serving = True
            await asyncio.sleep(RETRY_DELAY_S)
            if not self._rendezvous.has_listener():
                self.session.peer_ended()
                return

    async def _try_take_over(self) -> None:
        """Attempt one hand-over, from HELLO to YOURS or the end of the link."""
        loop = asyncio.get_running_loop()
        machine = self.session.machine
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            self._rendezvous.connect(sock)
            await loop.sock_sendall(sock, encode(Hello(PROTOCOL_VERSION, self._is_serving)))
        except OSError:
            sock.close()
            return
        machine.apply(Event.HELLO_SENT, self._clock.now())
        frames = FrameReader()
        try:
            async with asyncio.timeout_at(loop.time() + machine.deadline - self._clock.now()):
                data, sockets = await self._receive_sockets(sock)
            frames.feed(data)
            for old_socket in self.sockets:
                old_socket.close()
            self.sockets = sockets
            reader, writer = await open_stream(sock)
        except (OSError, TimeoutError, ProtocolError) as error:
            sock.close()
            self._log.event("handover.connect_failed", why=str(error) or "the predecessor did not answer HELLO in time")
            self.session.predecessor_lost(self._rendezvous.has_listener())
            return
        self._attach(writer)
        receiving = self._spawn(self._receive_from_predecessor(reader, frames))  # until the link ends
        while not receiving.done() and self._stage is not Stage.TAKEN_OVER:
            await asyncio.wait([receiving], timeout=USAGE_INTERVAL_S)
            self._on_loop_iteration()
            if self._clock.now() > machine.deadline:
                self._log.event("handover.stalled", stage=self._stage.value)
                writer.transport.abort()
                await receiving

    async def _receive_sockets(self, sock: socket.socket) -> tuple[bytes, list[socket.socket]]:
        """Return the predecessor's first bytes and the sockets that are attached to them."""
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(sock, readable.set)
        try:
            await readable.wait()
        finally:
            loop.remove_reader(sock)
        data, descriptors, _, _ = socket.recv_fds(sock, READ_BYTES, MAX_SOCKETS)
        if not data:
            raise ProtocolError("the predecessor closed the connection without an answer to HELLO")
        return data, [socket.socket(fileno=descriptor) for descriptor in descriptors]

    async def _receive_from_predecessor(self, reader: asyncio.StreamReader, frames: FrameReader) -> None:
        """Receive from the predecessor until the link ends or the hand-over is rejected, then update the session."""
        rejection: Rejection | None = None
        are_frames_lost = False
        try:
            rejection = await self._receive_until_rejected(reader, frames)
        except ProtocolError as error:
            are_frames_lost = True
            self._log.event("handover.link_broken", why=str(error))
        finally:
            if self._writer is not None:
                self._writer.transport.abort()
            self._writer = None
            if rejection is not None:
                self.session.rejected(rejection.is_busy)
                self._counters.add("handover.rejected")
            else:
                is_alive = self._stage is not Stage.TAKEN_OVER and self._rendezvous.has_listener()
                self.session.predecessor_lost(is_alive, are_frames_lost)
            self._log.event("handover.predecessor_lost", stage=self._stage.value)

    async def _receive_until_rejected(self, reader: asyncio.StreamReader, frames: FrameReader) -> Rejection | None:
        """Pass frames to the session; return the predecessor's rejection, or None at the end of the stream."""
        while True:
            while (frame := frames.next()) is not None:
                if frame.verb == "NO":
                    rejection = decode(frame)
                    assert isinstance(rejection, Rejection)
                    return rejection
                self.session.receive(frame)
            data = await reader.read(READ_BYTES)
            if not data:
                return None
            frames.feed(data)

    # Predecessor:

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle a connection from a successor, or one that only checks whether a process listens."""
        frames = FrameReader()
        is_successor = False
        are_frames_lost = False
        try:
            while data := await reader.read(READ_BYTES):
                frames.feed(data)
                while (frame := frames.next()) is not None:
                    if is_successor:
                        self.session.receive(frame)
                        continue
                    is_successor = self._accept(frame, writer)
                    if not is_successor:
                        return
        except (OSError, ProtocolError) as error:
            are_frames_lost = True
            self._log.event("handover.link_broken", why=str(error))
        finally:
            writer.transport.abort()
            if is_successor and not self._is_closing:
                await self._successor_lost(are_frames_lost)

    def _accept(self, frame: Frame, writer: asyncio.StreamWriter) -> bool:
        """Start the hand-over to a peer that sent this frame first; return false if the peer is rejected."""
        if not is_compatible_hello(frame):
            writer.write(encode(Rejection("another version", version=PROTOCOL_VERSION)))
            return False
        hello = decode(frame)
        assert isinstance(hello, Hello)
        if not self.session.accept_successor(hello.is_serving):
            writer.write(encode(Rejection("another successor, or the node is leaving", is_busy=True)))
            return False
        self._counters.add("handover.successors")
        self._log.event("handover.successor_connected")
        # Streams cannot transfer sockets, so a duplicate descriptor of the link sends them with the first bytes.
        try:
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as link:
                sockets = [sock.fileno() for sock in self._listeners()]
                socket.send_fds(link, [encode(HandoverAccepted(PROTOCOL_VERSION))], sockets)
        except OSError:  # the successor has closed the link, for example after a timeout while this process was stopped
            self.session.successor_lost(False, 0.0)
            raise
        self._attach(writer)
        self._spawn(self._send_keys(writer))
        return True

    async def _send_keys(self, writer: asyncio.StreamWriter) -> None:
        """Send all records to a successor at the rate at which it reads, then SYNCED."""
        with contextlib.suppress(OSError):
            for data in self.session.record_frames():
                writer.write(data)
                if writer.transport.get_write_buffer_size():
                    await writer.drain()
            while writer.transport.get_write_buffer_size() and not writer.transport.is_closing():
                await asyncio.sleep(FLUSH_POLL_S)
            if self._writer is writer:  # the link may have been replaced by the link to a later successor
                self.session.keys_sent()

    async def _successor_lost(self, are_frames_lost: bool) -> None:
        """Process the end of the link to the successor."""
        self._writer = None
        # A process that has yielded keeps listening; otherwise a successor that has not received YOURS would treat the
        # process as dead. A successor that serves has replaced the socket file with its own.
        is_alive = not self._rendezvous.owns_path() and self._rendezvous.has_listener()
        loop_stalled_s = self._clock.now() - self._last_iteration_at
        self.session.successor_lost(is_alive, loop_stalled_s, are_frames_lost, self._rendezvous.is_removed())
        self._log.event("handover.successor_lost", stage=self._stage.value)
        if self._stage is Stage.ALONE and not self._rendezvous.owns_path():
            await self._listen()
