"""Settings that differ from the example's, and races between an ending and work in progress.

The tests run on real sockets, most of them with the real program; stand-ins hold, close or send on command."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

import pytest

from chutepin.admission import DescriptorBudget
from chutepin.clock import Clock
from chutepin.config import Address
from chutepin.config.platform import parse
from chutepin.counters import Counters
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.net import records, streams
from chutepin.net.executor import ExecutorLink, Session
from chutepin.net.executor import link as executor_link
from chutepin.net.records import RecordsService
from chutepin.net.resp import BYE, RespListener, RespParser, array
from chutepin.node import Node
from chutepin.testbench.signals import send_signal
from chutepin.testbench.standins.platform import EXAMPLE, eventually, free_port

from .helper import Core, Standins
from .test_node import KEY, on_sockets


@pytest.mark.parametrize("wait_ms", [None, 0])
def test_deadline_of_a_call_is_optional(wait_ms: int | None) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["passesDeadline"] = False
        await world.start(stack)
        balancer = await world.connect()
        for cls, key in (("position-push", None), ("work-order", KEY)):
            assert (await balancer.answer(balancer.call(cls, b"x", key, wait_ms)))[0] == b"OK"
        assert "balancers.malformed" not in await world.leave()

    on_sockets(test)


def test_missing_deadline_defaults_to_that_of_the_class() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["passesDeadline"] = False
        world.env["categories"][1] |= {"slo": 0.2, "deadline": 0.4}
        world.hold = {b"x"}
        await world.start(stack)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x", wait=None)))[0] == b"FAILED"
        assert len(world.runs) == 1

    on_sockets(test)


def test_class_and_tenant_names_may_use_any_script() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["categories"][1]["name"] = "état-pompe"
        world.env["tenants"][0]["name"] = "ção-joão"
        world.hold = {b"x"}
        await world.start(stack)
        balancer = await world.connect()
        tag = balancer.call("état-pompe", b"x", team="ção-joão")
        await eventually(lambda: world.runs)
        id, cls, _ = world.runs[0]
        world.finish(id, b"fine")
        assert (await balancer.answer(tag))[0] == b"OK" and cls == "état-pompe"

    on_sockets(test)


@pytest.mark.parametrize("setting", ["servers", "senders"])
def test_node_starts_without_servers_or_senders(setting: str) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        (world.env if setting == "servers" else world.env["familyInfo"])[setting] = 0
        world.env["categories"][1]["slo"] = 90.0  # beyond the deadline, so that only the deadline limits an answer
        await world.start(stack)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"

    on_sockets(test)


# --- process start ---


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1])
def test_signal_during_startup_is_handled_once_the_event_loop_runs(number: signal.Signals) -> None:
    """The configuration file is a pipe, so that the program is known to be reading it when the signal is sent.

    The content of the pipe names an executor that does not exist. The file that has replaced the pipe meanwhile
    names the right one."""

    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.port = await free_port()
        world.path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "config.json"
        await world.configure(stack)
        valid_file = world.path.rename(world.path.with_name("good.json"))
        outdated = json.loads(valid_file.read_text()) | {"executor": f"127.0.0.1:{await free_port()}"}
        os.mkfifo(world.path)
        await world.spawn()
        stack.push_async_callback(world.kill)
        pipe = await asyncio.to_thread(open, world.path, "wb")  # returns once the program has opened the pipe
        os.replace(valid_file, world.path)
        assert world.process is not None and world.process.stderr is not None
        send_signal(world.process, number)
        pipe.write(json.dumps(outdated if number is signal.SIGHUP else json.loads(world.path.read_text())).encode())
        pipe.close()
        if number is not signal.SIGTERM:
            await eventually(lambda: world.joins or (world.process and world.process.returncode is not None))
            send_signal(world.process, signal.SIGTERM)
        log = (await world.process.stderr.read()).decode()
        assert await world.process.wait() == 0 and "leaving" in log, log
        assert ("reloads=1" in log) == (number is signal.SIGHUP)
        assert log.count("chutepin: counters") == 1 + (number is signal.SIGUSR1)

    on_sockets(test)


def test_failed_subsystem_is_restarted() -> None:
    node, calls = Node(parse(EXAMPLE, {})), 0

    async def subsystem() -> None:
        nonlocal calls
        calls += 1
        assert calls > 1

    asyncio.run(node._restart_on_error(subsystem))
    assert calls == 2 and node.counters.counts["errors"] == 1


# --- the listener in this process; races are forced between two iterations of the event loop ---


def run_with_listener(test: Callable[[Core, RespListener, int], Awaitable[None]]) -> None:
    """Run a test with a listener on a real socket, over a core with recording ports."""

    async def run() -> None:
        core = Core()
        front = RespListener(core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 64)
        await front.listen(Address("127.0.0.1", 0))
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 20):
            await test(core, front, front.listeners[0].getsockname()[1])
        front.leave()

    asyncio.run(run())


def call(core: Core, tag: int, cls: str = "position-push", **fields: object) -> bytes:
    """Encode a request by the clock of the test."""
    request_fields = {
        "i": f"{tag:016x}",
        "s": int(core.hand.time * 1000),
        "f": 1,
        "t": "bernard-lodge",
        "d": 5000,
        "m": 24.5,
        "p": 0.5,
    } | fields
    return array(
        b"RPC.CALL", b"%d" % tag, cls.encode(), ",".join(f"{k}={v}" for k, v in request_fields.items()).encode(), b"x"
    )


async def read_messages(sock: socket.socket) -> list[list[bytes]]:
    """Return all messages that arrive until the node closes or resets the connection."""
    loop, parser, messages = asyncio.get_running_loop(), RespParser(), []
    sock.setblocking(False)
    with suppress(ConnectionResetError):
        while data := await loop.sock_recv(sock, 65536):
            parser.feed(data)
            while (items := parser.next()) is not None:
                messages.append(items)
    return messages


@pytest.mark.parametrize("method", ["leave", "yield_ownership"])
def test_bye_is_sent_on_connection_accepted_just_before_leaving(method: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        serve = front.serve

        def serve_and_end(sock: socket.socket, address: bytes) -> None:
            serve(sock, address)
            asyncio.get_running_loop().call_soon(getattr(front, method))

        monkeypatch.setattr(front, "serve", serve_and_end)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client, 100) == BYE

    run_with_listener(test)


def test_request_in_accept_backlog_is_answered_when_the_node_leaves() -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:  # the event loop does not run from here on
            client.sendall(call(core, 7))
            front.leave()
            await eventually(lambda: core.ports.ids("exec"))
            core.end(core.ports.ids("exec")[0])
            client.shutdown(socket.SHUT_WR)
            assert [items[:2] for items in await read_messages(client)] == [[b"0", b"BYE"], [b"7", b"OK"]]

    run_with_listener(test)


async def send_thirty_requests(core: Core, client: socket.socket, port: int, more: bytes) -> None:
    """Send thirty requests, then `more`, from a balancer with a small receive buffer that does not read."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", port))
    await asyncio.get_running_loop().sock_sendall(client, b"".join(call(core, tag) for tag in range(1, 31)) + more)
    await eventually(lambda: core.counters.counts["requests"] == 30)


