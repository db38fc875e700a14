"""Reconnect delay of the AMQP consumer after a lost link."""

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
from chutepin.net.amqp.reconnect import MAX_RECONNECT_DELAY_S, MIN_RECONNECT_DELAY_S, STABLE_LINK_S, ReconnectDelay
from chutepin.testbench.standins.amqp_broker import StandinBroker
from chutepin.testbench.standins.platform import eventually

from .helper import ENV, ROOT, Core
from .test_amqp import SECRET

LOSSES = 6
LINK_LIFETIME_S = 0.3  # of each link in the test on sockets
MIN_DOUBLED_DELAY_S = MIN_RECONNECT_DELAY_S * 2 ** (LOSSES - 1) / 2  # the last delay, if each one were doubled
MAX_FIRST_DELAY_S = 1.5 * MIN_RECONNECT_DELAY_S


def delay_after(losses: int, settlements: int, lifetime_s: float) -> float:
    """Return the delay after `losses` lost links of one kind."""
    delay = ReconnectDelay(random.Random(1))
    last_delay = 0.0
    for _ in range(losses):
        delay.link_ended(settlements, lifetime_s)
        last_delay = delay.next()
    return last_delay


# Guards against delays of up to 45 s, with messages in the queue, after idle links that had lasted for days.
def test_stable_links_without_deliveries_do_not_increase_the_delay() -> None:
    assert delay_after(20, settlements=0, lifetime_s=STABLE_LINK_S) <= MAX_FIRST_DELAY_S


def test_links_with_settlements_do_not_increase_the_delay() -> None:
    assert delay_after(20, settlements=1, lifetime_s=0.01) <= MAX_FIRST_DELAY_S


def test_links_that_break_at_once_increase_the_delay_up_to_a_limit() -> None:
    delays = [delay_after(losses, settlements=0, lifetime_s=STABLE_LINK_S - 0.1) for losses in (1, 4, 8, 20)]
    assert delays[0] <= MAX_FIRST_DELAY_S < delays[1] < delays[2]
    assert MAX_RECONNECT_DELAY_S / 2 <= delays[3] <= 1.5 * MAX_RECONNECT_DELAY_S


def test_stable_link_resets_the_delay() -> None:
    delay = ReconnectDelay(random.Random(1))
    for _ in range(10):
        delay.next()
    delay.link_ended(0, STABLE_LINK_S)
    assert delay.next() <= MAX_FIRST_DELAY_S


def run_with_consumer(test: Callable[[StandinBroker], Awaitable[None]]) -> None:
    """Run a test with a consumer in this process that is connected to a stand-in broker."""

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
    """Wait for the link with this number and return how long that took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await eventually(lambda: broker.links == number)
    return loop.time() - started_at


def test_repeated_loss_of_idle_links_does_not_increase_the_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reconnect, "STABLE_LINK_S", LINK_LIFETIME_S)

    async def test(broker: StandinBroker) -> None:
        delays = []
        for number in range(LOSSES + 1):
            delays.append(await seconds_to_link(broker, number + 1))
            await asyncio.sleep(LINK_LIFETIME_S + 0.1)
            broker.cut()
        assert max(delays) < MIN_DOUBLED_DELAY_S, delays

    run_with_consumer(test)
