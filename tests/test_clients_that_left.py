"""What is read, queued or run after its client has left, and ids that come again."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from contextlib import AsyncExitStack, suppress
from typing import cast

import pytest
from pamqp import commands

from chutepin.broker import Broker
from chutepin.broker.recent_runs import MIN_IDS, RECENT_RUN_BYTES, RecentRuns
from chutepin.config import Address
from chutepin.counters import Counters
from chutepin.decision import simulator_protocol as wire
from chutepin.facade import End
from chutepin.handover import ProcessUsage
from chutepin.handover.fields import MalformedFrameError
from chutepin.handover.frames import MAX_STARTED_IDS, Frame, decode, encode, encode_frame
from chutepin.logs import Log
from chutepin.net.amqp.session import Content
from chutepin.net.executor import ExecutorLink, Session
from chutepin.net.resp import RespListener, array
from chutepin.testbench.standins.platform import eventually

from .helper import ENV, WINDOW, Core, Hand, Ports, Standins
from .test_amqp import quiet_session
from .test_handover import run_upgrade, wait_until_ready
from .test_standing import call, read_messages, run_with_listener

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without time


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_requests_that_were_unread_when_their_client_closed_are_not_run(is_reset: bool) -> None:
    """Guards against a node that reads on what a client wrote before it left, and has the executor run it.

    The client withdraws each request, so that nothing is sent to it that would show that it has left."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        loop, kill = asyncio.get_running_loop(), core.ports.kill

        def kill_and_end(id: str) -> None:
            kill(id)
            loop.call_soon(core.end, id, End.CANCELLED)

        core.ports.kill = kill_and_end  # type: ignore[method-assign]
        client = socket.create_connection(("127.0.0.1", port))
        await eventually(lambda: front._links)
        for tag in range(1, 1500):
            client.sendall(call(core, tag) + array(b"RPC.CANCEL", b"%d" % tag))
        if is_reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.close()  # the node has read nothing so far
        await eventually(lambda: not front.connections)
        assert len(core.ports.ids("exec")) <= 40  # of one read at most
        assert not core.broker.awaiting_response_count

    run_with_listener(test)


def test_request_of_a_client_that_closed_while_it_was_queued_is_withdrawn() -> None:
    """Guards against a connection without input for which the node waits until all its requests are answered."""

    async def test(core: Core, front: RespListener, port: int) -> None:
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(b"".join(call(core, tag) for tag in range(1, 9)))
        await eventually(lambda: core.counters.counts["requests"] == 8)
        client.close()
        await eventually(lambda: core.counters.counts["callers.gone"] == 8)
        await eventually(lambda: not front.connections)

    run_with_listener(test)


