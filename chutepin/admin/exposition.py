"""The figures in the text format that scrapers read (Prometheus exposition format 0.0.4, without comments).

Its size and cost follow from the number of classes alone, not from what was served. A library does the same at 5.4 MB
of memory, of which a node has five to spare."""

from __future__ import annotations

from ..request_metrics import RequestMetrics

_STATES = ("answered", "deferred", "errored")


def escaped(label: str) -> str:
    """A label's value: backslash, quote and line feed stand escaped, as the format asks."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def exposition(figures: RequestMetrics) -> str:
    """All figures, one a line, each line ended."""
    lines = [
        f'node_transactions_total{{group="{escaped(name)}",state="{state}"}} {getattr(row, state)}'
        for name, row in figures.rows.items()
        for state in _STATES
    ]
    lines += [f'node_withdrawn_total{{group="{escaped(name)}"}} {row.withdrawn}' for name, row in figures.rows.items()]
    lines += [f"node_sends_total {figures.runs_sent}", f"node_current {figures.current}"]
    return "".join(f"{line}\n" for line in lines)
