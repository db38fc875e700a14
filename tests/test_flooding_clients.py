"""What one client that sends at full speed may take of the event loop, of the decisions, of tables and of the log."""

from __future__ import annotations

import asyncio
import math
import socket
from contextlib import ExitStack

import pytest

from chutepin.clock import Clock
from chutepin.decision.caller_traffic import MAX_CALLERS, CallerTraffic
from chutepin.logs import MAX_BURST_LINES, Log
from chutepin.net.resp import Connection, RespListener, array
from chutepin.net.resp.connection import MAX_MESSAGES_PER_TURN
from chutepin.net.resp.message_handler import MAX_OPEN_REQUESTS
from chutepin.net.resp.turns import MAX_TURNS_PER_ITERATION, MessageTurns
from chutepin.testbench.standins.platform import eventually

from .helper import Core
from .test_standing import call, run_with_listener

FLOODING_CONNECTIONS = 25
FLOOD = b"".join(array(b"RPC.CANCEL", b"%d" % tag) for tag in range(1, 400))  # three full reads
MAX_ITERATIONS = 2000


def test_iteration_of_the_event_loop_handles_a_bounded_number_of_messages() -> None:
    """Guards against iterations in which each flooding connection has a whole read of small messages handled.

    Answers, timers and the executor's notices of everyone else waited for that."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        with ExitStack() as stack:
            clients = [
                stack.enter_context(socket.create_connection(("127.0.0.1", port))) for _ in range(FLOODING_CONNECTIONS)
            ]
            await eventually(lambda: len(front._links) == FLOODING_CONNECTIONS)
            for client in clients:
                client.sendall(FLOOD)
            most, handled, iterations = 0, 0, 0
            while handled < FLOODING_CONNECTIONS * 399 and iterations < MAX_ITERATIONS:
                await asyncio.sleep(0)
                iterations += 1
                most = max(most, core.counters.counts["cancels"] - handled)
                handled = core.counters.counts["cancels"]
            assert handled == FLOODING_CONNECTIONS * 399
            # In an iteration in which the time for new turns comes, some are granted before and some after.
            assert most <= 2 * MAX_TURNS_PER_ITERATION * MAX_MESSAGES_PER_TURN

    run_with_listener(test)


def test_turns_are_granted_in_order_and_none_is_lost_with_a_cancelled_task() -> None:
    async def run() -> None:
        turns, granted = MessageTurns(), list[int]()

        async def take(number: int) -> None:
            if not turns.take():
                await turns.wait()
            granted.append(number)

        tasks = [asyncio.ensure_future(take(number)) for number in range(4 * MAX_TURNS_PER_ITERATION)]
        await asyncio.sleep(0)
        assert len(granted) == MAX_TURNS_PER_ITERATION
        tasks[MAX_TURNS_PER_ITERATION].cancel()
        await asyncio.wait(tasks)
        assert granted == [n for n in range(4 * MAX_TURNS_PER_ITERATION) if n != MAX_TURNS_PER_ITERATION]

    asyncio.run(run())


def test_messages_of_several_turns_are_handled_in_order_and_once() -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(b"".join(call(core, tag) for tag in range(1, 31)))
            await eventually(lambda: core.counters.counts["requests"] == 30)
            (connection,) = front.connections.values()
            assert list(connection.open_requests) == [b"%d" % tag for tag in range(1, 31)]
            assert not connection.has_unhandled_messages and connection.message_deadline == math.inf

    run_with_listener(test)


def connection_of(core: Core) -> Connection:
    """Return a connection without a socket."""
    front = RespListener(core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 64)
    return Connection(front, lambda data: None)


def test_withdrawn_requests_whose_runs_go_on_count_as_open_on_their_connection() -> None:
    """Guards against a client that withdraws each request and so has all attempts of the node."""
    core = Core()
    connection = connection_of(core)
    for tag in range(1, 200):
        connection.received(call(core, tag, "work-order", k=f"{tag:032x}") + array(b"RPC.CANCEL", b"%d" % tag))
    running = len(core.broker._attempts.by_id)
    assert 0 < running <= MAX_OPEN_REQUESTS
    connection.unfinished_ids |= {f"{tag:016x}" for tag in range(1, 200)}  # ended ones are not counted
    connection.received(call(core, 300, "work-order", k="f" * 32))
    assert len(connection.unfinished_ids) <= running + 1


def test_connection_at_its_limit_of_attempts_is_refused_and_another_is_not() -> None:
    core = Core()
    sent = list[bytes]()
    connection = connection_of(core)
    connection.write = sent.append
    core.broker.is_open = lambda id: True  # type: ignore[method-assign]
    connection.unfinished_ids = {f"{tag:016x}" for tag in range(1000, 1000 + MAX_OPEN_REQUESTS)}
    connection.received(call(core, 1))
    assert b"BUSY" in sent[0]
    assert not connection.open_requests and not core.ports.ids("exec")
    connection_of(core).received(call(core, 2))
    assert len(core.ports.ids("exec")) == 1


def test_withdrawn_request_leaves_nothing_with_the_key_whose_run_it_waited_for() -> None:
    """Guards against ids that pile up while the run goes on, one for each request that was sent and withdrawn."""
    core = Core()
    core.pick("run", "work-order", key="k")
    for number in range(100):
        core.pick(f"a{number}", "work-order", key="k")
        core.broker.caller_disconnected(f"a{number}")
    core.pick("last", "work-order", key="k")
    assert core.broker.keys.records["k"].waiting_ids == ["last"]
    core.end("run")
    assert [answer.verdict.value for answer in core.ports.answers["last"]] == ["served"]


def test_flood_of_one_event_keeps_no_other_out_of_the_log(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a rate limit for all events together, which one client with malformed messages used up."""
    log = Log(Clock(lambda: 0.0))
    for _ in range(MAX_BURST_LINES + 5):
        log.event("balancers.malformed", why="length is not a number")
    log.event("executor.lost")
    assert capsys.readouterr().err.splitlines()[-1] == "chutepin: executor.lost" and log.dropped == 5


def test_new_caller_is_counted_after_a_flood_of_numbers_that_are_used_once() -> None:
    """Guards against a full table of callers, in which a new balancer had no share of the traffic."""
    traffic = CallerTraffic()
    for number in range(MAX_CALLERS):
        traffic.record(0.0, number + 100)
    for _ in range(3):
        traffic.record(0.1, 1)
    assert traffic.callers[1] == (3, 0.1) and len(traffic.callers) == MAX_CALLERS


def test_busy_caller_is_not_displaced_by_new_numbers() -> None:
    traffic = CallerTraffic()
    for number in range(3 * MAX_CALLERS):
        traffic.record(0.0, 1)
        traffic.record(0.0, number + 100)
    assert traffic.callers[1][0] == 3 * MAX_CALLERS and len(traffic.callers) == MAX_CALLERS


def test_requests_of_a_connection_count_for_the_balancer_of_its_first_request() -> None:
    """Guards against one connection whose ever new numbers displace the balancers in tables of callers."""
    core = Core()
    connection = connection_of(core)
    for tag in range(1, 50):
        connection.received(call(core, tag, f=1000 + tag))
    assert set(core.broker._facade._policy.server.caller_traffic.callers) == {1001}
