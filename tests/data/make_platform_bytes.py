"""Generates `platform.json` beside this file: the messages that the program sends to the platform services.

    python -m tests.data.make_platform_bytes

Runs the program between simulated services that share no protocol code with it. Time-dependent values are masked with
`#`: the value and advice of the decision module in answers, the remaining milliseconds of a call to the records
service, and ports."""

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
TIMEOUT_S = 60.0
SETTINGS = json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


async def until(condition: Callable[[], Any]) -> None:
    """Wait until the condition is true. Raises AssertionError after a generous time-out."""
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "condition not met within the time-out"
        await asyncio.sleep(0.005)


def _describe(world: World, answers: dict[str, list[str]]) -> str:
    """Return the messages observed so far, for diagnosis of a failed wait."""
    return (
        f"answers so far: {list(answers)}; to the executor: {world.executor[-8:]}; METERs {len(world.meters)}; "
        f"links {len(world.links)}; to the records service {world.records[-3:]}; reports {len(world.control)}"
    )


async def run_program(environ: dict[str, str], *arguments: str) -> tuple[int, str, str]:
    """Run the program to its end and return the exit code, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "chutepin", *arguments, cwd=ROOT, env={**os.environ, **environ},
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    output, errors = await process.communicate()
    return process.returncode or 0, output.decode(), errors.decode()


def array(*items: bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class Balancer:
    """A balancer connection that reads RESP arrays exactly; any unexpected byte is an error."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def call(self, tag: int, cls: str, body: bytes, more: str = ",d=7000", id: str = "") -> str:
        """Send a request and return its id."""
        id = id or f"{tag:016x}"
        fields = f"i={id},s={int(time.time() * 1000)},f=1,t=bernard-lodge,m=24.5,p=0.5{more}"
        self.writer.write(array(b"RPC.CALL", b"%d" % tag, cls.encode(), fields.encode(), body))
        return id

    async def next(self) -> list[str]:
        """Read the next array with masked values, or an empty list at the end of the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            header = await self.reader.readline()
            if not header:
                return []
            items = []
            for _ in range(int(header[1:-2])):
                length = await self.reader.readline()
                items.append(await self.reader.readexactly(int(length[1:-2])))
                assert length == b"$%d\r\n" % len(items[-1]) and await self.reader.readexactly(2) == b"\r\n"
        assert header == b"*%d\r\n" % len(items)
        if len(items) > 2:
            items[2] = re.sub(rb"\b([vw])=[0-9.e+-]+", rb"\1=#", items[2])
        return [item.decode("latin-1") for item in items]


class World:
    """A node and the simulated services connected to it, with the messages that they received."""

    def __init__(self) -> None:
        self.settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        self.name = "n3"
        self.arguments: tuple[str, ...] = ()
        self.sends_welcome = True
        self.withholds_meters = False  # leaves METERs unanswered, so that messages from the node stay unconfirmed
        self.executor: list[str] = []  # messages, without METERs
        self.meters: list[str] = []
        self.notices = 0
        self.records: list[str] = []
        self.records_reply: list[bytes] = []  # replies to the next calls, instead of DONE
        self.refuses_records = False  # the records service answers every call with WAIT
        self.silent_runs: set[str] = set()  # runs that send no EXIT after KILL
        self.control: list[str] = []
        self.links: list[asyncio.StreamWriter] = []
        self.port = self.ops_port = 0
        self.process: asyncio.subprocess.Process | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[World]:
        """Run the program and the simulated services; kill the program on exit."""
        servers = [
            await asyncio.start_server(handler, "127.0.0.1", 0)
            for handler in (self._executor_side, self._records_side, self._control_side)
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
        """Connect as a balancer, as soon as the node listens."""
        return Balancer(*await self._dial(self.port))

    @staticmethod
    async def _dial(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        end = time.monotonic() + TIMEOUT_S
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                assert time.monotonic() < end, "no listener on the port within the time-out"
                await asyncio.sleep(0.02)

    async def ask(self, line: str) -> str:
        """Send an operator command and return the whole answer."""
        reader, writer = await self._dial(self.ops_port)
        writer.write(line.encode() + b"\n")
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
        writer.close()
        return answer.decode()

    def notify(self, verb: str, *rest: str | int, body: bytes) -> None:
        """Send a numbered notice from the executor to the node."""
        self.notices += 1
        head = " ".join(map(str, (verb, self.notices, *rest, len(body))))
        self.links[-1].write(head.encode() + b"\r\n" + body + b"\r\n")

    def cut_unconfirmed(self) -> None:
        """Abort the executor link while its last commands are unconfirmed. The next link answers METERs again."""
        self.links[-1].transport.abort()
        self.withholds_meters = False

    async def wait_for_message(self, message: str) -> None:
        """Wait until the executor has received the message."""
        await until(lambda: message in self.executor)

    async def _executor_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            while line := (await reader.readuntil(b"\r\n")).decode():
                fields = line.split()
                if fields[0] in ("EXEC", "RETURN"):
                    line += (await reader.readexactly(int(fields[-1]) + 2)).decode("latin-1")
                if fields[0] == "METER":
                    self.meters.append(line)
                    if self.withholds_meters:
                        continue
                    writer.write(f"METERS {fields[1]} 0.1 1\r\n".encode())
                    continue
                if fields[0] == "JOIN":
                    self.links.append(writer)
                    if self.sends_welcome:
                        writer.write(b"WELCOME hot 5\r\n")
                self.executor.append(line)
                if fields[0] == "KILL" and fields[1] not in self.silent_runs:  # answered before any later METER
                    self.notify("EXIT", fields[1], "cancelled", 10, body=b"")

    async def _records_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            while line := (await reader.readuntil(b"\r\n")).decode():
                fields = line.split()
                body = await reader.readexactly(int(fields[-1]) + 2) if fields[0] == "OP" else b""
                wait = int(fields[2]) if fields[0] == "OP" else 1
                assert 0 < wait <= 20_000
                self.records.append(re.sub(r"^(OP \S+) \d+ ", r"\1 # ", line) + body.decode("latin-1"))
                status = (
                    self.records_reply.pop(0) if self.records_reply else b"WAIT" if self.refuses_records else b"DONE"
                )
                reply = b" 5\r\na row\r\n" if status == b"DONE" else b"\r\n"
                writer.write(fields[1].encode() + b" " + status + reply)

    async def _control_side(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                length = int(re.findall(r"(?i)content-length: (\d+)", head)[0])
                body = (await reader.readexactly(length)).decode()
                port = writer.get_extra_info("sockname")[1]
                self.control.append(head.replace(f"127.0.0.1:{port}", "127.0.0.1:#") + body)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


@asynccontextmanager
async def _print_state_on_failure(world: World, answers: dict[str, list[str]]) -> AsyncIterator[None]:
    """Print the messages observed so far if a wait in the block fails."""
    try:
        yield
    except (AssertionError, TimeoutError):
        print(_describe(world, answers))
        raise


async def _collect_messages(collected: dict[str, Any]) -> None:
    """Collect the answers, commands, record calls, reports and health checks of one node."""
    world = World()
    world.name, world.sends_welcome = "n 3/\u00e9", False
    answers: dict[str, list[str]] = {}
    async with world.running(), _print_state_on_failure(world, answers):
        balancer = await world.connect()
        await until(lambda: world.links and world.control)
        balancer.writer.write(array(b"RPC.HEALTH", b"1", b""))
        answers["health before the executor's welcome"] = await balancer.next()
        balancer.call(20, "position-push", b"too early")
        answers["refused before the executor's welcome"] = await balancer.next()
        world.sends_welcome = True
        world.links[-1].write(b"WELCOME hot 5\r\n")
        await until(lambda: world.meters)

        all_bytes = bytes(range(256))
        id = balancer.call(3, "position-push", all_bytes)
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.notify("EXIT", id, "complete", 200, body=all_bytes)
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
        await world.wait_for_message(f"KILL {id}\r\n")

        id = balancer.call(23, "position-push", b"ends in an error")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.notify("EXIT", id, "error", 200, body=b"why")
        answers["failed by its run"] = await balancer.next()

        id = balancer.call(24, "status-read", b"goes on without the call")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.refuses_records = True
        world.notify("CALLOUT", id, body=b"refused")
        await until(lambda: any(m.startswith(f"BYPASS {id}") for m in world.executor))
        world.refuses_records = False
        world.notify("EXIT", id, "complete", 10, body=b"part of it")
        answers["served without the call"] = await balancer.next()

        world.withholds_meters = True  # otherwise a METERS can confirm the EXEC before a slow machine drops the link
        id = balancer.call(7, "work-order", b"in doubt", f",d=14000,k={KEY[::-1]}")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.cut_unconfirmed()
        # KILL asks whether the run has started; the executor confirms the start.
        await world.wait_for_message(f"KILL {id}\r\n")
        await world.wait_for_message(f"WAKE {id}\r\n")
        world.notify("EXIT", id, "complete", 10, body=b"woken")
        answers["served over a lost link"] = await balancer.next()

        world.withholds_meters = True
        id = balancer.call(25, "work-order", b"not read", f",d=14000,k={KEY[1:]}0")
        await until(lambda: any(m.startswith(f"EXEC {id}") for m in world.executor))
        world.silent_runs.add(id)
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
        collected["reports"] = list(dict.fromkeys(world.control))
        malformed = await world.connect()
        malformed.call(10, "position-push", b"open while it breaks off")
        await until(lambda: any("open while it breaks off" in m for m in world.executor))
        malformed.writer.write(b"GET / HTTP/1.1\r\n\r\n")
        answers["what is open where the balancer is malformed"] = await malformed.next()
        answers["the last words to it"] = await malformed.next()
        answers["and then"] = await malformed.next()

        assert world.process is not None
        send_signal(world.process, signal.SIGTERM)
        answers["leaving"] = await balancer.next()
        balancer.writer.close()
        assert await world.process.wait() == 0
    collected["answers"] = answers
    assert world.meters[:3] == ["METER 1\r\n", "METER 2\r\n", "METER 3\r\n"]
    collected["executor"] = world.executor
    collected["records"] = list(dict.fromkeys(world.records))  # refused calls are retried a varying number of times


def _encoded_answers() -> dict[str, str]:
    """Return encoded answers: each verdict with and without a value, advice, the flag `last` and a body."""
    collected = {}
    for verdict, wait, last, value, body in itertools.product(
        ("served", "refused", "failed"),
        (0.0, 0.0001, 0.25),
        (False, True),
        (None, 0.0, 0.123456789, 2e6),
        (b"", b"a\r\n"),
    ):
        answer = Answer(Verdict(verdict), body, wait, last, value)
        collected[f"{verdict} {wait} {last} {value} {body!r}"] = format_answer(b"17", answer).decode()
    return collected


def _invalid_configs() -> dict[str, str | None]:
    """Return invalid configuration files by their fault; None stands for a missing file."""
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
    files: dict[str, str | None] = {fault: json.dumps(good | change) for fault, change in changes.items()}
    return files | {"not there": None, "not JSON": "{", "not an object": "[]"}


async def _collect_errors() -> dict[str, list[Any]]:
    """Return the exit code, output and errors for each invalid file, with its path masked."""
    concurrency = asyncio.Semaphore(4)
    with tempfile.TemporaryDirectory() as directory:

        async def run_with_config(index: int, source: str | None) -> list[Any]:
            path = Path(directory) / f"{index}.json"
            if source is not None:
                path.write_text(source)
            async with concurrency:
                code, output, errors = await run_program({"LB_CONFIG": str(path)})
            return [code, output, errors.replace(str(path), "FILE")]

        configs = _invalid_configs()
        results = await asyncio.gather(
            *(run_with_config(index, source) for index, source in enumerate(configs.values()))
        )
    collected = dict(zip(configs, results, strict=True))
    collected["not set"] = list(await run_program({"LB_CONFIG": ""}))
    return collected


def wire() -> dict[str, Any]:
    """Return the messages on all connections, and encoded answers."""

    async def run() -> dict[str, Any]:
        collected: dict[str, Any] = {}
        await _collect_messages(collected)
        collected["encoded answers"] = _encoded_answers()
        return collected

    return asyncio.run(run())


def errors() -> dict[str, list[Any]]:
    """Return the exit codes, output and errors for invalid configurations."""
    return asyncio.run(_collect_errors())


if __name__ == "__main__":
    KEPT.write_text(json.dumps({"wire": wire(), "errors": errors()}, indent=1) + "\n")
    print(KEPT.name)
