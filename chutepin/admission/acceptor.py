"""Accepts connections under rules, also when there is no file descriptor for them.

In place of `asyncio.start_server`, which accepts up to a hundred connections before any rule is asked, and pauses for
a second when descriptors run out. Here a few are accepted in one iteration of the event loop, and each is judged before
anything is allocated for it. One spare descriptor is kept: given up for a moment, it lets a new connection be rejected
in order instead of waiting in the backlog."""

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
from .addresses import pack_address

# In one iteration of the loop. It takes some four iterations until a connection is known to be dead or sends data, so
# up to four times as many places of the table are taken by connections that were just accepted.
MAX_ACCEPTS_PER_ITERATION = 8
# Connections that may be closing, dropped and evicted ones, while no descriptor is free. They come out of the budget's
# margin: more would take what others have reserved there.
MAX_CLOSING = 2
BACKLOG = 4096  # the system caps it; a burst that overflows it waits a second until its SYN is sent again
RETRY_DELAY_S = 0.05  # after which accepting is tried again if nothing announces that it would work
FAREWELL_READ_BYTES = 4096
_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
_NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
# The peer or its network is gone: accept(2) passes on errors of the new socket. The next connection may work.
_PEER_DISCONNECTED = (
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


class AcceptDecision(Enum):
    """What is done with a new connection."""

    SERVE = 1
    REJECT = 2  # rejected: the farewell is sent, and it is closed in order
    # It is closed without a farewell a few iterations later. Its first request has arrived by then and is unread, so
    # the system resets the connection, and an honest peer sends the request again elsewhere. After an immediate reset
    # the peer would consider the node dead; after a farewell and a close in order it would count the request as lost.
    DROP = 3


class AddressSharing(Enum):
    """Whether others may listen on the same address."""

    NONE = 1
    LATER = 2  # nobody does now; another process of this node may later
    BESIDE = 3  # another process of this node does now


class ConnectionHandler(Protocol):
    """Decides about new connections and serves them."""

    def decide(self, address: bytes, short: bool) -> AcceptDecision:
        """What is done with a new connection from this address.

        With `short` the process has only the spare descriptor left: then only a trusted connection is served, for which
        another is evicted."""

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Take an admitted connection over."""


class _Endpoint(NamedTuple):
    """Parameters of a listening socket, and the address it is bound to."""

    family: socket.AddressFamily
    kind: socket.SocketKind
    protocol: int
    address: tuple[Any, ...]


async def _resolve(host: str, port: int) -> list[_Endpoint]:
    """The endpoints of a host, each once. Raises OSError.

    Only a name is resolved in a thread: a numeric address needs no wait, and a start on a busy machine should not
    depend on the scheduling of a second thread."""
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
        handler: ConnectionHandler,
        farewell: bytes,
        counters: Counters,
        log: Log,
        has_descriptor: Callable[[int], bool] = lambda dropped: dropped < MAX_CLOSING,
    ) -> None:
        """`has_descriptor(dropped)`: whether to accept one more connection while so many dropped ones are open."""
        self._handler = handler
        self._farewell = farewell
        self._counters = counters
        self._log = log
        self._has_descriptor = has_descriptor
        self._sockets: list[socket.socket] = []
        self._spare = -1
        self._dropped = 0  # connections that were dropped and are not closed yet
        self._halted = False
        self._retry: asyncio.TimerHandle | None = None  # accepting is paused until then

    async def listen(self, host: str, port: int, share: AddressSharing = AddressSharing.NONE) -> None:
        """Listen on all addresses of a host. Raises OSError."""
        endpoints = await _resolve(host, port)
        try:
            for family, kind, protocol, address in endpoints:
                sock = socket.socket(family, kind, protocol)
                self._sockets.append(sock)
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if share is AddressSharing.LATER:
                    # With SO_REUSEPORT the address would be shared with an unrelated process: bind without it first.
                    with socket.socket(family, kind, protocol) as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(address)
                if share is not AddressSharing.NONE:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                if family == socket.AF_INET6:
                    sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
                sock.bind(address)
                sock.listen(BACKLOG)
        except OSError:
            self.close()
            raise
        self._open_spare()
        self._add_readers()

    def adopt(self, sockets: list[socket.socket]) -> None:
        """Listen on sockets of another process of this node too."""
        for sock in sockets:
            sock.setblocking(False)
            self._sockets.append(sock)
        if self._spare < 0:
            self._open_spare()
        self._add_readers()

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening sockets, for a successor process."""
        return list(self._sockets)

    def pause(self) -> None:
        """Accept no more, but keep the sockets: another process accepts what waits in their backlog."""
        self._halted = True
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)

    def resume(self) -> None:
        """Accept again."""
        self._halted = False
        self._add_readers()

    @property
    def port(self) -> int:
        """The port of the first listening socket."""
        return int(self._sockets[0].getsockname()[1])

    def accept_backlog(self) -> None:
        """Accept everything in the backlog: closing the listening socket would reset it, with the data it has sent."""
        for listener in self._sockets if not self._halted else ():
            with contextlib.suppress(OSError):  # the backlog is empty, or no descriptor is left
                for _ in range(BACKLOG):
                    sock, address = listener.accept()
                    self._handle_accepted(sock, pack_address(str(address[0])), short=False)

    def close(self) -> None:
        """Stop listening."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        for sock in self._sockets:
            with contextlib.suppress(RuntimeError, ValueError):
                asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._sockets.clear()
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1

    def descriptor_freed(self) -> None:
        """A descriptor was freed: resume accepting if it is paused."""
        if self._spare < 0 and self._sockets:
            self._open_spare()
        if self._retry is not None:
            self._retry.cancel()
            self._resume()

    def _add_readers(self) -> None:
        if self._halted:
            return
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.add_reader(sock, self._accept_some, sock)

    def _pause_briefly(self, counter: str = "admission.rests") -> None:
        """Stop accepting for a while, so that the loop does not spin on a backlog that can't be accepted."""
        if self._retry is not None:
            return
        self._counters.add(counter)
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.remove_reader(sock)
        self._retry = loop.call_at(loop.time() + RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        if self._spare < 0:
            self._open_spare()
        self._add_readers()

    def _open_spare(self) -> None:
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def _accept_some(self, listener: socket.socket) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if not self._has_descriptor(self._dropped):
                self._pause_briefly("admission.waits")
                return
            try:
                sock, address = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if not self._handle_accept_error(listener, error):
                    return
                continue
            self._handle_accepted(sock, pack_address(str(address[0])), short=False)
            if self._retry is not None:
                return

    def _handle_accept_error(self, listener: socket.socket, error: OSError) -> bool:
        """Whether to go on with the next connection after an error of accept."""
        if error.errno in _PEER_DISCONNECTED:
            self._counters.add("admission.aborted")
            return True
        if error.errno in _NO_DESCRIPTOR:
            return self._accept_with_spare(listener)
        if error.errno in _NO_MEMORY:
            self._counters.add("admission.no_memory")
        else:
            self._log.event("admission.accept_failed", why=error.strerror or str(error))
        self._pause_briefly()
        return False

    def _accept_with_spare(self, listener: socket.socket) -> bool:
        """Accept one connection with the spare descriptor; whether to go on."""
        self._counters.add("admission.no_descriptor")
        if self._spare < 0:
            self._pause_briefly()
            return False
        os.close(self._spare)
        self._spare = -1
        try:
            sock, address = listener.accept()
        except OSError:  # another part took the descriptor, or the peer has disconnected
            self._open_spare()
            return self._spare >= 0
        self._handle_accepted(sock, pack_address(str(address[0])), short=True)
        self._open_spare()
        return self._spare >= 0

    def _handle_accepted(self, sock: socket.socket, address: bytes, short: bool) -> None:
        sock.setblocking(False)
        decision = self._handler.decide(address, short)
        if decision is AcceptDecision.SERVE:
            self._handler.serve(sock, address)
        elif decision is AcceptDecision.REJECT:
            self.reject(sock)
        else:
            self._dropped += 1
            loop = asyncio.get_running_loop()
            # Three iterations later: by then the first request of an honest peer has arrived.
            loop.call_soon(loop.call_soon, loop.call_soon, self._close_dropped, sock)

    def _close_dropped(self, sock: socket.socket) -> None:
        sock.close()
        self._dropped -= 1
        self.descriptor_freed()

    def reject(self, sock: socket.socket) -> None:
        """Send the farewell and close, after reading what was received: unread data would cause a reset."""
        with contextlib.suppress(OSError):
            sock.send(self._farewell)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(FAREWELL_READ_BYTES)
        sock.close()
