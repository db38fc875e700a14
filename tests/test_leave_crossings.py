"""The notice to leave a node, across the two processes of an upgrade: each crossing forced on the real program."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from enum import Enum

import pytest

from chutepin.handover import Rendezvous
from chutepin.handover.frames import encode_frame
from chutepin.net.streams import ConnectionHandler
from chutepin.testbench.signals import kill, send_signal
from chutepin.testbench.standins.platform import Balancer, eventually

from .helper import Standins
from .test_handover import run_upgrade, wait_until_ready
from .test_handover_crossings import open_link, rendezvous_path_of
from .test_intent_crossings import CuttableLink, assert_health, end_process, hold_run
from .test_operation import call

GRACE_S = 0.8  # of the settings: what arrives later after the notice is not run
SLACK_S = 0.05
STOP_MS = 1500
FINISH_S = 3.7  # after SIGTERM to a process that has handed over
GAP_S = 0.2  # between the two signals
SEND_INTERVAL_S = 0.04


class Load:
    """Balancers that have not heard of the drain: on an open connection without BYE, else on a new one."""

    def __init__(self, process: Standins) -> None:
        self._process = process
        self.sent: list[tuple[Balancer, int, bytes, float]] = []  # connection, tag, body, time
        self.last_attempt_at = 0.0  # to send, or to connect

    async def run(self) -> None:
        """Send requests with keys of their own until cancelled."""
        balancer: Balancer | None = None
        for number in itertools.count():
            self.last_attempt_at = time.time()
            if balancer is None or balancer.ended or 0 in balancer.answers:
                balancer = None
                with contextlib.suppress(OSError):  # a refused connection runs nothing
                    balancer = await self._process.connect()
            if balancer is not None:
                body = b"order %d" % number
                at = time.time()
                tag = balancer.call("work-order", body, f"{number:032x}")
                self.sent.append((balancer, tag, body, at))
            await asyncio.sleep(SEND_INTERVAL_S)

    def check(self, notice_at: float, *processes: Standins, is_killed: bool = False) -> None:
        """Check that nothing ran that came after the grace, that keys ran once, and that all has one answer.

        `is_killed`: a process was killed after the notice, and answers nothing that was open then."""
        ran = [body for process in processes for _, _, body in process.runs]
        late = [at - notice_at for _, _, body, at in self.sent if body in ran and at > notice_at + GRACE_S + SLACK_S]
        assert not late, f"{len(late)} requests ran that came up to {max(late):.2f} s after the notice"
        assert len(ran) == len(set(ran))
        assert self.last_attempt_at > notice_at + GRACE_S + 0.5
        for balancer, tag, _, at in self.sent:
            answers = len(balancer.answers.get(tag, []))
            answered_until = notice_at - 0.1 if is_killed else notice_at + GRACE_S
            assert answers == 1 or (answers == 0 and at > answered_until), at - notice_at


@contextlib.asynccontextmanager
async def sending_to(process: Standins) -> AsyncIterator[Load]:
    """Send to a node while the context is active."""
    load = Load(process)
    task = asyncio.create_task(load.run())
    try:
        yield load
    finally:
        task.cancel()


def configure(*processes: Standins) -> None:
    for process in processes:
        process.env["safety"]["drainGrace"] = GRACE_S
        process.stop_ms = STOP_MS


class End(Enum):
    """The end of the new process after the notice."""

    IN_ORDER = "ends in order"
    KILLED = "killed"
    STALLED = "stalls"
    LINK_CUT = "link cut"


async def end_new_process(process: Standins, end: End) -> None:
    assert process.process is not None
    if end is End.KILLED:
        await asyncio.sleep(GAP_S)
        kill(process.process)
    if end is End.STALLED:
        await asyncio.sleep(GAP_S)
        send_signal(process.process, signal.SIGSTOP)
        await asyncio.sleep(GRACE_S)
        send_signal(process.process, signal.SIGCONT)
    assert await process.process.wait() == (-signal.SIGKILL if end is End.KILLED else 0)


# Guards against an old process that takes clients again, and runs what they send, once the new process has left.
@pytest.mark.parametrize("end", End, ids=lambda end: end.value)
@pytest.mark.parametrize("has_long_run", [True, False], ids=["long run", "no run"])
@pytest.mark.parametrize("notice", ["before", "with", "after"])
def test_nothing_that_comes_after_the_grace_runs_at_either_process(notice: str, has_long_run: bool, end: End) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        if has_long_run:
            stack.push_async_callback((await hold_run(predecessor)).close)
        async with sending_to(predecessor) as load:
            link = CuttableLink(predecessor) if end is End.LINK_CUT else None
            await successor.start(stack, ops=True)
            await wait_until_ready(successor)
            if link is not None:
                stack.callback(link.cut)
                await eventually(link.is_replaced)
                link.cut()
            await asyncio.sleep(GAP_S)
            old, new = predecessor.process, successor.process
            assert old is not None and new is not None
            if notice == "after":
                send_signal(old, signal.SIGTERM)
                await asyncio.sleep(GAP_S)
            notice_at = time.time()
            send_signal(new, signal.SIGTERM)
            if notice == "with":
                send_signal(old, signal.SIGTERM)
            ending = asyncio.create_task(end_new_process(successor, end))
            if notice == "before":
                await asyncio.sleep(GAP_S)
                if old.returncode is None:  # a process without open requests has ended by itself
                    send_signal(old, signal.SIGTERM)
            async with asyncio.timeout(FINISH_S + GAP_S):
                assert await old.wait() == 0
            await ending
            await asyncio.sleep(max(0.0, notice_at + GRACE_S + 1.0 - time.time()))
        load.check(notice_at, predecessor, successor, is_killed=end is End.KILLED)

    run_upgrade(test, configure=configure)


# Guards against a control plane that lists a node by its old process, which was not told that the node leaves.
def test_both_processes_report_a_leaving_node_as_not_ready() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        await eventually(lambda: successor.reports)
        assert successor.process is not None and predecessor.process is not None
        reported = [len(process.reports) for process in (predecessor, successor)]
        send_signal(successor.process, signal.SIGTERM)
        assert await successor.process.wait() == 0
        assert await predecessor.process.wait() == 0
        for process, count in zip((predecessor, successor), reported, strict=True):
            assert process.reports[count:] and all(b"NotReady" in report for report in process.reports[count:])
        await at_old.close()

    def configure_long_grace(*processes: Standins) -> None:
        for process in processes:
            process.env["safety"]["drainGrace"], process.stop_ms = 2.5, 3500

    run_upgrade(test, configure=configure_long_grace)


# Guards against a successor that serves after the node was told to leave while keys were sent to it.
def test_notice_to_leave_before_the_hand_over_ends_the_starting_successor_too() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        async with sending_to(predecessor) as load:
            successor.welcomes = False
            await successor.start(stack, ops=True)
            await asyncio.sleep(GAP_S)
            assert predecessor.process is not None and successor.process is not None
            notice_at = time.time()
            send_signal(predecessor.process, signal.SIGTERM)
            assert await successor.process.wait() == 0
            assert time.time() < notice_at + GRACE_S
            assert await predecessor.process.wait() == 0
            await asyncio.sleep(max(0.0, notice_at + GRACE_S + 1.0 - time.time()))
        load.check(notice_at, predecessor, successor)

    run_upgrade(test, configure=configure)


# Guards against a starting process whose end is taken for a notice to the node, or which takes over as it ends.
def test_sigterm_to_a_starting_successor_ends_only_that_process() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        successor.welcomes = False
        await successor.start(stack, ops=True)
        await end_process(successor)
        assert (await call(predecessor, b"ready\n")).startswith("SUCCESS yes, serving")
        balancer = await predecessor.connect()
        await assert_health(b"UP", 0.0, balancer)
        assert (await balancer.answer(balancer.call("work-order", b"order", "ab" * 16)))[0] == b"OK"
        await balancer.close()

    run_upgrade(test, configure=configure)


# Guards against a process that was told to end and accepts clients again when its successor dies.
def test_process_told_to_end_accepts_no_client_after_the_death_of_its_successor() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        old, new = predecessor.process, successor.process
        assert old is not None and new is not None
        send_signal(old, signal.SIGTERM)
        await asyncio.sleep(GAP_S)
        kill(new)
        await new.wait()
        await asyncio.sleep(GAP_S)
        with pytest.raises(OSError):
            await predecessor.connect()
        assert old.returncode is None
        predecessor.finish(predecessor.runs[0][0], b"done")
        assert (await at_old.answer(at_old.tag))[0] == b"OK"
        assert await old.wait() == 0
        await at_old.close()

    run_upgrade(test, configure=configure)


# Guards against a new life of the node that serves beside the process that leaves, or that is told to leave itself.
def test_process_started_after_the_notice_serves_once_the_leaving_process_has_ended() -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        at_old = await hold_run(predecessor)
        assert predecessor.process is not None
        send_signal(predecessor.process, signal.SIGTERM)
        await asyncio.sleep(GAP_S)
        await successor.start(stack, ops=True)
        answer = ""
        while not answer.startswith("SUCCESS"):
            with contextlib.suppress(OSError):
                answer = await call(successor, b"ready\n")
                # The leaving process may still be in its interpreter's exit, with nothing open.
                has_finished = at_old.ended and len(at_old.answers[at_old.tag]) == 1
                assert has_finished or answer.startswith("FAILURE no, starting")
            await asyncio.sleep(0.02)
        assert await predecessor.process.wait() == 0
        balancer = await successor.connect()
        assert (await balancer.answer(balancer.call("status-read", b"read")))[0] == b"OK"
        await assert_health(b"UP", 0.0, balancer)
        await balancer.close()
        await at_old.close()

    run_upgrade(test, configure=configure)


async def take_over_as_earlier_version(
    process: Standins, handle: ConnectionHandler
) -> tuple[Rendezvous, asyncio.StreamWriter]:
    """Take over from a process as a successor of an earlier version does, which says nothing of its intent."""
    reader, writer, answer = await open_link(process)
    assert answer.startswith(b"HERE ")
    writer.write(encode_frame("USE", running=0, memory=0.0, descriptors=0))
    writer.write(encode_frame("TAKES"))
    await reader.readuntil(b"YOURS 2\r\n{}\r\n")
    rendezvous = Rendezvous(rendezvous_path_of(process))
    await rendezvous.listen(handle)
    return rendezvous, writer


async def ignore_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close a connection to the rendezvous."""
    writer.close()


# A successor of an earlier version ends in order only after a notice to leave; one that dies leaves its file.
@pytest.mark.parametrize("ends_in_order", [True, False], ids=["ends in order", "dies"])
def test_end_of_a_successor_of_an_earlier_version(ends_in_order: bool) -> None:
    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        rendezvous, writer = await take_over_as_earlier_version(predecessor, ignore_connection)
        if not ends_in_order:
            os.link(rendezvous.path, f"{rendezvous.path}.kept")
        rendezvous.close()
        if not ends_in_order:
            os.rename(f"{rendezvous.path}.kept", rendezvous.path)
        writer.transport.abort()
        assert predecessor.process is not None
        if ends_in_order:
            assert await predecessor.process.wait() == 0
        else:
            await wait_until_ready(predecessor)
            assert (await call(predecessor, b"ready\n")).startswith("SUCCESS yes, serving")

    run_upgrade(test, configure=configure)
