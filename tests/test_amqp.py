"""The AMQP consumer against a stand-in broker that redelivers at random, and against literal bytes."""

from __future__ import annotations

import asyncio
import copy
import socket
import struct
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from pamqp import commands

from chutepin.config import Address, ConfigError, load_amqp
from chutepin.decision import simulator_protocol as wire
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, Content, FrameParser, Session, State, decode
from chutepin.net.lines import ProtocolError
from chutepin.testbench.standins.amqp_broker import Message, Properties, StandinBroker
from chutepin.testbench.standins.platform import eventually

from .helper import ENV, ROOT, STEPS, Core, Standins

SECRET = {"CHUTEPIN_AMQP_PASSWORD": "cane"}
ORDERS, STATUS = "depot.work-orders", "depot.status"


def run_with_broker(
    test: Callable[[Standins, StandinBroker], Awaitable[None]],
    broker: StandinBroker,
    prefetch: int = 32,
    stop_ms: int = 1500,
    env: dict[str, Any] = ENV,
) -> None:
    """Run a test with the real program between the stand-ins, consuming from the stand-in broker."""

    async def show_broker(_: object, error: BaseException | None, trace: object) -> None:
        if error is not None:
            print(broker.describe())

    async def run() -> None:
        async with AsyncExitStack() as stack:
            await broker.start(stack)
            world = Standins()
            world.env, world.stop_ms = copy.deepcopy(env), stop_ms
            path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "amqp.toml"
            text = (ROOT / "deploy" / "amqp.toml").read_text()
            text = text.replace("prefetch = 32", f"prefetch = {prefetch}")
            path.write_text(text.replace("127.0.0.1:5672", f"127.0.0.1:{broker.port}"))
            stack.push_async_exit(show_broker)
            await world.start(stack, "--amqp", str(path), environ=SECRET)
            await test(world, broker)

    asyncio.run(run())


def with_effect(effect: str) -> dict[str, Any]:
    """Return the tests' settings with another effect of work orders."""
    env = copy.deepcopy(ENV)
    env["categories"][2]["idempotency"] = effect
    return env


# Guards against a second run of a class whose requests have no keys at the platform's listener (side_effect).
@pytest.mark.parametrize("effect", ["token", "side_effect"])
def test_no_write_runs_twice_under_random_redelivery(effect: str) -> None:
    async def test(world: Standins, broker: StandinBroker) -> None:
        orders = [broker.put(ORDERS, b"order %d" % n, message_id=f"order-{n}", reply_to="depot") for n in range(60)]
        reads = [broker.put(STATUS, b"read %d" % n) for n in range(20)]
        await eventually(lambda: all(message.settled for message in orders + reads))
        assert {message.settled for message in orders} == {"ack"}
        written = [data for _, cls, data in world.runs if cls == "work-order"]
        redelivered = sum(message.deliveries > 1 for message in orders)
        assert redelivered >= 5 and broker.links >= 5, "too few redeliveries for a meaningful test"
        assert sorted(written) == sorted({message.data for message in orders}), "a write ran twice or not at all"
        answered = {(p.correlation_id, data) for _, p, data in broker.replies}
        assert len(answered) == 60, "a redelivery was answered with another result"
        await world.leave()

    run_with_broker(test, StandinBroker(seed=3, cuts=0.1, lost_acks=0.15), env=with_effect(effect))


def test_redelivery_during_drain_is_answered_and_not_run() -> None:
    async def test(world: Standins, broker: StandinBroker) -> None:
        world.hold = {b"long"}  # keeps the node running until its stop
        order = broker.put(ORDERS, b"pump", message_id="1")
        broker.put(ORDERS, b"long", message_id="0")
        await eventually(lambda: order.settled and len(world.runs) == 2)
        log = asyncio.ensure_future(world.leave())
        await eventually(lambda: "q0" in broker.cancelled)
        order.settled, order.redelivered = "", True  # the ack was lost and the message is redelivered
        broker.deliver(order)
        await eventually(lambda: order.settled)
        await asyncio.sleep(0.6)  # beyond the drain grace of 0.5 s
        late_order = broker.put(ORDERS, b"brake", message_id="2")
        broker.deliver(late_order)
        text = await log
        assert order.settled == "ack" and len(world.runs) == 2
        assert "amqp.nack=1" in text and not late_order.settled and late_order.redelivered

    run_with_broker(test, StandinBroker(), stop_ms=5000)


