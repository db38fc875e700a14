"""Accepting connections under rules, also when there is no descriptor for them.

In place of `asyncio.start_server`, which takes up to a hundred before anybody is asked and stops for a second when
descriptors run out. Here a few are accepted in a turn of the loop, each is judged before anything is built for it,
and one descriptor is kept spare: given up for a moment, it lets a newcomer be told and closed, not left in the
backlog."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, Protocol

from ..counters import Counters
from ..logs import Log
from .addresses import pack

# In one turn of the loop. A connection needs some four turns until it is known to be dead or to speak, so up to four
# times as many places of the table are taken by those that just came.
ACCEPTS = 8
# Connections that may be on their way to being closed, newcomers and those that made room, where no descriptor is
# free for another. They come out of the budget's margin: more would take what others have reserved there.
CLOSING_AT_ONCE = 2
BACKLOG = 4096  # the system caps it; a burst that overflows it waits a second for its SYN to be sent again
AGAIN_AFTER = 0.05  # seconds after which accepting is tried again where nothing tells that it would work
_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
_NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
# The peer has gone, or its network has: accept(2) passes on errors of the new socket. The next one may be well.
_PEER_GONE = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.EPERM,
    errno.EINTR,
)


class Welcome(Enum):
    """What becomes of a newcomer."""

    SERVE = 1
    TELL = 2  # it hears the farewell and is closed in order
    # It is closed without a word a few turns later. Its first request has come by then and lies unread, so the system
    # resets the connection, and an honest peer sends the request again elsewhere. Reset at once, the peer would take
    # the node for dead; told and closed in order, it would count the request as lost.
    DROP = 3


class Share(Enum):
    """Whether others may listen on the same address."""

    NONE = 1
    LATER = 2  # nobody does now; another process of this node may, later
    BESIDE = 3  # another process of this node does


class Gate(Protocol):
    """Who judges newcomers and serves them."""

    def admits(self, address: bytes, short: bool) -> Welcome:
        """What becomes of a newcomer from this address. With `short` the process has no descriptor left but the spare
        one: then only a known one is, for which room is made."""

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Take an admitted connection over."""


class _Endpoint(NamedTuple):
    """What a listening socket is made of and bound to."""

    family: socket.AddressFamily
    kind: socket.SocketKind
    protocol: int
    address: tuple[Any, ...]


async def _resolve(host: str, port: int) -> list[_Endpoint]:
    """The endpoints of a host to listen at, each once. Only a name is looked up in a thread: an address in numbers
    needs no wait, and a start on a busy machine should not depend on a second thread's turn. Raises OSError."""
    flags = socket.AI_PASSIVE | socket.AI_NUMERICHOST
    try:
        found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=flags)
    except socket.gaierror:
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    endpoints = [_Endpoint(family, kind, protocol, address) for family, kind, protocol, _, address in found]
    return list(dict.fromkeys(endpoints))


