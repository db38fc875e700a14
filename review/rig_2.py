"""The rig of the cases 6 to 10: the node by the deploy file's command, and small stand-ins written from the pages.

All addresses are loopback addresses. `Rig` starts the stand-ins and node processes, writes `record.txt` beside the
script and ends every process that it started."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "127.0.0.1"
MAX_BODY_BYTES = 65536


class CannotRunError(Exception):
    """The case could not run: a stand-in or the node did not come up."""


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def deploy_command() -> str:
    """Return `run` of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def example_settings() -> dict[str, Any]:
    """Return a copy of the settings in `deploy/example.json`."""
    settings: dict[str, Any] = json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]
    return settings


def array(*items: bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a RESP array of bulk strings. Raises IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    items = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        items.append((await reader.readexactly(length + 2))[:-2])
    return items


class Record:
    """The file `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.time()

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.time() - self._started_at:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Asked:
    """One request as the balancer stand-in sent it."""

    id: str
    cls: str
    body: bytes
    sent_at: float
    due: float
    key: str | None = None
    over: bool = False  # answered, withdrawn or lost with its connection
    answers: list[tuple[bytes, bytes, bytes]] = field(default_factory=list)


@dataclass
class Run:
    """One run of the executor stand-in."""

    id: str
    cls: str
    body: bytes
    started_at: float
    state: str = "running"  # running, calling, paused, ended
    call: int = 0
    remaining: float = 0.0


class Executor:
    """The executor of one node process, by the protocol page.

    It knows the requests that were sent to the node (`known`); `strict` answers BAD for any other."""

    def __init__(self, record: Record, known: dict[str, Asked], name: str, strict: bool = True) -> None:
        self.record, self.known, self.name, self.strict = record, known, name, strict
        self.port = 0
        self.runs: list[Run] = []
        self.by_id: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None
        self.work_s: Callable[[Run], float] = lambda run: 0.2
        self.calls: Callable[[Run], bool] = lambda run: False
        self.started_at = time.time()
        self.server: asyncio.Server | None = None
        self.on_run: Callable[[Run], None] = lambda run: None
        self.result: Callable[[Run], bytes] = lambda run: b"done " + run.body

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words = (await reader.readuntil(b"\r\n")).decode().split()
                body = b""
                if words[0] in ("EXEC", "RETURN"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self._command(writer, words, body)

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        if words[0] == "JOIN":
            self.writer = writer
            age_ms = int((time.time() - self.started_at) * 1000)
            writer.write(f"WELCOME hot {age_ms}\r\n".encode() + b"".join(self.notices[int(words[1]) :]))
            self.record.line(f"{self.name}: JOIN {words[1]}")
        elif words[0] == "METER":
            on_cores = sum(run.state == "running" for run in self.by_id.values())
            writer.write(f"METERS {words[1]} {min(1.0, on_cores / 6):.2f} {on_cores}\r\n".encode())
        elif words[0] == "EXEC":
            self._exec(writer, words[1], words[2], body)
        elif words[0] == "KILL":
            self._kill(words[1])
        elif words[0] == "WAKE":
            run = self.by_id.get(words[1])
            if run is not None and run.state == "paused":
                self._go(run, run.remaining)
        elif words[0] in ("RETURN", "BYPASS"):
            run = self.by_id.get(words[1])
            if run is not None and run.state == "calling":
                run.state = "running"
                self.record.line(f"{self.name}: {words[0]} {run.id}")
                self._go(run, self.work_s(run) / 2)

    def _exec(self, writer: asyncio.StreamWriter, id: str, cls: str, body: bytes) -> None:
        asked = self.known.get(id)
        if asked is None and self.strict:
            writer.write(f"BAD EXEC {id}\r\n".encode())
            return
        run = self.by_id.get(id)
        if run is not None and run.state != "ended":
            return
        if asked is not None and asked.over:
            self.notify(f"EXIT {{}} {id} unknown 0 0", b"")
            return
        run = Run(id, cls, body, time.time())
        self.runs.append(run)
        self.by_id[id] = run
        self.record.line(f"{self.name}: run {id} {cls} {body[:40]!r}")
        self.on_run(run)
        self._go(run, self.work_s(run) / (2 if self.calls(run) else 1))

    def _go(self, run: Run, seconds: float) -> None:
        run.state, run.remaining = "running", seconds
        asyncio.get_running_loop().call_later(seconds, self._step, run)

    def _step(self, run: Run) -> None:
        if run.state != "running":
            return
        if self.calls(run) and not run.call:
            asked = self.known.get(run.id)
            if asked is not None and asked.over:
                self._end(run, "cancelled", b"")
                return
            run.state, run.call = "calling", len(self.notices) + 1
            self.notify(f"CALLOUT {{}} {run.id} {len(run.body)}", run.body)
        else:
            self._end(run, "complete", self.result(run))

    def _kill(self, id: str) -> None:
        run = self.by_id.get(id)
        if run is None or run.state not in ("running", "calling"):
            return
        asked = self.known.get(id)
        if asked is not None and not asked.over and run.state == "running":
            run.state = "paused"
            self.notify(f"EXIT {{}} {id} cancelled 1 0", b"")
        elif asked is None or asked.over:
            self._end(run, "cancelled", b"")

    def _end(self, run: Run, end: str, result: bytes) -> None:
        run.state = "ended"
        ms = int((time.time() - run.started_at) * 1000)
        self.record.line(f"{self.name}: end {run.id} {end}")
        self.notify(f"EXIT {{}} {run.id} {end} {ms} {len(result)}", result)

    def notify(self, text: str, body: bytes) -> None:
        """Send a numbered notice with a body, and keep it for a later JOIN."""
        data = text.format(len(self.notices) + 1).encode() + b"\r\n" + body + b"\r\n"
        self.notices.append(data)
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(data)

    def cut(self) -> None:
        """Reset the link."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None


class Records:
    """The records service; `answer` returns the delay and the word of the reply to each call."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.calls: list[tuple[float, str, bytes]] = []
        self.in_hand = 0
        self.answer: Callable[[str], tuple[float, str]] = lambda id: (0.05, "DONE")
        self.server: asyncio.Server | None = None
        self.on_change: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_calls: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                words = (await reader.readuntil(b"\r\n")).decode().split()
                if words[0] == "OP":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls.append((time.time(), words[1], body))
                    self.record.line(f"records: call {words[1]}")
                    open_calls[words[1]] = asyncio.ensure_future(self._reply(writer, words[1], body))
                elif words[0] == "UNOP" and words[1] in open_calls:
                    open_calls.pop(words[1]).cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in open_calls.values():
                task.cancel()
            writer.close()

    async def _reply(self, writer: asyncio.StreamWriter, id: str, body: bytes) -> None:
        self.in_hand += 1
        self.on_change()
        try:
            delay, word = self.answer(id)
            await asyncio.sleep(delay)
            reply = b"row of " + body
            if word == "DONE":
                writer.write(f"{id} DONE {len(reply)}\r\n".encode() + reply + b"\r\n")
            elif word != "mute":
                writer.write(f"{id} {word}\r\n".encode())
        finally:
            self.in_hand -= 1
            self.on_change()


class Control:
    """The control plane: answers each report with 204."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.server: asyncio.Server | None = None
        self.reports: list[bytes] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split()[0])
                self.reports.append(await reader.readexactly(length))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


