"""Rare moments of a hand-over, forced in both orders against the real program."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import sys
import tempfile
import time
from contextlib import AsyncExitStack

import pytest

from chutepin.broker import Request
from chutepin.broker.requests import fingerprint
from chutepin.facade import End
from chutepin.handover import rendezvous_path
from chutepin.handover.frames import encode, encode_frame, encode_record
from chutepin.handover.messages import Here, KeysSynced, TakeoverGranted
from chutepin.idempotency import IdempotencyRecord
from chutepin.testbench.standins.platform import eventually, free_port

from .helper import Standins
from .test_handover import ready, upgrade

KNOWN_KEY, NEW_KEY = f"{1:032x}", f"{2:032x}"
READ_BYTES = 65536


def path_of(world: Standins) -> str:
    return rendezvous_path(world.environ["TMPDIR"], world.name, f"127.0.0.1:{world.port or world.listen_port}")


async def hello(world: Standins) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
    """Open a link as a successor does; what the node says first."""
    reader, writer = await asyncio.open_unix_connection(path_of(world))
    writer.write(encode_frame("HELLO", version=1))
    return reader, writer, await reader.readuntil(b"}")


async def assert_key_runs_once(world: Standins, key: str) -> None:
    """Ask twice under one key: it runs here, once."""
    runs = len(world.runs)
    balancer = await world.connect()
    for _ in range(2):
        tag = balancer.call("work-order", b"order", key)
        assert (await balancer.answer(tag))[0] == b"OK"
    assert len(world.runs) == runs + 1
    await balancer.close()


# Guards against a second successor that the predecessor takes for the one before it, or turns away for good.
@pytest.mark.parametrize("takes_over", [False, True], ids=["before TAKES", "after YOURS"])
@pytest.mark.parametrize("first_closes", ["before", "after"])
def test_second_successor_behind_one_that_broke_off_is_served(first_closes: str, takes_over: bool) -> None:
    async def test(old: Standins, new: Standins, stack: AsyncExitStack) -> None:
        first_reader, first, answer = await hello(old)
        assert answer.startswith(b"HERE ")
        if takes_over:
            first.write(encode_frame("TAKES"))
            await first_reader.readuntil(b"YOURS 2\r\n{}\r\n")
        if first_closes == "before":
            first.close()
            second = await hello(old)
        else:
            second = await hello(old)
            assert second[2].startswith(b"NO ")
            second[1].close()
            first.close()
        for _ in range(200):
            if second[2].startswith(b"HERE "):
                break
            second[1].close()
            await asyncio.sleep(0.02)
            second = await hello(old)
        assert second[2].startswith(b"HERE ")
        second[1].close()
        await assert_key_runs_once(old, KNOWN_KEY)
        await new.start(stack, ops=True)
        await ready(new)
        await assert_key_runs_once(new, NEW_KEY)

    upgrade(test)


class Predecessor:
    """A scripted predecessor: it hands over one key that has run, and says YOURS only when it is told to."""

    def __init__(self, world: Standins) -> None:
        self._path = path_of(world)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(self._path)
        self._listener.listen(4)
        self._listener.setblocking(False)
        self.link: socket.socket | None = None
        self.received = b""

    async def hand_over(self) -> None:
        """Meet the successor and bring it to TAKES."""
        loop = asyncio.get_running_loop()
        while self.link is None:
            link, _ = await loop.sock_accept(self._listener)
            link.setblocking(False)
            if await loop.sock_recv(link, READ_BYTES):
                self.link = link
            else:
                link.close()  # it only looked whether anybody listens
        request = Request("", "work-order", b"order", 0.0, 0.0, size=0.0, tenant="bernard-lodge")
        record = IdempotencyRecord(
            KNOWN_KEY, "a", time.time() + 30.0, fingerprint(request), "a", End.OK, b"kept result"
        )
        socket.send_fds(self.link, [encode(Here(1))], [])
        await loop.sock_sendall(self.link, encode_record(record) + encode(KeysSynced(0.0)))
        while b"TAKES " not in self.received:
            self.received += await loop.sock_recv(self.link, READ_BYTES)

    async def say_yours(self) -> None:
        """Grant the take-over; the successor may have given up the link."""
        assert self.link is not None
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self.link, encode(TakeoverGranted()))

    def die(self) -> None:
        """End: nobody listens any more."""
        self._listener.close()
        os.unlink(self._path)
        if self.link is not None:
            self.link.close()


async def verdicts(world: Standins) -> list[bytes]:
    """How the node answers a key that has run, a key that nobody knows, and a request without a key."""
    balancer = await world.connect()
    words = []
    for cls, key in (("work-order", KNOWN_KEY), ("work-order", NEW_KEY), ("position-push", None)):
        words.append((await balancer.answer(balancer.call(cls, b"order", key)))[0])
    await balancer.close()
    return words


# Guards against a successor that waits for YOURS for good, and against one that runs keys which may be the other's.
@pytest.mark.parametrize("moment", ["YOURS late", "dies first", "dies late", "YOURS in time"])
def test_predecessor_that_stalls_between_takes_and_yours(moment: str) -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            world = Standins()
            world.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            world.listen_port = await free_port()
            predecessor = Predecessor(world)
            starting = asyncio.create_task(world.start(stack, ops=True))
            await predecessor.hand_over()
            await starting
            if moment == "YOURS in time":
                await predecessor.say_yours()
            if moment == "dies first":
                predecessor.die()
            await ready(world)
            assert not world.runs
            if moment in ("YOURS late", "dies late"):
                # It serves beside a process that may live: an unknown key may be running there.
                assert await verdicts(world) == [b"OK", b"FAILED", b"OK"]
                await predecessor.say_yours()
                assert await verdicts(world) == [b"OK", b"FAILED", b"OK"]
            else:
                assert await verdicts(world) == [b"OK", b"OK", b"OK"]
            if moment != "dies first":
                predecessor.die()
            ran = [body for _, cls, body in world.runs if cls == "work-order"]
            assert len(ran) == (0 if moment in ("YOURS late", "dies late") else 1)
            assert "errors=" not in await world.leave()

    asyncio.run(test())


# Guards against a reload in the midst of a hand-over that is lost, or ends a process, or undoes the hand-over.
@pytest.mark.parametrize("of_old", [False, True], ids=["successor", "predecessor"])
@pytest.mark.parametrize("before", [False, True], ids=["after it is ready", "before it is ready"])
def test_reload_in_the_midst_of_a_handover_moves_the_process_and_no_key(of_old: bool, before: bool) -> None:
    async def test(old: Standins, new: Standins, stack: AsyncExitStack) -> None:
        # As a deployment starts it: a SIGHUP that crosses the interpreter's start does not end it.
        new.shell_command = f"trap '' HUP; exec '{sys.executable}' -O -m chutepin"
        held = await old.connect()
        await assert_key_runs_once(old, KNOWN_KEY)
        starting = asyncio.create_task(new.start(stack, ops=True))
        await eventually(lambda: new.process is not None)
        world = old if of_old else new
        if not before:
            await starting
            await ready(new)
        else:
            await eventually(lambda: new.path.exists() and new.process is not None)
        joins = len(world.joins)
        await world.configure(stack)
        world.reload()
        await starting
        await ready(new)
        await eventually(lambda: len(world.joins) > joins)
        fresh = await new.connect()
        for balancer in (held, fresh):
            assert (await balancer.answer(balancer.call("work-order", b"order", KNOWN_KEY)))[0] == b"OK"
            assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"
        await assert_key_runs_once(new, NEW_KEY)
        assert sum(cls == "work-order" for _, cls, _ in [*old.runs, *new.runs]) == 2
        await held.close()
        await fresh.close()
        log = await new.leave()
        assert "errors=" not in log and "invariant" not in log

    upgrade(test)
