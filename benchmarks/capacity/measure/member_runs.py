"""Plays `lab scale` at several sizes and keeps what it tells, for the part `member`; minutes on one core.

    python -m benchmarks.capacity.measure.member_runs [SCENARIO …]

Runs that are kept already are not repeated. One that does not end in time is kept as unfinished and the next seed is
taken for its size."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.fleet_size import TARGET
from chutepin.lab.scale.workload import Scenario

from ..results import ROOT
from .member import FILES

STEADY_MEMBERS = (100, 200, 400, 800)
BAD_HOUR_MEMBERS = (50, 100, 200, 400)
SECONDS = 40.0  # simulated
LONGEST_S = 150.0  # of the machine's time for a run of a bad hour
LONGEST_STEADY_S = 400.0
SEEDS = (1, 2, 3)


def kept(scenario: Scenario, members: int) -> bool:
    """Whether a run of this size that ended is there."""
    return any(FILES.glob(f"scale-simulator-{scenario.value}-{members}-seed*.json"))


def _unfinished(scenario: Scenario, members: int, seed: int, after: float) -> None:
    told = {
        "mode": "simulator",
        "scenario": scenario.value,
        "members": members,
        "seed": seed,
        "seconds": SECONDS,
        "unfinished_after_s": after,
    }
    path = FILES / f"unfinished-{scenario.value}-{members}-seed{seed}.json"
    path.write_text(json.dumps([told], indent=1) + "\n")


def play(scenario: Scenario, members: int, seed: int) -> bool:
    """One run; whether it ended. Its exit code tells of broken promises, which its file tells as well."""
    longest = LONGEST_STEADY_S if scenario is Scenario.CHURN else LONGEST_S
    FILES.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-O", "-m", "chutepin", "lab", "scale", "--json", "--out", folder]
        command += ["--members", str(members), "--restarts-per-second", str(TARGET.restarts_per_s)]
        command += ["--seconds", str(SECONDS), "--seed", str(seed), "--scenario", scenario.value]
        try:
            subprocess.run(command, cwd=ROOT, timeout=longest, stdout=subprocess.DEVNULL, check=False)
        except subprocess.TimeoutExpired:
            _unfinished(scenario, members, seed, longest)
            return False
        for path in Path(folder).glob("*.json"):
            (FILES / path.name).write_text(path.read_text())
    return kept(scenario, members)


def main(words: list[str]) -> None:
    """All sizes of the scenarios named, or of those that the page shows."""
    for word in words or [Scenario.CHURN.value, Scenario.ZONE_LOST.value, Scenario.RESTART_WAVE.value]:
        scenario = Scenario(word)
        for members in STEADY_MEMBERS if scenario is Scenario.CHURN else BAD_HOUR_MEMBERS:
            for seed in SEEDS:
                if kept(scenario, members):
                    break
                ended = play(scenario, members, seed)
                print(f"{word}, {members} members, seed {seed}: {'ended' if ended else 'did not end'}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
