"""What the coordinator of a real run and its worker processes say to each other: one JSON object a line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from chutepin.testbench.scale.hollow import Death, ViewSummary
from chutepin.testbench.scale.places import Place


class Action(Enum):
    """What a worker does with one of its members."""

    START = "start"
    LEAVE = "leave"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Job:
    """The members of a worker, and the seconds after which it ends whatever happens."""

    places: tuple[Place, ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class Command:
    """One action."""

    action: Action
    member: str


@dataclass(frozen=True, slots=True)
class Sample:
    """What a worker reports twice a second. `traffic`: bytes so far by member, in the order of `hollow.COUNTERS`."""

    at: float
    cpu_ns: int
    lag: float  # seconds by which its event loop was late for this
    traffic: dict[str, list[int]]
    views: tuple[ViewSummary, ...]  # that differ from each other, of the members that run
    running: int
    deaths: tuple[Death, ...]  # since the last report


def job_line(job: Job) -> str:
    """The text of a job."""
    return json.dumps({"places": [place.as_json() for place in job.places], "seconds": job.seconds}) + "\n"


def read_job(line: str) -> Job:
    """The job of a line."""
    raw: dict[str, Any] = json.loads(line)
    return Job(tuple(Place(**place) for place in raw["places"]), raw["seconds"])


def command_line(command: Command) -> str:
    """The text of a command."""
    return json.dumps([command.action.value, command.member]) + "\n"


def read_command(line: str) -> Command:
    """The command of a line."""
    action, member = json.loads(line)
    return Command(Action(action), member)


def sample_line(sample: Sample) -> str:
    """The text of a sample."""
    return json.dumps(asdict(sample)) + "\n"


def read_sample(line: str) -> Sample:
    """The sample of a line."""
    raw: dict[str, Any] = json.loads(line)
    raw["views"] = tuple(ViewSummary(**view) for view in raw["views"])
    raw["deaths"] = tuple(Death(**death) for death in raw["deaths"])
    return Sample(**raw)
