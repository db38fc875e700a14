"""Kept results: what a measurement gave, with what is needed to run it again. One JSON file for each part."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
RESULTS = ROOT / "benchmarks" / "results"


class ResultError(ValueError):
    """A kept file that is no result; the message names the file."""


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Series:
    """One quantity measured at several sizes, several times at a size where it was repeated."""

    name: str
    size: str  # what was varied, with its unit
    unit: str  # of the values
    points: tuple[Point, ...]

    @property
    def sizes(self) -> list[float]:
        """The distinct sizes, ascending."""
        return sorted({point.size for point in self.points})


@dataclass(frozen=True, slots=True)
class Run:
    """Where values come from."""

    command: str
    seeds: tuple[int, ...]
    commit: str
    date: str
    machine_shared: bool  # other work ran on the machine meanwhile
    python: str
    notes: tuple[str, ...] = ()  # known weaknesses of the measurement


@dataclass(frozen=True, slots=True)
class Result:
    """All series of one part."""

    part: str
    run: Run
    series: tuple[Series, ...]


def save(result: Result, directory: Path = RESULTS) -> Path:
    """Write the part's file; a file of an earlier run is replaced."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{result.part}.json"
    path.write_text(json.dumps(asdict(result), indent=1) + "\n")
    return path


def load(directory: Path = RESULTS) -> dict[str, Result]:
    """All kept results by part. Raises ResultError."""
    return {path.stem: _read(path) for path in sorted(directory.glob("*.json"))}


def find(results: dict[str, Result], name: str) -> tuple[Result, Series] | None:
    """The series called `PART.NAME`, with its result."""
    part, _, series_name = name.partition(".")
    result = results.get(part)
    if result is None:
        return None
    found = next((series for series in result.series if series.name == series_name), None)
    return None if found is None else (result, found)


def _read(path: Path) -> Result:
    try:
        raw: dict[str, Any] = json.loads(path.read_text())
        run = raw["run"]
        run["seeds"], run["notes"] = tuple(run["seeds"]), tuple(run["notes"])
        return Result(raw["part"], Run(**run), tuple(_series(series) for series in raw["series"]))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ResultError(f"{path.name}: not a kept result: {error}") from None


def _series(raw: dict[str, Any]) -> Series:
    points = tuple(Point(float(point["size"]), float(point["value"])) for point in raw["points"])
    return Series(raw["name"], raw["size"], raw["unit"], points)
