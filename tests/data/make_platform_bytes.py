"""What the program writes to the platform, as data: `platform.json` beside this file, made by

    python -m tests.data.make_platform_bytes

It drives the real program between raw stand-ins that share no code with it. What depends on the time is masked with #:
the module's value and advice in answers, the milliseconds a call to the records has left, and ports."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from chutepin.broker import Answer, Verdict
from chutepin.net.resp import format_answer
from chutepin.testbench.signals import kill, send_signal
from chutepin.testbench.standins.platform import free_port

ROOT = Path(__file__).parents[2]
KEPT = Path(__file__).with_name("platform.json")
PATIENCE = 60.0
SETTINGS = json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


async def until(holds: Callable[[], Any]) -> None:
    """Wait far longer than needed until something holds."""
    end = time.monotonic() + PATIENCE
    while not holds():
        assert time.monotonic() < end, "it never came to hold"
        await asyncio.sleep(0.005)


def _describe(world: World, answers: dict[str, list[str]]) -> str:
    """What a wait that failed needs to be understood."""
    return (
        f"answers so far: {list(answers)}; to the executor: {world.executor[-8:]}; METERs {len(world.meters)}; "
        f"links {len(world.links)}; to the records {world.records[-3:]}; reports {len(world.control)}"
    )


async def run_program(environ: dict[str, str], *arguments: str) -> tuple[int, str, str]:
    """The exit code, output and errors of the program run to its end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "chutepin", *arguments, cwd=ROOT, env={**os.environ, **environ},
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    output, errors = await process.communicate()
    return process.returncode or 0, output.decode(), errors.decode()