def test_link_without_heartbeats_is_closed() -> None:
    async def test(world: Standins, broker: StandinBroker) -> None:
        await eventually(lambda: broker.beats)
        await eventually(lambda: broker.links == 2)
        assert "no heartbeat from the broker" in await world.leave()

    run_with_broker(test, StandinBroker(heartbeat=1))


def test_unsettled_delivery_of_lost_link_runs_once_and_is_settled_on_the_next_link() -> None:
    async def test(world: Standins, broker: StandinBroker) -> None:
        world.hold = {b"long"}
        order = broker.put(ORDERS, b"long", message_id="1")
        await eventually(lambda: world.runs)
        broker.cut()
        await eventually(lambda: order.deliveries == 2)
        world.finish(world.runs[0][0], b"mended")
        await eventually(lambda: order.settled)
        assert order.settled == "ack" and len(world.runs) == 1
        assert "amqp.settled_too_late=1" in await world.leave()

    run_with_broker(test, StandinBroker())


def test_malformed_messages_are_rejected_once_and_the_link_stays_open() -> None:
    async def test(world: Standins, broker: StandinBroker) -> None:
        malformed = [
            broker.put(ORDERS, b"no id"),
            broker.put(ORDERS, b"x" * 2049, message_id="1"),
            broker.put(ORDERS, b"a", message_id="2", headers={"x-due-ms": "soon"}),
            broker.put(STATUS, b"b", expiration="later"),
            broker.put(STATUS, b"c", headers={"x-due-ms": 1}),
        ]
        undecodable = Message(
            STATUS, Properties(), b"d", raw_header=struct.pack(">BHIHHQH", 2, 1, 16, 60, 0, 1, 0x2000) + b"\xff\xff\xce"
        )  # a field table longer than its frame
        broker.messages.append(undecodable)
        valid = broker.put(STATUS, b"sound")
        await eventually(lambda: valid.settled)
        await eventually(lambda: all(message.settled for message in malformed))
        assert {message.settled for message in [*malformed, undecodable]} == {"reject"} and valid.settled == "ack"
        assert {message.deliveries for message in malformed} == {1} and broker.links == 1
        log = await world.leave()
        assert "amqp.malformed=5" in log and "amqp.expired=1" in log

    run_with_broker(test, StandinBroker())


def test_link_to_broker_that_stops_reading_is_closed_and_memory_stays_bounded() -> None:
    async def test(world: Standins, broker: StandinBroker) -> None:
        world.calling = False
        await eventually(lambda: broker.links == 1)
        first = broker.put(STATUS, b"first")
        await eventually(lambda: first.settled)
        broker.deaf = True
        sent = 1
        while not broker.lost and sent < 20_000:  # far more replies than the limit and the socket buffers hold
            for _ in range(16):
                broker.deliver(Message(STATUS, Properties(reply_to="depot"), b"r" * 2000))
            sent += 16
            await asyncio.sleep(0.005)
        await eventually(lambda: broker.lost)  # on a busy machine the node has yet to process what was sent
        broker.deaf = False
        await eventually(lambda: broker.links >= 2)
        last = broker.put(STATUS, b"last")
        await eventually(lambda: last.settled)
        assert world.process is not None
        status = Path(f"/proc/{world.process.pid}/status").read_text()
        assert int(status.split("VmRSS:")[1].split()[0]) < 96 * 1024
        assert "amqp.stuck=1" in await world.leave()

    run_with_broker(test, StandinBroker(), prefetch=1024)


def test_leaving_consumer_waits_for_unsent_acknowledgements() -> None:
    """The node exited with unsent acknowledgements, and the broker redelivered messages that had been served."""

    async def test() -> None:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 30), AsyncExitStack() as stack:
            core, broker = Core(), StandinBroker()
            await broker.start(stack)
            config = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(ENV), SECRET)
            local_config = replace(config, address=Address("127.0.0.1", broker.port))
            consumer = Consumer(local_config, core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 1)
            running = asyncio.ensure_future(consumer.run())
            await eventually(lambda: broker.links)
            messages = [broker.put(STATUS, b"%d" % n, reply_to="depot") for n in range(3)]
            await eventually(lambda: len(core.ports.ids("exec")) == 3)
            assert consumer._link is not None
            consumer._link.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            broker.deaf = True
            for id in core.ports.ids("exec"):
                core.broker.run_ended(id, End.OK, 0.1, b"r" * 300_000)
            consumer.leave()
            assert not consumer.settled
            broker.deaf = False
            await eventually(lambda: consumer.settled)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await eventually(lambda: all(message.settled for message in messages))
            assert [message.settled for message in messages] == ["ack"] * 3

    asyncio.run(test())


