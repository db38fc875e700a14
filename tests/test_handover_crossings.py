"""Race conditions of a hand-over, forced in both orders against the real program."""

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
from chutepin.handover.messages import HandoverAccepted, KeysSynced, TakeoverGranted
from chutepin.idempotency import IdempotencyRecord
from chutepin.testbench.standins.platform import eventually, free_port

from .helper import Standins
from .test_handover import run_upgrade, wait_until_ready

KNOWN_KEY, NEW_KEY = f"{1:032x}", f"{2:032x}"
READ_BYTES = 65536


def rendezvous_path_of(process: Standins) -> str:
    return rendezvous_path(process.environ["TMPDIR"], process.name, f"127.0.0.1:{process.port or process.listen_port}")


async def open_link(process: Standins) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
    """Open a link as a successor; return its streams and the first frame of the node."""
    reader, writer = await asyncio.open_unix_connection(rendezvous_path_of(process))
    writer.write(encode_frame("HELLO", version=1))
    return reader, writer, await reader.readuntil(b"}")


async def assert_key_runs_once(process: Standins, key: str) -> None:
    """Send two requests under one key and assert that the key runs once, at this process."""
    previous_runs = len(process.runs)
    balancer = await process.connect()
    for _ in range(2):
        tag = balancer.call("work-order", b"order", key)
        assert (await balancer.answer(tag))[0] == b"OK"
    assert len(process.runs) == previous_runs + 1
    await balancer.close()


# Guards against a second successor that is taken for the first one, or rejected for ever.
@pytest.mark.parametrize("takes_over", [False, True], ids=["before TAKES", "after YOURS"])
@pytest.mark.parametrize("first_closes", ["before", "after"])
def test_successor_after_one_that_closed_its_link_is_accepted(first_closes: str, takes_over: bool) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        first_reader, first_writer, answer = await open_link(predecessor)
        assert answer.startswith(b"HERE ")
        if takes_over:
            first_writer.write(encode_frame("TAKES"))
            await first_reader.readuntil(b"YOURS 2\r\n{}\r\n")
        if first_closes == "before":
            first_writer.close()
            second = await open_link(predecessor)
        else:
            second = await open_link(predecessor)
            assert second[2].startswith(b"NO ")
            second[1].close()
            first_writer.close()
        for _ in range(200):
            if second[2].startswith(b"HERE "):
                break
            second[1].close()
            await asyncio.sleep(0.02)
            second = await open_link(predecessor)
        assert second[2].startswith(b"HERE ")
        second[1].close()
        await assert_key_runs_once(predecessor, KNOWN_KEY)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        await assert_key_runs_once(successor, NEW_KEY)

    run_upgrade(test)


class ScriptedPredecessor:
    """A predecessor that hands over one key that has run, and sends YOURS only on `grant_takeover`."""

    def __init__(self, process: Standins) -> None:
        self._path = rendezvous_path_of(process)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(self._path)
        self._listener.listen(4)
        self._listener.setblocking(False)
        self.link: socket.socket | None = None
        self.received = b""

    async def hand_over(self) -> None:
        """Accept the successor, send one record and SYNCED, and wait for TAKES."""
        loop = asyncio.get_running_loop()
        while self.link is None:
            link, _ = await loop.sock_accept(self._listener)
            link.setblocking(False)
            if await loop.sock_recv(link, READ_BYTES):
                self.link = link
            else:
                link.close()  # a check whether a process listens
        request = Request("", "work-order", b"order", 0.0, 0.0, size=0.0, tenant="bernard-lodge")
        record = IdempotencyRecord(
            KNOWN_KEY, "a", time.time() + 30.0, fingerprint(request), "a", End.OK, b"kept result"
        )
        socket.send_fds(self.link, [encode(HandoverAccepted(1))], [])
        await loop.sock_sendall(self.link, encode_record(record) + encode(KeysSynced(0.0)))
        while b"TAKES " not in self.received:
            self.received += await loop.sock_recv(self.link, READ_BYTES)

    async def grant_takeover(self) -> None:
        """Send YOURS; the successor may have closed the link."""
        assert self.link is not None
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self.link, encode(TakeoverGranted()))

    def terminate(self) -> None:
        """Close the listening socket, its file and the link, as the end of the process does."""
        self._listener.close()
        os.unlink(self._path)
        if self.link is not None:
            self.link.close()


