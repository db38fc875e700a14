"""Tests the operators' socket, the lifecycle of the process and the request metrics."""

from __future__ import annotations

import asyncio
import json
import re
import time
from contextlib import AsyncExitStack

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.admin.commands import CommandTable
from chutepin.admin.exposition import exposition
from chutepin.admin.line_reader import MAX_LINE_BYTES, InvalidLineError, LineReader
from chutepin.lifecycle import TRANSITIONS, Event, Lifecycle, State
from chutepin.net.control import JITTER_SHARE, REPORT_INTERVAL_S
from chutepin.net.resp import array
from chutepin.request_metrics import RequestMetrics
from chutepin.testbench.standins.platform import EVENTUALLY_TIMEOUT_S, eventually

from .helper import STEPS, Core, Standins
from .test_node import on_sockets

# --- units without sockets ---


@STEPS
@given(
    st.text(st.characters(codec="ascii", exclude_characters="\n"), max_size=300),
    st.booleans(),
    st.lists(st.integers(1, 40), min_size=1),
)
def test_line_reader_accepts_any_chunking(text: str, crlf: bool, cuts: list[int]) -> None:
    data = text.encode() + (b"\r\n" if crlf else b"\n")
    reader, got = LineReader(), None
    try:
        while data and got is None:
            size = cuts[len(data) % len(cuts)]
            got, data = reader.feed(data[:size]), data[size:]
    except InvalidLineError:
        assert not text.strip() or len(text) + 2 > MAX_LINE_BYTES
    else:
        assert got == text.strip()


@pytest.mark.parametrize("data", [b"\n", b"\r\n", b"  \n", b"r\xc3\xa9ady\n", b"x" * MAX_LINE_BYTES, b"x" * 10**6])
def test_line_reader_rejects_invalid_lines(data: bytes) -> None:
    with pytest.raises(InvalidLineError):
        LineReader().feed(data)


@pytest.mark.parametrize("is_received", [False, True], ids=["not received by the successor", "received"])
def test_each_command_has_answer_in_each_state(is_received: bool) -> None:
    passed_on = "FSS" if is_received else "FFF"
    expected = {
        State.STANDBY: "FFF",
        State.STANDBY_DRAINED: "FFF",
        State.STARTING: "FFF",
        State.STARTING_DRAINED: "FFF",
        State.SERVING: "SSS",
        State.DRAINED: "SSS",
        State.HANDED_OVER: passed_on,
        State.HANDED_OVER_DRAINED: passed_on,
        State.HANDED_OVER_LEAVING: "FFF",
        State.ENDING: passed_on,
        State.ENDING_DRAINED: passed_on,
        State.ENDING_LEAVING: "FFF",
        State.LEAVING: "FFF",
    }
    assert set(expected) == set(State)
    for state, answers in expected.items():
        for name, mark in zip(("ready", "drain", "resume"), answers, strict=True):
            lifecycle = Lifecycle()
            lifecycle.state = state
            table = CommandTable(lifecycle, RequestMetrics(()), pass_on=lambda intent: is_received)
            answer = table.answer(name)
            assert isinstance(answer, str)
            assert answer[0] == mark and answer.endswith("\n") and answer.count("\n") == 1, (state, name)
            assert mark == "S" or lifecycle.state is state
    table = CommandTable(Lifecycle(), RequestMetrics(()))
    for line, why in (
        ("reboot", "no such call"),
        ("drain now", "drain takes no"),
        ("agree-get x", "no log in common"),
        ("agree", "no log in common"),
    ):
        assert str(table.answer(line)).startswith(f"FAILURE {why}")


def test_drain_fails_health_until_resume_and_leaving_is_final() -> None:
    lifecycle = Lifecycle()
    for move, healthy in (
        (Event.CAN_SERVE, True),
        (Event.DRAIN, False),
        (Event.DRAIN, False),
        (Event.RESUME, True),
    ):
        assert lifecycle.apply(move) and lifecycle.healthy is healthy and lifecycle.can_serve
    lifecycle.terminate(7.0)
    assert lifecycle.is_leaving and lifecycle.intent.left_at == 7.0
    for event in Event:
        lifecycle.apply(event)
        assert lifecycle.is_leaving and not lifecycle.healthy
    assert set(TRANSITIONS) == set(State)
    old = Lifecycle()
    assert all(old.apply(step) for step in (Event.CAN_SERVE, Event.SUCCESSOR_SERVES))
    old.terminate(7.0)
    assert old.behaviour.is_ending and not old.is_leaving and old.healthy and old.intent.left_at is None


