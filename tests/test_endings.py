"""What crosses an ending: bytes that come as a connection is closed, a notice that is heard late, a call that is placed
as its connection goes.

On real sockets. Between two steps of a test the loop has no turn unless the text awaits, so what is sent there lies in
the system unread: that is how each crossing is forced, in both orders."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, suppress
from types import FrameType
from typing import Any

import pytest

from chutepin import signals
from chutepin.admission import AcceptDecision, DescriptorBudget
from chutepin.clock import Clock
from chutepin.config import Address
from chutepin.counters import Counters
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.net.executor import ExecutorLink, Session
from chutepin.net.records import RecordsService
from chutepin.net.resp import Connection, RespListener, sockets
from chutepin.net.resp.connection import MESSAGE_TIMEOUT_S
from chutepin.net.resp.listener import FIRST_MESSAGE_TIMEOUT_S
from chutepin.net.resp.timeouts import BYE_GRACE_S, DRAIN_READ_S
from chutepin.testbench.signals import send_signal
from chutepin.testbench.standins.platform import eventually

from .helper import ENV, Core, Hand, Standins
from .test_node import on_sockets
from .test_standing import answer_all, asks, call, heard, on_front, on_links

# --- connections that are closed by this end ---


def ended(core: Core, count: int) -> None:
    """End the runs of so many requests that have just begun."""
    for id in core.ports.ids("exec")[-count:]:
        core.end(id)


async def at_rest(core: Core, front: RespListener, port: int, how: str) -> tuple[socket.socket, Callable[[], object]]:
    """A balancer's connection that is about to be closed, and what closes it once its time has come."""
    client = socket.create_connection(("127.0.0.1", port))
    if how == "first":  # it owes its first message
        await eventually(lambda: front._links)
        core.hand.time += FIRST_MESSAGE_TIMEOUT_S + 0.1
        return client, front.close_idle
    client.sendall(call(core, 6))
    await eventually(lambda: core.ports.ids("exec"))
    ended(core, 1)
    if how == "idle":
        next(iter(front.connections.values())).send_bye(core.hand.time)
        core.hand.time += BYE_GRACE_S + 0.5
        return client, front.close_idle
    core.hand.time += 1.9
    front.max_connections = 1
    return client, lambda: front.decide(b"\x7f\0\0\1", short=False)


