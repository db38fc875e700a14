"""Words between members over TCP: one connection for each direction, from the one who speaks. What does not arrive is
lost, and said again by those who need it.

Each peer has a queue of bounded bytes; one that does not read costs its own queue only."""

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
from .codec import PREFACE, CodecError, Hello, Reader, Said, encode
from .identity import plain

MAX_QUEUE = 2**20  # bytes for one peer
MOST_PEERS = 80
BY = 3.0  # seconds in which a connection must stand, and one piece must have left
IDLE = 30.0  # seconds after which a connection that nobody needs is closed; the other side waits twice as long
AGAIN = 0.2  # seconds between tries
PIECE = 65536

Handler = Callable[[socket.socket, bytes], Coroutine[object, object, None]]


class Links(Protocol):
    """What is needed of the cluster."""

    @property
    def cluster(self) -> str:
        """The cluster's name."""

    def address(self, name: str) -> str | None:
        """Where a member is dialled."""

    def alive(self) -> list[str]:
        """Members that live."""

    def add_stream_handler(self, preface: bytes, handler: Handler) -> None:
        """Who takes over connections that begin so."""


class _Peer:
    """What is to be said to one member."""

    def __init__(self) -> None:
        self.frames: deque[bytes] = deque()
        self.size = 0
        self.more = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def clear(self) -> None:
        self.frames.clear()
        self.size = 0


class Wire:
    """All connections of one member."""

    def __init__(
        self,
        links: Links,
        hello: Callable[[str], Hello],
        deliver: Callable[[Hello, Said], None],
        descriptors: DescriptorBudget,
        counters: Counters,
    ) -> None:
        """`hello` is what a connection to a member begins with; `deliver` takes a word and who said it."""
        self._links, self._hello, self._deliver = links, hello, deliver
        self._descriptors, self._counters = descriptors, counters
        self._peers: dict[str, _Peer] = {}
        self._open = True
        links.add_stream_handler(PREFACE, self._serve)

    def send(self, to: str, word: Said) -> None:
        """Say something, if there is room; `to` is an identity."""
        name = plain(to)
        peer = self._peers.get(name)
        if peer is None:
            if len(self._peers) >= MOST_PEERS or not self._open:
                self._counters.add("agree.no_peer")
                return
            peer = self._peers[name] = _Peer()
        frame = encode(word)
        if peer.size + len(frame) > MAX_QUEUE:
            self._counters.add("agree.queue_full")
            return
        peer.frames.append(frame)
        peer.size += len(frame)
        peer.more.set()
        self._counters.add("agree.words_out")
        if peer.task is None:
            peer.task = asyncio.get_running_loop().create_task(self._speak(name, peer))
            peer.task.add_done_callback(lambda _: self._peers.pop(name, None))

    def renew(self) -> None:
        """Speak as somebody else from now on: all connections begin anew."""
        for peer in self._peers.values():
            if peer.task is not None:
                peer.task.cancel()
        self._peers = {}

    def close(self) -> None:
        """Say no more."""
        self._open = False
        self.renew()

    async def _speak(self, name: str, peer: _Peer) -> None:
        """Say all that is to be said to one member, as long as there is something."""
        while peer.frames or await self._waited(peer):
            if not self._descriptors.acquire(DESCRIPTOR_SHARE):
                self._counters.add("agree.no_descriptor")
                peer.clear()
                await asyncio.sleep(AGAIN)
                continue
            try:
                await self._connected(name, peer)
                continue
            except (OSError, AddressError, ValueError, TimeoutError):  # also an address that is none
                self._counters.add("agree.broken")
            finally:
                self._descriptors.release(DESCRIPTOR_SHARE)
            peer.clear()  # what was on its way may be lost, so what stands behind it is old
            await asyncio.sleep(AGAIN)

    async def _waited(self, peer: _Peer) -> bool:
        """Wait for something to say; false where nothing came for long."""
        peer.more.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + IDLE):
                await peer.more.wait()
        return bool(peer.frames)

    async def _connected(self, name: str, peer: _Peer) -> None:
        loop = asyncio.get_running_loop()
        host, port = parse_address(self._links.address(name) or "")
        with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout_at(loop.time() + BY):
                await loop.sock_connect(sock, (host, port))
                await loop.sock_sendall(sock, PREFACE + encode(self._hello(name)))
            # They say nothing here, so this ends when they are gone: a word for the connection's dead end would be
            # lost without an error, and with a voter's first question an election.
            gone = loop.create_task(loop.sock_recv(sock, 1))
            gone.add_done_callback(lambda _: peer.more.set())
            try:
                while (peer.frames or await self._waited(peer)) and not gone.done():
                    await self._say(sock, peer)
            finally:
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)  # before the descriptor is another one's

    async def _say(self, sock: socket.socket, peer: _Peer) -> None:
        loop, data = asyncio.get_running_loop(), bytearray()
        while peer.frames and len(data) < PIECE:
            data += peer.frames.popleft()
        peer.size -= len(data)
        async with asyncio.timeout_at(loop.time() + BY):
            await loop.sock_sendall(sock, data)

    async def _serve(self, sock: socket.socket, begun: bytes) -> None:
        """Take in what a member says; the cluster's transport closes the connection."""
        loop, reader, hello, data = asyncio.get_running_loop(), Reader(), None, begun
        try:
            while self._open:
                for word in reader.feed(data) if data else ():
                    if hello is None:
                        hello = self._welcome(word)
                    else:
                        self._counters.add("agree.words_in")
                        self._deliver(hello, word)
                async with asyncio.timeout_at(loop.time() + (2 * IDLE if hello is not None else BY)):
                    data = await loop.sock_recv(sock, PIECE)
                if not data:
                    return
        except CodecError as error:
            self._counters.add(f"agree.drop.{error}")
        except (OSError, TimeoutError):
            self._counters.add("agree.broken_in")

    def _welcome(self, word: Said) -> Hello:
        if not isinstance(word, Hello):
            raise CodecError("no_hello")
        mine = self._hello("")
        if word.cluster != self._links.cluster:
            raise CodecError("cluster")
        if word.to != mine.name or word.name == mine.name or plain(word.identity) != word.name:
            raise CodecError("misdirected")
        return word


def now() -> float:
    """The clock of the log: it does not run backwards."""
    return time.monotonic()
