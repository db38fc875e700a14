"""How soon the AMQP consumer connects again after a link is lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import replace

import pytest

from chutepin.config import Address, load_amqp
from chutepin.decision import simulator_protocol as wire
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, reconnect
from chutepin.net.amqp.reconnect import MAX_RECONNECT_DELAY_S, MIN_RECONNECT_DELAY_S, STEADY_LINK_S, ReconnectDelay
from chutepin.testbench.standins.amqp_broker import StandinBroker
from chutepin.testbench.standins.platform import eventually

from .helper import ENV, ROOT, Core
from .test_amqp import SECRET

LOSSES = 6
STOOD_S = 0.3  # each link, in the test on sockets
LEAST_DOUBLED_S = MIN_RECONNECT_DELAY_S * 2 ** (LOSSES - 1) / 2  # the last wait, were each twice the one before
LONGEST_FIRST_S = 1.5 * MIN_RECONNECT_DELAY_S


def delay_after(losses: int, settlements: int, stood_s: float) -> float:
    """The wait after so many lost links of one kind."""
    delay = ReconnectDelay(random.Random(1))
    waited = 0.0
    for _ in range(losses):
        delay.link_ended(settlements, stood_s)
        waited = delay.next()
    return waited


# Guards against waits of up to 45 s, with messages in the queue, after links that stood for days and had nothing to do.
def test_links_that_stood_long_without_a_message_do_not_lengthen_the_wait() -> None:
    assert delay_after(20, settlements=0, stood_s=STEADY_LINK_S) <= LONGEST_FIRST_S


def test_links_that_settled_something_do_not_lengthen_the_wait() -> None:
    assert delay_after(20, settlements=1, stood_s=0.01) <= LONGEST_FIRST_S


def test_links_that_break_at_once_are_met_ever_later_up_to_a_bound() -> None:
    waits = [delay_after(losses, settlements=0, stood_s=STEADY_LINK_S - 0.1) for losses in (1, 4, 8, 20)]
    assert waits[0] <= LONGEST_FIRST_S < waits[1] < waits[2]
    assert MAX_RECONNECT_DELAY_S / 2 <= waits[3] <= 1.5 * MAX_RECONNECT_DELAY_S


def test_a_link_that_stood_long_forgets_those_that_broke_before() -> None:
    delay = ReconnectDelay(random.Random(1))
    for _ in range(10):
        delay.next()
    delay.link_ended(0, STEADY_LINK_S)
    assert delay.next() <= LONGEST_FIRST_S


def with_consumer(test: Callable[[StandinBroker], Awaitable[None]]) -> None:
    """Run a test with a consumer in this process that is linked to a stand-in broker."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            broker = StandinBroker()
            await broker.start(stack)
            core = Core()
            settings = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(ENV), SECRET)
            config = replace(settings, address=Address("127.0.0.1", broker.port))
            clock = core.hand.clock
            consumer = Consumer(config, core.broker, clock, core.counters, Log(clock), 1)
            running = asyncio.create_task(consumer.run())
            try:
                await test(broker)
            finally:
                running.cancel()
                with suppress(asyncio.CancelledError):
                    await running

    asyncio.run(run())


async def seconds_to_link(broker: StandinBroker, number: int) -> float:
    """Wait for the link of this number."""
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    await eventually(lambda: broker.links == number)
    return loop.time() - begun_at


def test_an_idle_broker_that_is_lost_again_and_again_is_met_again_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reconnect, "STEADY_LINK_S", STOOD_S)

    async def test(broker: StandinBroker) -> None:
        waits = []
        for number in range(LOSSES + 1):
            waits.append(await seconds_to_link(broker, number + 1))
            await asyncio.sleep(STOOD_S + 0.1)
            broker.cut()
        assert max(waits) < LEAST_DOUBLED_S, waits

    with_consumer(test)
