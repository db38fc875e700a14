"""Tests that operators' names stay: settings of their file, commands, options and commands on their socket."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import re
import runpy
import sys
from pathlib import Path
from typing import Any

import pytest

from chutepin.config import load_setup
from chutepin.testbench.standins.platform import free_port

from .data.make_platform_bytes import World, run_program

DATA = Path(__file__).parent / "data"
COMMANDS: dict[str, dict[str, list[str]]] = json.loads((DATA / "commands.json").read_text())
SETTINGS = {
    "log": "format",
    "store": "directory, segment, max, memory, sync-every",
    "admission": "per-address, per-block, block-v4, block-v6, rate-address, burst-address, rate-block, burst-block, "
    "new-share, reserve, known, relays, earn-requests, earn-over, earned-age, remembered",
    "cluster": "name, region, zone, listen, seeds, reach, probe-every, probe-timeout, helpers, gossip-every, "
    "gossip-to, suspect-least, suspect-most, alone, link-every, sync-every, join-every, remember, members",
    "agree": "voters, election, heartbeat, log",
}
# In the order of the file. The values are distinct, so that a swap of two settings is detected.
VALUES: list[Any] = [
    *("json", "every-setting", 128 * 2**10, 3 * 2**20, 5 * 2**20, 0.007),
    *(11, 12, 23, 56, 13.5, 14, 2.0, 15, 0.5, 0.25, ("10.1.0.0/16", "2001:db8::/32"), ("10.2.0.1/32",)),
    *(16, 120.0, 10800.0, 17),
    *("spare", "east", "e1", "127.0.0.1", 7301),
    *((("two", "127.0.0.1:7302"), ("three", "127.0.0.1:7303")), (("four", "127.0.0.1:7304"),)),
    *(0.64, 0.21, 4, 0.13, 5, 1.75, 8, 18.0, 2.5, 9.0, 1.5, 68400.0, 20),
    *(("n1", "n2", "n3"), 2.25, 0.31, 256 * 2**10),
]


def flatten(value: Any) -> list[Any]:
    """Return the values of a setup in field order, independent of the field names."""
    if dataclasses.is_dataclass(value):
        return [part for field in dataclasses.fields(value) for part in flatten(getattr(value, field.name))]
    return [getattr(value, "value", value)]


def test_each_setting_is_parsed_to_its_documented_value() -> None:
    found = flatten(load_setup(str(DATA / "every_setting.kdl")))
    assert [x if not isinstance(x, float) else pytest.approx(x) for x in VALUES] == found


def test_sample_file_contains_exactly_the_known_settings(tmp_path: Path) -> None:
    source = (DATA / "every_setting.kdl").read_text()
    for block, names in SETTINGS.items():
        inside = re.findall(rf"(?ms)^{block} \{{\n(.*?)^\}}", source)[0]
        assert re.findall(r"(?m)^    (\S+)", inside) == names.split(", ")
        path = tmp_path / f"{block}.kdl"
        path.write_text(f"{block} {{ nonsense 1; }}")
        with pytest.raises(ValueError) as error:
            load_setup(str(path))
        assert str(error.value) == f"{path}: {block}.nonsense: unknown; known are {names}"
    path.write_text("nonsense { }")
    with pytest.raises(ValueError) as error:
        load_setup(str(path))
    assert str(error.value) == f"{path}: nonsense: unknown block; known are {', '.join(SETTINGS)}"


@pytest.mark.parametrize("path", list(COMMANDS))
def test_command_and_options_keep_their_names(
    path: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["chutepin", *path.split(), "--help"])
    monkeypatch.setenv("COLUMNS", "200")
    with pytest.raises(SystemExit) as end:
        runpy.run_module("chutepin", run_name="__main__", alter_sys=False)
    output = capsys.readouterr().out
    assert end.value.code == 0 and output.startswith(f"Usage: chutepin{' ' if path else ''}{path}")
    shown = set(re.findall(r"(?<![\w-])--?[a-z][\w-]*", re.sub(r"(?s)^.*?\nOptions:", "", output)))
    assert set(COMMANDS[path]["options"]) <= shown and "--help" in shown
    listed = re.findall(r"(?m)^  (\S+)", output.partition("\nCommands:")[2])
    assert sorted(listed) == COMMANDS[path]["commands"]


def test_help_option_works_in_subprocess() -> None:
    for arguments in (["--help"], ["agree", "voters", "add", "--help"]):
        code, output, errors = asyncio.run(run_program({}, *arguments))
        assert code == 0 and output.startswith("Usage: chutepin") and not errors


ID = "00112233445566778899aabbccddeeff"
BASIC = ("ready", "show-stat", "drain", "resume")
CLUSTER = ("members", "links", "changes", "view")
AGREE = (
    *("agree", "agree-set", "agree-get", "agree-ask", "agree-void"),
    *("agree-add", "agree-remove", "agree-transfer", "agree-snapshot"),
)
COMMAND_ANSWERS = {  # maps a command to the beginning of the answer of a single voter
    "ready": "SUCCESS yes, ",
    "show-stat": "SUCCESS\n",
    "drain": "SUCCESS drained: ",
    "resume": "SUCCESS serving\n",
    "members": "SUCCESS total 1 alive 1\nn1 alive ",
    "links": "SUCCESS\nEOT\n",
    "changes": "SUCCESS\n",
    "view": "SUCCESS cluster spare member n1\nisolated ",
    "agree": "SUCCESS\nidentity n1",
    f"agree-set colour blue {ID}": "SUCCESS agreed ",
    "agree-set shape round": "SUCCESS agreed ",
    "agree-get colour": "SUCCESS upto ",
    f"agree-ask {ID}": "SUCCESS agreed ",
    f"agree-void {ID[::-1]}": "FAILURE refused ",
    "agree-add nobody": "FAILURE ",
    "agree-remove nobody": "FAILURE ",
    "agree-transfer nobody": "FAILURE ",
    "agree-snapshot": "SUCCESS upto ",
}
UNKNOWN_COMMAND_ANSWER = f"FAILURE no such call; there are {', '.join((*BASIC, *CLUSTER, *AGREE))}\n"


def test_each_command_on_operators_socket_keeps_its_name(tmp_path: Path) -> None:
    async def run() -> dict[str, str]:
        world = World()
        world.name = "n1"
        setup = tmp_path / "node.kdl"
        world.arguments = ("node", "--setup", str(setup))
        port = await free_port()
        setup.write_text(
            f'cluster {{ name "spare"; region "east"; zone "e1"; listen "127.0.0.1:{port}"; }}\n'
            f'store {{ directory "{tmp_path / "store"}"; }}\n'
            'agree { voters "n1"; election (ms)300; heartbeat (ms)50; }\n'
        )
        async with world.running(), asyncio.timeout(60):
            while not (await world.ask("ready")).startswith("SUCCESS"):
                await asyncio.sleep(0.02)
            while "role leader" not in await world.ask("agree"):
                await asyncio.sleep(0.02)
            answers = {call: await world.ask(call) for call in COMMAND_ANSWERS}
            return answers | {"nonsense": await world.ask("nonsense")}

    answers = asyncio.run(run())
    assert answers.pop("nonsense") == UNKNOWN_COMMAND_ANSWER
    assert {call.split()[0] for call in COMMAND_ANSWERS} == {*BASIC, *CLUSTER, *AGREE}
    for call, beginning in COMMAND_ANSWERS.items():
        assert answers[call].startswith(beginning), (call, answers[call])


def test_commands_of_disabled_subsystems_report_that_they_are_off() -> None:
    async def run() -> dict[str, str]:
        async with World().running() as world:
            return {call: await world.ask(call) for call in (*CLUSTER, *AGREE)}

    answers = asyncio.run(run())
    assert answers == dict.fromkeys(CLUSTER, "FAILURE no cluster\n") | dict.fromkeys(
        AGREE, "FAILURE no log in common\n"
    )
