"""Runs `lab scale` at several sizes and keeps its results for the part `member`. Takes minutes on one core.

    python -m benchmarks.capacity.measure.member_runs [SCENARIO …]

Runs with kept results are not repeated. A run that exceeds the CPU time limit is kept as unfinished, and its size is
run again with the next seed."""

from __future__ import annotations

import json
import resource
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.fleet_size import TARGET
from chutepin.testbench.scale.workload import Scenario

from ..results import ROOT
from .member import FILES

STEADY_MEMBERS = (100, 200, 400, 800, 2300)
BAD_HOUR_MEMBERS = (50, 100, 200, 400)
SECONDS = 40.0  # simulated time
MAX_CPU_S = 120  # several times the CPU time of a run that finishes
MAX_LONG_CPU_S = 1500  # for runs with more members or a longer duration
LONG_SCENARIOS = frozenset({Scenario.CHURN, Scenario.REGION_APART})
SEEDS = (1, 2, 3)


def has_result(scenario: Scenario, members: int) -> bool:
    """Return whether the result of a finished run of this scenario and size is kept."""
    return any(FILES.glob(f"scale-simulator-{scenario.value}-{members}-seed*.json"))


def _unfinished(scenario: Scenario, members: int, seed: int, after: int) -> None:
    record = {
        "mode": "simulator",
        "scenario": scenario.value,
        "members": members,
        "seed": seed,
        "seconds": SECONDS,
        "unfinished_after_cpu_s": after,
    }
    path = FILES / f"unfinished-{scenario.value}-{members}-seed{seed}.json"
    path.write_text(json.dumps([record], indent=1) + "\n")


def run_scale(scenario: Scenario, members: int, seed: int) -> bool:
    """Run `lab scale` once and return whether the run finished.

    The exit code is ignored: the result file also reports violated guarantees."""
    max_cpu_s = MAX_LONG_CPU_S if scenario in LONG_SCENARIOS else MAX_CPU_S
    FILES.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        command = [sys.executable, "-O", "-m", "chutepin", "lab", "scale", "--json", "--out", directory]
        command += ["--members", str(members), "--restarts-per-second", str(TARGET.restarts_per_s)]
        command += ["--seconds", str(SECONDS), "--seed", str(seed), "--scenario", scenario.value]
        completed = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            check=False,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_CPU, (max_cpu_s, max_cpu_s)),
        )
        if completed.returncode in (-signal.SIGXCPU, -signal.SIGKILL):
            _unfinished(scenario, members, seed, max_cpu_s)
            return False
        for path in Path(directory).glob("*.json"):
            (FILES / path.name).write_text(path.read_text())
    return has_result(scenario, members)


def main(arguments: list[str]) -> None:
    """Run all sizes of the named scenarios, or of all scenarios."""
    for name in arguments or [scenario.value for scenario in Scenario]:
        scenario = Scenario(name)
        for members in STEADY_MEMBERS if scenario is Scenario.CHURN else BAD_HOUR_MEMBERS:
            for seed in SEEDS:
                if has_result(scenario, members):
                    break
                finished = run_scale(scenario, members, seed)
                print(
                    f"{name}, {members} members, seed {seed}: {'finished' if finished else 'did not finish'}",
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv[1:])
