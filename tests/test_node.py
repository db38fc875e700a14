"""Tests a node process on loopback sockets, with stand-ins of balancers, executor, records service, control plane."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from chutepin.net.resp import array
from chutepin.testbench.signals import send_signal
from chutepin.testbench.standins.platform import Balancer, eventually

from .helper import ROOT, Standins

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def on_sockets(test: Callable[[Standins, AsyncExitStack], Awaitable[None]]) -> None:
    """Run a test coroutine with stand-ins that the test itself starts."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            await test(Standins(), stack)

    asyncio.run(run())


def test_bodies_and_results_pass_unchanged_and_drain_completes() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        balancer = await world.connect()
        binary_body = bytes(range(256)) * 7
        tag = balancer.call("status-read", binary_body)
        word, fields, body = await balancer.answer(tag)
        assert (word, body) == (b"OK", b"done " + binary_body + b" with row of call for " + binary_body)
        assert fields.startswith(b"v=")
        balancer.writer.write(array(b"RPC.HEALTH", b"99", b""))
        assert (await balancer.answer(99))[0] == b"UP"
        await eventually(lambda: world.reports)
        assert world.reports[0] == b'PUT /v2/endpoints/n3 HTTP/1.1 {"condition": "Ready"}'
        log = await world.leave()
        assert balancer.answers[0] == [[b"BYE"]] and len(balancer.answers[tag]) == 1
        assert "answers.served=1" in log and "invariant" not in log
        await balancer.close()

    on_sockets(test)


def test_repeated_keyed_request_gets_result_of_first_run() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        first, second = await world.connect(), await world.connect()
        one = await first.answer(first.call("work-order", b"fix the pump", KEY))
        two = await second.answer(second.call("work-order", b"fix the pump", KEY))
        assert one[0] == two[0] == b"OK" and one[2] == two[2] and len(world.runs) == 1
        await first.close()
        await second.close()

    on_sockets(test)


def test_executor_reconnect_delivers_missed_notices_without_second_run() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        balancer = await world.connect()
        world.hold = {b"slow order", b"slow push"}
        tags = [balancer.call("work-order", b"slow order", KEY), balancer.call("position-push", b"slow push")]
        await eventually(lambda: len(world.runs) == 2)
        world.cut()
        for id, cls, _ in list(world.runs):
            world.finish(id, cls.encode())  # while the node is disconnected from the executor
        assert [(await balancer.answer(tag))[2] for tag in tags] == [b"work-order", b"position-push"]
        assert len(world.runs) == 2 and world.joins == [0, 0]
        await balancer.close()

    on_sockets(test)


@pytest.mark.parametrize("word", ["ERROR", "cut"])
def test_records_call_with_unknown_outcome_is_not_retried_for_keyed_class(word: str) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        world.record_word = word
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("work-order", b"x", KEY)))[0] == b"FAILED"
        assert len(world.calls) == 1
        await balancer.close()

    on_sockets(test)


def test_sigusr1_logs_counters_and_connections_are_bounded() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.sockets = 32  # 16 connections
        await world.start(stack)
        good = await world.connect()
        assert (await good.answer(good.call("position-push", b"x")))[0] == b"OK"
        many: list[Balancer] = []
        reset = 0
        for _ in range(29):  # idle connections
            try:
                many.append(await world.connect())
            except ConnectionResetError:  # the table is full of new connections, which cannot be evicted yet
                reset += 1
        await eventually(lambda: reset + sum(balancer.ended for balancer in many) >= 10)
        assert not good.ended
        assert (await good.answer(good.call("position-push", b"x")))[0] == b"OK"
        assert world.process is not None and world.process.stderr is not None
        send_signal(world.process, signal.SIGUSR1)
        lines = [await world.process.stderr.readline() for _ in range(3)]  # `serving`, `process.state`, `counters`
        assert lines[2].startswith(b"chutepin: counters ")
        assert any(b"balancers." + word in lines[2] for word in (b"too_many=", b"made_room=", b"slow="))
        for balancer in many:
            await balancer.close()

    on_sockets(test)


