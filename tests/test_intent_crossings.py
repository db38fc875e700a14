"""What the node was told, across the two processes of an upgrade: each crossing forced on the real program."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import pytest

from chutepin.handover.frames import encode_frame
from chutepin.net.resp import array
from chutepin.testbench.signals import kill, send_signal
from chutepin.testbench.standins.platform import Balancer, eventually, free_port

from .helper import Standins
from .test_handover import run_upgrade, wait_until_ready
from .test_handover_crossings import ScriptedPredecessor, open_link, rendezvous_path_of
from .test_operation import call

SLACK_S = 0.05
DOWN_WITHIN_S = 4.0 + SLACK_S  # from `drain` until no health check may be good
UP_WITHIN_S = 2.0 + SLACK_S  # from `resume` until a health check must be good
OBSERVED_S = 0.5  # for which the answers must then stay the same
HELD = b"held"  # body of a run that does not end by itself


async def check_health(balancer: Balancer) -> bytes:
    """Send a health check and return the word of its answer."""
    balancer.tag += 1
    balancer.writer.write(array(b"RPC.HEALTH", b"%d" % balancer.tag, b""))
    await eventually(lambda: balancer.ended or balancer.tag in balancer.answers)
    assert not balancer.ended, "the connection ended without an answer to the health check"
    return balancer.answers[balancer.tag][0][0]


async def assert_health(word: bytes, within_s: float, *balancers: Balancer) -> None:
    """Assert that the answers on all connections become this word in time and stay it."""
    deadline = time.time() + within_s
    while {await check_health(balancer) for balancer in balancers} != {word}:
        assert time.time() < deadline
        await asyncio.sleep(0.02)
    observed_until = time.time() + OBSERVED_S
    while time.time() < observed_until:
        assert {await check_health(balancer) for balancer in balancers} == {word}
        await asyncio.sleep(0.05)


async def command(process: Standins, name: bytes) -> None:
    assert (await call(process, name + b"\n")).startswith("SUCCESS")


async def end_process(process: Standins) -> None:
    """Send SIGTERM to a process that has handed over and wait for its end."""
    assert process.process is not None
    send_signal(process.process, signal.SIGTERM)
    assert await process.process.wait() == 0


async def hold_run(process: Standins) -> Balancer:
    """Give a process a run that keeps it from ending before its stop."""
    process.hold = {HELD}
    balancer = await process.connect()
    balancer.call("status-read", HELD, wait=11000)
    await eventually(lambda: process.runs)
    return balancer


# Guards against a node that an operator drained and that answers health checks as good after an upgrade.
@pytest.mark.parametrize(
    "moment", ["before", "while keys are sent", "after, at the old", "after, at the new", "after, at the ending"]
)
def test_drain_holds_through_an_upgrade_until_resume(moment: str) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        if moment == "before":
            await command(predecessor, b"drain")
        successor.welcomes = False  # the hand-over waits for the successor's executor
        await successor.start(stack, ops=True)
        if moment == "while keys are sent":
            await command(predecessor, b"drain")
        successor.come_up()
        await wait_until_ready(successor)
        at_new = await successor.connect()
        assert predecessor.process is not None
        if moment.endswith("ending"):
            send_signal(predecessor.process, signal.SIGTERM)
            await asyncio.sleep(0.2)
        if moment.startswith("after"):
            await command(successor if moment.endswith("new") else predecessor, b"drain")
        await assert_health(b"DOWN", DOWN_WITHIN_S, at_old, at_new)
        await end_process(predecessor)
        await assert_health(b"DOWN", 0.0, at_new)
        assert (await at_new.answer(at_new.call("status-read", b"late")))[0] == b"OK"
        await command(successor, b"resume")
        await assert_health(b"UP", UP_WITHIN_S, at_new)
        await at_old.close()
        await at_new.close()

    run_upgrade(test)


# Guards against a resume that one process keeps to itself, or that a stale copy of the drain undoes.
@pytest.mark.parametrize("place", ["old", "new", "new, after the end of the old"])
def test_resume_at_either_process_ends_a_drain(place: str) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        await command(predecessor, b"drain")
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        at_new = await successor.connect()
        await assert_health(b"DOWN", 0.0, at_old, at_new)
        if place.endswith("of the old"):
            await end_process(predecessor)
        await command(predecessor if place == "old" else successor, b"resume")
        await assert_health(b"UP", UP_WITHIN_S, at_new)
        if not place.endswith("of the old"):
            await assert_health(b"UP", UP_WITHIN_S, at_old)
            await end_process(predecessor)
        successor.reload()
        await assert_health(b"UP", 0.0, at_new)
        await at_old.close()
        await at_new.close()

    run_upgrade(test)


# Guards against a drain that the second successor is not told, or that a reload forgets.
def test_drain_holds_through_three_upgrades_and_reloads() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        await command(predecessor, b"drain")
        old = predecessor
        for new in (successor, Standins(), Standins()):
            new.environ, new.listen_port = predecessor.environ, predecessor.port
            await new.start(stack, ops=True)
            await wait_until_ready(new)
            await end_process(old)
            await new.configure(stack)
            new.reload()
            await eventually(lambda new=new: len(new.joins) > 1)  # type: ignore[misc]
            balancer = await new.connect()
            await assert_health(b"DOWN", 0.0, balancer)
            await balancer.close()
            old = new
        await command(old, b"resume")
        balancer = await old.connect()
        await assert_health(b"UP", UP_WITHIN_S, balancer)
        await balancer.close()

    run_upgrade(test)


# Guards against a control plane that lists a drained node by the report of one of its processes.
def test_both_processes_report_a_drained_node_as_not_ready_until_resume() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        await command(predecessor, b"drain")
        await eventually(lambda: predecessor.reports and b"NotReady" in predecessor.reports[-1])
        reported = len(predecessor.reports)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        await eventually(lambda: len(successor.reports) >= 2 and len(predecessor.reports) >= reported + 2)
        assert all(b"NotReady" in report for report in [*predecessor.reports[reported:], *successor.reports])
        await command(successor, b"resume")
        for process in (predecessor, successor):
            await eventually(lambda process=process: b"NotReady" not in process.reports[-1])  # type: ignore[misc]
        await at_old.close()

    run_upgrade(test)


# Guards against two processes that keep different words after a drain and a resume came to both at once.
@pytest.mark.parametrize("first", ["drain", "resume"])
def test_drain_and_resume_at_both_processes_at_once_leave_them_with_the_same_answer(first: str) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        at_new = await successor.connect()
        assert successor.process is not None
        second = "resume" if first == "drain" else "drain"
        send_signal(successor.process, signal.SIGSTOP)
        at_successor = asyncio.create_task(call(successor, second.encode() + b"\n"))
        await asyncio.sleep(0.1)
        assert (await call(predecessor, first.encode() + b"\n")).startswith("SUCCESS")
        send_signal(successor.process, signal.SIGCONT)
        assert (await at_successor).startswith("SUCCESS")
        await asyncio.sleep(0.5)
        answer = await check_health(at_new)
        await assert_health(answer, 0.0, at_old, at_new)
        await at_old.close()
        await at_new.close()

    run_upgrade(test)


# Guards against a drain that is lost with the process that confirmed it, before its successor was told.
@pytest.mark.parametrize("killed", ["predecessor", "successor"])
def test_drain_survives_the_death_of_the_process_that_confirmed_it(killed: str) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        successor.welcomes = False
        await successor.start(stack, ops=True)
        if killed == "successor":
            successor.come_up()
            await wait_until_ready(successor)
        told, survivor = (predecessor, successor) if killed == "predecessor" else (successor, predecessor)
        assert told.process is not None and survivor.process is not None
        send_signal(survivor.process, signal.SIGSTOP)
        try:
            await command(told, b"drain")
            kill(told.process)
            await told.process.wait()
        finally:
            send_signal(survivor.process, signal.SIGCONT)
        if killed == "predecessor":
            successor.come_up()
        await wait_until_ready(survivor)
        balancer = await survivor.connect()
        await assert_health(b"DOWN", 0.0, balancer)
        await command(survivor, b"resume")
        await assert_health(b"UP", UP_WITHIN_S, balancer)
        await balancer.close()

    run_upgrade(test)


class CuttableLink:
    """Forwards the hand-over's link of two real processes, with the sockets that are passed, until it is cut."""

    def __init__(self, predecessor: Standins) -> None:
        self._path = rendezvous_path_of(predecessor)
        self._predecessor_path = f"{self._path}.predecessor"
        os.rename(self._path, self._predecessor_path)
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(self._path)
        self._listener.listen(4)
        self._listener.setblocking(False)
        self._inode = os.stat(self._path).st_ino
        self._sockets: list[socket.socket] = []
        self._task = asyncio.ensure_future(self._accept())
        self._forwarding: set[asyncio.Task[None]] = set()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            connected = socket.socket(socket.AF_UNIX)
            connected.setblocking(False)
            await loop.sock_connect(connected, self._predecessor_path)
            self._sockets += [accepted, connected]
            for source, target in ((accepted, connected), (connected, accepted)):
                self._forwarding.add(asyncio.ensure_future(self._forward(source, target)))

    @staticmethod
    async def _forward(source: socket.socket, target: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                readable = loop.create_future()
                loop.add_reader(source, readable.set_result, None)
                await readable
                loop.remove_reader(source)
                data, descriptors, _, _ = socket.recv_fds(source, 65536, 8)
                if not data:
                    break
                if descriptors:
                    socket.send_fds(target, [data], descriptors)
                    for descriptor in descriptors:
                        os.close(descriptor)
                else:
                    await loop.sock_sendall(target, data)
            target.shutdown(socket.SHUT_RDWR)

    def is_replaced(self) -> bool:
        """Return whether the successor listens at the rendezvous itself."""
        return os.stat(self._path).st_ino != self._inode

    def cut(self) -> None:
        """End the link; both processes live on."""
        self._task.cancel()
        for task in self._forwarding:
            task.cancel()
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.remove_reader(sock)
            sock.close()
        self._sockets.clear()
        if self._listener.fileno() >= 0:
            loop.remove_reader(self._listener)
            self._listener.close()


def run_cut_upgrade(test: Callable[[Standins, Standins], Awaitable[None]]) -> None:
    """Run a test with two processes after a hand-over whose link has been cut; the old one has a run in progress."""

    async def upgrade(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        link = CuttableLink(predecessor)
        stack.callback(link.cut)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        await eventually(link.is_replaced)
        link.cut()
        await test(predecessor, successor)

    run_upgrade(upgrade)


# Guards against a command that the disconnected process confirms although the serving one never receives it, and
# against a disconnected process that goes on with what the node was told before.
def test_drain_at_the_serving_process_reaches_the_other_one_after_the_link_is_cut() -> None:
    async def test(predecessor: Standins, successor: Standins) -> None:
        assert (await call(predecessor, b"drain\n")).startswith("FAILURE not now, handing over")
        await command(successor, b"drain")
        assert successor.process is not None
        kill(successor.process)
        await successor.process.wait()
        await wait_until_ready(predecessor)
        balancer = await predecessor.connect()
        await assert_health(b"DOWN", 0.0, balancer)
        await command(predecessor, b"resume")
        await assert_health(b"UP", UP_WITHIN_S, balancer)
        await balancer.close()

    run_cut_upgrade(test)


def test_node_told_nothing_serves_on_when_its_successor_dies_after_the_link_is_cut() -> None:
    async def test(predecessor: Standins, successor: Standins) -> None:
        assert successor.process is not None
        kill(successor.process)
        await successor.process.wait()
        await wait_until_ready(predecessor)
        balancer = await predecessor.connect()
        await assert_health(b"UP", 0.0, balancer)
        assert (await balancer.answer(balancer.call("status-read", b"read")))[0] == b"OK"
        await balancer.close()

    run_cut_upgrade(test)


# Guards against a command that is confirmed by a process that cannot keep it.
@pytest.mark.parametrize("name", [b"drain", b"resume"], ids=bytes.decode)
def test_command_at_a_successor_that_is_not_ready_fails_and_changes_nothing(name: bytes) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        successor.welcomes = False
        await successor.start(stack, ops=True)
        await eventually(lambda: successor.joins)
        assert (await call(successor, name + b"\n")).startswith("FAILURE not now, starting")
        balancer = await predecessor.connect()
        await assert_health(b"UP", 0.0, balancer)
        await balancer.close()

    run_upgrade(test)


# Guards against a drain that a successor which was stopped meanwhile does not apply, or that a reload forgets.
def test_drain_reaches_a_stalled_successor_and_holds_through_reloads_of_both() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        assert successor.process is not None
        send_signal(successor.process, signal.SIGSTOP)
        await command(predecessor, b"drain")
        await asyncio.sleep(OBSERVED_S)
        send_signal(successor.process, signal.SIGCONT)
        at_new = await successor.connect()
        await assert_health(b"DOWN", DOWN_WITHIN_S, at_old, at_new)
        for process in (predecessor, successor):
            joins = len(process.joins)
            await process.configure(stack)
            process.reload()
            await eventually(lambda process=process, joins=joins: len(process.joins) > joins)  # type: ignore[misc]
        await assert_health(b"DOWN", 0.0, at_old, at_new)
        await at_old.close()
        await at_new.close()

    run_upgrade(test)


# A successor of an earlier version ignores what it is told, so a command for it cannot be kept.
def test_command_at_old_process_fails_if_its_successor_does_not_exchange_intents() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        await command(predecessor, b"drain")
        reader, writer, answer = await open_link(predecessor)
        assert answer.startswith(b"HERE ")
        writer.write(encode_frame("USE", running=0, memory=0.0, descriptors=0))
        writer.write(encode_frame("TAKES"))
        await reader.readuntil(b"YOURS 2\r\n{}\r\n")
        for name in (b"drain", b"resume"):
            assert (await call(predecessor, name + b"\n")).startswith("FAILURE not now, handing over, drained")
        writer.close()
        await wait_until_ready(predecessor)
        assert (await call(predecessor, b"ready\n")).startswith("SUCCESS yes, drained")
        assert "handover.peer_without_intent" in await predecessor.leave()

    run_upgrade(test)


# A predecessor of an earlier version says nothing of a drain: its node is taken for one that was told nothing.
def test_successor_of_an_earlier_version_serves_and_takes_commands() -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            successor = Standins()
            successor.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            successor.listen_port = await free_port()
            predecessor = ScriptedPredecessor(successor)
            starting = asyncio.create_task(successor.start(stack, ops=True))
            await predecessor.hand_over()
            await starting
            assert predecessor.link is not None
            predecessor.link.sendall(encode_frame("USE", running=0, memory=0.0, descriptors=0))
            await predecessor.grant_takeover()
            await wait_until_ready(successor)
            balancer = await successor.connect()
            await assert_health(b"UP", 0.0, balancer)
            await command(successor, b"drain")
            await assert_health(b"DOWN", DOWN_WITHIN_S, balancer)
            predecessor.terminate()
            await assert_health(b"DOWN", 0.0, balancer)
            await command(successor, b"resume")
            await assert_health(b"UP", UP_WITHIN_S, balancer)
            await balancer.close()

    asyncio.run(test())
