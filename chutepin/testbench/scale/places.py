"""Where the members of a real run are: names, loopback addresses, and the operator's file of each."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from chutepin.testbench.faults.schedule import Schedule
from chutepin.testbench.scale.workload import REGIONS

CLUSTER = "scale"
MOST_NAMES = 2048  # that the operator's file allows


@dataclass(frozen=True, slots=True)
class Place:
    """One member: its name and number, and what its operator's file says."""

    name: str
    number: int
    address: str
    setup: str  # the text of the operator's file

    def as_json(self) -> dict[str, Any]:
        """For a worker process."""
        return asdict(self)


def places(schedule: Schedule, ports: list[int]) -> list[Place]:
    """All members of a schedule, each on a port of its own."""
    names = schedule.names()
    addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
    seeds = " ".join(f'"{name}={addresses[name]}"' for name in names[:REGIONS])
    room = min(MOST_NAMES, max(64, 2 * len(names)))
    return [
        Place(
            name,
            number,
            addresses[name],
            f'cluster {{\n name "{CLUSTER}"\n region "{schedule.region(name)}"\n zone "{schedule.zone(name)}"\n'
            f' listen "{addresses[name]}"\n seeds {seeds}\n members (members){room}\n}}\n',
        )
        for number, name in enumerate(names, 1)
    ]


def spread(names: list[str], count: int) -> set[str]:
    """So many of the names, evenly over the list."""
    return {names[number * len(names) // count] for number in range(count)}
