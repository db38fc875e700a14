"""Messages between the coordinator of a real run and its worker processes: one JSON value per line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from chutepin.testbench.scale.hollow import Death, ViewSummary
from chutepin.testbench.scale.places import Place


class Action(Enum):
    """An action of a worker on one of its members."""

    START = "start"
    LEAVE = "leave"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Job:
    """The members of a worker, and the seconds after which the worker ends in any case."""

    places: tuple[Place, ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class Command:
    """An instruction to a worker: an action on one member."""

    action: Action
    member: str


@dataclass(frozen=True, slots=True)
class Sample:
    """A worker's report, sent twice a second. `traffic`: bytes by member, in the order of `TRAFFIC_COUNTERS`."""

    at: float
    cpu_ns: int
    lag: float  # delay of the worker's event loop for this sample in seconds
    traffic: dict[str, list[int]]
    views: tuple[ViewSummary, ...]  # distinct views of the running members
    running: int
    deaths: tuple[Death, ...]  # recorded since the previous sample


def encode_job(job: Job) -> str:
    """Return a job as a line of JSON."""
    return json.dumps({"places": [place.as_json() for place in job.places], "seconds": job.seconds}) + "\n"


def parse_job(line: str) -> Job:
    """Parse a line that holds a job."""
    raw: dict[str, Any] = json.loads(line)
    return Job(tuple(Place(**place) for place in raw["places"]), raw["seconds"])


def encode_command(command: Command) -> str:
    """Return a command as a line of JSON."""
    return json.dumps([command.action.value, command.member]) + "\n"


def parse_command(line: str) -> Command:
    """Parse a line that holds a command."""
    action, member = json.loads(line)
    return Command(Action(action), member)


def encode_sample(sample: Sample) -> str:
    """Return a sample as a line of JSON."""
    return json.dumps(asdict(sample)) + "\n"


def parse_sample(line: str) -> Sample:
    """Parse a line that holds a sample."""
    raw: dict[str, Any] = json.loads(line)
    raw["views"] = tuple(ViewSummary(**view) for view in raw["views"])
    raw["deaths"] = tuple(Death(**death) for death in raw["deaths"])
    return Sample(**raw)