def array(*items: bytes) -> bytes:
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class Balancer:
    """A balancer's connection that keeps arrays as they came; any other byte is an error."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def call(self, tag: int, cls: str, body: bytes, more: str = ",d=7000", id: str = "") -> str:
        """Send a request; its id."""
        id = id or f"{tag:016x}"
        fields = f"i={id},s={int(time.time() * 1000)},f=1,t=bernard-lodge,m=24.5,p=0.5{more}"
        self.writer.write(array(b"RPC.CALL", b"%d" % tag, cls.encode(), fields.encode(), body))
        return id

    async def next(self) -> list[str]:
        """The next array, masked; an empty list at the end of the connection."""
        async with asyncio.timeout(PATIENCE):
            head = await self.reader.readline()
            if not head:
                return []
            items = []
            for _ in range(int(head[1:-2])):
                length = await self.reader.readline()
                items.append(await self.reader.readexactly(int(length[1:-2])))
                assert length == b"$%d\r\n" % len(items[-1]) and await self.reader.readexactly(2) == b"\r\n"
        assert head == b"*%d\r\n" % len(items)
        if len(items) > 2:
            items[2] = re.sub(rb"\b([vw])=[0-9.e+-]+", rb"\1=#", items[2])
        return [item.decode("latin-1") for item in items]


class World:
    """A node and all that it speaks to."""

    def __init__(self) -> None:
        self.settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        self.name = "n3"
        self.arguments: tuple[str, ...] = ()
        self.welcomes = True
        self.holds_meters = False  # METERs are not answered: what the node has sent stays unconfirmed
        self.executor: list[str] = []  # messages, without METERs
        self.meters: list[str] = []
        self.notices = 0
        self.records: list[str] = []
        self.records_reply: list[bytes] = []  # words that end the next calls, in place of DONE
        self.refuses = False  # the records service answers WAIT to all
        self.silent: set[str] = set()  # runs that say nothing when they are stopped
        self.control: list[str] = []
        self.links: list[asyncio.StreamWriter] = []
        self.port = self.ops_port = 0
        self.process: asyncio.subprocess.Process | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[World]:
        """Run the program, until killed."""
        servers = [
            await asyncio.start_server(side, "127.0.0.1", 0)
            for side in (self._executor_side, self._records_side, self._control_side)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        self.port, self.ops_port = await free_port(), await free_port()
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "config.json"
            config = {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "ops": f"127.0.0.1:{self.ops_port}",
                "stop_ms": 1500,
                "settings": self.settings,
                "seed": "8c1f30d27a5be964",
            } | {
                name: f"127.0.0.1:{port}" for name, port in zip(("executor", "records", "control"), ports, strict=True)
            }
            path.write_text(json.dumps(config))
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "chutepin", *self.arguments, cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
                env={**os.environ, "LB_CONFIG": str(path)},
            )  # fmt: skip
            try:
                yield self
            finally:
                if self.process.returncode is None:
                    kill(self.process)
                await self.process.wait()
                for server in servers:
                    server.close()

    async def connect(self) -> Balancer:
        """A balancer, once the node listens."""
        return Balancer(*await self._dial(self.port))

    @staticmethod
    async def _dial(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        end = time.monotonic() + PATIENCE
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                assert time.monotonic() < end, "it never listened"
                await asyncio.sleep(0.02)

    async def ask(self, line: str) -> str:
        """An operator's call; the whole answer."""
        reader, writer = await self._dial(self.ops_port)
        writer.write(line.encode() + b"\n")
        async with asyncio.timeout(PATIENCE):
            answer = await reader.read()
        writer.close()
        return answer.decode()

    def notify(self, word: str, *rest: str | int, body: bytes) -> None:
        """Write a numbered notice to the node."""
        self.notices += 1
        head = " ".join(map(str, (word, self.notices, *rest, len(body))))
        self.links[-1].write(head.encode() + b"\r\n" + body + b"\r\n")

    def cut_unconfirmed(self) -> None:
        """Lose the executor's link while its last commands are in doubt; the next link answers METERs again."""
        self.links[-1].transport.abort()
        self.holds_meters = False

    async def got(self, message: str) -> None:
        """Wait for a message to the executor."""
        await until(lambda: message in self.executor)

    async def _executor_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            while line := (await reader.readuntil(b"\r\n")).decode():
                words = line.split()
                if words[0] in ("EXEC", "RETURN"):
                    line += (await reader.readexactly(int(words[-1]) + 2)).decode("latin-1")
                if words[0] == "METER":
                    self.meters.append(line)
                    if self.holds_meters:
                        continue
                    writer.write(f"METERS {words[1]} 0.1 1\r\n".encode())
                    continue
                if words[0] == "JOIN":
                    self.links.append(writer)
                    if self.welcomes:
                        writer.write(b"WELCOME hot 5\r\n")
                self.executor.append(line)
                if words[0] == "KILL" and words[1] not in self.silent:  # before any METER that follows
                    self.notify("EXIT", words[1], "cancelled", 10, body=b"")

    async def _records_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            while line := (await reader.readuntil(b"\r\n")).decode():
                words = line.split()
                body = await reader.readexactly(int(words[-1]) + 2) if words[0] == "OP" else b""
                wait = int(words[2]) if words[0] == "OP" else 1
                assert 0 < wait <= 20_000
                self.records.append(re.sub(r"^(OP \S+) \d+ ", r"\1 # ", line) + body.decode("latin-1"))
                word = self.records_reply.pop(0) if self.records_reply else b"WAIT" if self.refuses else b"DONE"
                reply = b" 5\r\na row\r\n" if word == b"DONE" else b"\r\n"
                writer.write(words[1].encode() + b" " + word + reply)

    async def _control_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                length = int(re.findall(r"(?i)content-length: (\d+)", head)[0])
                body = (await reader.readexactly(length)).decode()
                port = writer.get_extra_info("sockname")[1]
                self.control.append(head.replace(f"127.0.0.1:{port}", "127.0.0.1:#") + body)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


@asynccontextmanager
async def _shown_where_it_fails(world: World, answers: dict[str, list[str]]) -> AsyncIterator[None]:
    """Print what had happened where a wait fails."""
    try:
        yield
    except (AssertionError, TimeoutError):
        print(_describe(world, answers))
        raise


