"""Charts as SVG files, drawn with pygal, which is imported only when a chart is drawn."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from chutepin.testbench.checks.history import History

STYLE: dict[str, Any] = {
    "width": 900,
    "height": 420,
    "show_legend": True,
    "legend_at_bottom": True,
    "print_values": False,
}


def lines(
    path: Path,
    title: str,
    x: str,
    y: str,
    series: Mapping[str, Sequence[tuple[float, float]]],
    *,
    logarithmic: bool = False,
) -> None:
    """Write a line chart."""
    import pygal

    chart = pygal.XY(title=title, x_title=x, y_title=y, logarithmic=logarithmic, **STYLE)
    for name, points in series.items():
        chart.add(name, list(points))
    chart.render_to_file(str(path))


def bars(
    path: Path,
    title: str,
    y: str,
    labels: Sequence[str],
    series: Mapping[str, Sequence[float]],
    *,
    logarithmic: bool = False,
) -> None:
    """Write a grouped bar chart."""
    import pygal

    chart = pygal.Bar(title=title, y_title=y, logarithmic=logarithmic, **STYLE)
    chart.x_labels = list(labels)
    for name, values in series.items():
        chart.add(name, list(values))
    chart.render_to_file(str(path))


def alive(path: Path, history: History) -> None:
    """Write a line chart of the number of members that each member shows alive over time."""
    series: dict[str, list[tuple[float, float]]] = {}
    for shown in history.shown:
        count = sum(state == "alive" for _, state, _ in shown.states)
        series.setdefault(shown.member, []).append((round(shown.at, 2), count))
    lines(path, "members shown alive, by observing member", "seconds", "members", series)
