"""Tests of the capacity page: fits, verdicts, kept results, and equality of the kept page with the rendered page."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import time
from dataclasses import replace
from importlib import import_module
from pathlib import Path

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import comparison
from benchmarks.capacity.assess import assess
from benchmarks.capacity.bounds import max_members
from benchmarks.capacity.drawing import CHARTS, draw, drawable
from benchmarks.capacity.measure import PARTS, member
from benchmarks.capacity.measure.request import BODY, DirectConnection, NodeConnection
from benchmarks.capacity.measure.tenants import settings
from benchmarks.capacity.measure.tools import scheduler_times
from benchmarks.capacity.model import Aspect, Bound, Condition, Demand, Limit, Load, Role
from benchmarks.capacity.page import PAGE, differs, render
from benchmarks.capacity.results import Point, Result, ResultError, Run, Series, load, save
from benchmarks.capacity.roles import ROLES
from benchmarks.capacity.slopes import Estimate, Model, TooFewSizesError, fit
from benchmarks.capacity.verdicts import NOT_MEASURED, UNDECIDED, Verdict, judge
from benchmarks.fleet_size import ASSUMPTIONS, TARGET, rows
from chutepin.decision.simulator_protocol import parse_settings
from chutepin.net.lines import line
from chutepin.net.resp import array

RUN = Run("python -m made.up", (1,), "abc1234", "2026-12-02", True, "3.11.7")
LIMIT = Limit(100.0, "ms/s", "made up")
LOADS = {Condition.ORDINARY: Load(50.0), Condition.PEAK: Load(400.0)}
DEMAND = Demand(Aspect.PROCESSOR, "CPU", "made.cpu", LIMIT, LOADS, "a faster one")
ROLE = Role("a role", "a mechanism", (DEMAND,))


def series(sizes: tuple[float, ...], slope: float = 0.5, name: str = "cpu") -> Series:
    return Series(name, "things", "ms/s", tuple(Point(size, slope * size) for size in sizes))


def results(measured: Series) -> dict[str, Result]:
    return {"made": Result("made", RUN, (measured,))}


# --- the page ---


def test_page_matches_kept_results() -> None:
    assert not differs(render(load())), "run python -m benchmarks.capacity"


def test_edited_or_missing_page_differs(tmp_path: Path) -> None:
    edited = tmp_path / "CAPACITY.md"
    edited.write_text(PAGE.read_text() + "1 ms\n")
    assert differs(render(load()), edited)
    assert differs(render(load()), tmp_path / "none.md")


def test_check_fails_with_one_line_and_keeps_page(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(["--check"]) == 0
    monkeypatch.setattr(command, "load", lambda: results(series((10.0, 20.0, 40.0, 80.0))))
    before = PAGE.read_text()
    assert command.main(["--check"]) == command.FAILED
    assert capsys.readouterr().err.count("\n") == 1
    assert PAGE.read_text() == before


@pytest.mark.parametrize(
    "command_line", [["nothing"], ["--fast"], ["--check", "--charts"], ["--check", "start"], ["start", "nothing"]]
)
def test_invalid_arguments_print_one_line(command_line: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(command_line) == command.MISUSED
    captured = capsys.readouterr()
    assert captured.err.startswith("capacity: ") and captured.err.count("\n") == 1
    assert captured.out == ""


def test_slopes_without_results_are_not_measured() -> None:
    text = render({})
    table = text.split("## Slopes")[1].split("##")[0].strip().splitlines()[2:]
    assert len(table) >= len(PARTS)
    assert all("*not measured*" in line for line in table)
    quantities = text.split("## Quantities")[1].split("##")[0].strip().splitlines()[2:]
    exact = sum(len(role.bounds) for role in ROLES)  # bounds are computed from the code and need no result
    assert sum(line.count("*not measured*") == len(Condition) for line in quantities) == len(quantities) - exact


def test_verdict_lists_unmeasured_aspects() -> None:
    text = render(results(series((10.0, 20.0, 40.0, 80.0))), [ROLE])
    row = next(line for line in text.splitlines() if line.startswith("| a role | "))
    cells = [cell.strip() for cell in row.split("|")]
    assert "*holds by \N{MULTIPLICATION SIGN}4.00* (CPU); *not measured*: state, messages, memory, delay" in cells
    assert cells[-2] == "*not measured*"


def test_last_table_sorts_exceeded_limits_by_factor() -> None:
    last = render(load()).split("## What breaks")
    assert len(last) == 2 and "##" not in last[1]
    factors = [
        float(line.split("\N{MULTIPLICATION SIGN}")[1].split("*")[0].replace(",", ""))
        for line in last[1].splitlines()
        if line.startswith("| *breaks")
    ]
    assert factors and factors == sorted(factors, reverse=True)
    assert all(factor >= 1 for factor in factors)


@pytest.mark.parametrize("shared", [True, False])
def test_wall_time_of_shared_machine_is_marked(shared: bool) -> None:
    demand = Demand(
        Aspect.DELAY, "p99", "made.cpu", LIMIT, {Condition.PEAK: Load(400.0)}, "a faster one", wall_time=True
    )
    kept = Result("made", replace(RUN, machine_shared=shared), (series((10.0, 20.0, 40.0, 80.0)),))
    last = render({"made": kept}, [Role("a role", "a mechanism", (demand,))]).split("## What breaks")[1]
    assert "*breaks by \N{MULTIPLICATION SIGN}2.00*" in last
    assert ("on a shared machine" in last) == shared


def test_every_role_has_one_row() -> None:
    table = render({}).split("## Roles")[1].split("## Quantities")[0]
    for role in ROLES:
        assert table.count(f"| {role.name} | ") == 1


def test_page_contains_all_target_labels() -> None:
    text = render({})
    for stated in (*rows(TARGET), *rows(ASSUMPTIONS)):
        assert f"| {stated.label} | " in text


def test_charts_of_page_are_kept_and_drawable(tmp_path: Path) -> None:
    shown = drawable(load())
    assert shown
    assert all((CHARTS / chart.file).exists() for chart in shown)
    draw(load(), tmp_path)
    assert sorted(path.name for path in tmp_path.iterdir()) == sorted(chart.file for chart in shown)


# --- kept results ---


def test_saved_result_loads_unchanged(tmp_path: Path) -> None:
    kept = results(series((10.0, 20.0, 40.0, 80.0)))["made"]
    save(kept, tmp_path)
    assert load(tmp_path) == {"made": kept}


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"part": "made", "run": {}, "series": []}'])
def test_invalid_result_error_names_file(text: str, tmp_path: Path) -> None:
    (tmp_path / "made.json").write_text(text)
    with pytest.raises(ResultError, match=r"made\.json"):
        load(tmp_path)


def test_kept_results_belong_to_parts_and_record_run() -> None:
    for part, result in load().items():
        assert part in PARTS and result.part == part
        assert result.run.command == f"python -m benchmarks.capacity {part}"
        assert result.run.commit and result.run.date


def test_every_demand_series_belongs_to_part() -> None:
    for role in ROLES:
        for demand in role.demands:
            assert demand.series.partition(".")[0] in PARTS


# --- fits ---


def test_linear_fit_recovers_known_slope_and_error() -> None:
    rng = random.Random(1)
    sizes = [100.0, 200.0, 400.0, 800.0, 1600.0]
    points = tuple(Point(size, 7.0 + 0.25 * size + rng.gauss(0.0, 3.0)) for size in sizes for _ in range(200))
    fitted = fit(Series("made", "things", "ms", points))
    expected = 3.0 / math.sqrt(200 * sum((size - 620.0) ** 2 for size in sizes))
    assert fitted.slope.error == pytest.approx(expected, rel=0.1)
    assert abs(fitted.slope.value - 0.25) < 3 * expected
    at = fitted.at(2300.0)
    assert abs(at.value - (7.0 + 0.25 * 2300.0)) < 3 * at.error
    assert at.error > fitted.at(620.0).error


def test_logarithmic_fit_recovers_known_slope() -> None:
    points = tuple(Point(size, 1.0 + 0.5 * math.log2(size)) for size in (10.0, 20.0, 40.0, 80.0))
    fitted = fit(Series("made", "things", "s", points), Model.LOGARITHMIC)
    assert fitted.slope.value == pytest.approx(0.5)
    assert fitted.at(2300.0).value == pytest.approx(1.0 + 0.5 * math.log2(2300.0))


def test_better_model_has_smaller_residual() -> None:
    sizes = (10.0, 20.0, 40.0, 80.0)
    line = Series("made", "things", "s", tuple(Point(size, 3.0 + 2.0 * size) for size in sizes))
    curve = Series("made", "things", "s", tuple(Point(size, 3.0 + 2.0 * math.log2(size)) for size in sizes))
    assert fit(line, Model.BETTER).model is Model.LINEAR
    assert fit(curve, Model.BETTER).model is Model.LOGARITHMIC


def test_addends_are_fitted_separately() -> None:
    sizes = (10.0, 20.0, 40.0, 80.0)
    flat = Series("flat", "things", "ms/s", tuple(Point(size, 1.0 + math.log2(size)) for size in sizes))
    demand = replace(DEMAND, model=Model.BETTER, addends=("made.flat",), loads={Condition.PEAK: Load(1024.0)})
    role = Role("a role", "a mechanism", (demand,))
    (assessed,) = assess(role, {"made": Result("made", RUN, (series(sizes), flat))})
    estimate = assessed.cells[Condition.PEAK].estimate
    assert estimate is not None and estimate.value == pytest.approx(0.5 * 1024 + 11.0)
    (without,) = assess(role, results(series(sizes)))
    assert not without.measured


@pytest.mark.parametrize(
    "sizes", [(10.0, 20.0, 80.0), (10.0, 10.0, 40.0, 80.0), (10.0, 20.0, 40.0, 79.0), (0.0, 1, 2, 8)]
)
def test_too_few_or_too_close_sizes_have_no_slope(sizes: tuple[float, ...]) -> None:
    with pytest.raises(TooFewSizesError):
        fit(series(sizes))
    (assessed,) = assess(ROLE, results(series(sizes)))
    assert not assessed.measured and assessed.slopes[0].fit_error
    text = render(results(series(sizes)), [ROLE])
    assert assessed.slopes[0].fit_error in text
    assert "holds by" not in text


# --- verdicts ---


def test_verdict_factor_is_ratio_to_limit() -> None:
    holds, breaks = judge(Estimate(25.0, 1.0), 100.0), judge(Estimate(400.0, 1.0), 100.0)
    assert (holds.verdict, holds.factor, holds.load) == (Verdict.HOLDS, 4.0, 0.25)
    assert (breaks.verdict, breaks.factor, breaks.load) == (Verdict.BREAKS, 4.0, 4.0)
    assert judge(Estimate(100.0, 0.0), 100.0).verdict is Verdict.HOLDS
    for value in (98.5, 101.0):
        assert judge(Estimate(value, 2.0), 100.0) is UNDECIDED
    assert str(UNDECIDED).startswith("*not measured*")
    assert judge(Estimate(-1.0, 2.0), 100.0) is NOT_MEASURED


def test_worst_quantity_determines_verdict() -> None:
    first, second = (
        replace(DEMAND, quantity=name, limit=Limit(most, "B", "-")) for name, most in (("a", 50.0), ("b", 20.0))
    )
    text = render(results(series((10.0, 20.0, 40.0, 80.0))), [Role("a role", "a mechanism", (first, second))])
    row = next(line for line in text.splitlines() if line.startswith("| a role | "))
    assert "*breaks by \N{MULTIPLICATION SIGN}1.25* (b)" in row
    assert "*breaks by \N{MULTIPLICATION SIGN}10.0* (b)" in row


def test_conditions_use_separate_loads() -> None:
    (assessed,) = assess(ROLE, results(series((10.0, 20.0, 40.0, 80.0))))
    assert assessed.cells[Condition.ORDINARY].judgement.factor == pytest.approx(4.0)
    assert assessed.cells[Condition.PEAK].judgement.verdict is Verdict.BREAKS
    assert assessed.cells[Condition.PEAK].judgement.factor == pytest.approx(2.0)
    assert assessed.cells[Condition.BAD].judgement is NOT_MEASURED
    assert assessed.when == [Condition.PEAK]


def test_bound_has_verdict_without_measurement() -> None:
    bound = Bound(Aspect.STATE, "names", 300.0, Limit(100.0, "names", "made up"), "more room")
    (assessed,) = assess(Role("a role", "a mechanism", bounds=(bound,)), {})
    assert all(cell.judgement.factor == 3.0 for cell in assessed.cells.values())


# --- parts ---


def test_member_limit_is_read_from_configuration_check() -> None:
    assert max_members() >= 1024


@pytest.mark.parametrize("part", PARTS)
def test_every_part_has_run_function(part: str) -> None:
    assert callable(import_module(f"benchmarks.capacity.measure.{part}").run)


def test_scheduler_times_include_processor_time() -> None:
    before = scheduler_times(os.getpid())
    started = time.process_time()
    while time.process_time() < started + 0.02:
        pass
    assert scheduler_times(os.getpid()).cpu_ms - before.cpu_ms >= 15


def test_generated_settings_are_valid() -> None:
    assert len(parse_settings(settings("tenants", 37)).tenants) == 37
    assert len(parse_settings(settings("classes", 37)).classes) == 37


def test_direct_and_node_connections_parse_answers() -> None:
    async def exchange() -> None:
        server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        direct = DirectConnection(*await asyncio.open_connection(*address))
        through = NodeConnection(*await asyncio.open_connection(*address))
        assert BODY in direct.request("7") and BODY in through.request("7")
        assert direct.answers(line("EXIT", 1, "7", "complete", 200, body=b"done")) == [("7", True)]
        assert through.answers(array(b"7", b"BUSY", b"v=1.0", b"")) == [("7", False)]
        await direct.close()
        await through.close()
        server.close()

    asyncio.run(exchange())


def test_lab_scale_runs_become_series(tmp_path: Path) -> None:
    for members in (100, 200):
        run = {
            "members": members,
            "sent_bytes_per_s": {"mean": 10.0 * members, "p99": 1.0},
            "crash_known_s": {"median": 2.0, "p99": 3.0},
            "memory_mb": 35.0,
            "mode": "simulator",
            "seed": 7,
        }
        lost = {**run, "scenario": "zone-lost", "sent_bytes_per_s": {"mean": 1.0 * members, "p99": 1.0}}
        (tmp_path / f"lost-{members}.json").write_text(json.dumps([lost]))
        (tmp_path / f"{members}.json").write_text(json.dumps(run))
    unfinished = {"members": 400, "scenario": "zone-lost", "unfinished_after_cpu_s": 9}
    (tmp_path / "unfinished.json").write_text(json.dumps([unfinished]))
    measured = member.read(tmp_path)
    assert any("did not end in time: 1 (zone-lost, 400 members" in note for note in measured.notes)
    points = {item.name: item.points for item in measured.series}
    assert points["sent_bytes_per_s"] == (Point(100.0, 1000.0), Point(200.0, 2000.0))
    assert points["crash_known_p99_s"][0] == Point(100.0, 3.0)
    assert points["zone_lost_sent_bytes_per_s"] == (Point(100.0, 100.0), Point(200.0, 200.0))
    assert "memory_bytes" not in points  # memory of the simulator, not of a member
    assert measured.seeds == (7,)


def test_invalid_lab_scale_error_names_file(tmp_path: Path) -> None:
    with pytest.raises(ResultError):
        member.read(tmp_path)
    (tmp_path / "100.json").write_text("{}")
    with pytest.raises(ResultError, match=r"100\.json"):
        member.read(tmp_path)


# --- membership before and after ---


def _keep_run(directory: Path, **raw: object) -> None:
    directory.mkdir()
    run = {"scenario": "churn", "members": 400, "seed": 1, "commit": "abc", "false_deaths": 0, **raw}
    (directory / "scale-simulator-churn.json").write_text(json.dumps([run]))
    (directory / "unfinished-churn.json").write_text("[]")


def test_comparison_has_runs_of_both_mechanisms(tmp_path: Path) -> None:
    before, after = tmp_path / "before", tmp_path / "after"
    _keep_run(before, sent_bytes_per_s={"mean": 4223.4, "p99": 19962.3})
    assert comparison.comparison_rows(before, after) == []
    _keep_run(after, sent_bytes_per_s={"mean": 1234.5, "p99": 2000.0}, false_deaths=2)
    first, second = comparison.comparison_rows(before, after)
    assert (first[:4], first[-2:]) == (["churn", "400", "before", "4,220, 20,000"], ["0", "1, abc"])
    assert (second[:4], second[-2:]) == (["churn", "400", "now", "1,230, 2,000"], ["2.00", "1, abc"])
    assert second[5] == second[7] == "—"


def test_unreadable_run_error_names_file(tmp_path: Path) -> None:
    (tmp_path / "scale-x.json").write_text("{")
    with pytest.raises(ResultError, match=r"^scale-x\.json: "):
        comparison.comparison_rows(tmp_path, tmp_path / "none")
