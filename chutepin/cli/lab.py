"""Implements `python -m chutepin lab`: fault schedules on real processes or in the simulator."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import click

from chutepin.testbench.checks.history import History
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.schedule import Schedule, draw, load_schedule, smallest

from . import scale, soak
from .output import show_json, show_table, use_json

JSON = click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")
SEED = click.option(
    "--seed", type=int, default=1, show_default=True, help="Random seed of the run and of a drawn schedule."
)
OUT = click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="A folder for history.jsonl, schedule.json and the chart.",
)


@click.group("lab")
def command() -> None:
    """Inject faults into many processes and check invariants."""


command.add_command(scale.command)
command.add_command(soak.command)


def read_schedule(name: str, seed: int) -> Schedule:
    """Read the schedule of a file; the name `draw` draws one of 6 members from the seed. Raises ClickException."""
    if name == "draw":
        return draw(seed, 6, 90.0)
    try:
        return load_schedule(Path(name).read_text())
    except OSError as error:
        raise click.ClickException(f"{name}: {error.strerror or error}") from None
    except (ValueError, KeyError, TypeError) as error:
        raise click.ClickException(f"{name}: {error}") from None


def report_result(history: History, slack: float, out: Path | None, json_requested: bool) -> int:
    """Print the result of a run; return exit code 1 if an invariant is violated, else 0."""
    found = broken(history, slack)
    counts = Counter(seen.what for seen in history.seen)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "history.jsonl").write_text(history.text())
        (out / "schedule.json").write_text(history.schedule.as_json())
        try:
            from chutepin.testbench import charts

            charts.alive(out / "alive.svg", history)
        except ImportError:
            raise click.ClickException("the chart needs requirements-tools.txt") from None
    if use_json(json_requested):
        show_json(
            {
                "members": history.schedule.members,
                "seconds": history.schedule.seconds,
                "seen": dict(counts),
                "datagrams": history.packets,
                "broken": found,
            }
        )
    else:
        show_table(
            "done",
            [
                {
                    "at": f"{fault.at:.2f}",
                    "what": fault.what,
                    "members": " ".join(fault.members) or " | ".join(" ".join(group) for group in fault.groups),
                    "value": fault.value,
                }
                for fault in history.done
            ],
        )
        show_table("seen, by kind", [{"what": what, "times": times} for what, times in counts.most_common()])
        show_table(
            "broken", [{"invariant": name, "found": line} for name, lines in found.items() for line in lines[:10]]
        )
        click.echo("all invariants hold" if not found else f"{len(found)} invariants are violated")
    return int(bool(found))


def _print_progress(line: str) -> None:
    click.echo(line, err=True)


@command.command()
@click.argument("schedule")
@SEED
@OUT
@JSON
@click.option(
    "--slack",
    type=click.FloatRange(1),
    default=1.5,
    show_default=True,
    help="Factor on the time bounds, for a busy machine.",
)
def fleet(schedule: str, seed: int, out: Path | None, json_requested: bool, slack: float) -> int:
    """Run SCHEDULE (a file, or `draw`) on real processes; exit code 1 if an invariant is violated."""
    from chutepin.testbench.faults.fleet import play

    parsed_schedule = read_schedule(schedule, seed)
    return report_result(asyncio.run(play(parsed_schedule, seed, note=_print_progress)), slack, out, json_requested)


@command.command()
@click.argument("schedule")
@SEED
@OUT
@JSON
def simulate(schedule: str, seed: int, out: Path | None, json_requested: bool) -> int:
    """Run SCHEDULE (a file, or `draw`) in the simulator; equal seeds give byte-identical histories."""
    from chutepin.testbench.simulators.membership import Simulator

    parsed_schedule = read_schedule(schedule, seed)
    history = Simulator(parsed_schedule, seed).run()
    if found := broken(history):
        names = set(found)
        smallest_schedule = smallest(
            parsed_schedule, lambda candidate: bool(names & set(broken(Simulator(candidate, seed).run())))
        )
        click.echo(f"seed {seed}, smallest schedule with the same violation:\n{smallest_schedule.as_json()}", err=True)
    return report_result(history, 1.0, out, json_requested)


@command.command()
@click.option("--voters", default=3, show_default=True)
@click.option("--elections", default=2, show_default=True)
@click.option("--proposals", default=0, show_default=True)
@click.option("--beats", default=0, show_default=True, help="Number of heartbeats.")
@click.option("--crashes", default=0, show_default=True, help="Number of crashes, between any two effects.")
@click.option("--twice", default=0, show_default=True, help="Number of messages delivered twice.")
@click.option("--snapshots", default=0, show_default=True)
@click.option("--seconds", type=click.FloatRange(0.1), default=60.0, show_default=True, help="Time limit.")
@JSON
def explore(
    voters: int,
    elections: int,
    proposals: int,
    beats: int,
    crashes: int,
    twice: int,
    snapshots: int,
    seconds: float,
    json_requested: bool,
) -> int:
    """Check the consensus code over all interleavings of a scope; exit code 1 if an invariant is violated."""
    import time

    from chutepin.testbench.checks.model_checker import Scope
    from chutepin.testbench.checks.model_checker import explore as explored

    found = explored(
        Scope(voters, elections, proposals, beats, crashes, twice, snapshots=snapshots),
        max_states=10**9,
        deadline=time.monotonic() + seconds,
    )
    fields = {
        "states": found.states,
        "steps": found.steps,
        "depth": found.depth,
        "seconds": round(found.seconds, 1),
        "whole": found.whole,
        "broken": found.broken,
        "path": [" ".join(step) for step in found.path],
    }
    if use_json(json_requested):
        show_json(fields)
    else:
        show_table("explored", [{"figure": name, "value": value} for name, value in fields.items()])
    return int(bool(found.broken))