def test_balancer_that_ended_its_side_with_much_unread_gets_all_answers() -> None:
    async def test(core: Core, front: RespListener, port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(b"".join(call(core, tag) for tag in range(1, 31)))  # more than one read
            client.shutdown(socket.SHUT_WR)
            await eventually(lambda: core.counters.counts["requests"] == 30)
            for id in core.ports.ids("exec"):
                core.end(id)
            while core.broker.awaiting_response_count:
                core.pass_time(0.1)
            answers = await read_messages(client)
            assert answers[0] == [b"0", b"BYE"]
            assert sorted(int(items[0]) for items in answers[1:]) == list(range(1, 31))

    run_with_listener(test)


# --- ids that come again ---


@pytest.mark.parametrize("ending", ["ended", "failed", "withdrawn"])
def test_id_that_ran_does_not_run_again(ending: str) -> None:
    """Guards against a second run of a request that its client sends again after it has left."""
    core = Core()
    core.pick("a")
    if ending == "withdrawn":
        core.broker.caller_disconnected("a")
    core.end("a", End.CANCELLED if ending == "withdrawn" else End.ERROR if ending == "failed" else End.OK)
    answers_before = len(core.ports.answers["a"])
    core.pick("a")
    assert core.ports.ids("exec") == ["a"] and core.counters.counts["requests.repeated"] == 1
    assert [answer.verdict.value for answer in core.ports.answers["a"]][answers_before:] == ["failed"]


def test_id_whose_run_certainly_did_not_start_may_run() -> None:
    core = Core()
    core.pick("a")
    core.broker.command_not_carried_out("EXEC", "a")
    core.pick("a")
    assert core.ports.ids("exec") == ["a", "a"]


def test_id_that_comes_again_with_its_key_gets_the_result() -> None:
    core = Core()
    core.pick("a", "work-order", key="k")
    core.end("a")
    core.pick("a", "work-order", key="k")
    assert core.ports.ids("exec") == ["a"]
    assert [answer.verdict.value for answer in core.ports.answers["a"]] == ["served", "served"]


def test_id_with_a_key_whose_window_is_over_does_not_run_again() -> None:
    core = Core()
    core.pick("a", "work-order", key="k")
    core.end("a")
    core.pass_time(WINDOW + 0.5)
    core.pick("a", "work-order", key="k")
    assert core.ports.ids("exec") == ["a"]


def test_recent_runs_are_bounded_and_forgotten() -> None:
    runs = RecentRuns(10.0, 0)
    for number in range(5 * MIN_IDS):
        runs.started(f"{number}", 0.0, False)
    assert MIN_IDS <= len(runs.ids()) <= 2 * MIN_IDS and f"{5 * MIN_IDS - 1}" in runs
    runs = RecentRuns(10.0, 1000 * RECENT_RUN_BYTES)
    for now in (0.0, 9.0, 11.0, 22.0):
        runs.started(f"at {now}", now, False)
    assert runs.ids() == ["at 11.0", "at 22.0"]  # each is remembered for 10 s at least


def test_id_that_ran_at_the_other_process_does_not_run_here() -> None:
    """Guards against a client that left and comes again at the other process of an upgrade."""

    def request(id: str) -> bytes:
        fields = f"i={id},s={int(time.time() * 1000)},f=1,t=bernard-lodge,d=5000,m=1,p=0.5"
        return array(b"RPC.CALL", b"1", b"position-push", fields.encode(), b"once")

    async def ask(process: Standins, id: str) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
        writer.write(request(id))
        answer = await reader.readuntil(b"\r\n$")
        answer += await reader.readuntil(b"\r\n$")
        answer += await reader.readuntil(b"\r\n$")
        writer.close()
        return answer.split(b"\r\n")[4]

    async def test(predecessor: Standins, successor: Standins, stack: AsyncExitStack) -> None:
        before, during, after = (os.urandom(8).hex() for _ in range(3))
        on_predecessor = await predecessor.connect()  # stays with the predecessor
        assert await ask(predecessor, before) == b"OK"
        await successor.start(stack, ops=True)
        await wait_until_ready(successor)
        assert await ask(successor, before) == b"FAILED"
        assert await ask(successor, during) == b"OK"
        on_predecessor.writer.write(request(during))
        assert (await on_predecessor.answer(1))[0] == b"FAILED"
        assert await ask(successor, after) == b"OK"
        started = [id for process in (predecessor, successor) for id, _, _ in process.runs]
        assert started == [before, during, after]

    run_upgrade(test)


def test_usage_without_started_runs_is_encoded_as_by_earlier_versions() -> None:
    assert encode(ProcessUsage(3, 1.5, 17)) == encode_frame("USE", running=3, memory=1.5, descriptors=17)
    usage = ProcessUsage(3, 1.5, 17, ("a", "b"))
    assert decode(Frame("USE", {"running": 3, "memory": 1.5, "descriptors": 17, "runs": ["a", "b"]})) == usage


@pytest.mark.parametrize(
    "runs",
    [7, None, "abc", [7], ["x" * 100_000], ["a"] * (MAX_STARTED_IDS + 1), {"a": 1}],
    ids=lambda runs: str(runs)[:9],
)
def test_malformed_started_runs_are_a_malformed_frame(runs: object) -> None:
    with pytest.raises(MalformedFrameError):
        decode(Frame("USE", {"running": 3, "memory": 1.5, "descriptors": 17, "runs": runs}))


# --- requests that wait for a link ---


class NodeWithoutLink:
    """A broker over an executor session whose link the test opens and closes."""

    def __init__(self) -> None:
        hand, counters, self.ports, self.sent = Hand(), Counters(), Ports(), list[bytes]()
        log = Log(hand.clock)
        self.hand = hand
        self.session = Session(hand.clock, counters, log, True)
        link = ExecutorLink(Address("", 1), self.session, counters, log)
        self.broker = Broker(
            wire.parse_settings(ENV),
            1,
            hand.clock,
            counters,
            log,
            link,
            self.ports,
            self.ports,
            key_memory=2**20,
            request_memory=2**20,
            run_memory=2**20,
        )
        self.session.notices = self.broker
        self.open_link()

    def open_link(self) -> None:
        self.sent.clear()
        self.session.connected(self.sent.append)
        self.session.received(b"WELCOME hot 5\r\n")
        self.session.received(b"METERS %d 0 0\r\n" % self.session._last_meter)

    def pick(self, id: str, cls: str = "position-push", key: str | None = None) -> None:
        Core.pick(cast(Core, self), id, cls, key)

    def execs(self) -> list[str]:
        return [data.split()[1].decode() for data in self.sent if data.startswith(b"EXEC")]


def test_run_whose_client_left_before_its_command_was_written_is_not_started() -> None:
    """Guards against commands that wait for the executor's link, and are written though no one awaits the result."""
    node = NodeWithoutLink()
    node.session.lost()
    for id in ("left", "waits", "overdue"):
        node.pick(id)
    node.broker.caller_disconnected("left")
    node.open_link()
    assert node.execs() == ["waits", "overdue"]
    assert not node.broker.is_open("left") and node.broker.is_open("waits")


def test_keyed_run_that_another_attempt_waits_for_is_started() -> None:
    node = NodeWithoutLink()
    node.session.lost()
    for id in ("first", "second"):
        node.pick(id, "work-order", key="shared")
        node.pick(f"{id}-alone", "work-order", key=id)
    node.broker.caller_disconnected("first")
    node.broker.caller_disconnected("first-alone")
    node.open_link()
    assert set(node.execs()) == {"first", "second-alone"}
    node.pick("again", "work-order", key="first")  # its key was released
    assert "again" in node.execs()


@pytest.mark.parametrize("has_left", [False, True])
def test_delivery_read_after_the_amqp_broker_ended_its_side_is_not_run(has_left: bool) -> None:
    """Guards against runs of deliveries that cannot be acknowledged and come again."""
    consumer, session = quiet_session([], core := Core())
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as near:
        far, _ = server.accept()

        class Link:
            def is_closing(self) -> bool:
                return False

            def get_extra_info(self, name: str) -> socket.socket:
                return near

        consumer._link = cast(asyncio.WriteTransport, Link())
        if has_left:
            far.close()
            deadline = time.monotonic() + 5
            while not consumer._has_broker_left() and time.monotonic() < deadline:
                time.sleep(0.01)
        session.unsettled.add(1)
        deliver = commands.Basic.Deliver("q1", 1, False)
        consumer.delivered(session, Content(deliver, commands.Basic.Properties(message_id="m"), 1, 1, [b"x"]))
        assert len(core.ports.ids("exec")) == (not has_left)
        with suppress(OSError):
            far.close()