def test_metrics_list_each_class_from_start_with_escaped_labels() -> None:
    metrics = RequestMetrics(["a", 'b"\\\n'])
    metrics.request_received("a")
    metrics.request_received("a")
    metrics.request_received("no such class")
    metrics.request_ended("a", "answered")
    lines = exposition(metrics).splitlines()
    assert 'node_transactions_total{group="a",state="answered"} 1' in lines
    assert 'node_transactions_total{group="b\\"\\\\\\n",state="errored"} 0' in lines
    assert "node_current 1" in lines and "node_sends_total 0" in lines and len(lines) == 10


def test_each_request_is_counted_once_at_its_outcome() -> None:
    core = Core()
    core.pick("a", "position-push")
    core.pick("a", "position-push")  # a duplicate of an open id fails and is counted as errored
    core.pick("b", "position-push", tenant="nobody")
    core.pick("c", "position-push")
    core.broker.caller_disconnected("c")
    core.broker.caller_disconnected("c")
    row = core.broker.metrics.rows["position-push"]
    assert (row.received, row.errored, row.withdrawn, core.broker.metrics.current) == (4, 2, 1, 1)
    core.end("a")
    core.end("c")
    assert (row.answered, core.broker.metrics.current, core.broker.metrics.runs_sent) == (1, 0, 2)
    assert core.broker.metrics.is_consistent(0)


# --- node process ---


async def call(world: Standins, line: bytes) -> str:
    """Send one command as an operator does and return the complete answer, up to the node's close."""
    reader, writer = await asyncio.open_connection("127.0.0.1", world.ops_port)
    writer.write(line)
    if not line.endswith(b"\n"):
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer.decode()


async def eventually_ready(world: Standins) -> None:
    """Wait until the process says that it can serve. Raises TimeoutError."""
    async with asyncio.timeout(EVENTUALLY_TIMEOUT_S):
        while not (await call(world, b"ready\n")).startswith("SUCCESS"):
            await asyncio.sleep(0.02)


def test_drained_node_keeps_serving_and_resumes() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack, ops=True)
        balancer = await world.connect()

        async def check(tag: int) -> bytes:
            balancer.writer.write(array(b"RPC.HEALTH", b"%d" % tag, b""))
            return (await balancer.answer(tag))[0]

        assert (await call(world, b"ready\n")).startswith("SUCCESS yes")
        assert await check(901) == b"UP"
        assert (await call(world, b"drain\r\n")).startswith("SUCCESS")
        assert await check(902) == b"DOWN"
        late = await world.connect()  # a balancer may connect before it observes the drain
        assert (await late.answer(late.call("status-read", b"late")))[0] == b"OK"
        assert (await call(world, b"resume")).startswith("SUCCESS")  # a line ended by the end of input
        assert await check(903) == b"UP"
        text = await call(world, b"show-stat\n")
        assert text.startswith("SUCCESS\n") and text.endswith("\nEOT\n")
        assert 'node_transactions_total{group="status-read",state="answered"} 1\n' in text
        assert (await call(world, b"\xff\n")).startswith("FAILURE not ASCII")
        await balancer.close()
        await late.close()

    on_sockets(test)


def test_incomplete_operator_connections_do_not_block_others() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.sockets = 64  # the descriptor budget allows four operators' connections
        await world.start(stack, ops=True)
        stuck = [await asyncio.open_connection("127.0.0.1", world.ops_port) for _ in range(12)]
        for index, (_, writer) in enumerate(stuck):
            writer.write(b"rea"[: index % 4])
        full = [await world.connect() for _ in range(30)]
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 20):
            assert (await call(world, b"ready\n")).startswith("SUCCESS")
        ended = await asyncio.gather(*(reader.read() for reader, _ in stuck[:6]), return_exceptions=True)
        assert all(end == b"" or isinstance(end, ConnectionResetError) for end in ended)  # the oldest were evicted
        for _, writer in stuck:
            writer.close()
        for balancer in full:
            await balancer.close()
        assert "ops.made_room" in await world.leave()

    on_sockets(test)


