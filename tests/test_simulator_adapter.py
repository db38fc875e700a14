"""Simulator adapter: replies on standard output only, and one error line for malformed input."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from chutepin import decision
from chutepin.decision import simulator_protocol as wire
from chutepin.decision.simulator_adapter import Host

ENV: dict[str, Any] = {
    "categories": [{"name": "view", "deadline": 2.0, "slo": 0.5, "idempotency": "pure", "importance": 1.0}],
    "familyInfo": {"cpus": 2, "memoryKb": 9000.0},
}


def launch(env: Any) -> str:
    return json.dumps({"op": "LAUNCH", "server": "server_1", "nonce64": 1, "env": env})


def batch(*lines: str, clock: float = 1.0) -> str:
    return "\n".join([json.dumps({"op": "TURN", "clock": clock}), *lines, '{"op":"END"}', ""])


def run(text: str) -> list[dict[str, Any]]:
    sink = io.StringIO()
    Host().run(io.StringIO(text), sink)
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def test_empty_batch_is_acknowledged() -> None:
    assert run(batch()) == [{"op": "OK"}]


def test_request_runs_with_only_required_settings() -> None:
    order = json.dumps({"op": "ORDER", "server": "server_1", "tid": "a", "band": "view", "later": [1]})
    ops = [m["op"] for m in run(batch(launch(ENV | {"unheard": 1})) + batch(order, clock=1.1))]
    assert "PROCESS" in ops and "ANNOUNCE" not in ops and ops.count("OK") == 2


def test_restarted_instance_has_no_requests_of_the_previous_one() -> None:
    order = json.dumps({"op": "ORDER", "server": "server_1", "tid": "a", "band": "view"})
    text = batch(launch(ENV)) + batch(order, clock=1.1)
    text += batch('{"op":"EXIT","server":"server_1"}', launch(ENV), clock=1.2)
    host = Host()
    host.run(io.StringIO(text), io.StringIO())
    assert host.instances["server_1"].snapshot().running == 0


BAD = {
    "not json": "{",
    "not an object": "[1]",
    "outside a batch": '{"op":"END"}',
    "unknown event": batch(launch(ENV), '{"op":"NEW","server":"server_1"}'),
    "no such instance": batch('{"op":"DUE","server":"server_9","nonce":1}'),
    "no settings": batch('{"op":"LAUNCH","server":"server_1","nonce64":1}'),
    "no cores": batch(launch(ENV | {"familyInfo": {"memoryKb": 10.0}})),
    "zero cores": batch(launch(ENV | {"familyInfo": {"cpus": 0, "memoryKb": 10.0}})),
    "negative time": batch(launch(ENV | {"safety": {"drainGrace": -1}})),
    "unknown kind": batch(launch(ENV | {"categories": [ENV["categories"][0] | {"idempotency": "maybe"}]})),
    "unknown class": batch(launch(ENV), '{"op":"ORDER","server":"server_1","tid":"a","band":"x"}'),
    "backwards": batch(launch(ENV)) + batch('{"op":"DUE","server":"server_1","nonce":1}', clock=0.5),
    "cut short": '{"op":"TURN","clock":1}\n',
    "twice": batch(launch(ENV), *['{"op":"ORDER","server":"server_1","tid":"a","band":"view"}'] * 2),
}


@pytest.mark.parametrize("name", BAD)
def test_malformed_input_raises_an_error_that_names_the_line(name: str) -> None:
    with pytest.raises(wire.WireError, match=r"line \d+|input ends"):
        run(BAD[name])


def test_process_reports_malformed_input_on_standard_error_and_exits_with_2() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "chutepin.decision.simulator_adapter"],
        input=batch() + "{\n",
        text=True,
        capture_output=True,
        cwd=Path(__file__).parent.parent,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stdout == '{"op":"OK"}\n'
    assert completed.stderr.startswith("chutepin: line 3:") and completed.stderr.count("\n") == 1


def test_every_action_has_its_own_message() -> None:
    actions: list[decision.Action] = [
        decision.Run("a"),
        decision.Stop("a"),
        decision.Reject("a", 0.5, True),
        decision.Fail("a"),
        decision.Call("a", 1.0),
        decision.SkipCall("a"),
        decision.KeepKey("a", 1.0),
        decision.ForgetKey("a"),
        decision.ShareResult("a"),
        decision.SetHealth(True),
        decision.Announce(0.5),
        decision.IdleTimeout(1.0),
        decision.SetTimer(1, 0.1),
        decision.Log("x"),
    ]
    ops = {json.loads(wire.format_action(action, "server_1"))["op"] for action in actions}
    assert len(ops) == len(actions)
    rejection = json.loads(wire.format_action(actions[2], "server_1"))
    assert rejection == {"op": "NOT_NOW", "tid": "a", "holdOff": 0.5, "terminal": True, "server": "server_1"}


def test_retry_mark_and_its_setting_are_parsed() -> None:
    env = ENV | {"clientHabits": {"marksRetry": True}}
    assert wire.parse_settings(env).marks_retries and not wire.parse_settings(ENV).marks_retries
    order = {"op": "ORDER", "server": "server_1", "tid": "a", "band": "view"}
    for attrs, is_retry in ((0, False), (2, True), (7, True), (5, False)):
        event = wire.parse_event(order | {"attrs": attrs})
        assert isinstance(event, decision.Request) and event.is_retry is is_retry and event.due is None
