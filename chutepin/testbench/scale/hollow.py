"""Hollow nodes: a node's control parts on real sockets, put together as the node does, with no front and no module.

A hollow node is made by `registry.build_subsystems` out of an operator's file, with a budget of descriptors, counters
and a log of its own, as `node.Node` makes them. Many share a process, `hollow_worker`."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable
from dataclasses import dataclass

from chutepin.clock import Clock
from chutepin.config import Config, parse, parse_setup
from chutepin.counters import Counters
from chutepin.logs import Log
from chutepin.registry import build_subsystems
from chutepin.subsystem import Subsystem
from chutepin.testbench.scale.places import Place
from chutepin.testbench.scale.traffic import Direction, Kind
from chutepin.testbench.scale.workload import LINGER
from chutepin.testbench.standins.platform import EXAMPLE

from ...descriptors import build_budget, count_open_descriptors

SOCKETS = 1024  # descriptors that a node may have
NOWHERE = "127.0.0.1:1"  # stands in the configuration where a hollow node neither listens nor connects
COUNTERS: dict[tuple[Direction, Kind], str] = {
    (Direction.SENT, Kind.DATAGRAM): "cluster.bytes_out",
    (Direction.RECEIVED, Kind.DATAGRAM): "cluster.bytes_in",
    (Direction.SENT, Kind.STREAM): "cluster.stream_bytes_out",
    (Direction.RECEIVED, Kind.STREAM): "cluster.stream_bytes_in",
}


@dataclass(frozen=True, slots=True)
class Death:
    """A member holds another one for dead. `at`: on the clock that all processes of a machine share."""

    at: float
    member: str
    subject: str
    by: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ViewSummary:
    """What of a view must be the same everywhere: its digest, and the number of live members."""

    digest: str
    members: int


class RecordingLog(Log):
    """A node's log that also keeps the deaths it tells of."""

    def __init__(self, member: str, died: Callable[[Death], None]) -> None:
        super().__init__(Clock())
        self._member, self._died = member, died

    def event(self, name: str, /, **fields: object) -> None:
        """Write one event."""
        if name == "cluster.dead":
            self._died(
                Death(
                    time.monotonic(),
                    self._member,
                    str(fields["member"]),
                    str(fields["by"]),
                    int(str(fields["incarnation"])),
                )
            )
        super().event(name, **fields)


def platform_config() -> Config:
    """The platform's file of a hollow node, of which only the name and the seed count."""
    return parse(
        {"name": "hollow", "listen": NOWHERE, "executor": NOWHERE, "settings": EXAMPLE["settings"]}, environment={}
    )


def digest_shown(view_call: str) -> str:
    """The digest in the answer to an operator's call `view`."""
    return next((line.split()[1] for line in view_call.splitlines() if line.startswith("digest ")), "")


class HollowNode:
    """One member; it may end and begin again."""

    def __init__(self, place: Place, config: Config, died: Callable[[Death], None]) -> None:
        self.place, self._died = place, died
        self._config = dataclasses.replace(config, name=place.name, seed=place.number)
        self._parts: list[Subsystem] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._counters = Counters()
        self._ended = Counters()  # of earlier lives
        self.leaving = False

    @property
    def running(self) -> bool:
        """It takes part, and was not told to leave."""
        return bool(self._tasks) and not self.leaving

    def start(self) -> None:
        """Begin a life."""
        self.crash()
        self._counters = Counters()
        log = RecordingLog(self.place.name, self._died)
        budget = build_budget((count_open_descriptors() or 0) + SOCKETS, amqp=False, store=False, cluster=True)
        self._parts = build_subsystems(self._config, parse_setup(self.place.setup), budget, self._counters, log, None)
        for part in self._parts:
            part.start()
        self._tasks = [asyncio.ensure_future(part.run()) for part in self._parts]

    def leave(self) -> None:
        """Say goodbye, and end as soon as a node would."""
        if not self.running:
            return
        self.leaving = True
        for part in self._parts:
            part.leave()
        asyncio.get_running_loop().call_later(LINGER, self._end, self._parts)

    def crash(self) -> None:
        """End without a word."""
        self._end(self._parts)

    def _end(self, parts: list[Subsystem]) -> None:
        if parts is not self._parts:
            return
        for task in self._tasks:
            task.cancel()
        self._ended.counts.update(self._counters.counts)
        self._counters = Counters()
        self._parts, self._tasks, self.leaving = [], [], False

    def traffic(self) -> list[int]:
        """Bytes of all its lives, in the order of `COUNTERS`."""
        return [self._ended.counts[name] + self._counters.counts[name] for name in COUNTERS.values()]

    def view(self) -> ViewSummary:
        """What operators see of its view."""
        cluster = self._parts[0]
        return ViewSummary(digest_shown(cluster.commands()["view"]()), cluster.metrics()["cluster.members"])
