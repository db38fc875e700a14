"""Transport of consensus messages over TCP: one connection per direction, opened by the sender.

Delivery is not guaranteed; the protocols above send again what they need. The queue of each peer is bounded, so a peer
that does not read only fills its own queue."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Protocol

from ..admission import DescriptorBudget
from ..cluster.addresses import AddressError, parse_address
from ..cluster.streams import DESCRIPTOR_SHARE
from ..counters import Counters
from .codec import PREFACE, FrameReader, Hello, WireMessage, encode
from .errors import CodecError
from .identity import node_name

MAX_QUEUE_BYTES = 2**20  # limit of the queue of one peer
MAX_PEERS = 80
IO_TIMEOUT_S = 3.0  # limit for connecting, and for sending one chunk
IDLE_TIMEOUT_S = 30.0  # the sender closes an unused connection after this, the receiver after twice this
RECONNECT_DELAY_S = 0.2
CHUNK_BYTES = 65536

Handler = Callable[[socket.socket, bytes], Coroutine[object, object, None]]


class ClusterLinks(Protocol):
    """The functions of the cluster that the transport requires."""

    @property
    def cluster(self) -> str:
        """The cluster's name."""

    def address(self, name: str) -> str | None:
        """Return the address of a node; None if unknown."""

    def alive(self) -> list[str]:
        """Return the names of the live nodes."""

    def add_stream_handler(self, preface: bytes, handler: Handler) -> None:
        """Register the handler of connections that begin with `preface`."""


class _Peer:
    """The queued frames for one node and the task that sends them."""

    def __init__(self) -> None:
        self.frames: deque[bytes] = deque()
        self.size_bytes = 0
        self.has_frames = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def clear(self) -> None:
        self.frames.clear()
        self.size_bytes = 0


class Transport:
    """The consensus connections of one node."""

    def __init__(
        self,
        links: ClusterLinks,
        hello: Callable[[str], Hello],
        deliver: Callable[[Hello, WireMessage], None],
        descriptors: DescriptorBudget,
        counters: Counters,
    ) -> None:
        """Register for incoming connections.

        `hello` returns the first message of a connection to a node; `deliver` is called with the sender's Hello and
        each received message."""
        self._links = links
        self._hello = hello
        self._deliver = deliver
        self._descriptors = descriptors
        self._counters = counters
        self._peers: dict[str, _Peer] = {}
        self._open = True
        links.add_stream_handler(PREFACE, self._serve)

    def send(self, to: str, message: WireMessage) -> None:
        """Queue a message for the node of an identity; the message is dropped if a limit is reached."""
        name = node_name(to)
        peer = self._peers.get(name)
        if peer is None:
            if len(self._peers) >= MAX_PEERS or not self._open:
                self._counters.add("consensus.peer_limit")
                return
            peer = self._peers[name] = _Peer()
        frame = encode(message)
        if peer.size_bytes + len(frame) > MAX_QUEUE_BYTES:
            self._counters.add("consensus.queue_full")
            return
        peer.frames.append(frame)
        peer.size_bytes += len(frame)
        peer.has_frames.set()
        self._counters.add("consensus.messages_sent")
        if peer.task is None:
            peer.task = asyncio.get_running_loop().create_task(self._run_sender(name, peer))
            peer.task.add_done_callback(lambda _: self._peers.pop(name, None))

    def reconnect(self) -> None:
        """Close all outgoing connections, so that new ones begin with the node's new identity."""
        for peer in self._peers.values():
            if peer.task is not None:
                peer.task.cancel()
        self._peers = {}

    def close(self) -> None:
        """Stop sending and receiving."""
        self._open = False
        self.reconnect()

    async def _run_sender(self, name: str, peer: _Peer) -> None:
        """Send the queued frames to one node; return after IDLE_TIMEOUT_S without frames."""
        while peer.frames or await self._wait_for_frames(peer):
            if not self._descriptors.acquire(DESCRIPTOR_SHARE):
                self._counters.add("consensus.no_descriptor")
                peer.clear()
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._run_connection(name, peer)
                continue
            except (OSError, AddressError, ValueError, TimeoutError):  # also raised for an invalid address
                self._counters.add("consensus.send_failed")
            finally:
                self._descriptors.release(DESCRIPTOR_SHARE)
            peer.clear()  # frames in flight may be lost, so the frames after them are outdated
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _wait_for_frames(self, peer: _Peer) -> bool:
        """Wait up to IDLE_TIMEOUT_S for a frame to send; return whether there is one."""
        peer.has_frames.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S):
                await peer.has_frames.wait()
        return bool(peer.frames)

    async def _run_connection(self, name: str, peer: _Peer) -> None:
        loop = asyncio.get_running_loop()
        host, port = parse_address(self._links.address(name) or "")
        with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout_at(loop.time() + IO_TIMEOUT_S):
                await loop.sock_connect(sock, (host, port))
                await loop.sock_sendall(sock, PREFACE + encode(self._hello(name)))
            # The receiver sends nothing, so this read completes only when the receiver has closed the connection.
            # Otherwise a message on a dead connection would be lost without an error; if that is the first vote
            # request of a voter, the election fails.
            closed = loop.create_task(loop.sock_recv(sock, 1))
            closed.add_done_callback(lambda _: peer.has_frames.set())
            try:
                while (peer.frames or await self._wait_for_frames(peer)) and not closed.done():
                    await self._send_frames(sock, peer)
            finally:
                closed.cancel()
                # Wait for the cancellation before the descriptor is closed and its number is reused by another socket.
                await asyncio.gather(closed, return_exceptions=True)

    async def _send_frames(self, sock: socket.socket, peer: _Peer) -> None:
        loop = asyncio.get_running_loop()
        data = bytearray()
        while peer.frames and len(data) < CHUNK_BYTES:
            data += peer.frames.popleft()
        peer.size_bytes -= len(data)
        async with asyncio.timeout_at(loop.time() + IO_TIMEOUT_S):
            await loop.sock_sendall(sock, data)

    async def _serve(self, sock: socket.socket, first_bytes: bytes) -> None:
        """Receive messages on one connection, which the cluster's transport closes afterwards."""
        loop = asyncio.get_running_loop()
        reader = FrameReader()
        hello: Hello | None = None
        data = first_bytes
        try:
            while self._open:
                for message in reader.feed(data) if data else ():
                    if hello is None:
                        hello = self._check_hello(message)
                    else:
                        self._counters.add("consensus.messages_received")
                        self._deliver(hello, message)
                timeout_s = 2 * IDLE_TIMEOUT_S if hello is not None else IO_TIMEOUT_S
                async with asyncio.timeout_at(loop.time() + timeout_s):
                    data = await loop.sock_recv(sock, CHUNK_BYTES)
                if not data:
                    return
        except CodecError as error:
            self._counters.add(f"consensus.invalid.{error}")
        except (OSError, TimeoutError):
            self._counters.add("consensus.receive_failed")

    def _check_hello(self, message: WireMessage) -> Hello:
        """Validate the first message of a connection and return it. Raises CodecError."""
        if not isinstance(message, Hello):
            raise CodecError("no_hello")
        own = self._hello("")
        if message.cluster != self._links.cluster:
            raise CodecError("cluster")
        if message.to != own.name or message.name == own.name or node_name(message.identity) != message.name:
            raise CodecError("misdirected")
        return message


def now() -> float:
    """Return the time of the monotonic clock used by the consensus package."""
    return time.monotonic()