@pytest.mark.parametrize("where", ["lies in the system", "was read"])
@pytest.mark.parametrize("how", ["first", "idle", "evicted"])
def test_a_request_that_came_before_its_connection_is_closed_is_answered(
    how: str, where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It lay there while the loop was at work elsewhere, and its balancer would not send it again after that long."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        client, closes = await at_rest(core, front, port, how)
        before, feed, closed = len(core.ports.ids("exec")), asyncio.StreamReader.feed_data, list[object]()

        def crossing(reader: asyncio.StreamReader, data: bytes) -> None:
            feed(reader, data)
            closed.append(closes())

        if where == "was read":
            monkeypatch.setattr(asyncio.StreamReader, "feed_data", crossing)
        client.sendall(call(core, 7))
        if where != "was read":
            closed.append(closes())
        await eventually(lambda: len(core.ports.ids("exec")) > before)
        monkeypatch.undo()
        ended(core, 1)
        assert closed[0] is (AcceptDecision.DROP if how == "evicted" else None)
        client.shutdown(socket.SHUT_WR)
        answers = await heard(client)
        assert [items[1] for items in answers if items[0] == b"7"] == [b"OK"]
        client.close()

    on_front(test)


@pytest.mark.parametrize("how", ["first", "idle", "evicted"])
def test_a_request_that_comes_after_its_connection_was_closed_does_not_run(how: str) -> None:
    """The other order. No answer could be written, and its balancer, which sees the close, sends it again."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        client, closes = await at_rest(core, front, port, how)
        before = len(core.ports.ids("exec"))
        assert closes() is (AcceptDecision.SERVE if how == "evicted" else None)
        client.sendall(call(core, 7))
        assert not [items for items in await heard(client) if items[0] == b"7"]
        assert len(core.ports.ids("exec")) == before
        client.close()

    on_front(test)


def test_last_words_are_not_reset_away_by_half_a_message() -> None:
    """Answers that a balancer has yet to read, and a message of its own that never ends: closed over what still comes,
    the connection was reset and the answers with it."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        front.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        with socket.socket() as client:
            await asks(core, client, port, call(core, 31)[:40])
            answer_all(core)
            core.hand.time += MESSAGE_TIMEOUT_S + DRAIN_READ_S + 0.1
            client.sendall(b"x")
            front.close_idle()
            answers = await heard(client)
            assert len([items for items in answers if items[1] == b"OK"]) == 30 and answers[-1] == [b"0", b"BYE"]
            assert core.counters.counts["balancers.slow"] == 1

    on_front(test)


@pytest.mark.parametrize("how", ["malformed", "slow", "goodbye", "evicted", "half closed"])
def test_a_balancer_that_never_reads_gives_its_place_back_and_spoils_no_other(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Answers lie unsent as its connection is closed: it was waited for without end, or its descriptor was closed while
    the loop still waited to write there, and the next connection got that number."""
    monkeypatch.setattr(sockets, "FLUSH_TIMEOUT_S", 0.05)

    async def test(core: Core, front: RespListener, port: int) -> None:
        front.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        with socket.socket() as client:
            await asks(core, client, port, call(core, 31)[:40] if how == "slow" else b"")
            answer_all(core)
            (link,) = front._links.values()
            assert link.transport.get_write_buffer_size()
            if how == "malformed":
                client.sendall(b"what")
                await eventually(lambda: core.counters.counts["balancers.malformed"])
                core.hand.time += DRAIN_READ_S + 0.3
                front.close_idle()
            elif how == "slow":
                core.hand.time += MESSAGE_TIMEOUT_S + DRAIN_READ_S + 0.1
                front.close_idle()
                core.hand.time += DRAIN_READ_S + 0.3
                front.close_idle()
            elif how == "goodbye":
                only(front).send_bye(core.hand.time)
                core.hand.time += BYE_GRACE_S + 0.3
                front.close_idle()
            elif how == "evicted":
                core.hand.time += 1.9
                front.max_connections = 1
                assert front.decide(b"\x7f\0\0\1", short=False) is AcceptDecision.SERVE
            else:
                client.shutdown(socket.SHUT_WR)
            await eventually(lambda: not front.descriptors.in_use)
            with socket.create_connection(("127.0.0.1", port)) as other:
                other.sendall(call(core, 40, cls="status-read"))
                await eventually(lambda: core.counters.counts["requests"] == 31)
                answer_all(core)
                other.shutdown(socket.SHUT_WR)
                assert [items[:2] for items in await heard(other)] == [[b"40", b"OK"]]
            assert "balancers.reset" not in core.counters.counts

    on_front(test)


def test_a_stranger_keeps_no_place_by_trickling() -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(call(core, 7)[:20])
            await eventually(lambda: front._links and only(front).parser.partial)
            core.hand.time += 1.9
            front.max_connections = 1
            client.sendall(call(core, 7)[20:30])
            assert front.decide(b"\x7f\0\0\1", short=False) is AcceptDecision.SERVE

    on_front(test)


def only(front: RespListener) -> Connection:
    (connection,) = front.connections.values()
    return connection


def test_a_connection_is_not_closed_right_after_its_last_answer() -> None:
    """Told goodbye long ago, it was closed as its answer was written: whatever came then reset the answer away."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(call(core, 7))
            await eventually(lambda: core.ports.ids("exec"))
            only(front).send_bye(core.hand.time)
            core.pass_time(BYE_GRACE_S + 0.3)
            ended(core, 1)
            core.hand.time += 0.3
            front.close_idle()
            assert not only(front).closing
            core.hand.time += BYE_GRACE_S
            front.close_idle()
            assert [items[:2] for items in await heard(client)] == [[b"0", b"BYE"], [b"7", b"OK"]]

    on_front(test)


@pytest.mark.parametrize("ends", [True, False])
def test_a_message_that_has_begun_may_end_though_goodbye_was_said(ends: bool) -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            whole = call(core, 7)
            client.sendall(call(core, 6) + whole[:50])  # one that owes no first message any more
            await eventually(lambda: core.ports.ids("exec"))
            ended(core, 1)
            assert only(front).parser.partial
            only(front).send_bye(core.hand.time)
            core.hand.time += BYE_GRACE_S + 0.3
            front.close_idle()
            assert not only(front).closing
            if ends:
                client.sendall(whole[50:])
                await eventually(lambda: len(core.ports.ids("exec")) == 2)
                ended(core, 1)
            core.hand.time += MESSAGE_TIMEOUT_S + DRAIN_READ_S
            front.close_idle()
            client.shutdown(socket.SHUT_WR)
            told = [items[:2] for items in await heard(client)]
            assert told == [[b"6", b"OK"], [b"0", b"BYE"]] + [[b"7", b"OK"]] * ends

    on_front(test)


# --- the notice to leave ---


@pytest.fixture
def handlers() -> Iterator[None]:
    """Signals mean afterwards what they meant before."""
    before = {number: signal.getsignal(number) for number in signals.HANDLED_SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("handlers")
@pytest.mark.parametrize("early", [True, False])
def test_a_signal_counts_from_when_it_came(early: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Before the loop hears signals, or while it is at work: told late, but with its own moment, once."""
    clock = 42.0
    monkeypatch.setattr(time, "time", lambda: clock)
    came: list[float] = []

    def sent() -> None:
        nonlocal clock
        for _ in range(2):
            os.kill(os.getpid(), signal.SIGTERM)
            while signals._pending[signal.SIGTERM] is None:  # the handler has its turn between two steps
                pass
            clock += 3.0
        assert not came

    async def run() -> None:
        with signals.deliver(asyncio.get_running_loop(), {signal.SIGTERM: came.append}):
            if not early:
                sent()
            await eventually(lambda: came)
        assert came == [42.0]

    signals.install_handlers()
    if early:
        sent()
    asyncio.run(run())


@pytest.mark.usefixtures("handlers")
def test_signal_may_come_at_any_step_of_the_delivery_of_another() -> None:
    """Each step of the machine in turn: both are heard, and nothing breaks."""

    async def crossing(at: int) -> int:
        heard, steps = list[str](), 0

        def step(frame: FrameType, event: str, _: object) -> Any:
            nonlocal steps
            if frame.f_code.co_name != "deliver_pending":
                return None
            frame.f_trace_opcodes = True
            if event == "opcode":
                if steps == at:
                    os.kill(os.getpid(), signal.SIGUSR1)
                steps += 1
            return step

        by = {
            signal.SIGTERM: lambda at: heard.append("term"),
            signal.SIGHUP: lambda at: heard.append("hup"),
            signal.SIGUSR1: lambda at: heard.append("usr1"),
        }
        signals.install_handlers()
        os.kill(os.getpid(), signal.SIGHUP)
        while signals._pending[signal.SIGHUP] is None:
            pass
        before = sys.gettrace()
        sys.settrace(step)
        try:
            with signals.deliver(asyncio.get_running_loop(), by):
                sys.settrace(before)
                if steps > at:
                    await eventually(lambda: "usr1" in heard)
        finally:
            sys.settrace(before)
        assert sorted(heard) == ["hup", "usr1"][: 1 + (steps > at)]
        return steps

    async def run() -> None:
        at = 0
        while await crossing(at) > at:
            at += 1
        assert at > 40  # the whole of it was gone through

    asyncio.run(run())


@pytest.mark.parametrize("up", [True, False])
def test_the_grace_counts_from_the_notice_though_it_was_heard_late(up: bool) -> None:
    """Also where the executor comes up only then."""
    core = Core(up=up)
    notice, grace = core.hand.time, float(ENV["safety"]["drainGrace"])
    core.hand.time += grace / 2
    core.broker.drain(notice + 9.0, notice)
    if not up:
        core.hand.time += grace / 4
        core.broker.executor_started(False, core.hand.time)
    core.hand.time = notice + grace - 0.01
    core.pick("in time")
    core.hand.time = notice + grace + 0.01
    core.pick("late")
    assert core.ports.ids("exec") == ["in time"] and core.words("late") == ["refused"]


# --- the executor ---


class Executor:
    """What the node writes, link after link; a test answers by hand."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.link: asyncio.StreamWriter | None = None
        self.ends: list[tuple[str, End]] = []

    async def start(self, stack: AsyncExitStack) -> Address:
        server = await asyncio.start_server(self._met, "127.0.0.1", 0)
        stack.callback(server.close)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    async def _met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.link = writer
        with suppress(OSError):
            while line := await reader.readline():
                self.lines.append(line.strip())

    async def says(self, after: bytes, line: bytes) -> None:
        """Once this was read, and not before, answer."""
        await eventually(lambda: after in self.lines)
        self.lines.clear()
        assert self.link is not None
        self.link.write(line + b"\r\n")

    def cut(self) -> None:
        assert self.link is not None
        self.link.transport.abort()

    def executor_started(self, cold: bool, born: float) -> None: ...
    def gauges_received(self, values: tuple[float, ...]) -> None: ...
    def call_wanted(self, id: str, notice: int, body: bytes) -> None: ...
    def command_not_carried_out(self, command: str, id: str) -> None: ...

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        self.ends.append((id, end))


@pytest.mark.parametrize("stopped", [True, False])
def test_a_stop_that_is_meant_is_not_undone_by_asking_for_a_run_in_doubt(stopped: bool) -> None:
    """Its EXEC may or may not have been read when the link broke: the node asks by a stop, and wakes what says that it
    was stopped. Told to stop it meanwhile, it woke the run all the same."""

    async def test(stack: AsyncExitStack) -> None:
        there, clock, counters = Executor(), Clock(), Counters()
        session = Session(clock, counters, Log(clock), True)
        session.notices = there
        link = ExecutorLink(await there.start(stack), session, counters, Log(clock))
        running = asyncio.ensure_future(link.run())
        await there.says(b"JOIN 0", b"WELCOME hot 5")
        await there.says(b"METER 1", b"METERS 1 0.1 1")
        await eventually(lambda: session.synced)
        link.exec("a", "work-order", b"x", repeatable=False)
        await eventually(lambda: b"EXEC a work-order 1" in there.lines)
        there.cut()
        await eventually(lambda: not session.synced)
        if stopped:
            link.kill("a")
        await there.says(b"JOIN 0", b"WELCOME hot 5")
        await there.says(b"METER 2", b"METERS 2 0.1 1")
        await there.says(b"KILL a", b"EXIT 1 a cancelled 10 0\r\n")
        if stopped:
            await eventually(lambda: there.ends)
            assert there.ends == [("a", End.CANCELLED)] and b"WAKE a" not in there.lines
        else:
            await eventually(lambda: b"WAKE a" in there.lines)
            assert not there.ends
        running.cancel()

    on_links(test)


@pytest.mark.parametrize("stopped", [True, False])
def test_a_run_in_doubt_whose_request_is_over_is_asked_for_also_where_it_was_stopped(stopped: bool) -> None:
    """Never begun, it would have kept its place for good: nothing else tells what became of it."""
    core = Core()
    core.pick("a", cls="status-read" if stopped else "work-order", key=None if stopped else "k")
    core.broker.caller_disconnected("a")
    assert core.ports.ids("kill") == ["a"] * stopped
    core.pass_time(2.1)
    assert core.ports.ids("resolve")


# --- the records service ---


def test_a_call_is_not_placed_on_a_connection_that_is_being_closed() -> None:
    """It stood idle, was closed, and took one more call in the same breath, which then looked as if it might have
    run."""

    async def test(stack: AsyncExitStack) -> None:
        met, hand, ends = list[bytes](), Hand(), list[tuple[str, End]]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            met.append(b"")
            while line := await reader.readline():
                met.append(line)
                await reader.readline()
                writer.write(line.split()[1] + b" WAIT\r\n")

        class Listener:
            def call_ended(self, id: str, end: End, reply: bytes) -> None:
                ends.append((id, end))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        stack.callback(server.close)
        service = RecordsService(
            Address("127.0.0.1", server.sockets[0].getsockname()[1]),
            hand.clock,
            Counters(),
            Log(hand.clock),
            8,
            DescriptorBudget(64, {"records": (0, 8)}),
        )
        service.listener = Listener()
        service.call("a", hand.time + 60, b"x", repeatable=False)
        service.give_up("a")  # before anything stands
        await eventually(lambda: met)
        await eventually(lambda: service._connections[0].writer)
        hand.time += 9
        service.close_idle()
        service.call("b", hand.time + 60, b"x", repeatable=False)
        await eventually(lambda: ends)
        assert ends == [("b", End.REFUSED)]

    on_links(test)


def test_a_records_service_that_never_reads_gives_the_descriptor_back() -> None:
    """The call whose bytes lie unsent is over, and the connection idle: closed, it was waited for without end."""

    async def test(stack: AsyncExitStack) -> None:
        hand, descriptors, ends, links = (
            Hand(),
            DescriptorBudget(64, {"records": (0, 8)}),
            list[End](),
            list[asyncio.StreamWriter](),
        )

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            links.append(writer)
            await asyncio.get_running_loop().create_future()  # reads no more than the stream's own limit

        class Listener:
            def call_ended(self, id: str, end: End, reply: bytes) -> None:
                ends.append(end)

        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server = await asyncio.start_server(serve, sock=listener, limit=1024)
        stack.callback(server.close)
        service = RecordsService(
            Address("127.0.0.1", listener.getsockname()[1]), hand.clock, Counters(), Log(hand.clock), 1, descriptors
        )
        service.listener = Listener()
        service.call("a", hand.time + 60, b"x", repeatable=True)
        await eventually(lambda: links and service._connections[0].writer)
        writer = service._connections[0].writer
        assert writer is not None
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        service.call("b", hand.time + 60, b"x" * 2**20, repeatable=True)
        links[0].write(b"a WAIT\r\nb WAIT\r\n")  # answered without being read
        await eventually(lambda: len(ends) == 2)
        assert writer.transport.get_write_buffer_size() and descriptors.in_use == 1
        hand.time += 9
        service.close_idle()
        await eventually(lambda: not descriptors.in_use)

    on_links(test)


# Guards against an exit code other than 0 where a signal of a series meets the interpreter's end.
@pytest.mark.parametrize("name", ["SIGHUP", "SIGUSR1", "SIGTERM"])
def test_signals_in_series_up_to_the_exit_do_not_change_the_exit_code(name: str) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.stop_ms = 1000
        world.log = stack.enter_context(open(os.devnull, "wb"))  # each SIGUSR1 writes the state
        await world.start(stack)
        assert world.process is not None
        send_signal(world.process, signal.SIGTERM)
        while world.process.returncode is None:
            send_signal(world.process, signal.Signals[name])
            await asyncio.sleep(0.002)
        assert world.process.returncode == 0

    on_sockets(test)