def answer_all(core: Core) -> None:
    """End all runs with long results, until no request is open."""
    ended: set[str] = set()
    while core.broker.awaiting_response_count:
        for id in set(core.ports.ids("exec")) - ended:
            ended.add(id)
            core.broker.run_ended(id, End.OK, 0.1, b"r" * 3500)
        core.pass_time(0.01)


def test_slow_half_closed_balancer_receives_all_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        front.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        closed, close = asyncio.Event(), asyncio.StreamWriter.close

        def closing(writer: asyncio.StreamWriter) -> None:
            close(writer)
            closed.set()

        with socket.socket() as client:
            await send_thirty_requests(core, client, port, b"")
            client.shutdown(socket.SHUT_WR)
            monkeypatch.setattr(asyncio.StreamWriter, "close", closing)
            answer_all(core)
            await closed.wait()
            for _ in range(5):  # callbacks scheduled by the close run
                await asyncio.sleep(0)
            assert len(await read_messages(client)) == 30

    run_with_listener(test)


# --- links to the executor and the records service ---


class RecordingServer:
    """A server that records the lines and the connections that it receives."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.ends: list[End] = []

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            self.lines.append(line)
        writer.close()

    def call_ended(self, id: str, end: End, reply: bytes) -> None:
        self.ends.append(end)


def unresponsive_address(stack: AsyncExitStack) -> Address:
    """Return an address that neither accepts nor refuses connections, as its backlog is full."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(4):
        client = stack.enter_context(socket.socket())
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
    return Address(*listener.getsockname())


