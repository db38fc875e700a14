"""Upgrades of the real program on loopback, with two processes of one node."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import socket
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import pytest

from chutepin.handover import Rendezvous, rendezvous_path
from chutepin.handover.frames import encode_frame
from chutepin.testbench.signals import kill, send_signal
from chutepin.testbench.standins.platform import EVENTUALLY_TIMEOUT_S, Balancer, eventually, free_port

from .helper import WINDOW, Standins
from .test_operation import call


def run_upgrade(
    test: Callable[[Standins, Standins, AsyncExitStack], Awaitable[None]],
    window: float = WINDOW,
    configure: Callable[[Standins, Standins], None] = lambda predecessor, successor: None,
) -> None:
    """Run a test with a serving predecessor and stand-ins for a successor at the same address.

    `configure`: changes the settings of both before the start."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            directory = stack.enter_context(tempfile.TemporaryDirectory())
            predecessor, successor = Standins(), Standins()
            for process in (predecessor, successor):
                process.env["categories"][2]["window"] = window
            configure(predecessor, successor)
            predecessor.environ = successor.environ = {"TMPDIR": directory}
            await predecessor.start(stack, ops=True)
            successor.listen_port = predecessor.port
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + EVENTUALLY_TIMEOUT_S):
                await test(predecessor, successor, stack)

    asyncio.run(run())


async def wait_until_ready(process: Standins) -> None:
    while True:
        try:
            if (await call(process, b"ready\n")).startswith("SUCCESS"):
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


def test_upgrade_under_load_loses_no_request_and_runs_no_key_twice() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        rng = random.Random(7)
        connected_before = await predecessor.connect()
        requests: list[tuple[Balancer, int, bytes]] = []

        async def send_request(balancer: Balancer) -> None:
            number = rng.randrange(60)
            key = f"{number:032x}" if rng.random() < 0.7 else None
            body = b"order %d" % number if key else b"read"
            requests.append((balancer, balancer.call("work-order" if key else "status-read", body, key), body))
            await asyncio.sleep(0.004)

        for _ in range(60):
            await send_request(connected_before)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        assert (await call(predecessor, b"ready\n")).startswith("FAILURE no, handing over")
        connected_after = [await successor.connect() for _ in range(4)]
        assert predecessor.process is not None
        send_signal(predecessor.process, signal.SIGTERM)
        for index in range(120):
            # The first 12 requests cross the predecessor's BYE.
            await send_request(connected_before if index < 12 else rng.choice(connected_after))
        verdicts = [(await balancer.answer(tag))[0] for balancer, tag, _ in requests]
        assert set(verdicts) <= {b"OK", b"BUSY", b"FAILED"} and verdicts.count(b"OK") > 0.9 * len(verdicts)
        assert all(len(balancer.answers[tag]) == 1 for balancer, tag, _ in requests)
        assert connected_before.answers[0] == [[b"BYE"]]
        await connected_before.close()
        assert await predecessor.process.wait() == 0
        orders = [body for process in (predecessor, successor) for _, cls, body in process.runs if cls == "work-order"]
        assert len(orders) == len(set(orders)) and {body for _, cls, body in successor.runs}
        for balancer in connected_after:
            await balancer.close()

    run_upgrade(test, window=60.0)  # an upgrade on a busy machine takes longer than the window of the other tests


def test_retry_at_the_other_process_gets_the_result_of_the_run() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        key, body = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", b"slow order"
        predecessor.hold = successor.hold = {body}
        first = await predecessor.connect()
        first_tag = first.call("work-order", body, key)
        await eventually(lambda: predecessor.runs)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        second = await successor.connect()
        second_tag = second.call("work-order", body, key)
        await asyncio.sleep(0.1)
        predecessor.finish(predecessor.runs[0][0], b"mended")
        assert (await first.answer(first_tag))[::2] == [b"OK", b"mended"]
        assert (await second.answer(second_tag))[::2] == [b"OK", b"mended"]
        assert not successor.runs
        await first.close()
        await second.close()

    run_upgrade(test)


