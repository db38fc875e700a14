"""Charts of the results stored in a directory: bytes and CPU time per member by the number of members."""

from __future__ import annotations

import json
from collections import defaultdict
from pathlib import Path
from typing import Any

from chutepin.testbench import charts

Points = dict[str, list[tuple[float, float]]]
CHARTS = (
    ("scale-bytes.svg", "bytes sent by a member", "bytes a second", "sent_bytes_per_s"),
    ("scale-cpu.svg", "CPU of a member", "milliseconds a second", "cpu_ms_per_s"),
)


def load_results(directory: Path) -> list[dict[str, Any]]:
    """Return all results stored in a directory."""
    return [result for path in sorted(directory.glob("scale-*.json")) for result in json.loads(path.read_text())]


def draw(directory: Path) -> None:
    """Redraw all charts from all results in a directory."""
    found = load_results(directory)
    for file, title, unit, figure in CHARTS:
        charts.lines(directory / file, title, "members", unit, _chart_points(found, figure))


def _chart_points(found: list[dict[str, Any]], figure: str) -> Points:
    """Return mean and 99th percentile by number of members, a line for each mode, scenario and restart rate."""
    points: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for result in found:
        kind = f"{result['mode']}, {result['scenario']}, {result['restarts_per_s']:g} restarts/s"
        for part, value in result[figure].items():
            points[f"{kind}, {part}"].append((result["members"], value))
    return {name: sorted(line) for name, line in points.items()}