@pytest.mark.parametrize("sent", [b"", array(b"RPC.HEALTH", b"1", b"")[:9]])
def test_connection_with_incomplete_first_message_is_closed(sent: bytes) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        slow, good = await world.connect(), await world.connect()
        for byte in sent:
            slow.writer.write(bytes([byte]))
            await asyncio.sleep(0.01)
        await eventually(lambda: slow.ended)
        assert slow.answers[0] == [[b"BYE"]]
        await slow.close()
        await good.close()
        assert "balancers.slow=" in await world.leave()

    on_sockets(test)


def test_malformed_sender_receives_bye_and_its_open_requests_fail() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        world.hold = {b"endless"}
        bad = await world.connect()
        tag = bad.call("position-push", b"endless")
        await eventually(lambda: world.runs)
        bad.writer.write(b"*5\r\n$99999999\r\n" + bytes(2**22))
        await eventually(lambda: bad.ended)
        assert bad.answers[tag][0][0] == b"FAILED" and bad.answers[0] == [[b"BYE"]]
        await bad.close()

    on_sockets(test)


def test_idle_connection_with_partial_frame_gets_bye_and_is_closed() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["keepaliveMax"] = 0.2
        await world.start(stack)
        partial = await world.connect()
        partial.writer.write(array(b"RPC.CALL", b"1")[:9])
        await eventually(lambda: partial.ended)
        assert partial.answers[0] == [[b"BYE"]]
        await partial.close()

    on_sockets(test)


def test_reload_switches_addresses_without_losing_requests() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        balancer = await world.connect()
        world.hold = {b"slow order"}
        slow = balancer.call("work-order", b"slow order", KEY)
        await eventually(lambda: world.runs)
        first = await balancer.answer(balancer.call("status-read", b"before"))
        world.path.write_text("{")
        world.reload()
        assert world.process is not None and world.process.stderr is not None
        while b'reload.rejected why="LB_CONFIG: not JSON"' not in (await world.process.stderr.readline()):
            pass
        await world.configure(stack)
        reports, notices = len(world.reports), len(world.notices)
        world.reload()
        await eventually(lambda: len(world.joins) == 2)
        assert world.joins == [0, notices]  # notice numbers continue across the reconnect
        second = await balancer.answer(balancer.call("status-read", b"after"))
        assert first[0] == second[0] == b"OK"
        world.finish(world.runs[0][0], b"slow")
        assert (await balancer.answer(slow))[2] == b"slow"
        await eventually(lambda: len(world.reports) > reports)
        assert len(world.runs) == 3
        log = await world.leave()
        assert all(
            f"{count} " in log for count in ("reloads=1", "reloads.bad=1", "executor.moved=1", "records.connections=2")
        )
        await balancer.close()

    on_sockets(test)


MALFORMED = {
    "not resp": b"GET / HTTP/1.1\r\n\r\n",
    "huge array": b"*99999\r\n",
    "huge bulk": b"*5\r\n$99999999\r\n",
    "no id": array(b"RPC.CALL", b"1", b"status-read", b"s=1", b""),
    "bad number": array(b"RPC.CALL", b"1", b"status-read", b"i=0123456789abcdef,s=x,d=1", b""),
    "no tag": array(b"RPC.CALL", b"x"),
    "not ascii": array(b"RPC.CALL", b"1", b"\xff", b"i=0123456789abcdef,s=1,d=1", b""),
    "unknown verb": array(b"RPC.WHAT", b"1"),
    "long body": array(b"RPC.CALL", b"1", b"status-read", b"i=0123456789abcdef,s=1,d=1", b"x" * 2049),
}


def test_malformed_connections_are_closed_and_counted_without_effect_on_others() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        for data in MALFORMED.values():
            bad = await world.connect()
            bad.writer.write(data)
            await eventually(lambda bad=bad: bad.ended)  # type: ignore[misc]
            await bad.close()
        partial = await world.connect()
        partial.writer.write(array(b"RPC.CALL", b"1")[:9])
        good = await world.connect()
        assert (await good.answer(good.call("position-push", b"still here")))[0] == b"OK"
        await partial.close()
        log = await world.leave()
        assert f"balancers.malformed={len(MALFORMED)}" in log
        await good.close()

    on_sockets(test)


