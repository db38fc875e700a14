"""How commands show what they found: tables on a terminal, JSON elsewhere."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import click


def as_json(asked: bool) -> bool:
    """JSON is asked for, or nobody looks at a terminal."""
    return asked or not sys.stdout.isatty()


def show_json(value: object) -> None:
    """One object on a line."""
    click.echo(json.dumps(value))


def show_table(title: str, rows: Sequence[Mapping[str, Any]]) -> None:
    """Rows of the same fields; nothing for no rows."""
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
    """One field a row."""
    show_table(title, [{"figure": name, "value": value} for name, value in fields.items()])
