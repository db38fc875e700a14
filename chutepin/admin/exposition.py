"""Metrics in the text format that scrapers read (Prometheus exposition format 0.0.4, without comments).

Its size and cost follow from the number of classes alone, not from what was served. A library does the same at 5.4 MB
of memory, of which a node has five to spare."""

from __future__ import annotations

from ..request_metrics import RequestMetrics

_STATES = ("answered", "deferred", "errored")


def escape_label(label: str) -> str:
    """A label's value: backslash, quote and line feed stand escape_label, as the format asks."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def exposition(metrics: RequestMetrics) -> str:
    """Format all metrics, one a line."""
    lines = [
        f'node_transactions_total{{group="{escape_label(name)}",state="{state}"}} {getattr(row, state)}'
        for name, row in metrics.rows.items()
        for state in _STATES
    ]
    lines += [
        f'node_withdrawn_total{{group="{escape_label(name)}"}} {row.withdrawn}' for name, row in metrics.rows.items()
    ]
    lines += [f"node_sends_total {metrics.runs_sent}", f"node_current {metrics.current}"]
    return "".join(f"{line}\n" for line in lines)