def quiet_session(sent: list[bytes], core: Core) -> tuple[Consumer, Session]:
    """Return a consumer over a core, and a session of it that writes to a list."""
    config = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(ENV), SECRET)
    consumer = Consumer(config, core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 1)
    return consumer, Session(config, sent.append, consumer.delivered, core.counters)


def test_session_bytes_match_the_published_grammar() -> None:
    """The stand-in shares the codec with the client; these bytes were written by hand from the published grammar."""
    sent: list[bytes] = []
    consumer, session = quiet_session(sent, core := Core())
    session.start()
    start = b"\0\x0a\0\x0a" + b"\0\x09" + b"\0\0\0\0" + b"\0\0\0\x05PLAIN" + b"\0\0\0\x05en_US"
    session.received(b"\x01\0\0" + struct.pack(">I", len(start)) + start + b"\xce")
    assert sent[0] == b"AMQP\0\0\x09\x01" and b"\x05PLAIN\0\0\0\x0e\0chutepin\0cane\x05en_US\xce" in sent[1]
    session.received(b"\x01\0\0\0\0\0\x0c\0\x0a\0\x1e\0\x01\0\0\x20\0\0\x05\xce")  # tune: 1, 8192, 5 s
    assert sent[2] == b"\x01\0\0\0\0\0\x0c\0\x0a\0\x1f\0\x01\0\0\x20\0\0\x05\xce"
    assert sent[3] == b"\x01\0\0\0\0\0\x08\0\x0a\0\x28\x01/\0\0\xce"
    session.received(b"\x01\0\0\0\0\0\x05\0\x0a\0\x29\0\xce")  # open-ok
    # The grammar reserves the last field of channel.open, and peers ignore it; the codec writes "0".
    assert sent[4] == b"\x01\0\x01\0\0\0\x06\0\x14\0\x0a\x010\xce"
    session.received(b"\x01\0\x01\0\0\0\x08\0\x14\0\x0b\0\0\0\0\xce")  # channel open-ok
    assert sent[5] == b"\x01\0\x01\0\0\0\x0b\0\x3c\0\x0a\0\0\0\0\0\x20\x01\xce"  # qos 32, global
    session.received(b"\x01\0\x01\0\0\0\x04\0\x3c\0\x0b\xce")
    consumer.update_consumption(session)
    assert b"\x01\0\x01" + b"\0\0\0\x20\0\x3c\0\x14\0\0\x11depot.work-orders\x02q0\x08\0\0\0\0\xce" in sent
    deliver = b"\0\x3c\0\x3c\x02q0" + b"\0\0\0\0\0\0\0\x07" + b"\0" + b"\0" + b"\x11depot.work-orders"
    session.received(
        b"\x01\0\x01"
        + struct.pack(">I", len(deliver))
        + deliver
        + b"\xce"
        + b"\x02\0\x01\0\0\0\x11\0\x3c\0\0\0\0\0\0\0\0\0\x03\0\x80\x02m1\xce"
        + b"\x03\0\x01\0\0\0\x03fix\xce"
    )
    ((_, id, cls, data),) = core.ports.done
    assert (cls, data) == ("work-order", b"fix")
    core.end(id)
    assert sent[-1] == b"\x01\0\x01\0\0\0\x0d\0\x3c\0\x50\0\0\0\0\0\0\0\x07\0\xce"  # ack 7


def test_socket_timeout_closes_the_link() -> None:
    """A timeout of the socket has the same type as the timeout of the periodic check.

    Handled as the latter, it was raised again at once by every read."""
    consumer, session = quiet_session([], Core())

    async def run() -> None:
        reader = asyncio.StreamReader()
        reader.set_exception(TimeoutError(110, "Connection timed out"))
        await consumer._read(session, reader)

    with pytest.raises(ConnectionError):
        asyncio.run(run())


