"""The edge of the hand-over: the meeting place in the file system, the link, the passing of sockets."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

from ..clock import Clock
from ..counters import Counters
from ..logs import Log
from ..net.lines import ProtocolError
from .frames import VERSION, Frame, Frames, frame
from .session import HandoverSession
from .state_machine import Stage

USE_EVERY = 0.05  # seconds between tellings of what this process uses
AGAIN_AFTER = 0.3  # seconds between looks at a meeting place whose owner did not hand over
TAKEN = 0.005  # seconds between looks whether the kernel has taken all
STUCK_BY = 2.0  # seconds in which a peer must read what does not fit the kernel's buffer, else it is given up
MAX_SOCKETS = 8  # listening sockets that are passed
MAX_PATH = 100  # bytes of a Unix socket's path; the system takes 107


def rendezvous_path(directory: str, node: str, address: str) -> str:
    """The path at which the processes of one node meet; no other node's is the same."""
    name = hashlib.blake2b(f"{node} {address}".encode(), digest_size=8).hexdigest()
    return str(Path(directory) / f"chutepin-{name}")


@contextlib.contextmanager
def _short(path: str) -> Iterator[str]:
    """The path as a Unix socket's address, which has room for a hundred bytes."""
    if len(os.fsencode(path)) <= MAX_PATH:
        yield path
        return
    directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{os.path.basename(path)}"
    finally:
        os.close(directory)


def answers(path: str) -> bool:
    """Somebody listens at the meeting place. A stale file of a dead process refuses."""
    with socket.socket(socket.AF_UNIX) as sock, _short(path) as address:
        sock.setblocking(False)
        try:
            sock.connect(address)
        except BlockingIOError:  # its backlog is full: it lives
            return True
        except OSError:
            return False
    return True


