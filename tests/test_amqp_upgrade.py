"""The AMQP consumer during an upgrade: keys that may have run at the other process of the node."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from chutepin.config import load_amqp, parse
from chutepin.decision import simulator_protocol as wire
from chutepin.handover import HandoverStateMachine
from chutepin.handover.state_machine import Event
from chutepin.idempotency import KeyOwnership, KeyRequest
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, Session, State
from chutepin.node import Node
from chutepin.testbench.standins.platform import EXAMPLE

from .helper import ENV, ROOT, WINDOW, Core
from .test_amqp import SECRET

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


def test_doubt_of_the_predecessor_holds_for_keys_of_any_lifetime() -> None:
    """The predecessor tells when the doubt ends, and not when it began."""
    machine = HandoverStateMachine(900.0)
    machine.adopt_doubt(100.0)
    assert machine.ownership(99.0, WINDOW) is KeyOwnership.IN_DOUBT
    assert machine.ownership(101.0, 900.0) is KeyOwnership.OWNED