def test_oversized_frame_or_missing_frame_end_is_a_protocol_error() -> None:
    for raw in (b"\x01\0\0\xff\xff\xff\xff", b"\x08\0\0\0\0\0\0\x00", b"HTTP/1.1 400"):
        parser = FrameParser()
        parser.feed(raw)
        with pytest.raises(ProtocolError):
            parser.next()


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('user = "chutepin"', "", "broker.user"),
        ("prefetch = 32", "prefetch = 0", "broker.prefetch"),
        ('class = "work-order"', 'class = "x"', "queue.0.class"),
        ("[broker]", "[brokers]", "amqp.brokers"),
        ('team = "bernard-lodge"', 'team = "x"', "queue.0.team"),
        ("[broker]", "[", "amqp"),
        ("[broker]", f"a = {'[' * 2000}{']' * 2000}\n[broker]", "amqp"),  # tomllib raises RecursionError
    ],
)
def test_error_in_amqp_file_names_the_field(old: str, new: str, field: str, tmp_path: Path) -> None:
    path = tmp_path / "amqp.toml"
    path.write_text((ROOT / "deploy" / "amqp.toml").read_text().replace(old, new, 1))
    with pytest.raises(ConfigError, match=f"^{field}: "):
        load_amqp(str(path), wire.parse_settings(ENV), SECRET)


class Links(RuleBasedStateMachine):
    """Model of the unsettled deliveries of the current link: deliveries, ends of runs, lost links and time."""

    @initialize(effect=st.sampled_from(["token", "side_effect"]))
    def set_up(self, effect: str) -> None:
        self.core, self.sent = Core(with_effect(effect)), list[bytes]()
        self.consumer, self.session = quiet_session(self.sent, self.core)
        self.tag, self.open, self.settled = 0, set[int](), set[int]()
        self.keys: dict[str, int] = {}
        self.open_link()

    def open_link(self) -> None:
        self.session.state, self.tag, self.open, self.settled = State.READY, 0, set(), set()
        self.sent.clear()

    @rule(key=st.integers(0, 4), queue=st.integers(0, 1), redelivered=st.booleans(), wait_ms=st.integers(-1, 9000))
    def deliver(self, key: int, queue: int, redelivered: bool, wait_ms: int) -> None:
        if len(self.open) >= 32:
            return
        self.tag += 1
        self.open.add(self.tag)
        due = int(self.core.hand.time * 1000) + wait_ms
        data = b"k%d" % key if queue == 0 else b"read"
        self.session.unsettled.add(self.tag)
        self.consumer.delivered(
            self.session,
            Content(
                commands.Basic.Deliver(f"q{queue}", self.tag, redelivered),
                Properties(message_id=f"k{key}", headers={"x-due-ms": due}),
                len(data),
                len(data),
                [data],
            ),
        )

    @rule(data=st.data(), end=st.sampled_from([End.OK, End.ERROR, End.CANCELLED]))
    def run_ends(self, data: st.DataObject, end: End) -> None:
        self.core.end_some(data, end)

    @rule(seconds=st.floats(0.01, 3.0))
    def advance_time(self, seconds: float) -> None:
        self.core.pass_time(seconds)
        self.consumer.update_consumption(self.session)

    @rule()
    def lose_link(self) -> None:
        self.consumer.lost(self.session)
        self.session = Session(self.consumer.config, self.sent.append, self.consumer.delivered, self.core.counters)
        self.open_link()

    @invariant()
    def each_delivery_is_settled_once(self) -> None:
        if not hasattr(self, "core"):
            return
        for raw in self.sent:
            value = decode(raw)
            if isinstance(value, commands.Basic.Ack | commands.Basic.Nack | commands.Basic.Reject):
                tag = int(value.delivery_tag or 0)
                assert tag in self.open and tag not in self.settled, "second settlement, or unknown delivery"
                self.settled.add(tag)
                self.open.discard(tag)
        self.sent.clear()
        assert self.open == self.session.unsettled
        executed = [entry[3] for entry in self.core.ports.done if entry[0] == "exec" and entry[2] == "work-order"]
        assert len(executed) == len(set(executed)), "work order ran twice"


TestLinks = Links.TestCase
TestLinks.settings = STEPS
