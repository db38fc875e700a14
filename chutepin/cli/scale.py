"""`python -m chutepin lab scale`: what membership costs and how well it works among many members."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

from ..lab.scale.report import ScaleReport, keep
from ..lab.scale.virtual import simulate
from ..lab.scale.workload import Load, Scenario
from .output import as_json, show_fields, show_json

MOST_MEMBERS = 4000
BAD_ARGUMENTS = 2  # exit code


class BadArguments(click.ClickException):
    """The command line makes no sense: one line says why."""

    exit_code = BAD_ARGUMENTS

    def __init__(self, message: str) -> None:
        super().__init__(" ".join(message.split()))


class OneLineCommand(click.Command):
    """A command that tells of bad arguments in one line, without its usage."""

    def make_context(self, *arguments: Any, **fields: Any) -> click.Context:
        """Parse the arguments."""
        try:
            return super().make_context(*arguments, **fields)
        except click.UsageError as error:
            raise BadArguments(error.format_message()) from None


@contextlib.contextmanager
def shown_progress() -> Iterator[Callable[[float], None]]:
    """A bar on a terminal; nothing elsewhere, or where the tools are not installed."""
    try:
        from rich.console import Console
        from rich.progress import Progress
    except ImportError:
        yield lambda _: None
        return
    if not sys.stderr.isatty():
        yield lambda _: None
        return
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("members at work", total=1.0)
        yield lambda part: bar.update(task, completed=part)


def show(report: ScaleReport, json_asked: bool) -> None:
    """One object, or one table."""
    fields = report.as_json()
    if as_json(json_asked):
        show_json(fields)
    else:
        show_fields(f"{report.load.members} members, {report.mode}", fields)


@click.command("scale", cls=OneLineCommand)
@click.option("--members", type=click.IntRange(2, MOST_MEMBERS), required=True, help="Of the cluster.")
@click.option(
    "--restarts-per-second", "restarts", type=click.FloatRange(0), required=True, help="Of all members together."
)
@click.option("--seconds", type=click.FloatRange(1, 3600), required=True, help="That are measured.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of all chance.")
@click.option(
    "--scenario",
    type=click.Choice([scenario.value for scenario in Scenario]),
    default=Scenario.CHURN.value,
    show_default=True,
    help="What happens beside the restarts.",
)
@click.option(
    "--crash-share", type=click.FloatRange(0, 1), default=0.0, show_default=True, help="Of the restarts: no goodbye."
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="A folder for the results, with seed and commit."
)
@click.option("--json", "json_asked", is_flag=True, help="Print JSON also on a terminal.")
def command(
    members: int,
    restarts: float,
    seconds: float,
    seed: int,
    scenario: str,
    crash_share: float,
    out: Path | None,
    json_asked: bool,
) -> int:
    """Many members under steady restarts; exit code 1 if a live member was declared dead, a crash did not become known
    or the views are not equal in the end."""
    load = Load(members, restarts, seconds, seed, Scenario(scenario), crash_share)
    with shown_progress() as progress:
        reports = [simulate(load, progress)[0]]
    if out is not None:
        keep(out, reports)
    for report in reports:
        show(report, json_asked)
    return int(not all(report.sound for report in reports))
