"""Prints the results of commands: tables on a terminal, JSON elsewhere."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import click


def use_json(requested: bool) -> bool:
    """Return whether to print JSON: on request, or if standard output is not a terminal."""
    return requested or not sys.stdout.isatty()


def show_json(value: object) -> None:
    """Print a value as JSON on one line."""
    click.echo(json.dumps(value))


def show_table(title: str, rows: Sequence[Mapping[str, Any]]) -> None:
    """Print rows of the same fields as a table, or nothing for no rows. Raises ClickException without rich."""
    try:
        from rich.console import Console
        from rich.table import Table
    except ImportError:
        raise click.ClickException("tables need requirements-tools.txt; or use --json") from None
    if not rows:
        return
    table = Table(*rows[0], title=title)
    for row in rows:
        table.add_row(
            *(
                f"{value:,}" if isinstance(value, int) and not isinstance(value, bool) else str(value)
                for value in row.values()
            )
        )
    Console().print(table)


def show_fields(title: str, fields: Mapping[str, Any]) -> None:
    """Print a table with one field per row."""
    show_table(title, [{"figure": name, "value": value} for name, value in fields.items()])
