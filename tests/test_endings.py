"""Races at the end of a connection, a process or a run, on real sockets.

Input that arrives while a connection is closed, a signal that is handled late, a call assigned to a closing
connection. The event loop runs only where a test awaits, so data sent between two statements stays unread in the
kernel buffer. That forces each race in both orders."""

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
from .test_standing import answer_all, call, read_messages, run_with_listener, run_with_timeout, send_thirty_requests

# --- balancer connections closed by the node ---


def end_latest_runs(core: Core, count: int) -> None:
    """End the runs of the latest `count` requests."""
    for id in core.ports.ids("exec")[-count:]:
        core.end(id)


async def connection_due_to_close(
    core: Core, front: RespListener, port: int, close_reason: str
) -> tuple[socket.socket, Callable[[], object]]:
    """Return a balancer's connection that is due to be closed, and the function that closes it."""
    client = socket.create_connection(("127.0.0.1", port))
    if close_reason == "first":  # no first message yet
        await eventually(lambda: front._links)
        core.hand.time += FIRST_MESSAGE_TIMEOUT_S + 0.1
        return client, front.close_idle
    client.sendall(call(core, 6))
    await eventually(lambda: core.ports.ids("exec"))
    end_latest_runs(core, 1)
    if close_reason == "idle":
        next(iter(front.connections.values())).send_bye(core.hand.time)
        core.hand.time += BYE_GRACE_S + 0.5
        return client, front.close_idle
    core.hand.time += 1.9
    front.max_connections = 1
    return client, lambda: front.decide(b"\x7f\0\0\1", only_spare_left=False)


