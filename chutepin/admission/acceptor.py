"""Accepts connections under admission rules, even if no file descriptor is free.

`asyncio.start_server` accepts up to a hundred connections before a rule can apply, and pauses for a second when
descriptors run out. `Acceptor` accepts a few connections per iteration of the event loop, and applies the rules to each
before allocating anything for it. It holds one spare descriptor, which it releases to accept and reject a connection
that would otherwise wait in the backlog."""

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

# Per iteration of the event loop. Detecting that a connection is dead, or receiving its first data, takes about four
# iterations, so newly accepted connections occupy up to four times as many places of the table.
MAX_ACCEPTS_PER_ITERATION = 8
# Limit on dropped and evicted connections that are not closed yet while no descriptor is free. Their descriptors come
# from the budget's margin: more of them would use descriptors reserved for other parts.
MAX_CLOSING = 2
BACKLOG = 4096  # capped by the system; clients whose SYN is dropped on overflow retransmit it after a second
RETRY_DELAY_S = 0.05  # accepting is retried after this delay if no freed descriptor resumes it earlier
REJECT_READ_BYTES = 4096
_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
_NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
# accept(2) reports pending network errors of the new socket: its peer is gone, but the next connection may succeed.
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
    """A decision on a new connection."""

    SERVE = 1
    REJECT = 2  # send the rejection message, then close the connection gracefully
    # Close the connection without a message a few iterations later. By then its first request has arrived and is
    # unread, so the system resets the connection, and a well-behaved client retries the request on another node. After
    # an immediate reset the client would consider the node dead; after a message and a graceful close it would count
    # the request as lost.
    DROP = 3


class AddressSharing(Enum):
    """Sharing of a listening address with other processes."""

    NONE = 1
    PLANNED = 2  # no other process listens now; another process of this node may later
    ACTIVE = 3  # another process of this node listens now


