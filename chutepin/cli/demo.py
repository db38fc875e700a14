"""Implements `python -m chutepin demo`: a node with stand-ins on one machine, with a live table of outcomes."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING

import click

from chutepin.testbench.standins.demo import OUTCOMES, Demo, Tally

if TYPE_CHECKING:
    from rich.table import Table


def build_table(tally: Tally) -> Table:
    """Build the table of outcomes by class."""
    from rich.table import Table

    outcome_table = Table("class", "sent", *OUTCOMES, "median ms", "99 % ms", title="one final answer for each request")
    for cls, sent in sorted(tally.sent.items()):
        times = [tally.time(cls, part) for part in (0.5, 0.99)]
        outcome_table.add_row(
            cls,
            str(sent),
            *(str(tally.outcomes[cls, outcome]) for outcome in OUTCOMES),
            *("" if value is None else f"{value:.1f}" for value in times),
        )
    return outcome_table


@click.command("demo")
@click.option(
    "--seconds", type=click.FloatRange(0.1, 3600), default=10.0, show_default=True, help="Duration of sending requests."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed of the mix of requests.")
@click.option("--json", "json_requested", is_flag=True, help="Print the outcomes as one JSON object at the end.")
def command(seconds: float, seed: int, json_requested: bool) -> int:
    """Run a node on loopback with stand-ins of executor, records service and control plane.

    Exit code 1 if a request was not answered."""
    if json_requested or not sys.stdout.isatty():
        tally = asyncio.run(Demo(seconds, seed, lambda _: None).run())
        click.echo(json.dumps(tally.as_dict(), indent=None if json_requested else 2))
    else:
        try:
            from rich.live import Live
        except ImportError:
            raise click.ClickException("the live table needs requirements-tools.txt; or use --json") from None
        with Live(build_table(Tally()), refresh_per_second=10) as live:
            tally = asyncio.run(Demo(seconds, seed, lambda tally: live.update(build_table(tally))).run())
    return 0 if tally.sound else 1
