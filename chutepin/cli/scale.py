"""`python -m chutepin lab scale`: what membership costs and how well it works among many members."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

from chutepin.testbench.scale.guard import MEGABYTE, MemoryExceededError
from chutepin.testbench.scale.realtime import ScaleRunError, check, play
from chutepin.testbench.scale.report import ScaleReport, keep
from chutepin.testbench.scale.virtual import simulate
from chutepin.testbench.scale.workload import Load, Scenario

from .output import as_json, show_json, show_table

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


def show_tables(reports: list[ScaleReport]) -> None:
    """One table, a column for each run."""
    columns = [report.as_json() for report in reports]
    rows = [
        {"figure": name, **{str(column["mode"]): column.get(name, "") for column in columns}} for name in columns[0]
    ]
    show_table(f"{reports[0].load.members} members", rows)


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
@click.option("--hollow", type=click.IntRange(0), help="Members that are control parts only, in real time.")
@click.option("--real", type=click.IntRange(0), help="Members that are programs of their own, in real time.")
@click.option("--both", is_flag=True, help="The same load in the simulator beside the real run.")
@click.option("--most-mb", type=click.IntRange(1), help="Of memory in a real run, in place of half of the machine's.")
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
    hollow: int | None,
    real: int | None,
    both: bool,
    most_mb: int | None,
    out: Path | None,
    json_asked: bool,
) -> int:
    """Many members under steady restarts: in the simulator, or with --hollow and --real in real time.

    Exit code 1 if a live member was declared dead, a crash did not become known or the views are not equal in the
    end."""
    load = Load(members, restarts, seconds, seed, Scenario(scenario), crash_share)
    in_real_time = hollow is not None or real is not None
    if both and not in_real_time:
        raise BadArguments("--both: needs --hollow and --real")
    reports = []
    if in_real_time:
        reports.append(_real(load, hollow or 0, real or 0, most_mb))
    if both or not in_real_time:
        with shown_progress() as progress:
            reports.append(simulate(load, progress)[0])
    if out is not None:
        _keep(out, reports)
    if as_json(json_asked):
        for report in reports:
            show_json(report.as_json())
    else:
        show_tables(reports)
    return int(not all(report.sound for report in reports))


def _real(load: Load, hollow: int, real: int, most_mb: int | None) -> ScaleReport:
    """A run in real time."""
    try:
        check(load, hollow, real)
    except ValueError as error:
        raise BadArguments(str(error)) from None
    try:
        with shown_progress() as progress:
            return play(load, hollow, real, progress, most_mb * MEGABYTE if most_mb is not None else None)[0]
    except (MemoryExceededError, ScaleRunError) as error:
        raise click.ClickException(str(error)) from None


def _keep(out: Path, reports: list[ScaleReport]) -> None:
    """Results and charts in a folder."""
    path = keep(out, reports)
    try:
        from chutepin.testbench.scale.drawing import draw
    except ImportError:
        raise click.ClickException("the chart needs requirements-tools.txt") from None
    draw(out)
    click.echo(f"kept in {path}", err=True)
