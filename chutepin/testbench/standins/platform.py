"""Stand-ins for the peers of a node: executor, records service, control plane, balancer.

They use loopback sockets. Tests and the demo share them: without further calls they serve every request, and tests
inject faults through their attributes and methods."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import IO, Any

from chutepin.net.lines import LineParser, line
from chutepin.net.resp import RespParser, array
from chutepin.testbench.signals import kill, send_signal

ROOT = Path(__file__).parents[3]
EXAMPLE: dict[str, Any] = json.loads((ROOT / "deploy" / "example.json").read_text())
EVENTUALLY_TIMEOUT_S = 60.0
STATE_WAIT_S = 0.5  # from SIGUSR1 until the program has logged its state
MAX_SHOWN_LOG = 8000  # characters of the program's log that a failed test prints
PORTS = range(12_000, 30_000)  # for `free_port`; rigs that run in parallel must each use their own range
_issued_ports: set[int] = set()


class Standins:
    """The executor, the records service and the control plane of one node process, which the class also starts.

    Each run makes one call to the records service while `calling` is set, except for class `position-push`, and then
    completes. The attributes record what the stand-ins received."""

    def __init__(self, env: dict[str, Any]) -> None:
        self.runs: list[tuple[str, str, bytes]] = []  # (id, class, body) in the order of EXEC
        self.killed: list[str] = []
        self.calls: list[tuple[str, bytes]] = []
        self.reports: list[bytes] = []
        self.joins: list[int] = []
        self.notices: list[bytes] = []
        self.calling = True
        self.hold: set[bytes] = set()  # bodies whose runs do not end until `finish` or KILL
        self.record_word = "DONE"
        self.records_address = ""  # of a shared records service; empty: this object's own
        self.warmth, self.age_ms = "hot", 5  # of the executor, as sent in WELCOME
        self.welcomes = True  # false: the executor accepts the link but does not send WELCOME
        self.control_silent = False  # true: the control plane reads reports but does not answer
        self._control_writers: set[asyncio.StreamWriter] = set()
        self._control_address: socket.socket | None = None  # bound while the control plane refuses connections
        self._executor: asyncio.StreamWriter | None = None
        self._servers: list[asyncio.Server] = []
        self._pending_calls: dict[str, tuple[str, bytes]] = {}
        self.env = json.loads(json.dumps(env))
        self.stop_ms, self.sockets, self.memory_mb = 1500, 1024, 192
        self.descriptors = 0  # limit for the program; 0: inherited
        self.environ: dict[str, str] = {}
        self.program = ROOT  # working directory, from which the program is imported
        self.process: asyncio.subprocess.Process | None = None
        self.name = "n3"
        self.log: IO[bytes] | None = None  # receives the program's log; None: a pipe, `process.stderr`
        self.shell_command = ""  # run by /bin/sh instead of the interpreter, as in a deployment
        self._arguments: tuple[str, ...] = ()
        self.port = self.listen_port = self.ops_port = 0
        self.errors = ""

    async def start(
        self, stack: AsyncExitStack, *arguments: str, environ: dict[str, str] | None = None, ops: bool = False
    ) -> None:
        """Start the stand-ins and the program, and wait for its JOIN. `ops` adds an operators' address."""
        self.port = self.listen_port or await free_port()
        self.ops_port = await free_port() if ops else 0
        self.path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "config.json"
        await self.configure(stack)
        self.environ |= environ or {}
        self._arguments = arguments
        await self.spawn()
        stack.push_async_exit(self._describe_and_kill)
        await eventually(lambda: self.joins)

    async def _describe_and_kill(self, _: object, error: BaseException | None, trace: object) -> None:
        """Kill the program; after an error, print its log and what the stand-ins received first."""
        if error is not None:
            print(await self.describe())
        await self.kill()

    async def describe(self) -> str:
        """Kill the program; return the counts of what the stand-ins received and the end of the program's log.

        Before the kill, SIGUSR1 makes the program log its state."""
        process = self.process
        received = (
            f"runs={len(self.runs)} killed={len(self.killed)} calls={len(self.calls)} reports={len(self.reports)} "
            f"joins={self.joins} notices={len(self.notices)} exit={process.returncode if process else None}"
        )
        if process is None or process.stderr is None:
            return f"stand-ins: {received}"
        if process.returncode is None:
            send_signal(process, signal.SIGUSR1)
            await asyncio.sleep(STATE_WAIT_S)
        await self.kill()
        log = (await process.stderr.read()).decode(errors="replace")
        return f"stand-ins: {received}\nthe end of the program's log:\n{log[-MAX_SHOWN_LOG:]}"

    async def spawn(self) -> None:
        """Start the program, also again after it has ended."""
        command = (sys.executable, "-m", "chutepin", *self._arguments)
        if self.shell_command:
            command = ("/bin/sh", "-c", self.shell_command)
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=self.program,
            stderr=self.log or asyncio.subprocess.PIPE,
            preexec_fn=self._limit_descriptors if self.descriptors else None,
            env={**os.environ, **self.environ, "LB_CONFIG": str(self.path)},
        )

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    async def configure(self, stack: AsyncExitStack) -> None:
        """Move the stand-ins to new addresses and write the configuration; the old ones accept no new connections."""
        for server in self._servers:
            server.close()
        self._servers = [
            await asyncio.start_server(handler, "127.0.0.1", 0)
            for handler in (self._executor_side, self._records_side, self._control_side)
        ]
        ports = []
        for server in self._servers:
            stack.callback(server.close)
            ports.append(server.sockets[0].getsockname()[1])
        self.path.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "executor": f"127.0.0.1:{ports[0]}",
                    "records": self.records_address or f"127.0.0.1:{ports[1]}",
                    "control": f"127.0.0.1:{ports[2]}",
                    "seed": "8c1f30d27a5be964",
                    "stop_ms": self.stop_ms,
                    "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                    **({"ops": f"127.0.0.1:{self.ops_port}"} if self.ops_port else {}),
                    "settings": self.env,
                }
            )
        )

    def reload(self) -> None:
        """Send SIGHUP: the node reloads its configuration."""
        assert self.process is not None
        send_signal(self.process, signal.SIGHUP)

    async def kill(self) -> None:
        """Kill the program if it still runs."""
        if self.process is not None and self.process.returncode is None:
            kill(self.process)
            await self.process.wait()

    async def leave(self) -> str:
        """Send SIGTERM and wait for the exit; return the log. Raises AssertionError unless the exit code is 0."""
        assert self.process is not None and self.process.stderr is not None
        send_signal(self.process, signal.SIGTERM)
        log = (await self.process.stderr.read()).decode()
        assert await self.process.wait() == 0, log
        return log

    def notify(self, *words: str | int, body: bytes | None = None) -> None:
        """Send a numbered notice to the executor's link and keep it for replay on a later JOIN."""
        data = line(words[0], len(self.notices) + 1, *words[1:], body=body)
        self.notices.append(data)
        if self._executor is not None:
            self._executor.write(data)

    def finish(self, id: str, result: bytes) -> None:
        """Complete a run with a result."""
        self.notify("EXIT", id, "complete", 200, body=result)

    def cut(self) -> None:
        """Abort the executor's link."""
        assert self._executor is not None
        self._executor.transport.abort()
        self._executor = None

    async def _executor_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = LineParser(lambda words: words[0] in ("EXEC", "RETURN"), 65536)
        with contextlib.suppress(OSError):  # the node was killed
            while data := await reader.read(65536):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    self._command(writer, *message)

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        match words[0]:
            case "JOIN":
                self.joins.append(int(words[1]))
                self._executor = writer
                if self.welcomes:
                    self._send_welcome(int(words[1]))
            case "EXEC":
                self.runs.append((words[1], words[2], body))
                if body in self.hold:
                    return
                if self.calling and words[2] != "position-push":
                    self._pending_calls[words[1]] = (words[2], body)
                    self.notify("CALLOUT", words[1], body=b"call for " + body)
                else:
                    self.finish(words[1], b"done " + body)
            case "RETURN":
                _, run_body = self._pending_calls.pop(words[1])
                self.finish(words[1], b"done " + run_body + b" with " + body)
            case "BYPASS":
                _, run_body = self._pending_calls.pop(words[1])
                self.finish(words[1], b"done " + run_body)
            case "KILL":
                self.killed.append(words[1])
                self.notify("EXIT", words[1], "cancelled", 10, body=b"")
            case "METER":
                writer.write(line("METERS", words[1], "0.1", 1))

    def _send_welcome(self, last_notice: int) -> None:
        assert self._executor is not None
        self._executor.write(line("WELCOME", self.warmth, self.age_ms) + b"".join(self.notices[last_notice:]))

    def come_up(self) -> None:
        """Send the withheld WELCOME and stop withholding."""
        self.welcomes = True
        self._send_welcome(self.joins[-1])

    async def _records_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = LineParser(lambda words: words[0] == "OP", 65536)
        while data := await reader.read(65536):
            parser.feed(data)
            while (message := parser.next()) is not None:
                words, body = message
                self.calls.append((words[0], body))
                if self.record_word == "cut":
                    writer.transport.abort()
                elif words[0] == "OP" and self.record_word != "mute":
                    reply = b"row of " + body if self.record_word == "DONE" else None
                    writer.write(line(words[1], self.record_word, body=reply))

    async def _control_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._control_writers.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    length = int(head.lower().split(b"content-length:")[1].split()[0])
                    body = await reader.readexactly(length)
                    if self.control_silent:
                        continue
                    self.reports.append(head.splitlines()[0] + b" " + body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        finally:
            self._control_writers.discard(writer)

    def refuse_control(self) -> None:
        """Abort the control plane's connections and refuse new ones. Its port stays bound."""
        host, port = self._servers[-1].sockets[0].getsockname()
        self._servers[-1].close()
        for writer in self._control_writers:
            writer.transport.abort()
        self._control_address = socket.socket()
        self._control_address.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._control_address.bind((host, port))

    async def restore_control(self) -> None:
        """Let the control plane accept connections and answer again, at the same address."""
        self.control_silent = False
        if self._control_address is not None:
            self._servers[-1] = await asyncio.start_server(self._control_side, sock=self._control_address)
            self._control_address = None

    async def connect(self) -> Balancer:
        """Return a new balancer connection to the node."""
        return Balancer(*await asyncio.open_connection("127.0.0.1", self.port))


class Balancer:
    """One connection of a balancer: sends requests and collects answers by tag."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.tag = 0
        self.answers: dict[int, list[list[bytes]]] = {}
        self.ended = False
        self._reader_task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        parser = RespParser()
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                parser.feed(data)
                while (items := parser.next()) is not None:
                    self.answers.setdefault(int(items[0]), []).append(items[1:])
        self.ended = True

    def call(
        self, cls: str, body: bytes, key: str | None = None, wait: int | None = 5000, team: str = "bernard-lodge"
    ) -> int:
        """Send a request; return its tag. `wait` is its deadline in milliseconds; None omits the field."""
        self.tag += 1
        fields = f"i={os.urandom(8).hex()},s={int(time.time() * 1000)},f=1,t={team},m=24.5,p=0.5"
        fields += (f",k={key}" if key else "") + (f",d={wait}" if wait is not None else "")
        self.writer.write(array(b"RPC.CALL", b"%d" % self.tag, cls.encode(), fields.encode(), body))
        return self.tag

    async def answer(self, tag: int) -> list[bytes]:
        """Wait for the first answer to a tag and return it."""
        await eventually(lambda: self.answers.get(tag))
        return self.answers[tag][0]

    async def close(self) -> None:
        """Close the connection and wait for the reader task to end."""
        self.writer.close()
        await self._reader_task


async def eventually(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds. Raises AssertionError after a timeout long enough for a busy machine."""
    deadline = time.monotonic() + EVENTUALLY_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.005)


async def free_port() -> int:
    """Return a port on which nothing listens, below the system's range of ephemeral ports.

    The connections of a concurrent flood use ephemeral ports, so they cannot take the port before the program listens
    on it. No port is returned twice until all have been returned."""
    while True:
        if len(_issued_ports) >= len(PORTS):
            _issued_ports.clear()
        port = random.SystemRandom().choice(PORTS)
        if port in _issued_ports:
            continue
        _issued_ports.add(port)
        with contextlib.suppress(OSError):
            server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", port)
            server.close()
            await server.wait_closed()
            return port