async def verdicts_of(process: Standins) -> list[bytes]:
    """Return the verdicts on a key that has run, an unknown key, and a request without a key."""
    balancer = await process.connect()
    verdicts = []
    for cls, key in (("work-order", KNOWN_KEY), ("work-order", NEW_KEY), ("position-push", None)):
        verdicts.append((await balancer.answer(balancer.call(cls, b"order", key)))[0])
    await balancer.close()
    return verdicts


# Guards against a successor that waits for YOURS for ever, or runs keys that the predecessor may have run.
@pytest.mark.parametrize("moment", ["YOURS late", "dies first", "dies late", "YOURS in time"])
def test_successor_serves_after_its_predecessor_stalls_or_dies_between_takes_and_yours(moment: str) -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            successor = Standins()
            successor.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            successor.listen_port = await free_port()
            predecessor = ScriptedPredecessor(successor)
            starting = asyncio.create_task(successor.start(stack, ops=True))
            await predecessor.hand_over()
            await starting
            if moment == "YOURS in time":
                await predecessor.grant_takeover()
            if moment == "dies first":
                predecessor.terminate()
            await wait_until_ready(successor)
            assert not successor.runs
            if moment in ("YOURS late", "dies late"):
                # The predecessor may be alive and running an unknown key, so unknown keys fail.
                assert await verdicts_of(successor) == [b"OK", b"FAILED", b"OK"]
                await predecessor.grant_takeover()
                assert await verdicts_of(successor) == [b"OK", b"FAILED", b"OK"]
            else:
                assert await verdicts_of(successor) == [b"OK", b"OK", b"OK"]
            if moment != "dies first":
                predecessor.terminate()
            ran = [body for _, cls, body in successor.runs if cls == "work-order"]
            assert len(ran) == (0 if moment in ("YOURS late", "dies late") else 1)
            assert "errors=" not in await successor.leave()

    asyncio.run(test())


# Guards against a reload during a hand-over that is lost, ends a process or reverts the hand-over.
@pytest.mark.parametrize("reloads_predecessor", [False, True], ids=["successor", "predecessor"])
@pytest.mark.parametrize("before_ready", [False, True], ids=["after it is ready", "before it is ready"])
def test_reload_during_a_handover_reconnects_the_executor_and_moves_no_key(
    reloads_predecessor: bool, before_ready: bool
) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        # As in a deployment, a SIGHUP that arrives during the interpreter's start does not end the process.
        successor.shell_command = f"trap '' HUP; exec '{sys.executable}' -O -m chutepin"
        connected_before = await predecessor.connect()
        await assert_key_runs_once(predecessor, KNOWN_KEY)
        starting = asyncio.create_task(successor.start(stack, ops=True))
        await eventually(lambda: successor.process is not None)
        process = predecessor if reloads_predecessor else successor
        if not before_ready:
            await starting
            await wait_until_ready(successor)
        else:
            await eventually(lambda: successor.path.exists() and successor.process is not None)
        joins = len(process.joins)
        await process.configure(stack)
        process.reload()
        await starting
        await wait_until_ready(successor)
        await eventually(lambda: len(process.joins) > joins)
        connected_after = await successor.connect()
        for balancer in (connected_before, connected_after):
            assert (await balancer.answer(balancer.call("work-order", b"order", KNOWN_KEY)))[0] == b"OK"
            assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"
        await assert_key_runs_once(successor, NEW_KEY)
        assert sum(cls == "work-order" for _, cls, _ in [*predecessor.runs, *successor.runs]) == 2
        await connected_before.close()
        await connected_after.close()
        log = await successor.leave()
        assert "errors=" not in log and "invariant" not in log

    run_upgrade(test, window=60.0)  # an upgrade on a busy machine can outlast the usual window of 2 s
