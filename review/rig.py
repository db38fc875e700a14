"""Stand-ins for the peers of one node, written from the protocol pages; Python's standard library alone.

`World` knows every request that was written to the node, `Executor` is one executor address, `Balancer` one
connection of a balancer, `Records` the records service, `Control` the control plane and `Node` one process that is
started with the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parents[1]
MAX_OPEN = 32  # requests on one connection
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run: the exit code is 2."""


class Record:
    """The record of what was sent, answered and run, one line an event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.time()

    def add(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.time() - self._started:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a free port on the loopback address."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def line(*words: object, body: bytes | None = None) -> bytes:
    """Encode a line of words, with a body whose length is the last word."""
    head = " ".join(str(word) for word in words)
    return f"{head}\r\n".encode() if body is None else f"{head} {len(body)}\r\n".encode() + body + b"\r\n"


async def read_line(reader: asyncio.StreamReader, with_body: Callable[[list[str]], bool]) -> tuple[list[str], bytes]:
    """Read one line of words and its body. Raises IncompleteReadError at the end of the stream."""
    words = (await reader.readuntil(b"\r\n")).decode().split()
    if not with_body(words):
        return words, b""
    return words, (await reader.readexactly(int(words[-1]) + 2))[:-2]


@dataclass(slots=True)
class Run:
    """One run of a request on the cores."""

    executor: Executor
    state: str  # "core", "call" or "paused"
    started_at: float
    calls_left: int
    work_left_s: float
    timer: asyncio.TimerHandle | None = None
    resumed_at: float = 0.0
    notice: int = 0
    replies: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Try:
    """One try of a request that was written to the node."""

    id: str
    cls: str
    body: bytes
    key: str | None
    s: float  # Unix time
    due: float
    written_at: float
    over: bool = False  # answered, given up, or its connection has ended
    ran_at: float | None = None
    run: Run | None = None
    answers: list[tuple[float, str, str, bytes]] = field(default_factory=list)
    cancelled_at: float | None = None
    balancer: Balancer | None = None
    result: bytes | None = None


class World:
    """All tries, what the executor does for them, and the record."""

    def __init__(self, settings: dict[str, Any], record: Record, work_s: float = 0.3, calls: int = 1) -> None:
        self.settings, self.record, self.work_s, self.calls = settings, record, work_s, calls
        self.tries: dict[str, Try] = {}
        self.classes = {c["name"]: c for c in settings["categories"]}
        self.calls_of = dict(zip(self.classes, settings["familyInfo"]["classCalls"], strict=True))
        self.cores = settings["familyInfo"]["cpus"]

    def end_request(self, request: Try) -> None:
        """Mark a request as over: a run of it that waits for a call ends, and so does a paused one."""
        if request.over:
            return
        request.over = True
        if request.run is not None and request.run.state in ("call", "paused"):
            request.run.executor.end(request, "cancelled")

    def on_cores(self) -> int:
        """Return the number of runs on the cores."""
        return sum(t.run is not None and t.run.state == "core" for t in self.tries.values())


class Executor:
    """One executor address, which serves one process of the node."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.notices: list[bytes] = []
        self.started_at = time.time() - 60
        self.port = 0
        self.joined = 0
        self.on_exec: Callable[[Try], None] = lambda request: None
        self._server: asyncio.Server | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Break the link. Everything that was read stays read."""
        if self._writer is not None:
            self.world.record.add(f"{self.name}: link broken")
            self._writer.transport.abort()
            self._writer = None

    def _notify(self, word: str, *words: object, body: bytes) -> int:
        number = len(self.notices) + 1
        data = line(word, number, *words, body=body)
        self.notices.append(data)
        self.world.record.add(f"{self.name}: > {word} {number} {' '.join(map(str, words))}")
        if self._writer is not None:
            self._writer.write(data)
        return number

    def end(self, request: Try, end: str, result: bytes = b"") -> None:
        """End a run and report it."""
        run, request.run = request.run, None
        if run is not None and run.timer is not None:
            run.timer.cancel()
        elapsed = 0 if run is None else round((time.time() - run.started_at) * 1000)
        if end == "complete":
            request.result = result
        self._notify("EXIT", request.id, end, elapsed, body=result)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = writer
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words, body = await read_line(reader, lambda words: words[0] in ("EXEC", "RETURN"))
                if self._writer is not writer:  # broken, or replaced by a new link
                    return
                self._command(words, body)

    def _command(self, words: list[str], body: bytes) -> None:
        assert self._writer is not None
        if words[0] == "METER":
            on_cores = self.world.on_cores()
            use = min(1.0, on_cores / self.world.cores)
            self._writer.write(line("METERS", words[1], f"{use:.3f}", on_cores))
            return
        self.world.record.add(f"{self.name}: < {' '.join(words[:2])}")
        if words[0] == "JOIN":
            self.joined += 1
            age = round((time.time() - self.started_at) * 1000)
            self._writer.write(line("WELCOME", "hot", age) + b"".join(self.notices[int(words[1]) :]))
            return
        request = self.world.tries.get(words[1])
        if request is None or (words[0] == "EXEC" and (request.cls, request.body) != (words[2], body)):
            self.world.record.add(f"{self.name}: > BAD {words[0]} {words[1]}")
            self._writer.write(line("BAD", words[0], words[1]))
            return
        getattr(self, f"_{words[0].lower()}")(request, words, body)

    def _exec(self, request: Try, words: list[str], body: bytes) -> None:
        if request.run is not None:
            if request.run.state == "paused":
                self._wake(request, words, body)
            return
        if request.over or request.result is not None:  # the request has concluded: nothing is started
            self.end(request, "unknown")
            return
        calls = self.world.calls if self.world.calls_of[request.cls] else 0
        request.run = Run(self, "core", time.time(), calls, self.world.work_s)
        request.ran_at = time.time()
        self.world.record.add(f"{self.name}: RUN {request.id} key={request.key}")
        self._resume(request, request.run)
        self.on_exec(request)

    def _resume(self, request: Try, run: Run) -> None:
        run.state, run.resumed_at = "core", time.time()
        part = run.work_left_s / (run.calls_left + 1)
        run.timer = asyncio.get_running_loop().call_later(part, self._part_done, request, run, part)

    def _part_done(self, request: Try, run: Run, part: float) -> None:
        run.work_left_s -= part
        run.timer = None
        if not run.calls_left:
            self.end(request, "complete", b"done " + request.id.encode() + b"".join(run.replies))
            return
        run.calls_left -= 1
        run.state = "call"
        if request.over:
            self.end(request, "cancelled")
            return
        run.notice = self._notify("CALLOUT", request.id, body=b"call " + request.id.encode())

    def _kill(self, request: Try, _: list[str], __: bytes) -> None:
        run = request.run
        if run is None or run.state != "core":
            return
        assert run.timer is not None
        run.timer.cancel()
        run.work_left_s = max(0.001, run.work_left_s - (time.time() - run.resumed_at))
        if request.over:  # stopped with nobody waiting: the request concludes, its memory is back
            self.end(request, "cancelled")
            return
        run.state = "paused"
        self._notify("EXIT", request.id, "cancelled", round((time.time() - run.started_at) * 1000), body=b"")

    def _wake(self, request: Try, _: list[str], __: bytes) -> None:
        """Go on with a paused run. Where the request has concluded, nothing is started (`unknown`)."""
        if request.run is None:
            if request.over or request.result is not None:
                self.end(request, "unknown")
        elif request.run.state == "paused":
            self._resume(request, request.run)

    def _return(self, request: Try, _: list[str], body: bytes) -> None:
        if request.run is not None and request.run.state == "call":
            request.run.replies.append(body)
            self._resume(request, request.run)

    def _bypass(self, request: Try, words: list[str], _: bytes) -> None:
        if request.run is not None and request.run.state == "call" and int(words[2]) == request.run.notice:
            self._resume(request, request.run)


class Records:
    """The records service: answers each call with DONE after `call_s`; counts the calls in its hands over time."""

    def __init__(self, record: Record, call_s: float, linger_s: float = 0.2) -> None:
        self.record, self.call_s, self.linger_s = record, call_s, linger_s
        self.port = 0
        self.in_hands = 0
        self.steps: list[tuple[float, int]] = []  # time of each change, and the calls from then on

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server

    def _change(self, by: int) -> None:
        self.in_hands += by
        self.steps.append((time.time(), self.in_hands))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        timers: dict[str, asyncio.TimerHandle] = {}

        def reply(id: str) -> None:
            del timers[id]
            self._change(-1)
            self.record.add(f"records: > {id} DONE")
            writer.write(line(id, "DONE", body=b"row " + id.encode()))

        def give_up(id: str) -> None:
            if (timer := timers.pop(id, None)) is not None:
                timer.cancel()
                self.record.add(f"records: {id} was given up")
                loop.call_later(self.linger_s, self._change, -1)

        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words, _ = await read_line(reader, lambda words: words[0] == "OP")
                self.record.add(f"records: < {' '.join(words)}")
                give_up(words[1])
                if words[0] == "OP":
                    self._change(1)
                    timers[words[1]] = loop.call_later(self.call_s, reply, words[1])
        for id in list(timers):
            give_up(id)
        writer.transport.abort()

    def highest_mean(self, window_s: float) -> tuple[float, float]:
        """Return the highest mean of calls in hand over a window of this length, and the time at its end."""
        if not self.steps:
            return 0.0, 0.0
        first, last = self.steps[0][0], self.steps[-1][0]
        best = (0.0, 0.0)
        ends = sorted({at for at, _ in self.steps} | {at + window_s for at, _ in self.steps if at + window_s <= last})
        for end in ends:
            total, held, at = 0.0, 0, first
            for step_at, count in self.steps:
                if step_at > end:
                    break
                total += held * max(0.0, step_at - max(at, end - window_s))
                at, held = step_at, count
            total += held * max(0.0, end - max(at, end - window_s))
            best = max(best, (total / window_s, end))
        return best


class Control:
    """The control plane: answers each report with 204."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, 0
        self._last = b""

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(head.lower().split(b"content-length:")[1].split()[0]))
                if body != self._last:
                    self.record.add(f"control: < {body.decode()}")
                    self._last = body
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


