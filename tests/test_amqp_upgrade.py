"""The AMQP consumer during an upgrade: keys that may have run at the other process of the node."""

from __future__ import annotations

import asyncio
import dataclasses
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from chutepin.config import load_amqp, parse
from chutepin.decision import simulator_protocol as wire
from chutepin.facade import End
from chutepin.handover import HandoverStateMachine
from chutepin.handover.state_machine import Event
from chutepin.idempotency import KeyOwnership, KeyRequest
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, Session, State
from chutepin.node import Node
from chutepin.testbench.signals import kill
from chutepin.testbench.standins.amqp_broker import StandinBroker
from chutepin.testbench.standins.platform import EVENTUALLY_TIMEOUT_S, EXAMPLE, eventually

from .helper import ENV, ROOT, WINDOW, Core, Standins
from .test_amqp import ORDERS, SECRET, STATUS, with_effect
from .test_handover import wait_until_ready

CONFIG = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(ENV), SECRET)
KEYED_QUEUE, OTHER_QUEUE = 0, 1


class Peer:
    """A peer process of which only the ownership of unknown keys matters."""

    def __init__(self, key_ownership: KeyOwnership) -> None:
        self.key_ownership = key_ownership

    def ownership(self, now: float, key_lifetime_s: float) -> KeyOwnership:
        return self.key_ownership

    def request_key(self, request: KeyRequest) -> None: ...


@pytest.mark.parametrize(
    ("ownership", "consumed"),
    [
        (KeyOwnership.OWNED, {KEYED_QUEUE, OTHER_QUEUE}),
        (KeyOwnership.ASK_PEER, {KEYED_QUEUE, OTHER_QUEUE}),
        (KeyOwnership.IN_DOUBT, {OTHER_QUEUE}),
    ],
    ids=lambda value: value.name.lower() if isinstance(value, KeyOwnership) else None,
)
def test_keyed_queue_is_not_consumed_while_unknown_keys_are_in_doubt(
    ownership: KeyOwnership, consumed: set[int]
) -> None:
    """A successor took deliveries before it owned the keys, failed them, and they were not delivered again."""
    core = Core()
    core.broker.peer = Peer(ownership)
    consumer = Consumer(CONFIG, core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 1)
    session = Session(CONFIG, lambda data: None, consumer.delivered, core.counters)
    session.state = State.READY
    consumer.update_consumption(session)
    assert session.consuming == consumed


