"""Kept results: measured series with the data needed to repeat the run. Each part has one JSON file."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
RESULTS = ROOT / "benchmarks" / "results"


class ResultError(ValueError):
    """An error for a kept file that cannot be read as a result; the message names the file."""


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Series:
    """One quantity measured at several sizes. Repeated measurements give several points at the same size."""

    name: str
    size: str  # the varied quantity, with its unit
    unit: str  # unit of the values
    points: tuple[Point, ...]

    @property
    def sizes(self) -> list[float]:
        """Return the distinct sizes in ascending order."""
        return sorted({point.size for point in self.points})


@dataclass(frozen=True, slots=True)
class Run:
    """The origin of measured values: command, seeds, commit and machine."""

    command: str
    seeds: tuple[int, ...]
    commit: str
    date: str
    machine_shared: bool  # other work ran on the machine during the measurement
    python: str
    notes: tuple[str, ...] = ()  # known weaknesses of the measurement


@dataclass(frozen=True, slots=True)
class Result:
    """All series of one part, with the run that produced them."""

    part: str
    run: Run
    series: tuple[Series, ...]


def save(result: Result, directory: Path = RESULTS) -> Path:
    """Write the file of the part, replacing the file of an earlier run, and return its path."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{result.part}.json"
    path.write_text(json.dumps(asdict(result), indent=1) + "\n")
    return path


def load(directory: Path = RESULTS) -> dict[str, Result]:
    """Return all kept results by part. Raises ResultError."""
    return {path.stem: _read(path) for path in sorted(directory.glob("*.json"))}


def find(results: dict[str, Result], name: str) -> tuple[Result, Series] | None:
    """Return the series called `PART.NAME` with its result, or None if it is not kept."""
    part, _, series_name = name.partition(".")
    result = results.get(part)
    if result is None:
        return None
    matching = next((series for series in result.series if series.name == series_name), None)
    return None if matching is None else (result, matching)


def _read(path: Path) -> Result:
    try:
        raw: dict[str, Any] = json.loads(path.read_text())
        run = raw["run"]
        run["seeds"], run["notes"] = tuple(run["seeds"]), tuple(run["notes"])
        return Result(raw["part"], Run(**run), tuple(_series(series) for series in raw["series"]))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ResultError(f"{path.name}: invalid result file: {error}") from None


def _series(raw: dict[str, Any]) -> Series:
    points = tuple(Point(float(point["size"]), float(point["value"])) for point in raw["points"])
    return Series(raw["name"], raw["size"], raw["unit"], points)
