"""Helpers shared by benchmarks of several parts: the command line, and quantiles of a sample."""

from __future__ import annotations

import argparse
import json
import math
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

Row = dict[str, Any]
Part = Callable[[], list[Row]]
DrawCharts = Callable[[Path, str, list[Row]], None]  # (directory, name of the part, its rows)


def quantile(values: Sequence[float], part: float) -> float:
    """Return the value below which this part of the values lies, or nan without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)] if ordered else math.nan


def run_parts(parts: Mapping[str, Part], long: str, draw_charts: DrawCharts) -> None:
    """Run the parts that the command line names, print their rows as JSON, draw their charts.

    Without a name, run all parts except the part called `long`."""
    parser = argparse.ArgumentParser()
    parser.add_argument("parts", nargs="*", metavar="PART", help=", ".join(parts))
    parser.add_argument("--charts", type=Path)
    options = parser.parse_args()
    for part in options.parts or [part for part in parts if part != long]:
        started = time.monotonic()
        rows = parts[part]()
        for row in rows:
            print(json.dumps({"part": part, **row}), flush=True)
        print(json.dumps({"part": part, "took_s": round(time.monotonic() - started)}), flush=True)
        if options.charts is not None:
            draw_charts(options.charts, part, rows)