async def _served(found: dict[str, Any]) -> None:
    """Answers, commands, calls to the records, reports and health checks of one node."""
    world = World()
    world.name, world.welcomes = "n 3/\u00e9", False
    answers: dict[str, list[str]] = {}
    async with world.running(), _shown_where_it_fails(world, answers):
        balancer = await world.connect()
        await until(lambda: world.links and world.control)
        balancer.writer.write(array(b"RPC.HEALTH", b"1", b""))
        answers["health before the executor's welcome"] = await balancer.next()
        balancer.call(20, "position-push", b"too early")
        answers["refused before the executor's welcome"] = await balancer.next()
        world.welcomes = True
        world.links[-1].write(b"WELCOME hot 5\r\n")
        await until(lambda: world.meters)

        odd = bytes(range(256))
        id = balancer.call(3, "position-push", odd)
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.notify("EXIT", id, "complete", 200, body=odd)
        answers["served"] = await balancer.next()
        balancer.writer.write(array(b"RPC.HEALTH", b"2", b""))
        answers["health once ready"] = await balancer.next()

        id = balancer.call(4, "status-read", b"with a call")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.notify("CALLOUT", id, body=b"the call")
        await until(lambda: any(m.startswith(f"RETURN {id}") for m in world.executor))
        world.notify("EXIT", id, "complete", 200, body=b"done")
        answers["served after a call"] = await balancer.next()

        id = balancer.call(5, "work-order", b"call of unknown outcome", f",d=14000,k={KEY}")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.records_reply = [b"ERROR"]
        world.notify("CALLOUT", id, body=b"the call\r\n")
        answers["failed by a call of unknown outcome"] = await balancer.next()
        world.notify("EXIT", id, "error", 10, body=b"")

        id = balancer.call(6, "position-push", b"cancelled")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        balancer.writer.write(array(b"RPC.CANCEL", b"6"))
        await world.got(f"KILL {id}\r\n")

        id = balancer.call(23, "position-push", b"ends in an error")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.notify("EXIT", id, "error", 200, body=b"why")
        answers["failed by its run"] = await balancer.next()

        id = balancer.call(24, "status-read", b"goes on without the call")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.refuses = True
        world.notify("CALLOUT", id, body=b"refused")
        await until(lambda: any(m.startswith(f"BYPASS {id}") for m in world.executor))
        world.refuses = False
        world.notify("EXIT", id, "complete", 10, body=b"part of it")
        answers["served without the call"] = await balancer.next()

        world.holds_meters = True  # else a METERS would confirm the EXEC before a slow machine loses the link
        id = balancer.call(7, "work-order", b"in doubt", f",d=14000,k={KEY[::-1]}")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.cut_unconfirmed()
        await world.got(f"KILL {id}\r\n")  # asks whether it was begun; it was
        await world.got(f"WAKE {id}\r\n")
        world.notify("EXIT", id, "complete", 10, body=b"woken")
        answers["served over a lost link"] = await balancer.next()

        world.holds_meters = True
        id = balancer.call(25, "work-order", b"not read", f",d=14000,k={KEY[1:]}0")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.silent.add(id)
        world.cut_unconfirmed()
        await until(lambda: sum(m.startswith(f"EXEC {id}") for m in world.executor) == 2)
        world.notify("EXIT", id, "complete", 10, body=b"begun again")
        answers["served by a run that was told twice"] = await balancer.next()

        balancer.call(21, "work-order", b"without a key", ",d=14000")
        answers["a work order without a key"] = await balancer.next()
        balancer.call(22, "position-push", b"too late", ",d=0.001")
        answers["one whose time is over"] = await balancer.next()
        balancer.call(8, "nothing of this name", b"")
        answers["a class that there is not"] = await balancer.next()
        assert (await world.ask("drain")).startswith("SUCCESS")
        balancer.writer.write(array(b"RPC.HEALTH", b"9", b""))
        answers["health while drained"] = await balancer.next()

        await until(lambda: any('"NotReady"' in report for report in world.control))
        found["reports"] = list(dict.fromkeys(world.control))
        bad = await world.connect()
        bad.call(10, "position-push", b"open while it breaks off")
        await until(lambda: any("open while it breaks off" in m for m in world.executor))
        bad.writer.write(b"GET / HTTP/1.1\r\n\r\n")
        answers["what is open where the balancer is malformed"] = await bad.next()
        answers["the last words to it"] = await bad.next()
        answers["and then"] = await bad.next()

        assert world.process is not None
        send_signal(world.process, signal.SIGTERM)
        answers["leaving"] = await balancer.next()
        balancer.writer.close()
        assert await world.process.wait() == 0
    found["answers"] = answers
    assert world.meters[:3] == ["METER 1\r\n", "METER 2\r\n", "METER 3\r\n"]
    found["executor"] = world.executor
    found["records"] = list(dict.fromkeys(world.records))  # a call that is refused is made again, as time allows


