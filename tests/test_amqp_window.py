"""Consumption window of the AMQP consumer for the announced load value."""

from __future__ import annotations

import json
from typing import Any

import pytest

from chutepin.config import load_amqp
from chutepin.decision import LoadSignal
from chutepin.decision import simulator_protocol as wire
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, Session, State
from chutepin.net.amqp.consumer import consumption_window

from .helper import ENV, ROOT, Core
from .test_amqp import SECRET

PREFETCH = 32


@pytest.mark.parametrize(
    ("signal", "value", "window"),
    [
        (LoadSignal.CREDIT, 3.2, 4),
        (LoadSignal.CREDIT, 0.0, 0),
        (LoadSignal.CREDIT, 1e9, PREFETCH),
        (LoadSignal.WEIGHT, 1.0, PREFETCH),
        (LoadSignal.WEIGHT, 0.5, PREFETCH // 2),
        (LoadSignal.WEIGHT, 0.0, 0),
        (LoadSignal.LEVEL, 0.0, PREFETCH),
        (LoadSignal.LEVEL, 0.5, PREFETCH // 2),
        (LoadSignal.LEVEL, 1.0, 0),
        (LoadSignal.NONE, None, PREFETCH),
        (LoadSignal.CREDIT, None, PREFETCH),
    ],
)
def test_window_follows_the_announced_load_value(signal: LoadSignal, value: float | None, window: int) -> None:
    assert consumption_window(signal, value, PREFETCH) == window


# Guards against queues that are never consumed: with a level as the load signal, an idle node announces 0.
@pytest.mark.parametrize("signal", ["none", "threshold", "window", "share_of"])
def test_idle_node_consumes_its_queues_with_every_load_signal(signal: str) -> None:
    env: dict[str, Any] = json.loads(json.dumps(ENV))
    env["familyInfo"]["signal"] = signal
    core = Core(env)
    config = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(env), SECRET)
    consumer = Consumer(config, core.broker, core.hand.clock, core.counters, Log(core.hand.clock), 1)
    session = Session(config, lambda data: None, consumer.delivered, core.counters)
    session.state = State.READY
    core.pass_time(1.0)
    consumer.update_consumption(session)
    assert session.consuming == {0, 1}