@pytest.mark.parametrize("seed", range(4))
def test_killed_predecessor_leaves_its_runs_in_doubt(seed: int) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        rng = random.Random(seed)
        predecessor.hold = {b"order %d" % number for number in range(8)}
        balancer = await predecessor.connect()
        for number in range(8):
            balancer.call("work-order", b"order %d" % number, f"{number:032x}", wait=9000)
        await eventually(lambda: len(predecessor.runs) >= 6)  # the concurrency limit delays the others
        await successor.start(stack, ops=True)
        kill_delay = asyncio.create_task(asyncio.sleep(rng.random() * 1.2))
        await kill_delay
        assert predecessor.process is not None
        kill(predecessor.process)
        await wait_until_ready(successor)
        other = await successor.connect()
        tags = [other.call("work-order", b"order %d" % number, f"{number:032x}", wait=9000) for number in range(8)]
        verdicts = [(await other.answer(tag))[0] for tag in tags]
        started = {body for _, _, body in predecessor.runs}
        assert not started & {body for _, _, body in successor.runs}
        assert all(v == b"FAILED" for number, v in enumerate(verdicts) if b"order %d" % number in started), verdicts
        assert (await other.answer(other.call("status-read", b"read")))[0] == b"OK"
        await other.close()
        await balancer.close()

    run_upgrade(test, window=60.0)  # the keys stay in their window however long the successor takes to start


def test_predecessor_serves_again_after_the_successor_dies() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        at_successor = await successor.connect()
        first = await at_successor.answer(at_successor.call("work-order", b"fix it", "ab" * 16))
        assert successor.process is not None
        kill(successor.process)
        await at_successor.close()
        await wait_until_ready(predecessor)
        at_predecessor = await predecessor.connect()
        retry = await at_predecessor.answer(at_predecessor.call("work-order", b"fix it", "ab" * 16))
        assert retry[0] == b"OK" and retry[2] == first[2] and not predecessor.runs
        await at_predecessor.close()
        assert "handover.yielded=1" in await predecessor.leave()

    run_upgrade(test)


def test_stopped_predecessor_does_not_block_its_successor_and_unknown_keys_fail() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        assert predecessor.process is not None
        send_signal(predecessor.process, signal.SIGSTOP)
        try:
            await successor.start(stack, ops=True)
            await wait_until_ready(successor)
            # The kernel assigns some of these connections to the stopped predecessor.
            balancers = [await successor.connect() for _ in range(12)]
            tags = [b.call("work-order", b"order", "ef" * 16) for b in balancers]
            await eventually(lambda: any(b.answers.get(t) for b, t in zip(balancers, tags, strict=True)))
            verdicts = {b.answers[t][0][0] for b, t in zip(balancers, tags, strict=True) if t in b.answers}
            assert verdicts == {b"FAILED"} and not successor.runs
        finally:
            send_signal(predecessor.process, signal.SIGCONT)
        while not (await call(predecessor, b"ready\n")).startswith("FAILURE no, handing over"):
            await asyncio.sleep(0.05)  # until the predecessor has handed over
        connected_after = [await successor.connect() for _ in range(3)]
        assert [(await b.answer(b.call("work-order", b"other", "cd" * 16)))[0] for b in connected_after] == [b"OK"] * 3
        ran = [body for process in (predecessor, successor) for _, _, body in process.runs]
        assert ran.count(b"other") == 1 and ran.count(b"order") <= 1  # by the stopped predecessor
        balancers += connected_after
        for balancer in balancers:
            await balancer.close()

    run_upgrade(test)


def test_stale_socket_other_version_and_second_successor_are_rejected() -> None:
    with tempfile.TemporaryDirectory() as directory:
        path = rendezvous_path(directory, "n3", "127.0.0.1:1")
        assert not Rendezvous(path).has_listener()
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(path)
            sock.listen()
            assert Rendezvous(path).has_listener()
        assert os.path.exists(path) and not Rendezvous(path).has_listener()

    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        path = rendezvous_path(predecessor.environ["TMPDIR"], "n3", f"127.0.0.1:{predecessor.port}")

        async def send_hello(version: int) -> bytes:
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(encode_frame("HELLO", version=version))
            reply = await reader.readuntil(b"}")
            links.append(writer)
            return reply

        links: list[asyncio.StreamWriter] = []
        assert (await send_hello(2)).startswith(b"NO ")
        assert (await send_hello(1)).startswith(b"HERE ")
        assert b'"busy":true' in await send_hello(1)
        links[1].write(b"\x00" * 9000)  # no valid frame: ends only this link
        await asyncio.sleep(0.1)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        for link in links:
            link.close()

    run_upgrade(test)


