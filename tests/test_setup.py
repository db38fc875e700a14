"""Tests the operator's file, the command line and the demo."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from chutepin.config import ConfigError, LogSetup, StoreSetup, load_setup, parse_setup
from chutepin.logs import LogFormat

from .helper import ROOT


def chutepin(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "chutepin", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )


def test_quantities_are_converted_to_base_units() -> None:
    setup = parse_setup(
        'store { directory "d"; segment (KiB)512; max (GiB)0.5; sync-every (s)0.25 }\nlog { format "json" }'
    )
    assert setup.store == StoreSetup("d", 2**19, 2**29, 16 * 2**20, 0.25)
    assert setup.log == LogSetup(LogFormat.JSON)


def test_example_file_is_valid_with_and_without_store() -> None:
    text = (ROOT / "deploy" / "node.kdl").read_text()
    assert parse_setup(text).store is None
    assert parse_setup(text.replace("/-store", "store")).store == StoreSetup("/var/lib/chutepin/store")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("store { directory 5 }", "store.directory: missing or not a text"),
        ("store { segment (MiB)1 }", "store.directory: missing"),
        ('store { directory "d"; segment 8 }', "store.segment: 8 states no unit; write (B)8 or another of B, KiB"),
        ('store { directory "d"; segment (ms)8 }', "store.segment: unknown unit ms; known are B, KiB, MiB, GiB"),
        ('store { directory "d"; sync-every (s)61 }', "store.sync-every: (s)61 is out of range"),
        ('store { directory "d"; sync-every (s)"1" }', "store.sync-every: not a number"),
        ('store { directory "d"; sync-every (ms)#true }', "store.sync-every: not a number"),
        ('store { directory "d"; max (MiB)32 }', "store.max: less than 8 times store.segment"),
        ('store { directory "d"; directory "e" }', "store.directory: given twice"),
        ('store { directory "d" "e" }', "store.directory: takes one value"),
        ('store "d"', "store: takes a block in braces"),
        ("log {}\nlog {}", "log: given twice"),
        ('log { format "xml" }', "log.format: not one of plain, json"),
        ('log { colour "red" }', "log.colour: unknown; known are format"),
        ("stor {}", "stor: unknown block; known are log, store"),
        ("store {", "not KDL: "),
    ],
)
def test_error_is_one_line_with_file_and_field(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "node.kdl"
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_setup(str(path))
    assert str(error.value).startswith(f"{path}: {message}") and "\n" not in str(error.value)


def test_node_exits_with_code_2_and_one_line_for_invalid_file(tmp_path: Path) -> None:
    path = tmp_path / "bad.kdl"
    path.write_text("log { format 5 }")
    for arguments in (["node", "--setup", str(path)], ["--setup", str(path)]):  # `node` is the default command
        done = subprocess.run(
            [sys.executable, "-m", "chutepin", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={"LB_CONFIG": str(ROOT / "deploy" / "example.json")},
            check=False,
        )
        assert done.returncode == 2 and done.stderr == f"chutepin: {path}: log.format: not one of plain, json\n"


def test_unknown_command_or_option_is_usage_error() -> None:
    assert chutepin("nodes").returncode == chutepin("node", "--hurry").returncode == 2
    done = chutepin("--help")
    assert done.returncode == 0 and all(name in done.stdout for name in ("node", "demo"))


def test_node_imports_no_tool_libraries() -> None:
    code = (
        "import sys; import chutepin.node, chutepin.serve; "
        "from chutepin.clock import Clock; from chutepin.logs import Log; Log(Clock())\n"
        "print(sorted({'click', 'rich', 'ckdl', 'google_crc32c', 'pamqp', 'dpkt'} & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


def test_demo_serves_each_request_once() -> None:
    done = chutepin("demo", "--seconds", "1", "--json")
    assert done.returncode == 0, done.stderr
    tally = json.loads(done.stdout)
    assert tally["sound"] and set(tally["classes"]) <= {"status-read", "position-push", "work-order"}
    assert sum(cls["served"] for cls in tally["classes"].values()) >= 10


def test_node_without_cluster_block_imports_no_cluster_modules() -> None:
    code = (
        "import sys; import chutepin.serve; from chutepin.config import parse_setup; parse_setup('log {}'); "
        "print([name for name in sys.modules if 'cluster' in name or 'consensus' in name or name == 'msgpack'])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


def test_cluster_block_of_example_file_is_valid() -> None:
    text = (ROOT / "deploy" / "node.kdl").read_text()
    assert parse_setup(text).cluster is None
    cluster = parse_setup(text.replace("/-cluster", "cluster")).cluster
    assert cluster is not None and cluster.probe_every == 0.5 and len(cluster.seeds) == 2