def test_unknown_keys_stay_in_doubt_for_the_redelivery_window(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A message that is delivered again after the window of its class ran again: its key was no longer in doubt."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    amqp = dataclasses.replace(CONFIG, redelivery_window=900.0)
    node = Node(parse(EXAMPLE, {}), amqp)
    assert node.handover is not None
    machine = node.handover.session.machine
    machine.apply(Event.HELLO_SENT, 0.0)
    machine.apply(Event.PREDECESSOR_DEAD, 0.0)
    assert machine.ownership(899.0, 900.0) is KeyOwnership.IN_DOUBT
    assert machine.ownership(901.0, 900.0) is KeyOwnership.OWNED
    assert machine.ownership(WINDOW - 1.0, WINDOW) is KeyOwnership.IN_DOUBT
    assert machine.ownership(WINDOW + 1.0, WINDOW) is KeyOwnership.OWNED  # the request of a balancer


async def start_with_broker(stack: AsyncExitStack, process: Standins) -> StandinBroker:
    """Start a process that consumes from a stand-in broker of its own."""
    broker = StandinBroker()
    await broker.start(stack)
    path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "amqp.toml"
    text = (ROOT / "deploy" / "amqp.toml").read_text()
    path.write_text(text.replace("127.0.0.1:5672", f"127.0.0.1:{broker.port}"))
    await process.start(stack, "--amqp", str(path), environ=SECRET, ops=True)
    return broker


async def serve_messages(broker: StandinBroker, count: int) -> list[str]:
    """Put messages into a queue without keys, wait until they are settled, and return how."""
    messages = [broker.put(STATUS, b"read %d" % number) for number in range(count)]
    await eventually(lambda: all(message.settled for message in messages))
    return [message.settled for message in messages]


# Guards against ids of deliveries that are the same at both processes, so that the second one takes them for repeats.
def test_deliveries_to_the_successor_are_served_although_the_predecessor_has_served_as_many() -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            old, new = Standins(), Standins()
            old.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            broker = await start_with_broker(stack, old)
            await wait_until_ready(old)
            assert await serve_messages(broker, 3) == ["ack"] * 3
            new.environ, new.listen_port = old.environ, old.port
            broker = await start_with_broker(stack, new)
            await wait_until_ready(new)
            assert await serve_messages(broker, 3) == ["ack"] * 3
            assert not {id for id, _, _ in old.runs} & {id for id, _, _ in new.runs}

    asyncio.run(asyncio.wait_for(test(), EVENTUALLY_TIMEOUT_S))


# Guards against a process that takes new work from a queue although the other process of its node serves.
def test_only_the_serving_process_of_an_upgrade_consumes() -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            old, new = Standins(), Standins()
            old.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            old_broker = await start_with_broker(stack, old)
            await wait_until_ready(old)
            new.environ, new.listen_port = old.environ, old.port
            new_broker = await start_with_broker(stack, new)
            await wait_until_ready(new)
            await eventually(lambda: set(old_broker.cancelled) >= {"q0", "q1"})
            message = old_broker.put(STATUS, b"read at the old process")
            assert await serve_messages(new_broker, 1) == ["ack"]
            assert not message.settled and not message.deliveries
            assert new.process is not None
            kill(new.process)
            await eventually(lambda: message.settled)
            assert [body for _, _, body in old.runs] == [b"read at the old process"]

    asyncio.run(asyncio.wait_for(test(), EVENTUALLY_TIMEOUT_S))


# Guards against a second run at the successor, of a class whose requests have no keys at the platform's listener.
@pytest.mark.parametrize("effect", ["token", "side_effect"])
def test_order_redelivered_to_the_successor_gets_the_result_of_the_predecessors_run(effect: str) -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack:
            old, new = Standins(), Standins()
            old.env, new.env = with_effect(effect), with_effect(effect)
            old.environ = {"TMPDIR": stack.enter_context(tempfile.TemporaryDirectory())}
            old_broker = await start_with_broker(stack, old)
            await wait_until_ready(old)
            first = old_broker.put(ORDERS, b"order", message_id="1", reply_to="depot")
            await eventually(lambda: first.settled)
            new.environ, new.listen_port = old.environ, old.port
            new_broker = await start_with_broker(stack, new)
            await wait_until_ready(new)
            again = new_broker.put(ORDERS, b"order", message_id="1", reply_to="depot")
            await eventually(lambda: again.settled)
            assert first.settled == again.settled == "ack"
            assert [body for _, _, body in new_broker.replies] == [body for _, _, body in old_broker.replies]
            assert len(old.runs) == 1 and not new.runs

    asyncio.run(asyncio.wait_for(test(), EVENTUALLY_TIMEOUT_S))


class Delivery:
    """A delivery of an order whose class has no keys at the platform's listener."""

    def __init__(self, core: Core, id: str) -> None:
        self.core, self.id = core, id
        core.pick(id, "work-order", key="amqp 1", body=b"order", is_deduplicated=True, min_key_lifetime_s=900.0)

    @property
    def words(self) -> list[str]:
        return self.core.words(self.id)


# Guards against an order that fails, although it never ran, because its redelivery waited for the first delivery.
def test_redelivery_of_an_order_that_is_rejected_before_its_run_is_rejected_too() -> None:
    core = Core(with_effect("side_effect"))
    core.broker.peer_exchange.set_peer_usage(10**6, 0.0)  # no capacity: the first one is queued
    first, again = Delivery(core, "first"), Delivery(core, "again")
    assert not first.words and not again.words
    core.pass_time(16.0)  # beyond the deadline
    assert first.words == ["refused"] and again.words == ["refused"] and not core.ports.ids("exec")
    core.broker.peer_exchange.set_peer_usage(0, 0.0)
    third = Delivery(core, "third")
    core.pass_time(0.2)
    core.end("third")
    assert core.ports.ids("exec") == ["third"] and third.words == ["served"]


@pytest.mark.parametrize("end", [End.OK, End.ERROR, End.CANCELLED], ids=lambda end: end.value)
def test_redelivery_of_an_order_that_ran_shares_the_end_of_its_run(end: End) -> None:
    core = Core(with_effect("side_effect"))
    first, during = Delivery(core, "first"), Delivery(core, "during")
    core.end("first", end)
    after = Delivery(core, "after")
    verdict = "served" if end is End.OK else "failed"
    assert core.ports.ids("exec") == ["first"]
    assert first.words == during.words == after.words == [verdict]


def test_doubt_of_the_predecessor_holds_for_keys_of_any_lifetime() -> None:
    """The predecessor tells when the doubt ends, and not when it began."""
    machine = HandoverStateMachine(900.0)
    machine.adopt_doubt(100.0)
    assert machine.ownership(99.0, WINDOW) is KeyOwnership.IN_DOUBT
    assert machine.ownership(101.0, 900.0) is KeyOwnership.OWNED
