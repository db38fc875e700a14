"""What the standing test asks: other customers' settings, and instants at which something ends while
something is owed.

All on real sockets with the real program; stand-ins hold, close or send on command."""

from __future__ import annotations

from contextlib import AsyncExitStack

import pytest

from chutepin.lab.standins import eventually

from .helper import Standins
from .test_node import KEY, on_sockets


@pytest.mark.parametrize("wait", [None, 0])
def test_callers_need_not_say_how_long_they_wait(wait: int | None) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["passesDeadline"] = False
        await world.start(stack)
        balancer = await world.connect()
        for cls, key in (("position-push", None), ("work-order", KEY)):
            assert (await balancer.answer(balancer.call(cls, b"x", key, wait)))[0] == b"OK"
        assert "balancers.malformed" not in await world.leave()

    on_sockets(test)


def test_an_untold_deadline_is_that_of_the_class() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["familyInfo"]["passesDeadline"] = False
        world.env["categories"][1] |= {"slo": 0.2, "deadline": 0.4}
        world.hold = {b"x"}
        await world.start(stack)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x", wait=None)))[0] == b"FAILED"
        assert len(world.runs) == 1

    on_sockets(test)


def test_names_come_in_any_letters() -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.env["categories"][1]["name"] = "état-pompe"
        world.env["tenants"][0]["name"] = "ção-joão"
        world.hold = {b"x"}
        await world.start(stack)
        balancer = await world.connect()
        tag = balancer.call("état-pompe", b"x", team="ção-joão")
        await eventually(lambda: world.runs)
        id, cls, _ = world.runs[0]
        world.finish(id, b"fine")
        assert (await balancer.answer(tag))[0] == b"OK" and cls == "état-pompe"

    on_sockets(test)


@pytest.mark.parametrize("name", ["servers", "senders"])
def test_a_node_starts_where_the_list_is_empty(name: str) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        (world.env if name == "servers" else world.env["familyInfo"])[name] = 0
        world.env["categories"][1]["slo"] = 90.0  # past the deadline: whatever comes in time is in time
        await world.start(stack)
        balancer = await world.connect()
        assert (await balancer.answer(balancer.call("position-push", b"x")))[0] == b"OK"

    on_sockets(test)