class Balancer:
    """One connection of a balancer. It closes after BYE once all is answered, as the page says."""

    def __init__(self, rig: Rig, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig, self.reader, self.writer = rig, reader, writer
        self.tag = 0
        self.open: dict[int, Asked] = {}
        self.health: dict[int, asyncio.Future[bytes]] = {}
        self.bye = self.ended = False
        self.task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        try:
            while True:
                items = await read_array(self.reader)
                if items[0] == b"0":
                    self.bye = True
                else:
                    self._answered(int(items[0]), items)
                if self.bye and not self.open:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended = True
            for asked in self.open.values():
                asked.over = True
                self.rig.record.line(f"balancer: {asked.id} its connection ended without an answer")
            for future in self.health.values():
                if not future.done():
                    future.set_result(b"")
            self.writer.close()

    def _answered(self, tag: int, items: list[bytes]) -> None:
        if (future := self.health.pop(tag, None)) is not None:
            if not future.done():
                future.set_result(items[1])
            return
        asked = self.open.pop(tag, None) or self.rig.by_tag.get((id(self), tag))
        if asked is None:
            return
        asked.over = True
        asked.answers.append((items[1], items[2] if len(items) > 2 else b"", items[3] if len(items) > 3 else b""))
        self.rig.record.line(f"balancer: {asked.id} answered {items[1].decode()}")

    def call(
        self, cls: str, body: bytes, *, wait_ms: int, team: str, key: str | None = None, kb: float = 24.5
    ) -> Asked:
        """Send a request and return its record."""
        self.tag += 1
        now = time.time()
        asked = Asked(os.urandom(8).hex(), cls, body, now, now + wait_ms / 1000, key)
        self.rig.known[asked.id] = asked
        self.open[self.tag] = asked
        self.rig.by_tag[id(self), self.tag] = asked
        fields = f"i={asked.id},s={int(now * 1000)},f=1,t={team},d={wait_ms},m={kb},p=0.5" + (
            f",k={key}" if key else ""
        )
        self.rig.record.line(f"balancer: send {asked.id} {cls} key={key} wait={wait_ms}")
        self.writer.write(array(b"RPC.CALL", b"%d" % self.tag, cls.encode(), fields.encode(), body))
        return asked

    async def check(self) -> bytes:
        """Send a health check; return the word of the answer, empty if there was none within 2 s."""
        self.tag += 1
        self.health[self.tag] = future = asyncio.get_running_loop().create_future()
        self.writer.write(array(b"RPC.HEALTH", b"%d" % self.tag, b""))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                return bytes(await future)
        return b""

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Node:
    """One process of a node, started by the deploy file's command."""

    def __init__(
        self, rig: Rig, name: str, config: dict[str, Any], tmpdir: str, extra: str, env: dict[str, str]
    ) -> None:
        self.rig, self.name, self.config = rig, name, config
        self.path = Path(rig.folder) / f"{name}.json"
        self.tmpdir, self.extra, self.env = tmpdir, extra, env
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = Path(rig.folder) / f"{name}.log"
        self.write()

    def write(self) -> None:
        """Write the configuration file."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.path)

    async def start(self) -> None:
        """Start the process."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy_command() + self.extra,
                cwd=ROOT,
                env={**kept, "LB_CONFIG": str(self.path), "TMPDIR": self.tmpdir, **self.env},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.rig.record.line(f"{self.name}: started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.rig.record.line(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    async def stop(self, seconds: float) -> None:
        """Kill the process after this time unless it has ended."""
        assert self.process is not None
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.rig.record.line(f"{self.name}: SIGKILL")
            self.process.kill()
            await self.process.wait()
        self.rig.record.line(f"{self.name}: exit {self.process.returncode}")


class Rig:
    """The stand-ins and the node processes of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = self._temporary.name
        self.known: dict[str, Asked] = {}
        self.by_tag: dict[tuple[int, int], Asked] = {}
        self.records, self.control = Records(self.record), Control(self.record)
        self.nodes: list[Node] = []
        self.executors: list[Executor] = []
        self.listen_port = free_port()

    async def executor(self, strict: bool = True) -> Executor:
        """Start an executor stand-in."""
        executor = Executor(self.record, self.known, f"executor{len(self.executors) + 1}", strict)
        self.executors.append(executor)
        await executor.start()
        return executor

    async def node(
        self,
        executor: Executor,
        settings: dict[str, Any],
        *,
        stop_ms: int = 3200,
        extra: str = "",
        env: dict[str, str] | None = None,
        sockets: int = 1024,
        memory_mb: int = 192,
    ) -> Node:
        """Start a node process with an operators' address, and wait until it says that it can serve."""
        if not self.records.port:
            await self.records.start()
            await self.control.start()
        tmpdir = Path(self.folder) / "tmp"
        tmpdir.mkdir(exist_ok=True)
        name = f"process{len(self.nodes) + 1}"
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.listen_port}",
            "ops": f"{HOST}:{free_port()}",
            "executor": f"{HOST}:{executor.port}",
            "records": f"{HOST}:{self.records.port}",
            "control": f"{HOST}:{self.control.port}",
            "seed": os.urandom(8).hex(),
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": settings,
        }
        node = Node(self, name, config, str(tmpdir), extra, env or {})
        self.nodes.append(node)
        await node.start()
        started_at = time.time()
        while not (await self.ops(node, "ready")).startswith("SUCCESS"):
            if time.time() > started_at + 30 or node.ended:
                raise CannotRunError(f"{name} did not become ready: {node.log_path.read_text()[-2000:]}")
            await asyncio.sleep(0.05)
        self.record.line(f"{name}: ready")
        return node

    async def ops(self, node: Node, line: str) -> str:
        """Make a call of the operators; return the answer, empty if there was none within 1 s."""
        host, port = node.config["ops"].split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                answer = (await reader.read()).decode()
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return ""

    async def balancer(self) -> Balancer:
        """Open a connection to the node's address for balancers."""
        return Balancer(self, *await asyncio.open_connection(HOST, self.listen_port))

    async def end(self) -> None:
        """End all processes and servers."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
            self.record.line(f"the end of the log of {node.name}:\n{node.log_path.read_text()[-3000:]}")
        for server in (self.records.server, self.control.server, *(e.server for e in self.executors)):
            if server is not None:
                server.close()
        self._temporary.cleanup()


async def until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; return whether it did within this time."""
    end_at = time.time() + seconds
    while not condition():
        if time.time() > end_at:
            return False
        await asyncio.sleep(0.01)
    return True


def trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(script: str, case: Callable[[Rig], Coroutine[Any, Any, int]]) -> int:
    """Run a case and return the exit code of its script."""

    async def run() -> int:
        rig = Rig(Path(script).resolve().parent)
        task = asyncio.ensure_future(case(rig))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                code = await task
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            rig.record.line(f"the case could not run: {error!r}")
            code = NOT_RUN
        finally:
            await rig.end()
        rig.record.line(f"exit code {code}")
        return code

    return asyncio.run(run())


def finish(code: int) -> None:
    """Print the verdict and exit."""
    print({BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "the case could not run"))
    sys.exit(code)
