"""The fleet that the design must carry within two years, as the operators state it (issue 27).

This module is the only source of these numbers; `docs/CAPACITY.md` is generated from it. `ASSUMPTIONS` holds the
values that the capacity page needs and the statement does not give, each with its reason."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import TypeVar

SECONDS_PER_DAY = 86_400
MILLISECONDS_PER_SECOND = 1000.0
MEGABYTE = 10**6  # bytes; decimal, the stricter interpretation
KILOBYTE = 10**3  # bytes


_Number = TypeVar("_Number", int, float)


@dataclass(frozen=True, slots=True)
class StatedValue:
    """One field with its label on the page."""

    name: str
    label: str
    value: float


def labelled(value: _Number, label: str) -> _Number:
    """Declare a dataclass field with its label on the page, which includes the unit."""
    declared: _Number = field(default=value, metadata={"label": label})
    return declared


def rows(of: FleetSize | Assumptions) -> list[StatedValue]:
    """Return all fields with labels and values, in order of declaration."""
    return [StatedValue(item.name, item.metadata["label"], getattr(of, item.name)) for item in fields(of)]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The stated size of the fleet and the limits required of the design."""

    nodes: int = labelled(2_300, "nodes")
    callers: int = labelled(200_000, "callers")
    services: int = labelled(4_900, "services")
    requests_per_s: float = labelled(2_100_000.0, "requests a second at the peak, the whole fleet")
    routes: int = labelled(63_000, "routes")
    tenants: int = labelled(780_000, "tenants")
    added_p99_ms: float = labelled(3.2, "ms added to a request, for 99 in 100")
    regions: int = labelled(9, "regions")
    zones: int = labelled(22, "zones")
    config_changes_per_day: int = labelled(31_000, "changes of configuration a day")
    config_in_force_s: float = labelled(12.0, "s until a change is in force everywhere")
    control_cpu_percent: float = labelled(3.1, "% of a core that a node may spend on control")
    control_memory_mb: float = labelled(128.0, "MB of a node for control")
    control_kb_per_s: float = labelled(4.0, "KB a second that a node may send for control")
    control_machines: int = labelled(23, "machines set aside for control")
    control_machines_lost: int = labelled(2, "of these lost at once")
    failures_per_day: int = labelled(240, "machines that fail on an ordinary day")
    restarts_per_day: int = labelled(68_000, "restarted or replaced a day")

    @property
    def requests_per_node_per_s(self) -> float:
        """Return the peak request rate of a node, with requests spread evenly."""
        return self.requests_per_s / self.nodes

    @property
    def nodes_per_zone(self) -> float:
        """Return the nodes in one zone, with nodes spread evenly."""
        return self.nodes / self.zones

    @property
    def nodes_without_a_zone(self) -> float:
        """Return the number of remaining nodes after the loss of one zone."""
        return self.nodes - self.nodes_per_zone

    @property
    def requests_per_node_per_s_without_a_zone(self) -> float:
        """Return the peak request rate of a remaining node after the loss of one zone."""
        return self.requests_per_s / self.nodes_without_a_zone

    @property
    def restarts_per_s(self) -> float:
        """Return restarts and replacements a second in the whole fleet, averaged over the day."""
        return self.restarts_per_day / SECONDS_PER_DAY

    @property
    def config_changes_per_s(self) -> float:
        """Return configuration changes a second, averaged over the day."""
        return self.config_changes_per_day / SECONDS_PER_DAY

    @property
    def control_cpu_ms_per_s(self) -> float:
        """Return the CPU limit of a node for control, in milliseconds of a core a second."""
        return self.control_cpu_percent / 100 * MILLISECONDS_PER_SECOND

    @property
    def control_memory_bytes(self) -> float:
        """Return the memory limit of a node for control, in bytes."""
        return self.control_memory_mb * MEGABYTE

    @property
    def control_bytes_per_s(self) -> float:
        """Return the limit on bytes a second that a node may send for control."""
        return self.control_kb_per_s * KILOBYTE

    @property
    def callers_per_node(self) -> float:
        """Return the callers of one node, with callers spread evenly."""
        return self.callers / self.nodes


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Values that the operators' statement does not give, kept separate because each change alters the page."""

    request_core_ms_per_s: float = labelled(1000.0, "ms of a core a second for requests: one thread runs them")
    connections_per_caller: int = labelled(1, "connections of a caller, to one node each; one that spreads holds more")
    keyed_share: float = labelled(0.15, "part of the requests with a key to remember: the demo's mix")
    key_window_s: float = labelled(44.118, "s for which a key is remembered: deploy/example.json")
    node_memory_mb: float = labelled(192.0, "MB that a node may hold: deploy/example.json")
    scrape_every_s: float = labelled(15.0, "s between scrapes (`show-stat`) of a node")
    members_call_every_s: float = labelled(60.0, "s between calls of `members` to a node")
    change_bytes: int = labelled(256, "bytes of a change of configuration")
    peak_change_factor: float = labelled(10.0, "times the day's mean: changes of configuration at the peak")
    peak_restart_factor: float = labelled(10.0, "times the day's mean: restarts in a wave")


TARGET = FleetSize()
ASSUMPTIONS = Assumptions()
