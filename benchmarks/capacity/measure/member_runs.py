"""Plays `lab scale` at several sizes and keeps what it tells, for the part `member`; minutes on one core.

    python -m benchmarks.capacity.measure.member_runs [SCENARIO …]

Runs that are kept already are not repeated. One that takes too much CPU time is kept as unfinished and the next seed is
taken for its size."""

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
SECONDS = 40.0  # simulated
MOST_CPU_S = 120  # of a run: several times what one takes that ends
MOST_LONG_CPU_S = 1500  # of one that has more members, or lasts longer
LONG = frozenset({Scenario.CHURN, Scenario.REGION_APART})
SEEDS = (1, 2, 3)


def kept(scenario: Scenario, members: int) -> bool:
    """Whether a run of this size that ended is there."""
    return any(FILES.glob(f"scale-simulator-{scenario.value}-{members}-seed*.json"))


def _unfinished(scenario: Scenario, members: int, seed: int, after: int) -> None:
    told = {
        "mode": "simulator",
        "scenario": scenario.value,
        "members": members,
        "seed": seed,
        "seconds": SECONDS,
        "unfinished_after_cpu_s": after,
    }
    path = FILES / f"unfinished-{scenario.value}-{members}-seed{seed}.json"
    path.write_text(json.dumps([told], indent=1) + "\n")


def play(scenario: Scenario, members: int, seed: int) -> bool:
    """One run; whether it ended. Its exit code tells of broken promises, which its file tells as well."""
    most_cpu_s = MOST_LONG_CPU_S if scenario in LONG else MOST_CPU_S
    FILES.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-O", "-m", "chutepin", "lab", "scale", "--json", "--out", folder]
        command += ["--members", str(members), "--restarts-per-second", str(TARGET.restarts_per_s)]
        command += ["--seconds", str(SECONDS), "--seed", str(seed), "--scenario", scenario.value]
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            check=False,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_CPU, (most_cpu_s, most_cpu_s)),
        )
        if done.returncode in (-signal.SIGXCPU, -signal.SIGKILL):
            _unfinished(scenario, members, seed, most_cpu_s)
            return False
        for path in Path(folder).glob("*.json"):
            (FILES / path.name).write_text(path.read_text())
    return kept(scenario, members)


def main(words: list[str]) -> None:
    """All sizes of the scenarios named, or of all."""
    for word in words or [scenario.value for scenario in Scenario]:
        scenario = Scenario(word)
        for members in STEADY_MEMBERS if scenario is Scenario.CHURN else BAD_HOUR_MEMBERS:
            for seed in SEEDS:
                if kept(scenario, members):
                    break
                ended = play(scenario, members, seed)
                print(f"{word}, {members} members, seed {seed}: {'ended' if ended else 'did not end'}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