def run_with_timeout(test: Callable[[AsyncExitStack], Awaitable[None]]) -> None:
    """Run a test with a time limit."""

    async def run() -> None:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 15), AsyncExitStack() as stack:
            await test(stack)

    asyncio.run(run())


def make_link(address: Address) -> ExecutorLink:
    clock, counters = Clock(), Counters()
    log = Log(clock)
    return ExecutorLink(address, Session(clock, counters, log, False), counters, log)


def test_address_change_while_connecting_reaches_the_new_executor(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(stack: AsyncExitStack) -> None:
        old, new = RecordingServer(), RecordingServer()
        link, new_address, connect = make_link(await old.start()), await new.start(), streams.open_connection

        async def connect_during_move(host: str, port: int) -> Any:
            streams = await connect(host, port)
            link.move(new_address)
            return streams

        monkeypatch.setattr(executor_link, "open_connection", connect_during_move)
        running = asyncio.ensure_future(link.run())
        await eventually(lambda: new.lines)
        assert new.lines == [b"JOIN 0\r\n"] and not old.lines
        running.cancel()

    run_with_timeout(test)


def test_address_change_during_unanswered_connect_reaches_the_new_executor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(executor_link, "CONNECT_TIMEOUT_S", 0.2)

    async def test(stack: AsyncExitStack) -> None:
        new = RecordingServer()
        link = make_link(unresponsive_address(stack))
        running = asyncio.ensure_future(link.run())
        await asyncio.sleep(0)
        link.move(await new.start())
        await eventually(lambda: new.lines)
        running.cancel()

    run_with_timeout(test)


def test_unanswered_connect_to_records_service_frees_its_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(records, "CONNECT_TIMEOUT_S", 0.2)

    async def test(stack: AsyncExitStack) -> None:
        recording, clock, descriptors = RecordingServer(), Clock(), DescriptorBudget(64, {"records": (0, 8)})
        service = RecordsService(unresponsive_address(stack), clock, Counters(), Log(clock), 8, descriptors)
        service.listener = recording
        for id in "abc":
            service.call(id, clock.now() + 60, b"x", repeatable=False)
        assert descriptors.in_use == 3
        await eventually(lambda: len(recording.ends) == 3)
        assert recording.ends == [End.UNREACHABLE] * 3 and not descriptors.in_use  # unwritten calls have not run

    run_with_timeout(test)


def test_long_log_notice_does_not_close_the_executor_link() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        world.notify("LOG", "x" * 9000)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"
        assert world.joins == [0]

    on_sockets(test)


def test_node_name_may_use_any_script() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.name = "nœud 3/b"
        await world.start(stack)
        await eventually(lambda: len(world.reports) > 1)
        assert world.reports[0].startswith(b"PUT /v2/endpoints/n%C5%93ud%203%2Fb HTTP/1.1 ")

    on_sockets(test)