def _encoded() -> dict[str, str]:
    """Answers as they are encoded: each verdict with and without a value, advice, the last word and a body."""
    found = {}
    for verdict, wait, last, value, body in itertools.product(
        ("served", "refused", "failed"),
        (0.0, 0.0001, 0.25),
        (False, True),
        (None, 0.0, 0.123456789, 2e6),
        (b"", b"a\r\n"),
    ):
        answer = Answer(Verdict(verdict), body, wait, last, value)
        found[f"{verdict} {wait} {last} {value} {body!r}"] = format_answer(b"17", answer).decode()
    return found


def _broken() -> dict[str, str | None]:
    """Broken files of the platform by what is wrong; None is one that is not there."""
    good = json.loads((ROOT / "deploy" / "example.json").read_text())
    changes: dict[str, dict[str, Any]] = {
        "an empty name": {"name": ""},
        "a listening address without a port": {"listen": "127.0.0.1"},
        "an executor's port too large": {"executor": "127.0.0.1:65536"},
        "a control plane that is a number": {"control": 7},
        "records without a host": {"records": ":7402"},
        "a seed that is not hexadecimal": {"seed": "xyz"},
        "no time to stop": {"stop_ms": 0},
        "limits that are a list": {"limits": []},
        "memory that is a text": {"limits": {"memory_mb": "192"}},
        "sockets below 0": {"limits": {"sockets": -1}},
        "an operators' address that is no address": {"ops": "here"},
        "settings that are null": {"settings": None},
        "settings that are empty": {"settings": {}},
        "categories that are empty": {"settings": good["settings"] | {"categories": []}},
    }
    files: dict[str, str | None] = {what: json.dumps(good | change) for what, change in changes.items()}
    return files | {"not there": None, "not JSON": "{", "not an object": "[]"}


async def _errors() -> dict[str, list[Any]]:
    """The exit code, output and errors for each broken file, its path masked."""
    turns = asyncio.Semaphore(4)
    with tempfile.TemporaryDirectory() as directory:

        async def one(index: int, source: str | None) -> list[Any]:
            path = Path(directory) / f"{index}.json"
            if source is not None:
                path.write_text(source)
            async with turns:
                code, output, errors = await run_program({"LB_CONFIG": str(path)})
            return [code, output, errors.replace(str(path), "FILE")]

        broken = _broken()
        results = await asyncio.gather(*(one(index, source) for index, source in enumerate(broken.values())))
    found = dict(zip(broken, results, strict=True))
    found["not set"] = list(await run_program({"LB_CONFIG": ""}))
    return found


def wire() -> dict[str, Any]:
    """What goes over the wires."""

    async def run() -> dict[str, Any]:
        found: dict[str, Any] = {}
        await _served(found)
        found["encoded answers"] = _encoded()
        return found

    return asyncio.run(run())


def errors() -> dict[str, list[Any]]:
    """What bad configuration is answered with."""
    return asyncio.run(_errors())


if __name__ == "__main__":
    KEPT.write_text(json.dumps({"wire": wire(), "errors": errors()}, indent=1) + "\n")
    print(KEPT.name)
