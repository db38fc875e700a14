"""What a role asks for and what bounds it: the words of `roles`, without its content."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .slopes import Model


class Condition(Enum):
    """When. Each is a column of the page."""

    ORDINARY = "ordinary day"
    PEAK = "peak"
    BAD = "bad hours"


class Aspect(Enum):
    """Of what. Each is a column of the page."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor time"
    MEMORY = "memory"
    DELAY = "delay"


@dataclass(frozen=True, slots=True)
class Limit:
    """The most that a quantity may be, and where that is said."""

    value: float
    unit: str
    reason: str


@dataclass(frozen=True, slots=True)
class Load:
    """The size at which a series is read, and what its value is multiplied by there."""

    size: float
    times: float = 1.0


@dataclass(frozen=True, slots=True)
class Demand:
    """A quantity with a measured slope. A condition that `loads` does not name is not measured."""

    aspect: Aspect
    quantity: str
    series: str  # PART.NAME of a kept result
    limit: Limit
    loads: Mapping[Condition, Load]
    missing: str  # the mechanism that would have to carry it, where it breaks
    model: Model = Model.LINEAR
    addends: tuple[str, ...] = ()  # further series whose values, each with a line of its own, are added
    wall_time: bool = False  # other work on the machine makes it greater


@dataclass(frozen=True, slots=True)
class Bound:
    """A quantity that the fleet's size gives exactly, against a bound that stands in the code."""

    aspect: Aspect
    quantity: str
    needed: float
    limit: Limit
    missing: str


@dataclass(frozen=True, slots=True)
class Role:
    """One row of the page."""

    name: str
    mechanism: str
    demands: tuple[Demand, ...] = ()
    bounds: tuple[Bound, ...] = ()
    without: Mapping[Aspect, str] = field(default_factory=dict)  # aspects that the role has not, and why
    open: tuple[str, ...] = ()  # what is known not to be measured