def test_operators_socket_is_off_without_address_and_drain_ends_with_process() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        with pytest.raises(OSError):
            await call(world, b"ready\n")
        for _ in range(2):
            await world.leave()
            world.joins.clear()
            await world.start(stack, ops=True)
            assert (await call(world, b"drain\n")).startswith("SUCCESS")
        await world.leave()
        world.joins.clear()
        await world.start(stack, ops=True)
        balancer = await world.connect()
        balancer.writer.write(array(b"RPC.HEALTH", b"1", b""))
        assert (await balancer.answer(1))[0] == b"UP"
        await balancer.close()

    on_sockets(test)


def test_unavailable_control_plane_blocks_nothing_and_gets_reports_after_recovery() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        silent: list[asyncio.StreamWriter] = []

        async def accept_without_answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            silent.append(writer)

        await world.start(stack, ops=True)
        await eventually(lambda: world.reports)
        config = json.loads(world.path.read_text())
        down = await asyncio.start_server(accept_without_answer, "127.0.0.1", 0)
        port = down.sockets[0].getsockname()[1]
        world.path.write_text(json.dumps(config | {"control": f"127.0.0.1:{port}"}))
        world.reload()
        await eventually(lambda: len(silent) >= 2)  # an unanswered report delays no other
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("status-read", b"meanwhile")))[0] == b"OK"
        assert (await call(world, b"ready\n")).startswith("SUCCESS")
        down.close()
        for writer in silent:
            writer.close()
        started_at = asyncio.get_running_loop().time()
        await asyncio.sleep(2.5)
        up = await asyncio.start_server(world._control_side, "127.0.0.1", port)
        reports = len(world.reports)
        await eventually(lambda: len(world.reports) > reports)
        log = await world.leave()
        failed = int(log.split("control.failed=")[1].split()[0])
        elapsed = asyncio.get_running_loop().time() - started_at
        assert 2 <= failed - len(silent) + 1 <= elapsed / (REPORT_INTERVAL_S * (1 - JITTER_SHARE)) + 2
        up.close()
        await balancer.close()

    on_sockets(test)


# Guards against an upgrade of which nobody can say afterwards what each process was told, and when.
def test_log_tells_what_the_process_was_told_and_when() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        started_at = time.time()
        await world.start(stack, ops=True)
        await eventually_ready(world)
        for line in (b"drain\n", b"resume\n"):
            assert (await call(world, line)).startswith("SUCCESS")
        log = await world.leave()
        changes = re.findall(r"process\.state cause=(.+?) before=(.+?) after=(.+?) at=(\S+)", log)
        assert [(cause.strip('"'), after) for cause, _, after, _ in changes] == [
            ("can serve", "serving"),
            ("drain", "drained"),
            ("resume", "serving"),
            ("SIGTERM", "leaving"),
        ]
        told = re.findall(r"process\.told word=SIGTERM at=(\S+) state=serving", log)
        times = [float(at) for at in [*(change[3] for change in changes), *told]]
        assert len(told) == 1 and started_at - 0.001 <= min(times) <= max(times) <= time.time()

    on_sockets(test)


def test_drain_under_load_changes_only_health_checks() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack, ops=True)
        balancers = [await world.connect() for _ in range(4)]
        sent, checks = [], []
        for turn in range(90):
            balancer = balancers[turn % 4]
            sent.append((balancer, balancer.call("work-order", b"order %d" % turn, f"{turn:032x}")))
            if turn in (30, 60):
                assert (await call(world, b"drain\n" if turn == 30 else b"resume\n")).startswith("SUCCESS")
            balancer.writer.write(array(b"RPC.HEALTH", b"%d" % (1000 + turn), b""))
            checks.append((await balancer.answer(1000 + turn))[0])
        assert checks == [b"UP"] * 30 + [b"DOWN"] * 30 + [b"UP"] * 30
        answers = [(await balancer.answer(tag))[0] for balancer, tag in sent]
        assert answers == [b"OK"] * 90 and len(world.runs) == 90
        assert not any(0 in balancer.answers for balancer in balancers), "a drain by command must not send BYE"
        text = await call(world, b"show-stat\n")
        assert 'node_transactions_total{group="work-order",state="answered"} 90\n' in text
        assert "node_sends_total 90\n" in text and "node_current 0\n" in text
        for balancer in balancers:
            await balancer.close()

    on_sockets(test)
