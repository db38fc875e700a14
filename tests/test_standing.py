"""What the standing test asks: other customers' settings, and instants at which something ends while
something is owed.

All on real sockets with the real program; stand-ins hold, close or send on command."""

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
from chutepin.net import records
from chutepin.net.executor import ExecutorLink, Session
from chutepin.net.executor import link as executor_link
from chutepin.net.records import RecordsService
from chutepin.net.resp import BYE, RespListener, RespParser, array
from chutepin.node import Node
from chutepin.testbench.signals import send_signal
from chutepin.testbench.standins.platform import EXAMPLE, eventually, free_port

from .helper import Core, Standins
from .test_node import KEY, on_sockets


@pytest.mark.parametrize("wait", [None, 0])
def test_callers_need_not_say_how_long_they_wait(wait: int | None) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["passesDeadline"] = False
        await world.start(stack)
        balancer = await world.connect()
        for cls, key in (("position-push", None), ("work-order", KEY)):
            assert (await balancer.answer(balancer.call(cls, b"x", key, wait)))[0] == b"OK"
        assert "balancers.malformed" not in await world.leave()

    on_sockets(test)


def test_an_untold_deadline_is_that_of_the_class() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["passesDeadline"] = False
        world.env["categories"][1] |= {"slo": 0.2, "deadline": 0.4}
        world.hold = {b"x"}
        await world.start(stack)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x", wait=None)))[0] == b"FAILED"
        assert len(world.runs) == 1

    on_sockets(test)


def test_names_come_in_any_letters() -> None:
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


@pytest.mark.parametrize("name", ["servers", "senders"])
def test_a_node_starts_where_the_list_is_empty(name: str) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        (world.env if name == "servers" else world.env["familyInfo"])[name] = 0
        world.env["categories"][1]["slo"] = 90.0  # past the deadline: whatever comes in time is in time
        await world.start(stack)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"

    on_sockets(test)


# --- the start ---


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1])
def test_a_signal_that_crosses_the_start_is_kept_until_the_loop_hears_it(number: signal.Signals) -> None:
    """The configuration is a pipe: the program is known to be reading it, and goes on only once the signal was sent.
    What it reads leads to an executor that is not there; the file that lies there since then leads to the right one."""

    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.port = await free_port()
        world.path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "config.json"
        await world.configure(stack)
        good = world.path.rename(world.path.with_name("good.json"))
        old = json.loads(good.read_text()) | {"executor": f"127.0.0.1:{await free_port()}"}
        os.mkfifo(world.path)
        await world.spawn()
        stack.push_async_callback(world.kill)
        pipe = await asyncio.to_thread(open, world.path, "wb")  # returns once the program reads
        os.replace(good, world.path)
        assert world.process is not None and world.process.stderr is not None
        send_signal(world.process, number)
        pipe.write(json.dumps(old if number is signal.SIGHUP else json.loads(world.path.read_text())).encode())
        pipe.close()
        if number is not signal.SIGTERM:
            await eventually(lambda: world.joins or (world.process and world.process.returncode is not None))
            send_signal(world.process, signal.SIGTERM)
        log = (await world.process.stderr.read()).decode()
        assert await world.process.wait() == 0 and "leaving" in log, log
        assert ("reloads=1" in log) == (number is signal.SIGHUP)
        assert log.count("chutepin: counters") == 1 + (number is signal.SIGUSR1)

    on_sockets(test)


def test_a_part_of_the_node_that_fails_is_begun_again() -> None:
    node, turns = Node(parse(EXAMPLE, {})), 0

    async def part() -> None:
        nonlocal turns
        turns += 1
        assert turns > 1

    asyncio.run(node._restart_on_error(part))
    assert turns == 2 and node.counters.counts["errors"] == 1


# --- the front, in this process: what crosses is put between two steps of the loop ---


def on_front(test: Callable[[Core, RespListener, int], Awaitable[None]]) -> None:
    """Run a test with a front that listens on a real socket, over a core with recording ports."""

    async def run() -> None:
        core = Core()
        front = RespListener(core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 64)
        await front.listen(Address("127.0.0.1", 0))
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 20):
            await test(core, front, front.listeners[0].getsockname()[1])
        front.leave()

    asyncio.run(run())


def call(core: Core, tag: int, cls: str = "position-push", **fields: object) -> bytes:
    """A request by the clock of the test."""
    told = {
        "i": f"{tag:016x}",
        "s": int(core.hand.time * 1000),
        "f": 1,
        "t": "bernard-lodge",
        "d": 5000,
        "m": 24.5,
        "p": 0.5,
    } | fields
    return array(b"RPC.CALL", b"%d" % tag, cls.encode(), ",".join(f"{k}={v}" for k, v in told.items()).encode(), b"x")


async def heard(sock: socket.socket) -> list[list[bytes]]:
    """All that comes until the node closes; a reset ends it too."""
    loop, parser, messages = asyncio.get_running_loop(), RespParser(), []
    sock.setblocking(False)
    with suppress(ConnectionResetError):
        while data := await loop.sock_recv(sock, 65536):
            parser.feed(data)
            while (items := parser.next()) is not None:
                messages.append(items)
    return messages


