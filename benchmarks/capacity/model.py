"""Types that describe roles: their demands, limits and loads. `roles` holds the values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .slopes import Model


class Condition(Enum):
    """An operating condition. Each condition is a column of the page."""

    ORDINARY = "ordinary day"
    PEAK = "peak"
    BAD = "bad hours"


class Aspect(Enum):
    """A kind of resource or quality. Each aspect is a column of the page."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor time"
    MEMORY = "memory"
    DELAY = "delay"


@dataclass(frozen=True, slots=True)
class Limit:
    """The maximum of a quantity, and the source of this maximum."""

    value: float
    unit: str
    reason: str


@dataclass(frozen=True, slots=True)
class Load:
    """The size at which a series is evaluated, and the factor applied to its value."""

    size: float
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Demand:
    """A quantity with a measured slope. Conditions missing from `loads` are not measured."""

    aspect: Aspect
    quantity: str
    series: str  # PART.NAME of a kept result
    limit: Limit
    loads: Mapping[Condition, Load]
    missing: str  # the mechanism needed if the quantity exceeds its limit
    model: Model = Model.LINEAR
    addends: tuple[str, ...] = ()  # further series; each is fitted separately and the values are summed
    wall_time: bool = False  # other work on the machine increases the value


@dataclass(frozen=True, slots=True)
class Bound:
    """A quantity computed exactly from the fleet size, with a limit defined in the code."""

    aspect: Aspect
    quantity: str
    needed: float
    limit: Limit
    missing: str


@dataclass(frozen=True, slots=True)
class Role:
    """One row of the roles table: a function of the system with its demands and bounds."""

    name: str
    mechanism: str
    demands: tuple[Demand, ...] = ()
    bounds: tuple[Bound, ...] = ()
    inapplicable: Mapping[Aspect, str] = field(default_factory=dict)  # aspects without meaning for the role, and why
    known_gaps: tuple[str, ...] = ()  # quantities known to be unmeasured