def array(*items: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class Balancer:
    """One connection of a balancer."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.tag = world, number, 0
        self.open: dict[int, Try] = {}
        self.health: list[tuple[float, str]] = []
        self.said_bye = self.ended = False
        self._random = random.Random(number)

    async def connect(self, port: int) -> Balancer:
        """Connect to the node."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._task = asyncio.ensure_future(self._read())
        self._task.add_done_callback(lambda task: task.cancelled() or task.result())
        return self

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                count = int((await self._reader.readuntil(b"\r\n"))[1:])
                items = []
                for _ in range(count):
                    length = int((await self._reader.readuntil(b"\r\n"))[1:])
                    items.append((await self._reader.readexactly(length + 2))[:-2])
                self._answer(int(items[0]), items[1:])
        self.ended = True
        for request in list(self.open.values()):
            self.world.record.add(f"balancer {self.number}: connection ended, no answer to {request.id}")
            self.world.end_request(request)
        self._writer.close()

    def _answer(self, tag: int, items: list[bytes]) -> None:
        word, fields = items[0].decode(), items[1].decode() if len(items) > 1 else ""
        if tag == 0:
            self.said_bye = True
            self._close_if_done()
            return
        if word in ("UP", "DOWN"):
            self.health.append((time.time(), word))
            self.world.record.add(f"balancer {self.number}: > {word} {tag}")
            return
        request = self.open.pop(tag, None)
        if request is None:
            return
        body = items[2] if len(items) > 2 else b""
        request.answers.append((time.time(), word, fields, body))
        self.world.record.add(f"balancer {self.number}: > {word} {request.id} {fields} {body[:60]!r}")
        self.world.end_request(request)
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.said_bye and not self.open:
            self._writer.close()

    def call(self, cls: str, wait_s: float, key: str | None = None, body: bytes = b"", tenant: str = "") -> Try:
        """Write a request; return the try."""
        self.tag += 1
        now = time.time()
        s = int(now * 1000)
        id = os.urandom(8).hex()
        request = Try(id, cls, body or id.encode(), key, s / 1000, s / 1000 + wait_s, now)
        self.world.tries[id] = self.open[self.tag] = request
        request.balancer = self
        fields = f"i={id},s={s},f={self.number},m=24.5,p=0.5"
        fields += f",t={tenant}" if tenant else ""
        if self.world.settings["familyInfo"].get("passesDeadline", True):
            fields += f",d={round(wait_s * 1000)}"
        fields += f",k={key}" if key else ""
        self.world.record.add(f"balancer {self.number}: < CALL {id} {cls} key={key}")
        self._writer.write(array(b"RPC.CALL", b"%d" % self.tag, cls.encode(), fields.encode(), request.body))
        return request

    def cancel(self, request: Try) -> None:
        """Stop to wait for a request."""
        for tag, other in list(self.open.items()):
            if other is request:
                del self.open[tag]
                request.cancelled_at = time.time()
                self.world.record.add(f"balancer {self.number}: < CANCEL {request.id}")
                self._writer.write(array(b"RPC.CANCEL", b"%d" % tag))
                self.world.end_request(request)

    def check(self) -> None:
        """Send a health check."""
        self.tag += 1
        self.world.record.add(f"balancer {self.number}: < HEALTH {self.tag}")
        self._writer.write(array(b"RPC.HEALTH", b"%d" % self.tag, b""))

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()


class Pool:
    """The connections of one balancer to a node: a new one is opened when the last one was closed or got BYE."""

    def __init__(self, world: World, number: int, port: int) -> None:
        self.world, self.number, self.port = world, number, port
        self._last: Balancer | None = None

    async def get(self) -> Balancer:
        """Return a connection that may carry a request."""
        if self._last is None or self._last.said_bye or self._last.ended or len(self._last.open) >= MAX_OPEN:
            self._last = await Balancer(self.world, self.number).connect(self.port)
        return self._last

    async def call(self, cls: str, wait_s: float, key: str | None = None, body: bytes = b"", tenant: str = "") -> Try:
        """Write a request on a connection that may carry it."""
        return (await self.get()).call(cls, wait_s, key, body, tenant)


class Node:
    """One process of the node, started with `run` of the deploy file from the repository's root."""

    processes: ClassVar[list[asyncio.subprocess.Process]] = []

    def __init__(self, name: str, record: Record, directory: Path) -> None:
        self.name, self.record, self.directory = name, record, directory
        self.ops = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, config: dict[str, Any], tmpdir: Path) -> None:
        """Start the process with this configuration."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(config | {"ops": f"127.0.0.1:{self.ops}"}))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.directory / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(tmpdir), "PYTHONDONTWRITEBYTECODE": "1"},
            )
        self.processes.append(self.process)
        self.record.add(f"{self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def command(self, text: str) -> str:
        """Send one operators' command; return the first line of the answer, or nothing if there is none."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ops)
                writer.write(text.encode() + b"\n")
                answer = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return answer.splitlines()[0] if answer else ""

    async def ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the process says yes. Raises NotRunError."""
        end = time.time() + timeout_s
        while not (await self.command("ready")).startswith("SUCCESS"):
            assert self.process is not None
            if time.time() > end or self.process.returncode is not None:
                raise NotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        self.record.add(f"{self.name}: ready")

    def log(self) -> str:
        """Return what the process has logged."""
        return (self.directory / f"{self.name}.log").read_text(errors="replace")

    @classmethod
    async def end_all(cls) -> None:
        """End every process that was started here."""
        for process in cls.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()


def unanswered(world: World, slack_s: float) -> list[Try]:
    """Return the tries without an answer in time that were not given up."""
    late = []
    for request in world.tries.values():
        in_time = any(at <= request.due + slack_s for at, *_ in request.answers)
        if not in_time and request.cancelled_at is None:
            late.append(request)
    return late


def main(case: Callable[[Record, Path], Any], folder: Path, limit_s: float = 110.0) -> int:
    """Run a case within its time limit, end all processes, and return the exit code."""
    record = Record(folder / "record.txt")
    record.add(f"TROUBLE={int(TROUBLE)}")
    directory = Path(tempfile.mkdtemp())

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # ended from outside: the node must end too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return int(await case(record, directory))
        except (NotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            record.add(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            others = asyncio.all_tasks() - {task}  # one of them may be about to start a process
            for other in others:
                other.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            await Node.end_all()
            record.add(f"ended: {[process.returncode for process in Node.processes]}")

    try:
        code = asyncio.run(bounded())
    finally:
        for path in sorted(directory.glob("*.log")):
            record.add(f"the end of {path.name}:\n" + path.read_text(errors="replace")[-3000:])
        shutil.rmtree(directory, ignore_errors=True)
    record.add(f"exit code {code}: {('held', 'BROKEN', 'could not run')[code]}")
    print(("held", "BROKEN", "could not run")[code], file=sys.stderr)
    return code