class Acceptor:
    """One listening address."""

    def __init__(
        self,
        gate: Gate,
        farewell: bytes,
        counters: Counters,
        log: Log,
        has_descriptor: Callable[[int], bool] = lambda dropped: dropped < CLOSING_AT_ONCE,
    ) -> None:
        """`has_descriptor`: whether one more may be accepted now, while so many dropped newcomers still hold theirs."""
        self._gate, self._farewell, self._counters, self._log = gate, farewell, counters, log
        self._has_descriptor = has_descriptor
        self._sockets: list[socket.socket] = []
        self._spare = -1
        self._dropped = 0  # newcomers that were dropped and are not closed yet
        self._halted = False
        self._paused: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int, share: Share = Share.NONE) -> None:
        """Listen on all addresses of a host. Raises OSError."""
        endpoints = await _resolve(host, port)
        try:
            for family, kind, protocol, address in endpoints:
                sock = socket.socket(family, kind, protocol)
                self._sockets.append(sock)
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if share is Share.LATER:
                    # With the option the system would let this process in beside a stranger: ask without it first.
                    with socket.socket(family, kind, protocol) as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(address)
                if share is not Share.NONE:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                if family == socket.AF_INET6:
                    sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
                sock.bind(address)
                sock.listen(BACKLOG)
        except OSError:
            self.close()
            raise
        self._keep_spare()
        self._watch()

    def adopt(self, sockets: list[socket.socket]) -> None:
        """Listen on sockets of another process of this node, beside those that are listened on already."""
        for sock in sockets:
            sock.setblocking(False)
            self._sockets.append(sock)
        if self._spare < 0:
            self._keep_spare()
        self._watch()

    @property
    def sockets(self) -> list[socket.socket]:
        """What is listened on, for a successor."""
        return list(self._sockets)

    def halt(self) -> None:
        """Accept no more, but keep the sockets: what waits in their backlog is another process's."""
        self._halted = True
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)

    def go_on(self) -> None:
        """Accept again."""
        self._halted = False
        self._watch()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return int(self._sockets[0].getsockname()[1])

    def take_rest(self) -> None:
        """Admit all that the system has accepted already: closing the socket would reset it, with what it has sent."""
        for listener in self._sockets if not self._halted else ():
            with contextlib.suppress(OSError):  # the backlog is empty, or no descriptor is left
                for _ in range(BACKLOG):
                    sock, address = listener.accept()
                    self._newcomer(sock, pack(str(address[0])), short=False)

    def close(self) -> None:
        """Listen no more."""
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
        for sock in self._sockets:
            with contextlib.suppress(RuntimeError, ValueError):
                asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._sockets.clear()
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1

    def room(self) -> None:
        """A descriptor has come free: go on at once if accepting had to rest."""
        if self._spare < 0 and self._sockets:
            self._keep_spare()
        if self._paused is not None:
            self._paused.cancel()
            self._again()

    # --- turns ---

    def _watch(self) -> None:
        if self._halted:
            return
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.add_reader(sock, self._readable, sock)

    def _rest(self, counter: str = "admission.rests") -> None:
        """Guards the loop against spinning on a backlog that can't be taken."""
        if self._paused is not None:
            return
        self._counters.add(counter)
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.remove_reader(sock)
        self._paused = loop.call_at(loop.time() + AGAIN_AFTER, self._again)

    def _again(self) -> None:
        self._paused = None
        if self._spare < 0:
            self._keep_spare()
        self._watch()

    def _keep_spare(self) -> None:
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def _readable(self, listener: socket.socket) -> None:
        for _ in range(ACCEPTS):
            if not self._has_descriptor(self._dropped):
                self._rest("admission.waits")
                return
            try:
                sock, address = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if not self._failed(listener, error):
                    return
                continue
            self._newcomer(sock, pack(str(address[0])), short=False)
            if self._paused is not None:
                return

    def _failed(self, listener: socket.socket, error: OSError) -> bool:
        """An accept failed; whether to go on with the next one."""
        if error.errno in _PEER_GONE:
            self._counters.add("admission.aborted")
            return True
        if error.errno in _NO_DESCRIPTOR:
            return self._without_descriptor(listener)
        if error.errno in _NO_MEMORY:
            self._counters.add("admission.no_memory")
        else:
            self._log.event("admission.accept_failed", why=error.strerror or str(error))
        self._rest()
        return False

    def _without_descriptor(self, listener: socket.socket) -> bool:
        """Use the spare descriptor to take one newcomer and tell it; whether to go on."""
        self._counters.add("admission.no_descriptor")
        if self._spare < 0:
            self._rest()
            return False
        os.close(self._spare)
        self._spare = -1
        try:
            sock, address = listener.accept()
        except OSError:  # somebody else took the descriptor, or the newcomer has gone
            self._keep_spare()
            return self._spare >= 0
        self._newcomer(sock, pack(str(address[0])), short=True)
        self._keep_spare()
        return self._spare >= 0

    def _newcomer(self, sock: socket.socket, address: bytes, short: bool) -> None:
        sock.setblocking(False)
        welcome = self._gate.admits(address, short)
        if welcome is Welcome.SERVE:
            self._gate.serve(sock, address)
        elif welcome is Welcome.TELL:
            self.turn_away(sock)
        else:
            self._dropped += 1
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, loop.call_soon, self._drop, sock)

    def _drop(self, sock: socket.socket) -> None:
        sock.close()
        self._dropped -= 1
        self.room()

    def turn_away(self, sock: socket.socket) -> None:
        """Say the farewell and close at once. What came is read first: closing over it would reset the farewell."""
        with contextlib.suppress(OSError):
            sock.send(self._farewell)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(4096)
        sock.close()
