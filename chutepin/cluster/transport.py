"""The edge: datagrams and exchanges over TCP at one address, bounded in number, in work a second and in time.

It decides nothing but what there is no room for. Whatever comes is decoded and given to `deliver`."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ..admission import Acceptor, DescriptorBudget, Share, Welcome
from ..config import Address
from ..counters import Counters
from ..logs import Log
from .detector import Send
from .frames import MAX_DATAGRAM_BYTES, DropReason, FrameError, StreamReader, cluster_id, decode, encode, stream_frame
from .messages import Packet

PART = "cluster"  # in the descriptors of descriptors
OUT = 4  # exchanges that this member begins, at once
MOST_SERVED = 50  # exchanges that others begin, in a second: each may cost milliseconds in a large cluster
BY = 3.0  # seconds in which an exchange must be over
PIECE = 65536  # bytes read at a time
PREFACE = 4  # bytes that tell what a connection is for: the length of a frame, or one of `streams`
READS = 64  # datagrams in a turn of the loop, so that the front has its turn in between
SLICE = 0.05  # seconds
# In a slice: datagrams that are read (3 microseconds each), and of these frames that are unpacked (30 each). A flood
# past that waits in the kernel's buffer and is lost there; the front goes on.
MOST_READ, MOST_UNPACKED = 1000, 200
BUFFER = 2**20  # bytes of the kernel's buffer that are asked for
LOG_EVERY = 1.0  # seconds between log lines of one reason

Deliver = Callable[[Packet, bool], Packet | None]


def numeric(address: str) -> tuple[str, int]:
    """Host and port of an address. Raises ValueError, also for a name: looking it up would hold the loop."""
    host, _, port = address.rpartition(":")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


class Transport:
    """The sockets of one member. It is its own acceptor's gate."""

    def __init__(
        self,
        cluster: str,
        listen: Address,
        deliver: Deliver,
        descriptors: DescriptorBudget,
        counters: Counters,
        log: Log,
    ) -> None:
        """`deliver(packet, stream)` takes in what came; what it gives is the answer to an exchange."""
        self._cluster, self._listen, self._deliver = cluster_id(cluster), listen, deliver
        self._descriptors, self._counters, self._log = descriptors, counters, log
        self._udp: socket.socket | None = None
        self._acceptor = Acceptor(self, b"", counters, log)
        self._tasks: set[asyncio.Task[None]] = set()
        self._out = 0
        self._slice, self._read, self._unpacked = 0.0, 0, 0
        self._second, self._served = 0.0, 0
        self._paused: asyncio.TimerHandle | None = None
        self._logged: dict[str, tuple[float, int]] = {}  # by reason: when it was logged, how many since
        self._open = False
        # What a connection may begin with in place of a frame, and who takes it over then.
        self.streams: dict[bytes, Callable[[socket.socket, bytes], Coroutine[Any, Any, None]]] = {}
        self.overrun = False  # datagrams had to wait since this was last looked at

    # --- sockets ---

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take a predecessor's sockets at this address; the rest."""
        rest = []
        for sock in sockets:
            if sock.getsockname()[:2] != (self._listen.host.strip("[]"), self._listen.port):
                rest.append(sock)
            elif sock.type == socket.SOCK_DGRAM:
                self._udp = sock
                self._descriptors.parts[PART].in_use += 1
            else:
                self._acceptor.halt()
                self._acceptor.adopt([sock])
        return rest

    def sockets(self) -> list[socket.socket]:
        """For a successor."""
        return ([self._udp] if self._udp is not None else []) + self._acceptor.sockets

    async def open(self) -> None:
        """Bind what was not adopted, and take in packets from now on. Raises OSError."""
        host, port = self._listen.host.strip("[]"), self._listen.port
        if self._udp is None:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind((host, port))
            except OSError:
                sock.close()
                raise
            self._udp = sock
            self._descriptors.parts[PART].in_use += 1
        self._udp.setblocking(False)
        with contextlib.suppress(OSError):
            self._udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        if self._acceptor.sockets:
            self._acceptor.go_on()
        else:
            await self._acceptor.listen(host, port, Share.NONE)
        asyncio.get_running_loop().add_reader(self._udp, self._readable)
        self._open = True

    def pause(self) -> None:
        """Read nothing; another process of this node reads the same sockets."""
        if self._open and self._udp is not None:
            asyncio.get_running_loop().remove_reader(self._udp)
            self._acceptor.halt()
            if self._paused is not None:
                self._paused.cancel()
                self._paused = None
        self._open = False

    def close(self) -> None:
        """Free the address."""
        self.pause()
        self._acceptor.close()
        for task in self._tasks:
            task.cancel()
        if self._udp is not None:
            self._udp.close()
            self._udp = None

    # --- datagrams ---

    def _readable(self) -> None:
        now = time.monotonic()
        if now >= self._slice + SLICE:
            self._slice, self._read, self._unpacked = now, 0, 0
        assert self._udp is not None
        for _ in range(READS):
            if not self._open:  # what was delivered has ended this process's part
                return
            if self._read >= MOST_READ or self._unpacked >= MOST_UNPACKED:
                self._rest()
                return
            try:
                data = self._udp.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an error that belongs to an earlier send
                continue
            self._read += 1
            self._counters.add("cluster.bytes_in", len(data))
            self._take(data)

    def _rest(self) -> None:
        """The slice's work is done; what comes waits for the next one."""
        self._counters.add("cluster.overrun")
        self.overrun = True
        loop = asyncio.get_running_loop()
        assert self._udp is not None
        loop.remove_reader(self._udp)
        self._paused = loop.call_later(max(0.0, self._slice + SLICE - time.monotonic()), self._again)

    def _again(self) -> None:
        self._paused = None
        if self._open and self._udp is not None:
            asyncio.get_running_loop().add_reader(self._udp, self._readable)

    def _take(self, data: bytes) -> None:
        try:
            if len(data) > 2 and data[:2] == b"cp":
                self._unpacked += 1
            packet = decode(data, self._cluster, False)
        except FrameError as error:
            self._dropped(error.reason.value)
            return
        self._counters.add("cluster.datagrams_in")
        self._deliver(packet, False)

    def send(self, effect: Send) -> None:
        """Carry out what the detector wants sent."""
        try:
            where = numeric(effect.address)
            if effect.stream:
                self._begin(where, effect.packet)
            elif self._udp is not None:
                data = encode(effect.packet, self._cluster)
                assert len(data) <= MAX_DATAGRAM_BYTES, len(data)
                self._udp.sendto(data, where)
                self._counters.add("cluster.datagrams_out")
                self._counters.add("cluster.bytes_out", len(data))
        except (OSError, ValueError, OverflowError) as error:  # as good as lost; a told address may be nonsense
            self._counters.add("cluster.not_sent")
            self._log_dropped("not_sent", why=str(error))

    def _dropped(self, reason: str) -> None:
        self._counters.add(f"cluster.drop.{reason}")
        self._log_dropped(reason)

    def _log_dropped(self, reason: str, **fields: object) -> None:
        """One line a second for each reason, with how many there were."""
        now = time.monotonic()
        at, count = self._logged.get(reason, (-LOG_EVERY, 0))
        if now < at + LOG_EVERY:
            self._logged[reason] = (at, count + 1)
            return
        self._logged[reason] = (now, 0)
        self._log.event("cluster.dropped", reason=reason, count=count + 1, **fields)

    # --- exchanges over TCP ---

    def admits(self, address: bytes, short: bool) -> Welcome:
        """There is room, beside what this member may begin itself."""
        now = time.monotonic()
        if now >= self._second + 1.0:
            self._second, self._served = now, 0
        if short or self._served >= MOST_SERVED or self._descriptors.available(PART) <= OUT - self._out:
            self._counters.add("cluster.refused_connections")
            return Welcome.DROP
        return Welcome.SERVE

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Answer one exchange."""
        self._served += 1
        self._descriptors.parts[PART].in_use += 1
        self._spawn(sock, self._answer(sock))

    def _begin(self, where: tuple[str, int], packet: Packet) -> None:
        if self._out >= OUT or not self._descriptors.acquire(PART):
            self._counters.add("cluster.not_sent")
            return
        self._out += 1
        sock = socket.socket(socket.AF_INET6 if ":" in where[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self._spawn(sock, self._ask(sock, where, packet)).add_done_callback(self._asked)

    def _asked(self, _: asyncio.Task[None]) -> None:
        self._out -= 1

    def _spawn(self, sock: socket.socket, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            sock.close()
            self._descriptors.release(PART)
            self._acceptor.room()
            self._tasks.discard(task)

        task.add_done_callback(ended)
        return task

    async def _frame(self, sock: socket.socket, begun: bytes = b"") -> Packet:
        """The one frame of the other side; `begun` was read already. Raises FrameError, OSError."""
        reader, data = StreamReader(), begun
        while (frame := reader.feed(data)) is None:
            data = await self._piece(sock)
        return decode(frame, self._cluster, True)

    async def _piece(self, sock: socket.socket) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(sock, PIECE)
        if not data:
            raise FrameError(DropReason.TRUNCATED, "the connection ended within a frame")
        self._counters.add("cluster.stream_bytes_in", len(data))
        return data

    async def _say(self, sock: socket.socket, packet: Packet) -> None:
        """The one frame of this side. Raises OSError."""
        frame = stream_frame(packet, self._cluster)
        await asyncio.get_running_loop().sock_sendall(sock, frame)
        self._counters.add("cluster.stream_bytes_out", len(frame))

    async def _answer(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(loop.time() + BY):
                begun = await self._piece(sock)
                while len(begun) < PREFACE:
                    begun += await self._piece(sock)
            if (other := self.streams.get(begun[:PREFACE])) is not None:
                await other(sock, begun[PREFACE:])
                return
            async with asyncio.timeout_at(loop.time() + BY):
                packet = await self._frame(sock, begun)
                answer = self._deliver(packet, True) if self._open else None
                if answer is not None:
                    await self._say(sock, answer)
        except FrameError as error:
            self._dropped(error.reason.value)
        except (OSError, TimeoutError):
            self._counters.add("cluster.broken_exchanges")

    async def _ask(self, sock: socket.socket, where: tuple[str, int], packet: Packet) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(loop.time() + BY):
                await loop.sock_connect(sock, where)
                await self._say(sock, packet)
                answer = await self._frame(sock)
                if self._open:
                    self._deliver(answer, True)
        except FrameError as error:
            self._dropped(error.reason.value)
        except (OSError, TimeoutError):
            self._counters.add("cluster.broken_exchanges")
