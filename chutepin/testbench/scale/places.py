"""Places of the members of a real run: names, loopback addresses and operator's files."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from chutepin.testbench.faults.schedule import Schedule
from chutepin.testbench.scale.workload import REGIONS

CLUSTER = "scale"
MAX_MEMBERS = 2048  # upper limit of the setting `members` in the operator's file


@dataclass(frozen=True, slots=True)
class Place:
    """A member's name, number, address and operator's file."""

    name: str
    number: int
    address: str
    setup: str  # the text of the operator's file

    def as_json(self) -> dict[str, Any]:
        """Return the place as JSON for a worker process."""
        return asdict(self)


def place_members(schedule: Schedule, ports: list[int]) -> list[Place]:
    """Return the places of all members of a schedule, each on its own port."""
    names = schedule.names()
    addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
    seeds = " ".join(f'"{name}={addresses[name]}"' for name in names[:REGIONS])
    member_limit = min(MAX_MEMBERS, max(64, 2 * len(names)))
    return [
        Place(
            name,
            number,
            addresses[name],
            f'cluster {{\n name "{CLUSTER}"\n region "{schedule.region(name)}"\n zone "{schedule.zone(name)}"\n'
            f' listen "{addresses[name]}"\n seeds {seeds}\n members (members){member_limit}\n}}\n',
        )
        for number, name in enumerate(names, 1)
    ]


def spread_evenly(names: list[str], count: int) -> set[str]:
    """Return `count` of the names, distributed evenly over the list."""
    return {names[number * len(names) // count] for number in range(count)}