@pytest.mark.parametrize("input_location", ["in kernel buffer", "in reader"])
@pytest.mark.parametrize("close_reason", ["first", "idle", "evicted"])
def test_request_received_before_close_is_answered(
    close_reason: str, input_location: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request arrives while the event loop is busy, and the balancer does not send it again after that long."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        client, close_connection = await connection_due_to_close(core, front, port, close_reason)
        before, feed, closed = len(core.ports.ids("exec")), asyncio.StreamReader.feed_data, list[object]()

        def feed_and_close(reader: asyncio.StreamReader, data: bytes) -> None:
            feed(reader, data)
            closed.append(close_connection())

        if input_location == "in reader":
            monkeypatch.setattr(asyncio.StreamReader, "feed_data", feed_and_close)
        client.sendall(call(core, 7))
        if input_location != "in reader":
            closed.append(close_connection())
        await eventually(lambda: len(core.ports.ids("exec")) > before)
        monkeypatch.undo()
        end_latest_runs(core, 1)
        assert closed[0] is (AcceptDecision.DROP if close_reason == "evicted" else None)
        client.shutdown(socket.SHUT_WR)
        answers = await read_messages(client)
        assert [items[1] for items in answers if items[0] == b"7"] == [b"OK"]
        client.close()

    run_with_listener(test)


@pytest.mark.parametrize("close_reason", ["first", "idle", "evicted"])
def test_request_received_after_close_is_not_run(close_reason: str) -> None:
    """No answer could be written, and the balancer, which sees the close, sends the request again."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        client, close_connection = await connection_due_to_close(core, front, port, close_reason)
        before = len(core.ports.ids("exec"))
        assert close_connection() is (AcceptDecision.SERVE if close_reason == "evicted" else None)
        client.sendall(call(core, 7))
        assert not [items for items in await read_messages(client) if items[0] == b"7"]
        assert len(core.ports.ids("exec")) == before
        client.close()

    run_with_listener(test)


def test_partial_message_does_not_reset_unread_answers() -> None:
    """A balancer has unread answers and sends a message that it never completes.

    Closing the socket over the unread input reset the connection, and the answers were lost."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        front.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        with socket.socket() as client:
            await send_thirty_requests(core, client, port, call(core, 31)[:40])
            answer_all(core)
            core.hand.time += MESSAGE_TIMEOUT_S + DRAIN_READ_S + 0.1
            client.sendall(b"x")
            front.close_idle()
            answers = await read_messages(client)
            assert len([items for items in answers if items[1] == b"OK"]) == 30 and answers[-1] == [b"0", b"BYE"]
            assert core.counters.counts["balancers.slow"] == 1

    run_with_listener(test)


@pytest.mark.parametrize("close_reason", ["malformed", "slow", "bye", "evicted", "half closed"])
def test_balancer_that_never_reads_frees_its_descriptor_for_the_next_connection(
    close_reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Answers are unsent when the connection is closed.

    The close waited without limit, or closed the descriptor while the event loop still waited to write to it, so
    that the next connection with that descriptor number failed."""
    monkeypatch.setattr(sockets, "FLUSH_TIMEOUT_S", 0.05)

    async def test(core: Core, front: RespListener, port: int) -> None:
        front.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        with socket.socket() as client:
            await send_thirty_requests(core, client, port, call(core, 31)[:40] if close_reason == "slow" else b"")
            answer_all(core)
            (link,) = front._links.values()
            assert link.transport.get_write_buffer_size()
            if close_reason == "malformed":
                client.sendall(b"what")
                await eventually(lambda: core.counters.counts["balancers.malformed"])
                core.hand.time += DRAIN_READ_S + 0.3
                front.close_idle()
            elif close_reason == "slow":
                core.hand.time += MESSAGE_TIMEOUT_S + DRAIN_READ_S + 0.1
                front.close_idle()
                core.hand.time += DRAIN_READ_S + 0.3
                front.close_idle()
            elif close_reason == "bye":
                only_connection(front).send_bye(core.hand.time)
                core.hand.time += BYE_GRACE_S + 0.3
                front.close_idle()
            elif close_reason == "evicted":
                core.hand.time += 1.9
                front.max_connections = 1
                assert front.decide(b"\x7f\0\0\1", only_spare_left=False) is AcceptDecision.SERVE
            else:
                client.shutdown(socket.SHUT_WR)
            await eventually(lambda: not front.descriptors.in_use)
            with socket.create_connection(("127.0.0.1", port)) as other_client:
                other_client.sendall(call(core, 40, cls="status-read"))
                await eventually(lambda: core.counters.counts["requests"] == 31)
                answer_all(core)
                other_client.shutdown(socket.SHUT_WR)
                assert [items[:2] for items in await read_messages(other_client)] == [[b"40", b"OK"]]
            assert "balancers.reset" not in core.counters.counts

    run_with_listener(test)


def test_connection_without_valid_message_is_evicted_while_it_trickles() -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(call(core, 7)[:20])
            await eventually(lambda: front._links and only_connection(front).parser.partial)
            core.hand.time += 1.9
            front.max_connections = 1
            client.sendall(call(core, 7)[20:30])
            assert front.decide(b"\x7f\0\0\1", only_spare_left=False) is AcceptDecision.SERVE

    run_with_listener(test)


def only_connection(front: RespListener) -> Connection:
    (connection,) = front.connections.values()
    return connection


def test_connection_stays_open_for_bye_grace_after_last_answer() -> None:
    """BYE was sent long before the last answer.

    The connection was closed as the answer was written, and later input from the balancer reset it before the answer
    was read."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(call(core, 7))
            await eventually(lambda: core.ports.ids("exec"))
            only_connection(front).send_bye(core.hand.time)
            core.pass_time(BYE_GRACE_S + 0.3)
            end_latest_runs(core, 1)
            core.hand.time += 0.3
            front.close_idle()
            assert not only_connection(front).closing
            core.hand.time += BYE_GRACE_S
            front.close_idle()
            assert [items[:2] for items in await read_messages(client)] == [[b"0", b"BYE"], [b"7", b"OK"]]

    run_with_listener(test)


@pytest.mark.parametrize("is_completed", [True, False])
def test_partial_message_may_be_completed_after_bye(is_completed: bool) -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            request = call(core, 7)
            client.sendall(call(core, 6) + request[:50])  # the first message is complete
            await eventually(lambda: core.ports.ids("exec"))
            end_latest_runs(core, 1)
            assert only_connection(front).parser.partial
            only_connection(front).send_bye(core.hand.time)
            core.hand.time += BYE_GRACE_S + 0.3
            front.close_idle()
            assert not only_connection(front).closing
            if is_completed:
                client.sendall(request[50:])
                await eventually(lambda: len(core.ports.ids("exec")) == 2)
                end_latest_runs(core, 1)
            core.hand.time += MESSAGE_TIMEOUT_S + DRAIN_READ_S
            front.close_idle()
            client.shutdown(socket.SHUT_WR)
            messages = [items[:2] for items in await read_messages(client)]
            assert messages == [[b"6", b"OK"], [b"0", b"BYE"]] + [[b"7", b"OK"]] * is_completed

    run_with_listener(test)


# --- signals and the drain notice ---


@pytest.fixture
def handlers() -> Iterator[None]:
    """Restore the signal handlers after the test."""
    before = {number: signal.getsignal(number) for number in signals.HANDLED_SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("handlers")
@pytest.mark.parametrize("before_loop", [True, False])
def test_signal_is_delivered_with_the_time_of_its_arrival(before_loop: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A signal sent before the event loop handles signals, or while it is busy, is delivered once with its own time."""
    clock = 42.0
    monkeypatch.setattr(time, "time", lambda: clock)
    signal_times: list[float] = []

    def send_two_signals() -> None:
        nonlocal clock
        for _ in range(2):
            os.kill(os.getpid(), signal.SIGTERM)
            while signals._pending[signal.SIGTERM] is None:  # the handler runs between two bytecodes
                pass
            clock += 3.0
        assert not signal_times

    async def run() -> None:
        with signals.deliver(asyncio.get_running_loop(), {signal.SIGTERM: signal_times.append}):
            if not before_loop:
                send_two_signals()
            await eventually(lambda: signal_times)
        assert signal_times == [42.0]

    signals.install_handlers()
    if before_loop:
        send_two_signals()
    asyncio.run(run())


@pytest.mark.usefixtures("handlers")
def test_signal_may_arrive_at_any_bytecode_of_the_delivery_of_another() -> None:
    """A second signal is sent at each bytecode of the delivery in turn; both are delivered."""

    async def deliver_with_signal_at(opcode_index: int) -> int:
        delivered, steps = list[str](), 0

        def step(frame: FrameType, event: str, _: object) -> Any:
            nonlocal steps
            if frame.f_code.co_name != "deliver_pending":
                return None
            frame.f_trace_opcodes = True
            if event == "opcode":
                if steps == opcode_index:
                    os.kill(os.getpid(), signal.SIGUSR1)
                steps += 1
            return step

        by = {
            signal.SIGTERM: lambda sent_at: delivered.append("term"),
            signal.SIGHUP: lambda sent_at: delivered.append("hup"),
            signal.SIGUSR1: lambda sent_at: delivered.append("usr1"),
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
                if steps > opcode_index:
                    await eventually(lambda: "usr1" in delivered)
        finally:
            sys.settrace(before)
        assert sorted(delivered) == ["hup", "usr1"][: 1 + (steps > opcode_index)]
        return steps

    async def run() -> None:
        opcode_index = 0
        while await deliver_with_signal_at(opcode_index) > opcode_index:
            opcode_index += 1
        assert opcode_index > 40  # every bytecode of the delivery was covered

    asyncio.run(run())


@pytest.mark.parametrize("executor_up", [True, False])
def test_drain_grace_starts_at_the_notice_even_if_handled_late(executor_up: bool) -> None:
    """The grace also starts at the notice if the executor comes up only after it."""
    core = Core(up=executor_up)
    notice, grace = core.hand.time, float(ENV["safety"]["drainGrace"])
    core.hand.time += grace / 2
    core.broker.drain(notice + 9.0, notice)
    if not executor_up:
        core.hand.time += grace / 4
        core.broker.executor_started(False, core.hand.time)
    core.hand.time = notice + grace - 0.01
    core.pick("in time")
    core.hand.time = notice + grace + 0.01
    core.pick("late")
    assert core.ports.ids("exec") == ["in time"] and core.words("late") == ["refused"]


# --- the executor link ---


class FakeExecutor:
    """An executor that records lines across links; the test writes the notices."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.link: asyncio.StreamWriter | None = None
        self.ends: list[tuple[str, End]] = []

    async def start(self, stack: AsyncExitStack) -> Address:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.link = writer
        with suppress(OSError):
            while line := await reader.readline():
                self.lines.append(line.strip())

    async def write_after(self, after: bytes, line: bytes) -> None:
        """Write a line after the executor has received `after`."""
        await eventually(lambda: after in self.lines)
        self.lines.clear()
        assert self.link is not None
        self.link.write(line + b"\r\n")

    def cut(self) -> None:
        assert self.link is not None
        self.link.transport.abort()

    def executor_started(self, is_warming_up: bool, started_at: float) -> None: ...
    def gauges_received(self, values: tuple[float, ...]) -> None: ...
    def call_wanted(self, id: str, notice: int, body: bytes) -> None: ...
    def command_not_carried_out(self, command: str, id: str) -> None: ...
    def run_may_have_begun(self, id: str) -> None: ...
    def notices_missed(self) -> None: ...

    def is_response_awaited(self, id: str) -> bool:
        return True

    def is_run_wanted(self, id: str) -> bool:
        return self.is_response_awaited(id)

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        self.ends.append((id, end))


@pytest.mark.parametrize("is_stopped", [True, False])
def test_requested_stop_is_not_undone_by_probe_of_unconfirmed_run(is_stopped: bool) -> None:
    """An EXEC may or may not have been read when its link is lost.

    The node probes the run by KILL, and sends WAKE if the run is reported as stopped. If the run was to be stopped
    meanwhile, WAKE resumed it all the same."""

    async def test(stack: AsyncExitStack) -> None:
        executor, clock, counters = FakeExecutor(), Clock(), Counters()
        session = Session(clock, counters, Log(clock), True)
        session.notices = executor
        link = ExecutorLink(await executor.start(stack), session, counters, Log(clock))
        running = asyncio.ensure_future(link.run())
        await executor.write_after(b"JOIN 0", b"WELCOME hot 5")
        await executor.write_after(b"METER 1", b"METERS 1 0.1 1")
        await eventually(lambda: session.synced)
        link.exec("a", "work-order", b"x", repeatable=False)
        await eventually(lambda: b"EXEC a work-order 1" in executor.lines)
        executor.cut()
        await eventually(lambda: not session.synced)
        if is_stopped:
            link.kill("a")
        await executor.write_after(b"JOIN 0", b"WELCOME hot 5")
        await executor.write_after(b"METER 2", b"METERS 2 0.1 1")
        await executor.write_after(b"KILL a", b"EXIT 1 a cancelled 10 0\r\n")
        if is_stopped:
            await eventually(lambda: executor.ends)
            assert executor.ends == [("a", End.CANCELLED)] and b"WAKE a" not in executor.lines
        else:
            await eventually(lambda: b"WAKE a" in executor.lines)
            assert not executor.ends
        running.cancel()

    run_with_timeout(test)


@pytest.mark.parametrize("is_stopped", [True, False])
def test_unconfirmed_run_of_ended_request_is_resolved_even_if_stopped(is_stopped: bool) -> None:
    """Without the resolve, a run that was never started keeps its place for good."""
    core = Core()
    core.pick("a", cls="status-read" if is_stopped else "work-order", key=None if is_stopped else "k")
    core.broker.caller_disconnected("a")
    assert core.ports.ids("kill") == ["a"] * is_stopped
    core.pass_time(2.1)
    assert core.ports.ids("resolve")


# --- the records service ---


def test_call_is_not_assigned_to_closing_connection() -> None:
    """A call was assigned to an idle connection in the same loop iteration in which the connection was closed.

    The call then ended as if it might have run."""

    async def test(stack: AsyncExitStack) -> None:
        received, hand, ends = list[bytes](), Hand(), list[tuple[str, End]]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append(b"")
            while line := await reader.readline():
                received.append(line)
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
        service.cancel_call("a")  # before the connection is established
        await eventually(lambda: received)
        await eventually(lambda: service._connections[0].writer)
        hand.time += 9
        service.close_idle()
        service.call("b", hand.time + 60, b"x", repeatable=False)
        await eventually(lambda: ends)
        assert ends == [("b", End.REFUSED)]

    run_with_timeout(test)


def test_descriptor_is_freed_if_records_service_never_reads() -> None:
    """The call whose bytes are unsent has ended, and the connection is idle.

    Its close waited without limit for the unsent bytes to be read."""

    async def test(stack: AsyncExitStack) -> None:
        hand, descriptors, ends, links = (
            Hand(),
            DescriptorBudget(64, {"records": (0, 8)}),
            list[End](),
            list[asyncio.StreamWriter](),
        )

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            links.append(writer)
            await asyncio.get_running_loop().create_future()  # reads no more than the limit of the stream

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
        links[0].write(b"a WAIT\r\nb WAIT\r\n")  # the service replies without reading the calls
        await eventually(lambda: len(ends) == 2)
        assert writer.transport.get_write_buffer_size() and descriptors.in_use == 1
        hand.time += 9
        service.close_idle()
        await eventually(lambda: not descriptors.in_use)

    run_with_timeout(test)


# Guards against an exit code other than 0 when a signal of a series arrives as the interpreter exits.
@pytest.mark.parametrize("name", ["SIGHUP", "SIGUSR1", "SIGTERM"])
def test_series_of_signals_until_exit_does_not_change_the_exit_code(name: str) -> None:
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
