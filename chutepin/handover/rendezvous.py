"""The Unix socket in the file system through which the two processes of a node connect."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path

from ..net.streams import ConnectionHandler
from .connection import start_server

MAX_SOCKET_PATH_BYTES = 100  # Linux accepts 107
BACKLOG = 4


def rendezvous_path(directory: str, node: str, address: str) -> str:
    """Return the path of a node's rendezvous socket, derived from a digest of its name and address."""
    name = hashlib.blake2b(f"{node} {address}".encode(), digest_size=8).hexdigest()
    return str(Path(directory) / f"chutepin-{name}")


@contextlib.contextmanager
def _socket_address(path: str) -> Iterator[str]:
    """Yield the path in a form that is short enough for a Unix socket address."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield path
        return
    directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{os.path.basename(path)}"
    finally:
        os.close(directory)


class Rendezvous:
    """The rendezvous socket of one node, used by one of its processes."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._server: asyncio.Server | None = None
        self._inode = 0  # inode of this process's socket file

    def has_listener(self) -> bool:
        """Return whether a process listens at the path; the stale file of a dead process refuses connections."""
        with socket.socket(socket.AF_UNIX) as sock, _socket_address(self.path) as address:
            sock.setblocking(False)
            try:
                sock.connect(address)
            except BlockingIOError:  # the backlog is full, so a process listens
                return True
            except OSError:
                return False
        return True

    def connect(self, sock: socket.socket) -> None:
        """Connect a Unix socket to the listening process. Raises OSError."""
        with _socket_address(self.path) as address:
            sock.connect(address)

    async def listen(self, handler: ConnectionHandler) -> None:
        """Listen at the path and replace the socket file of any earlier process. Raises OSError."""
        temporary_path = f"{self.path}.{os.getpid()}"
        if self._server is not None:
            self._server.close()
            self._server = None
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path)
        sock = socket.socket(socket.AF_UNIX)
        with _socket_address(temporary_path) as address:
            sock.bind(address)
        os.chmod(temporary_path, 0o600)
        self._server = await start_server(handler, sock, BACKLOG)
        self._inode = os.stat(temporary_path).st_ino
        os.replace(temporary_path, self.path)

    def is_removed(self) -> bool:
        """Return whether there is no file at the path: the last process that listened has ended in order."""
        return not os.path.lexists(self.path)

    def owns_path(self) -> bool:
        """Return whether the file at the path was created by this process."""
        try:
            return self._server is not None and os.stat(self.path).st_ino == self._inode
        except OSError:
            return False

    def close(self) -> None:
        """Stop listening, and remove the file unless another process has replaced it."""
        if self._server is None:
            return
        if self.owns_path():
            with contextlib.suppress(OSError):
                os.unlink(self.path)
        self._server.close()
        self._server = None
