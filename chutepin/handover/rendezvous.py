"""The Unix socket in the file system at which the processes of one node meet."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

MAX_SOCKET_PATH_BYTES = 100  # the system takes 107
BACKLOG = 4

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def rendezvous_path(directory: str, node: str, address: str) -> str:
    """Return the path at which the processes of one node meet; no other node's is the same."""
    name = hashlib.blake2b(f"{node} {address}".encode(), digest_size=8).hexdigest()
    return str(Path(directory) / f"chutepin-{name}")


@contextlib.contextmanager
def _socket_address(path: str) -> Iterator[str]:
    """Yield the path in a form that fits a Unix socket's address."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield path
        return
    directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{os.path.basename(path)}"
    finally:
        os.close(directory)


class Rendezvous:
    """The rendezvous socket of one node, as one of its processes uses it."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._server: asyncio.Server | None = None
        self._inode = 0  # of this process's socket file

    def has_listener(self) -> bool:
        """Somebody listens there. The stale file of a dead process refuses connections."""
        with socket.socket(socket.AF_UNIX) as sock, _socket_address(self.path) as address:
            sock.setblocking(False)
            try:
                sock.connect(address)
            except BlockingIOError:  # its backlog is full: it lives
                return True
            except OSError:
                return False
        return True

    def connect(self, sock: socket.socket) -> None:
        """Connect a Unix socket to whoever listens. Raises OSError."""
        with _socket_address(self.path) as address:
            sock.connect(address)

    async def listen(self, handler: ConnectionHandler) -> None:
        """Listen there, in place of whoever did before. Raises OSError."""
        own_path = f"{self.path}.{os.getpid()}"
        if self._server is not None:
            self._server.close()
            self._server = None
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own_path)
        sock = socket.socket(socket.AF_UNIX)
        with _socket_address(own_path) as address:
            sock.bind(address)
        os.chmod(own_path, 0o600)
        self._server = await asyncio.start_unix_server(handler, sock=sock, backlog=BACKLOG)
        self._inode = os.stat(own_path).st_ino
        os.replace(own_path, self.path)

    def is_own(self) -> bool:
        """The file at the path is this process's."""
        try:
            return self._server is not None and os.stat(self.path).st_ino == self._inode
        except OSError:
            return False

    def close(self) -> None:
        """Stop listening. The file goes unless another process has put its own there."""
        if self._server is None:
            return
        if self.is_own():
            with contextlib.suppress(OSError):
                os.unlink(self.path)
        self._server.close()
        self._server = None
