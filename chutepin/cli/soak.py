"""Implements `python -m chutepin lab soak`: real nodes under restarts, upgrades and outages, with checks."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import click

from chutepin.testbench.signals import run_until_terminated, send_signal
from chutepin.testbench.soak import draw, make_report, play, write_report

from .output import show_json, show_table, use_json

MAX_SEEDS = 1000
MAX_JOBS = 16


def parse_seeds(ctx: click.Context, param: click.Parameter, value: str) -> range:
    """Parse `N` or `N-M`, both ends included. Raises BadParameter."""
    first, separator, last = value.partition("-")
    if not _is_number(first) or (separator and not _is_number(last)):
        raise click.BadParameter(f"{value!r} is not of the form N or N-M", ctx, param)
    seeds = range(int(first), int(last if separator else first) + 1)
    if not 0 < len(seeds) <= MAX_SEEDS:
        raise click.BadParameter(f"{value!r} has {len(seeds)} seeds, 1 to {MAX_SEEDS} are allowed", ctx, param)
    return seeds


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 9


@click.command("soak")
@click.option("--seed", "seeds", callback=parse_seeds, default="1", help="N, or N-M for a range of seeds.")
@click.option(
    "--seconds", type=click.FloatRange(1, 3600), default=12.0, show_default=True, help="Duration of each run."
)
@click.option("--crowd", is_flag=True, help="Open more connections than the node has descriptors.")
@click.option(
    "--jobs", type=click.IntRange(1, MAX_JOBS), default=1, show_default=True, help="Number of seeds run in parallel."
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Directory for reports, schedules and logs."
)
@click.option("--json", "json_requested", is_flag=True, help="Print JSON also on a terminal.")
def command(seeds: range, seconds: float, crowd: bool, jobs: int, out: Path | None, json_requested: bool) -> int:
    """Run one drawn schedule per seed; exit code 1 if a check is violated."""
    if len(seeds) == 1:
        reports = [_run_in_process(seeds[0], seconds, crowd, out)]
    else:
        reports = run_until_terminated(_run_subprocesses(seeds, seconds, crowd, jobs, out))
    for report in reports:
        if report["text"]:
            click.echo(report["text"], err=True)
    if use_json(json_requested):
        for report in reports:
            show_json(report)
    else:
        show_table("soak", [{"seed": report["seed"], **report["counts"], **report["by_check"]} for report in reports])
    return int(any(report["by_check"] for report in reports))


def _run_in_process(seed: int, seconds: float, crowd: bool, out: Path | None) -> dict[str, Any]:
    schedule = draw(seed, seconds, crowd)
    books = run_until_terminated(play(schedule))
    report = make_report(schedule, books)
    if out is not None:
        write_report(out, report, schedule, books)
    return report.as_dict()


async def _run_subprocesses(
    seeds: range, seconds: float, crowd: bool, jobs: int, out: Path | None
) -> list[dict[str, Any]]:
    """Run each seed in its own process, `jobs` processes at a time."""
    job_slots = asyncio.Semaphore(jobs)

    async def run_seed(seed: int) -> dict[str, Any]:
        arguments = ["--seed", str(seed), "--seconds", str(seconds), "--json"]
        arguments += ["--crowd"] if crowd else []
        arguments += ["--out", str(out)] if out is not None else []
        async with job_slots:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "chutepin", "lab", "soak", *arguments),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                output, errors = await process.communicate()
            finally:
                if send_signal(process, signal.SIGTERM):  # the run was cancelled
                    await process.wait()
        if not output:
            return {"seed": seed, "counts": {}, "by_check": {"soak broke off": 1}, "text": errors.decode()}
        report: dict[str, Any] = json.loads(output)
        return report

    return list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))