class Handover:
    """Carries the session over a Unix socket."""

    def __init__(
        self,
        path: str,
        session: HandoverSession,
        listeners: Callable[[], list[socket.socket]],
        clock: Clock,
        counters: Counters,
        log: Log,
    ) -> None:
        """`listeners`: the clients' listening sockets, for a successor."""
        self._path, self.session, self._listeners = path, session, listeners
        self._clock, self._counters, self._log = clock, counters, log
        self.serves: Callable[[], Awaitable[None]]  # has this process accept; may be asked again
        self.expected = answers(path)  # a predecessor lives
        self.sockets: list[socket.socket] = []  # the predecessor's listening sockets
        self._writer: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None
        self._place = 0  # inode of this process's meeting place
        self._stuck_since: float | None = None
        self._turn = clock.now()
        self._leaving = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Meet a predecessor if there is one, serve, and wait for a successor, until cancelled."""
        try:
            if self.expected:
                await self._succeed()
            await self._listen()
            await self.serves()
            looked = 0.0
            while True:
                await asyncio.sleep(USE_EVERY)
                self._look()
                if self._stage is Stage.DISCONNECTED and self._turn > looked + AGAIN_AFTER:
                    looked = self._turn
                    if not answers(self._path):
                        self.session.gone()
                        await self._listen()
        finally:
            self._leaving = True
            if self._writer is not None:
                self._writer.close()  # what is in the buffer still goes out where the loop goes on
            self._forget_place()

    @property
    def _stage(self) -> Stage:
        return self.session.machine.stage

    def _look(self) -> None:
        """What must be done now and then."""
        now = self._turn = self._clock.now()
        if self._writer is None:
            return
        self._stuck_since = None if self.session.tell_use() else self._stuck_since or now
        if self._stuck_since is not None and now > self._stuck_since + STUCK_BY:
            self._counters.add("handover.stuck")
            self._writer.transport.abort()

    def _linked(self, writer: asyncio.StreamWriter) -> None:
        """A link stands: the session may write."""

        def send(data: bytes) -> bool | None:
            if not writer.transport.is_closing():
                writer.write(data)
            if writer.transport.is_closing():  # also by this very write
                return None
            return writer.transport.get_write_buffer_size() == 0

        self._writer, self.session.send, self._stuck_since = writer, send, None

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # --- the meeting place ---

    async def _listen(self) -> None:
        """Be found at the meeting place, in place of whoever was before."""
        fresh = f"{self._path}.{os.getpid()}"
        if self._server is not None:
            self._server.close()
            self._server = None
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(fresh)
            sock = socket.socket(socket.AF_UNIX)
            with _short(fresh) as address:
                sock.bind(address)
            os.chmod(fresh, 0o600)
            self._server = await asyncio.start_unix_server(self._met, sock=sock, backlog=4)
            self._place = os.stat(fresh).st_ino
            os.replace(fresh, self._path)
        except OSError as error:  # the node serves without: the next upgrade will not find it
            self._log.event("handover.no_meeting_place", why=error.strerror or str(error))

    def _found(self) -> bool:
        """The file at the meeting place is this process's."""
        try:
            return self._server is not None and os.stat(self._path).st_ino == self._place
        except OSError:
            return False

    def _forget_place(self) -> None:
        """Be found no more. The file goes unless another process has put its own there."""
        if self._server is not None:
            if self._found():
                with contextlib.suppress(OSError):
                    os.unlink(self._path)
            self._server.close()
            self._server = None

    # --- the newer process ---

    async def _succeed(self) -> None:
        """Meet the predecessor until it has handed over or gone. Apart from it, serve meanwhile."""
        while True:
            await self._meet()
            if self._stage in (Stage.TAKEN_OVER, Stage.ALONE):
                return
            if self._stage is Stage.UNCOORDINATED:
                await self.serves()
            await asyncio.sleep(AGAIN_AFTER)
            if not answers(self._path):
                self.session.gone()
                return

    async def _meet(self) -> None:
        """One meeting, from HELLO to YOURS or the end of the link."""
        loop, machine = asyncio.get_running_loop(), self.session.machine
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            with _short(self._path) as address:
                sock.connect(address)
            await loop.sock_sendall(sock, frame("HELLO", version=VERSION))
        except OSError:
            sock.close()
            return
        machine.met(self._clock.now())
        frames = Frames()
        try:
            async with asyncio.timeout_at(loop.time() + machine.by - self._clock.now()):
                data, sockets = await self._first(sock)
            frames.feed(data)
            for old in self.sockets:
                old.close()
            self.sockets = sockets
            reader, writer = await asyncio.open_connection(sock=sock)
        except (OSError, TimeoutError, ProtocolError) as error:
            sock.close()
            self._log.event("handover.not_met", why=str(error) or "no answer in time")
            self.session.lost(answers(self._path))
            return
        self._linked(writer)
        following = self._spawn(self._follow(reader, frames))  # until the predecessor ends
        while not following.done() and self._stage is not Stage.TAKEN_OVER:
            await asyncio.wait([following], timeout=USE_EVERY)
            self._look()
            if self._clock.now() > machine.by:
                self._log.event("handover.stalled", stage=self._stage.value)
                writer.transport.abort()
                await following

    async def _first(self, sock: socket.socket) -> tuple[bytes, list[socket.socket]]:
        """What the predecessor says first, with the sockets that it passes."""
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(sock, readable.set)
        try:
            await readable.wait()
        finally:
            loop.remove_reader(sock)
        data, numbers, _, _ = socket.recv_fds(sock, 65536, MAX_SOCKETS)
        if not data:
            raise ProtocolError("closed without a word")
        return data, [socket.socket(fileno=number) for number in numbers]

    async def _follow(self, reader: asyncio.StreamReader, frames: Frames) -> None:
        """Hear the predecessor until the link ends."""
        refused = False
        try:
            while not refused:
                while not refused and (message := frames.next()) is not None:
                    if message[0] == "NO":
                        refused = True
                        self.session.machine.turned_away(self._clock.now(), bool(message[1].get("busy")))
                    else:
                        self.session.hear(message)
                if not refused:
                    data = await reader.read(65536)
                    if not data:
                        break
                    frames.feed(data)
        except (OSError, ProtocolError) as error:
            self._log.event("handover.broken", why=str(error))
        finally:
            if self._writer is not None:
                self._writer.transport.abort()
            self._writer = None
            if refused:
                self.session.send = None
                self._counters.add("handover.refused")
            else:
                self.session.lost(self._stage is not Stage.TAKEN_OVER and answers(self._path))
            self._log.event("handover.predecessor_gone", stage=self._stage.value)

    # --- the older process ---

    async def _met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Somebody came to the meeting place: a successor, or a look whether anybody is there."""
        frames, mine = Frames(), False
        try:
            while data := await reader.read(65536):
                frames.feed(data)
                while (message := frames.next()) is not None:
                    if mine:
                        self.session.hear(message)
                    elif not (mine := self._hello(message, writer)):
                        return
        except (OSError, ProtocolError) as error:
            self._log.event("handover.broken", why=str(error))
        finally:
            writer.transport.abort()
            if mine and not self._leaving:
                await self._left()

    def _hello(self, message: Frame, writer: asyncio.StreamWriter) -> bool:
        """Begin to tell a successor all; false where it is turned away."""
        verb, fields = message
        if verb != "HELLO" or fields.get("version") != VERSION:
            writer.write(frame("NO", why="another version", version=VERSION))
            return False
        if not self.session.machine.joined():
            writer.write(frame("NO", why="another successor", busy=True))
            return False
        self._counters.add("handover.successors")
        self._log.event("handover.successor")
        # The sockets go with the first bytes; a second descriptor of the link's, as streams can't pass any.
        try:
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as link:
                socket.send_fds(link, [frame("HERE", version=VERSION)], [s.fileno() for s in self._listeners()])
        except OSError:  # it has gone already, as one does that waited in vain for a process that stood still
            self.session.left(False, 0.0)
            raise
        self._linked(writer)
        self._spawn(self._tell(writer))
        return True

    async def _tell(self, writer: asyncio.StreamWriter) -> None:
        """Tell a successor all keys, no more at a time than it reads."""
        with contextlib.suppress(OSError):
            for data in self.session.snapshot():
                writer.write(data)
                if writer.transport.get_write_buffer_size():
                    await writer.drain()
            while writer.transport.get_write_buffer_size() and not writer.transport.is_closing():
                await asyncio.sleep(TAKEN)
            if self._writer is writer:  # not of a successor that came after the one that this was for
                self.session.synced()

    async def _left(self) -> None:
        """The link to the successor is gone."""
        self._writer = None
        # A process that has yielded still answers there, lest a successor that did not hear of it takes it for dead;
        # who serves in its place has put its own file there.
        self.session.left(not self._found() and answers(self._path), self._clock.now() - self._turn)
        self._log.event("handover.successor_gone", stage=self._stage.value)
        if self._stage is Stage.ALONE and not self._found():
            await self._listen()
