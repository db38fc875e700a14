"""Charts of selected series: the measured points, the fitted line up to the target, and the limit."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.fleet_size import TARGET
from chutepin.testbench import charts

from .results import ROOT, Result, find
from .roles import CONTROL_BYTES, CONTROL_MEMORY, NODE_CORE
from .slopes import Model, TooFewSizesError, fit

CHARTS = ROOT / "docs" / "charts"
STEPS = 40  # points drawn on a fitted line


@dataclass(frozen=True, slots=True)
class Chart:
    """A chart of one series, written to a file under docs/charts/."""

    file: str
    title: str
    series: str  # PART.NAME of a kept result
    target: float
    limit: float


CHOSEN = (
    Chart(
        "capacity-request.svg",
        "CPU of a node by requests a second",
        "request.cpu_ms_per_s",
        TARGET.requests_per_node_per_s,
        NODE_CORE.value,
    ),
    Chart(
        "capacity-member.svg",
        "bytes that a member sends a second in exchanges of whole states, by members",
        "member.sent_stream_bytes_per_s",
        TARGET.nodes,
        CONTROL_BYTES.value,
    ),
    Chart(
        "capacity-tenants.svg",
        "memory of a node by tenants",
        "tenants.memory_bytes",
        TARGET.tenants,
        CONTROL_MEMORY.value,
    ),
)


def drawable(results: Mapping[str, Result]) -> Sequence[Chart]:
    """Return the charts whose series can be fitted."""
    return [chart for chart in CHOSEN if _line(chart, results) is not None]


def draw(results: Mapping[str, Result], directory: Path = CHARTS) -> None:
    """Write the file of each chart whose series can be fitted."""
    for chart in drawable(results):
        match, line = find(dict(results), chart.series), _line(chart, results)
        assert match is not None and line is not None
        _, series = match
        charts.lines(
            directory / chart.file,
            chart.title,
            series.size,
            series.unit,
            {
                "measured": [(point.size, point.value) for point in sorted(series.points, key=lambda p: p.size)],
                "fitted, up to the target": line,
                "limit": [(0.0, chart.limit), (chart.target, chart.limit)],
            },
        )


def _line(chart: Chart, results: Mapping[str, Result]) -> list[tuple[float, float]] | None:
    match = find(dict(results), chart.series)
    if match is None:
        return None
    try:
        fitted = fit(match[1], Model.BETTER)
    except TooFewSizesError:
        return None
    sizes = [chart.target * step / STEPS for step in range(1, STEPS + 1)]
    return [(round(size, 1), round(fitted.at(size).value, 1)) for size in sizes]