@pytest.mark.parametrize("how", ["leave", "yield_ownership"])
def test_the_farewell_reaches_a_connection_that_has_not_begun(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        serve = front.serve

        def crossing(sock: socket.socket, address: bytes) -> None:
            serve(sock, address)
            asyncio.get_running_loop().call_soon(getattr(front, how))

        monkeypatch.setattr(front, "serve", crossing)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(client, 100) == BYE

    on_front(test)


def test_what_the_system_has_accepted_is_answered_though_the_node_leaves() -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:  # the loop has no turn from here on
            client.sendall(call(core, 7))
            front.leave()
            await eventually(lambda: core.ports.ids("exec"))
            core.end(core.ports.ids("exec")[0])
            client.shutdown(socket.SHUT_WR)
            assert [items[:2] for items in await heard(client)] == [[b"0", b"BYE"], [b"7", b"OK"]]

    on_front(test)


async def asks(core: Core, client: socket.socket, port: int, more: bytes) -> None:
    """Thirty requests from a balancer that has little room for answers and does not read, then more."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", port))
    await asyncio.get_running_loop().sock_sendall(client, b"".join(call(core, tag) for tag in range(1, 31)) + more)
    await eventually(lambda: core.counters.counts["requests"] == 30)


def answer_all(core: Core) -> None:
    """End all runs with long results, until nothing is in hand."""
    begun: set[str] = set()
    while core.broker.awaiting_response_count:
        for id in set(core.ports.ids("exec")) - begun:
            begun.add(id)
            core.broker.run_ended(id, End.OK, 0.1, b"r" * 3500)
        core.pass_time(0.01)


def test_a_half_closed_balancer_that_reads_slowly_gets_all_its_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        front.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        closed, close = asyncio.Event(), asyncio.StreamWriter.close

        def closing(writer: asyncio.StreamWriter) -> None:
            close(writer)
            closed.set()

        with socket.socket() as client:
            await asks(core, client, port, b"")
            client.shutdown(socket.SHUT_WR)
            monkeypatch.setattr(asyncio.StreamWriter, "close", closing)
            answer_all(core)
            await closed.wait()
            for _ in range(5):  # whatever follows the close in the same breath has its turn
                await asyncio.sleep(0)
            assert len(await heard(client)) == 30

    on_front(test)


# --- the links ---


class Listening:
    """Notes who joins, or calls, at an address."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.ends: list[End] = []

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self._met, "127.0.0.1", 0)
        return Address("127.0.0.1", self.server.sockets[0].getsockname()[1])

    async def _met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            self.lines.append(line)
        writer.close()

    def call_ended(self, id: str, end: End, reply: bytes) -> None:
        self.ends.append(end)


def silent(stack: AsyncExitStack) -> Address:
    """An address that takes no connection and refuses none: its backlog is full."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(4):
        client = stack.enter_context(socket.socket())
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
    return Address(*listener.getsockname())


def on_links(test: Callable[[AsyncExitStack], Awaitable[None]]) -> None:
    """Run a test, in bounded time."""

    async def run() -> None:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 15), AsyncExitStack() as stack:
            await test(stack)

    asyncio.run(run())


def link_to(address: Address) -> ExecutorLink:
    clock, counters = Clock(), Counters()
    log = Log(clock)
    return ExecutorLink(address, Session(clock, counters, log, False), counters, log)


def test_an_executor_that_moves_while_its_link_is_met_is_met_where_it_is(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(stack: AsyncExitStack) -> None:
        old, new = Listening(), Listening()
        link, moved, met = link_to(await old.start()), await new.start(), asyncio.open_connection

        async def crossing(host: str, port: int) -> Any:
            streams = await met(host, port)
            link.move(moved)
            return streams

        monkeypatch.setattr(asyncio, "open_connection", crossing)
        running = asyncio.ensure_future(link.run())
        await eventually(lambda: new.lines)
        assert new.lines == [b"JOIN 0\r\n"] and not old.lines
        running.cancel()

    on_links(test)


def test_an_executor_that_does_not_answer_is_left_for_where_it_has_moved(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(executor_link, "CONNECT_TIMEOUT_S", 0.2)

    async def test(stack: AsyncExitStack) -> None:
        new = Listening()
        link = link_to(silent(stack))
        running = asyncio.ensure_future(link.run())
        await asyncio.sleep(0)
        link.move(await new.start())
        await eventually(lambda: new.lines)
        running.cancel()

    on_links(test)


def test_a_records_service_that_takes_no_connection_holds_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(records, "CONNECT_TIMEOUT_S", 0.2)

    async def test(stack: AsyncExitStack) -> None:
        listening, clock, descriptors = Listening(), Clock(), DescriptorBudget(64, {"records": (0, 8)})
        service = RecordsService(silent(stack), clock, Counters(), Log(clock), 8, descriptors)
        service.listener = listening
        for id in "abc":
            service.call(id, clock.now() + 60, b"x", repeatable=False)
        assert descriptors.in_use == 3
        await eventually(lambda: len(listening.ends) == 3)
        assert listening.ends == [End.UNREACHABLE] * 3 and not descriptors.in_use  # never written: none has run

    on_links(test)


def test_a_long_remark_of_the_executor_does_not_cost_the_link() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        world.notify("LOG", "x" * 9000)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"
        assert world.joins == [0]

    on_sockets(test)


def test_a_node_s_name_may_have_any_letters() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.name = "nœud 3/b"
        await world.start(stack)
        await eventually(lambda: len(world.reports) > 1)
        assert world.reports[0].startswith(b"PUT /v2/endpoints/n%C5%93ud%203%2Fb HTTP/1.1 ")

    on_sockets(test)