# Guards against a malformed frame that ends the node's service or its ownership of keys as well as the link.
def test_predecessor_keeps_serving_and_owning_keys_after_each_malformed_frame() -> None:
    malformed_frames = [
        encode_frame("USE", running=float("inf"), memory=0, descriptors=0),
        encode_frame("KEY", key="k", holder="b", until=float("inf"), contents="", ran="b", end=None, result=""),
        encode_frame("ASK", id="b", key="k", contents="", until=1e300),
        encode_frame("TOLD", id=[], key="\ud800", may=float("nan")),
        b'USE 48\r\n{"running":1e999,"memory":1,"descriptors":10000}\r\n',
    ]

    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        path = rendezvous_path(predecessor.environ["TMPDIR"], "n3", f"127.0.0.1:{predecessor.port}")
        balancer = await predecessor.connect()
        for index, data in enumerate(malformed_frames):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(encode_frame("HELLO", version=1))
            await reader.readuntil(b"}")
            writer.write(data)
            await reader.read()  # until the link has ended
            writer.close()
            key = f"{index:032x}"
            first = balancer.call("work-order", b"order", key)
            assert (await balancer.answer(first))[0] == b"OK"
            retry = balancer.call("work-order", b"order", key)
            assert (await balancer.answer(retry))[0] == b"OK"
            assert len(predecessor.runs) == index + 1
        await balancer.close()
        log = await predecessor.leave()
        assert f"handover.successors={len(malformed_frames)}" in log and "errors=" not in log

    run_upgrade(test)


def test_predecessor_of_a_stopped_successor_serves_requests_without_a_key_and_exits_in_time() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        connected_before = await predecessor.connect()
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        assert predecessor.process is not None and successor.process is not None
        send_signal(successor.process, signal.SIGSTOP)
        try:
            tags = [
                connected_before.call("position-push", b"safe"),
                connected_before.call("work-order", b"order", "ab" * 16),
            ]
            verdicts = [(await connected_before.answer(tag))[0] for tag in tags]
            assert verdicts == [b"OK", b"BUSY"] and not [cls for _, cls, _ in predecessor.runs if cls == "work-order"]
            leave_started_at = asyncio.get_running_loop().time()
            assert "keys.not_granted=1" in await predecessor.leave()
            assert asyncio.get_running_loop().time() - leave_started_at < 5.0
        finally:
            send_signal(successor.process, signal.SIGCONT)
        balancer = await successor.connect()
        assert (await balancer.answer(balancer.call("work-order", b"order", "ab" * 16)))[0] == b"OK"
        await balancer.close()
        await connected_before.close()

    run_upgrade(test)


def test_unknown_keys_fail_until_one_window_after_the_end_of_a_process_of_another_version() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            process = Standins()
            process.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            process.listen_port = await free_port()
            path = rendezvous_path(process.environ["TMPDIR"], "n3", f"127.0.0.1:{process.listen_port}")

            async def reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                if await reader.read(100):
                    writer.write(encode_frame("NO", why="another version", version=99))
                writer.close()

            other = await asyncio.start_unix_server(reject, path)
            await process.start(stack, ops=True)
            await wait_until_ready(process)
            balancer = await process.connect()

            async def send_order(number: int) -> bytes:
                return (await balancer.answer(balancer.call("work-order", b"order", f"{number:032x}")))[0]

            assert (await balancer.answer(balancer.call("position-push", b"safe")))[0] == b"OK"
            assert await send_order(0) == b"FAILED"
            other.close()
            numbers = itertools.count(1)
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + EVENTUALLY_TIMEOUT_S):
                while await send_order(next(numbers)) != b"OK":
                    await asyncio.sleep(0.1)
            assert next(numbers) > 10  # no unknown key ran before the window was over
            await balancer.close()

    asyncio.run(run())