def test_balancer_that_does_not_read_is_disconnected() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        stalled = await world.connect()
        stalled.writer.transport.pause_reading()  # type: ignore[attr-defined]
        checks = array(b"RPC.HEALTH", b"1", b"") * 4000
        for _ in range(400):
            if stalled.writer.transport.is_closing():
                break
            stalled.writer.write(checks)
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + 0.05):
                    await stalled.writer.drain()
        good = await world.connect()
        assert (await good.answer(good.call("position-push", b"x")))[0] == b"OK"
        assert "balancers.stuck=1" in await world.leave()
        await good.close()

    on_sockets(test)


def test_drain_fails_unfinished_requests_before_stop() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        await world.start(stack)
        world.hold = {b"endless"}
        balancer = await world.connect()
        tag = balancer.call("work-order", b"endless", KEY, wait=14000)
        await eventually(lambda: world.runs)
        log = await world.leave()
        assert balancer.answers[tag][0][0] == b"FAILED" and balancer.answers[0] == [[b"BYE"]]
        assert "answers.failed=1" in log
        await balancer.close()

    on_sockets(test)


INVALID_SETTINGS: dict[str, Any] = {
    "LB_CONFIG": None,
    "LB_CONFIG: not JSON": "{",
    "name": {"name": ""},
    "listen": {"listen": "nowhere"},
    "executor": {"executor": None},
    "seed": {"seed": "xyz"},
    "stop_ms": {"stop_ms": -1},
    "ops": {"ops": "127.0.0.1"},
    "limits.sockets": {"limits": {"sockets": "many"}},
    "settings": {"settings": []},
    "settings: field 'degradedWorth'": {"settings": {"familyInfo": {"degradedWorth": ["much"]}}},
    "settings: field 'classCalls'": {"settings": {"familyInfo": {"classCalls": ["yes"]}}},
    "settings: field 'servers'": {"settings": {"servers": -1}},
    "settings: familyInfo.cpus": {"settings": {"familyInfo": {"cpus": 0}}},
    "settings: categories.a.slo": {
        "settings": {"categories": [{"name": "a", "deadline": 1.0, "slo": 0, "idempotency": "pure"}]}
    },
    "settings: categories: a name is given twice": {
        "settings": {"categories": [{"name": "a", "deadline": 1.0, "idempotency": "pure"}] * 2}
    },
}


@pytest.mark.parametrize("field", INVALID_SETTINGS)
def test_invalid_configuration_exits_with_code_2_and_one_line(field: str, tmp_path: Path) -> None:
    raw = INVALID_SETTINGS[field]
    good: dict[str, Any] = {
        "name": "n3",
        "listen": "127.0.0.1:1",
        "executor": "127.0.0.1:2",
        "settings": {
            "categories": [{"name": "a", "deadline": 1.0, "idempotency": "pure"}],
            "familyInfo": {"cpus": 1, "memoryKb": 9.0},
        },
    }
    path = tmp_path / "config.json"
    if isinstance(raw, dict) and isinstance(raw.get("settings"), dict):  # settings that the case omits are valid
        settings = good["settings"] | raw["settings"]
        settings["familyInfo"] = good["settings"]["familyInfo"] | settings["familyInfo"]
        raw = {"settings": settings}
    path.write_text(raw if isinstance(raw, str) else json.dumps(good | (raw or {})))
    environ = {**os.environ, "LB_CONFIG": str(path)}
    if raw is None:
        del environ["LB_CONFIG"]
    done = subprocess.run(
        [sys.executable, "-m", "chutepin"],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )  # a node that accepted the configuration would run into the timeout
    assert done.returncode == 2 and done.stderr.startswith(f"chutepin: {field}"), done.stderr
    assert done.stderr.count("\n") == 1
    assert "LB_CONFIG" in field or str(path) in done.stderr