class ConnectionHandler(Protocol):
    """Decides on new connections and serves the admitted ones."""

    def decide(self, address: bytes, only_spare_left: bool) -> AcceptDecision:
        """Decide on a new connection from this address.

        `only_spare_left`: no descriptor is left but the spare one. Then only a trusted client is served, and
        another connection is evicted for it."""

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Take over an admitted connection."""


class _Endpoint(NamedTuple):
    """The parameters of a listening socket and its bind address."""

    family: socket.AddressFamily
    kind: socket.SocketKind
    protocol: int
    address: tuple[Any, ...]


async def _resolve(host: str, port: int) -> list[_Endpoint]:
    """Return the distinct endpoints of a host. Raises OSError.

    Only a host name is resolved in a thread. A numeric address needs no blocking look-up, so that startup on a busy
    machine does not depend on the scheduling of a second thread."""
    flags = socket.AI_PASSIVE | socket.AI_NUMERICHOST
    try:
        results = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=flags)
    except socket.gaierror:
        loop = asyncio.get_running_loop()
        results = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    endpoints = [_Endpoint(family, kind, protocol, address) for family, kind, protocol, _, address in results]
    return list(dict.fromkeys(endpoints))


class Acceptor:
    """Accepts connections on the sockets of one listening address."""

    def __init__(
        self,
        handler: ConnectionHandler,
        rejection_message: bytes,
        counters: Counters,
        log: Log,
        has_descriptor: Callable[[int], bool] = lambda dropped: dropped < MAX_CLOSING,
    ) -> None:
        """`has_descriptor(dropped)` decides whether to accept a connection while `dropped` dropped ones are open."""
        self._handler = handler
        self._rejection_message = rejection_message
        self._counters = counters
        self._log = log
        self._has_descriptor = has_descriptor
        self._sockets: list[socket.socket] = []
        self._spare = -1
        self._dropped = 0  # dropped connections that are not closed yet
        self._paused = False
        self._retry_timer: asyncio.TimerHandle | None = None  # set while accepting is paused

    async def listen(self, host: str, port: int, share: AddressSharing = AddressSharing.NONE) -> None:
        """Listen on all addresses of a host. Raises OSError."""
        endpoints = await _resolve(host, port)
        try:
            for family, kind, protocol, address in endpoints:
                sock = socket.socket(family, kind, protocol)
                self._sockets.append(sock)
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if share is AddressSharing.PLANNED:
                    # SO_REUSEPORT would share the address with an unrelated process: first check by a bind without it.
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
        """Also accept on listening sockets received from another process of this node."""
        for sock in sockets:
            sock.setblocking(False)
            self._sockets.append(sock)
        if self._spare < 0:
            self._open_spare()
        self._add_readers()

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening sockets, to be passed to a successor process."""
        return list(self._sockets)

    def pause(self) -> None:
        """Stop accepting, but keep the sockets open, so that another process can accept from their backlog."""
        self._paused = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)

    def resume(self) -> None:
        """Resume accepting after `pause`."""
        self._paused = False
        self._add_readers()

    @property
    def port(self) -> int:
        """The port of the first listening socket."""
        return int(self._sockets[0].getsockname()[1])

    def accept_backlog(self) -> None:
        """Accept all connections in the backlog, which closing the listening sockets would reset, losing their data.

        Connections for which no descriptor is left are rejected one by one."""
        for listener in self._sockets if not self._paused else ():
            with contextlib.suppress(OSError):  # the backlog is empty or no descriptor is free
                for _ in range(BACKLOG):
                    has_descriptor = self._has_descriptor(self._dropped)
                    sock, address = listener.accept()
                    if not has_descriptor:
                        sock.setblocking(False)
                        self.reject(sock)
                        continue
                    self._handle_accepted(sock, pack_address(str(address[0])), only_spare_left=False)

    def close(self) -> None:
        """Close the listening sockets and the spare descriptor."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        for sock in self._sockets:
            with contextlib.suppress(RuntimeError, ValueError):
                asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._sockets.clear()
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1

    def descriptor_freed(self) -> None:
        """Resume accepting if it is paused, as a descriptor was freed."""
        if self._spare < 0 and self._sockets:
            self._open_spare()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._resume()

    def _add_readers(self) -> None:
        if self._paused:
            return
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.add_reader(sock, self._accept_batch, sock)

    def _pause_briefly(self, counter: str = "admission.rests") -> None:
        """Pause accepting for `RETRY_DELAY_S`, so that the event loop does not spin on a backlog it can't accept."""
        if self._retry_timer is not None:
            return
        self._counters.add(counter)
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.remove_reader(sock)
        self._retry_timer = loop.call_at(loop.time() + RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        if self._spare < 0:
            self._open_spare()
        self._add_readers()

    def _open_spare(self) -> None:
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def _accept_batch(self, listener: socket.socket) -> None:
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
            self._handle_accepted(sock, pack_address(str(address[0])), only_spare_left=False)
            if self._retry_timer is not None:
                return

    def _handle_accept_error(self, listener: socket.socket, error: OSError) -> bool:
        """Handle an error of accept(2); return whether to continue with the next connection."""
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
        """Accept one connection with the spare descriptor; return whether to continue with the next."""
        self._counters.add("admission.no_descriptor")
        if self._spare < 0:
            self._pause_briefly()
            return False
        os.close(self._spare)
        self._spare = -1
        try:
            sock, address = listener.accept()
        except OSError:  # another part of the process took the descriptor, or the peer disconnected
            self._open_spare()
            return self._spare >= 0
        self._handle_accepted(sock, pack_address(str(address[0])), only_spare_left=True)
        self._open_spare()
        return self._spare >= 0

    def _handle_accepted(self, sock: socket.socket, address: bytes, only_spare_left: bool) -> None:
        sock.setblocking(False)
        decision = self._handler.decide(address, only_spare_left)
        if decision is AcceptDecision.SERVE:
            self._handler.serve(sock, address)
        elif decision is AcceptDecision.REJECT:
            self.reject(sock)
        else:
            self._dropped += 1
            loop = asyncio.get_running_loop()
            # Close three iterations later, when the first request of a well-behaved client has arrived.
            loop.call_soon(loop.call_soon, loop.call_soon, self._close_dropped, sock)

    def _close_dropped(self, sock: socket.socket) -> None:
        sock.close()
        self._dropped -= 1
        self.descriptor_freed()

    def reject(self, sock: socket.socket) -> None:
        """Send the rejection message, read received data, and close. Unread data would cause a reset."""
        with contextlib.suppress(OSError):
            sock.send(self._rejection_message)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(REJECT_READ_BYTES)
        sock.close()
