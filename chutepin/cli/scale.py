"""Implements `python -m chutepin lab scale`: cost and quality of membership with many members."""

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

from .output import show_json, show_table, use_json

MAX_MEMBERS = 4000
EXIT_USAGE_ERROR = 2


class OneLineUsageError(click.ClickException):
    """An error in the command line, printed as one line without the usage."""

    exit_code = EXIT_USAGE_ERROR

    def __init__(self, message: str) -> None:
        super().__init__(" ".join(message.split()))


class OneLineCommand(click.Command):
    """A command that prints usage errors as one line."""

    def make_context(self, *arguments: Any, **fields: Any) -> click.Context:
        """Parse the arguments. Raises OneLineUsageError."""
        try:
            return super().make_context(*arguments, **fields)
        except click.UsageError as error:
            raise OneLineUsageError(error.format_message()) from None


@contextlib.contextmanager
def progress_bar() -> Iterator[Callable[[float], None]]:
    """Show a progress bar if standard error is a terminal and rich is installed; yield its update function."""
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
        task = bar.add_task("running members", total=1.0)
        yield lambda part: bar.update(task, completed=part)


def show_reports(reports: list[ScaleReport]) -> None:
    """Print one table with a column for each run."""
    columns = [report.as_json() for report in reports]
    rows = [
        {"figure": name, **{str(column["mode"]): column.get(name, "") for column in columns}} for name in columns[0]
    ]
    show_table(f"{reports[0].load.members} members", rows)


@click.command("scale", cls=OneLineCommand)
@click.option("--members", type=click.IntRange(2, MAX_MEMBERS), required=True, help="Number of members of the cluster.")
@click.option(
    "--restarts-per-second", "restarts", type=click.FloatRange(0), required=True, help="Rate over all members together."
)
@click.option("--seconds", type=click.FloatRange(1, 3600), required=True, help="Measured duration.")
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed.")
@click.option(
    "--scenario",
    type=click.Choice([scenario.value for scenario in Scenario]),
    default=Scenario.CHURN.value,
    show_default=True,
    help="Faults in addition to the restarts.",
)
@click.option(
    "--crash-share",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="Share of the restarts that are crashes.",
)
@click.option("--hollow", type=click.IntRange(0), help="Members that run only the membership code, in real time.")
@click.option("--real", type=click.IntRange(0), help="Members that run as processes of their own, in real time.")
@click.option("--both", is_flag=True, help="Run the same load in the simulator as well.")
@click.option(
    "--most-mb", type=click.IntRange(1), help="Memory limit of a real run; default: half of the machine's memory."
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Directory for the results, with seed and commit."
)
@click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")
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
    json_requested: bool,
) -> int:
    """Run many members under steady restarts, in the simulator or, with --hollow and --real, in real time.

    Exit code 1 if a live member was declared dead, a crash was not detected or the views differ at the end."""
    load = Load(members, restarts, seconds, seed, Scenario(scenario), crash_share)
    in_real_time = hollow is not None or real is not None
    if both and not in_real_time:
        raise OneLineUsageError("--both: needs --hollow and --real")
    reports = []
    if in_real_time:
        reports.append(_run_in_real_time(load, hollow or 0, real or 0, most_mb))
    if both or not in_real_time:
        with progress_bar() as progress:
            reports.append(simulate(load, progress)[0])
    if out is not None:
        _write_results(out, reports)
    if use_json(json_requested):
        for report in reports:
            show_json(report.as_json())
    else:
        show_reports(reports)
    return int(not all(report.sound for report in reports))


def _run_in_real_time(load: Load, hollow: int, real: int, most_mb: int | None) -> ScaleReport:
    """Run the load in real time. Raises OneLineUsageError, ClickException."""
    try:
        check(load, hollow, real)
    except ValueError as error:
        raise OneLineUsageError(str(error)) from None
    try:
        with progress_bar() as progress:
            return play(load, hollow, real, progress, most_mb * MEGABYTE if most_mb is not None else None)[0]
    except (MemoryExceededError, ScaleRunError) as error:
        raise click.ClickException(str(error)) from None


def _write_results(out: Path, reports: list[ScaleReport]) -> None:
    """Write results and charts to a directory."""
    path = keep(out, reports)
    try:
        from chutepin.testbench.scale.drawing import draw
    except ImportError:
        raise click.ClickException("the chart needs requirements-tools.txt") from None
    draw(out)
    click.echo(f"results written to {path}", err=True)
