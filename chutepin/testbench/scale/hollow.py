"""Hollow nodes: the control parts of a node on real sockets, without its front and its decision module.

A hollow node is built by `registry.build_subsystems` from an operator's file, with its own descriptor budget, counters
and log, as `node.Node` does. Many hollow nodes share one process, see `worker`."""

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
from chutepin.testbench.scale.workload import SHUTDOWN_S
from chutepin.testbench.standins.platform import EXAMPLE

from ...descriptors import build_budget, count_open_descriptors

DESCRIPTORS_PER_NODE = 1024  # file descriptors available to one node
UNUSED_ADDRESS = "127.0.0.1:1"  # placeholder address: a hollow node neither listens nor connects there
TRAFFIC_COUNTERS: dict[tuple[Direction, Kind], str] = {
    (Direction.SENT, Kind.DATAGRAM): "cluster.bytes_out",
    (Direction.RECEIVED, Kind.DATAGRAM): "cluster.bytes_in",
    (Direction.SENT, Kind.STREAM): "cluster.stream_bytes_out",
    (Direction.RECEIVED, Kind.STREAM): "cluster.stream_bytes_in",
}


@dataclass(frozen=True, slots=True)
class Death:
    """A member's declaration of another member's death. `at`: time on the machine-wide monotonic clock."""

    at: float
    member: str
    subject: str
    by: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ViewSummary:
    """The part of a view that must be equal on all members: its digest, and the number of live members."""

    digest: str
    members: int


class RecordingLog(Log):
    """A node's log that also passes each logged death to a callback."""

    def __init__(self, member: str, on_death: Callable[[Death], None]) -> None:
        super().__init__(Clock())
        self._member, self._on_death = member, on_death

    def event(self, name: str, /, **fields: object) -> None:
        """Write an event, and report it if it is a death."""
        if name == "cluster.dead":
            self._on_death(
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
    """Return the platform configuration of a hollow node, which uses only the name and the seed of it."""
    return parse(
        {"name": "hollow", "listen": UNUSED_ADDRESS, "executor": UNUSED_ADDRESS, "settings": EXAMPLE["settings"]},
        environment={},
    )


def parse_view_digest(view_call: str) -> str:
    """Return the digest from the answer to the operator's call `view`, or an empty string."""
    return next((line.split()[1] for line in view_call.splitlines() if line.startswith("digest ")), "")


class HollowNode:
    """A member with control parts only, which can be stopped and started repeatedly."""

    def __init__(self, place: Place, config: Config, on_death: Callable[[Death], None]) -> None:
        self.place, self._on_death = place, on_death
        self._config = dataclasses.replace(config, name=place.name, seed=place.number)
        self._parts: list[Subsystem] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._counters = Counters()
        self._earlier_counters = Counters()  # counters of earlier incarnations
        self.leaving = False

    @property
    def running(self) -> bool:
        """Return whether the node takes part in the cluster and is not leaving."""
        return bool(self._tasks) and not self.leaving

    def start(self) -> None:
        """Start a new incarnation of the node."""
        self.crash()
        self._counters = Counters()
        log = RecordingLog(self.place.name, self._on_death)
        budget = build_budget(
            (count_open_descriptors() or 0) + DESCRIPTORS_PER_NODE, amqp=False, store=False, cluster=True
        )
        self._parts = build_subsystems(self._config, parse_setup(self.place.setup), budget, self._counters, log, None)
        for part in self._parts:
            part.start()
        self._tasks = [asyncio.ensure_future(part.run()) for part in self._parts]

    def leave(self) -> None:
        """Leave the cluster, and end after the shutdown time of a node."""
        if not self.running:
            return
        self.leaving = True
        for part in self._parts:
            part.leave()
        asyncio.get_running_loop().call_later(SHUTDOWN_S, self._end, self._parts)

    def crash(self) -> None:
        """End at once, without leaving the cluster."""
        self._end(self._parts)

    def _end(self, parts: list[Subsystem]) -> None:
        if parts is not self._parts:
            return
        for task in self._tasks:
            task.cancel()
        self._earlier_counters.counts.update(self._counters.counts)
        self._counters = Counters()
        self._parts, self._tasks, self.leaving = [], [], False

    def traffic(self) -> list[int]:
        """Return the bytes of all incarnations, in the order of `TRAFFIC_COUNTERS`."""
        return [self._earlier_counters.counts[name] + self._counters.counts[name] for name in TRAFFIC_COUNTERS.values()]

    def view(self) -> ViewSummary:
        """Return the summary of the view that operators see."""
        cluster = self._parts[0]
        return ViewSummary(parse_view_digest(cluster.commands()["view"]()), cluster.metrics()["cluster.members"])
