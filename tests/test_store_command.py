"""The `store` sub-commands, and a node with a configured store."""

from __future__ import annotations

import json
import math
import os
import subprocess
import sys
from pathlib import Path

from chutepin.store import Store
from chutepin.testbench.standins.platform import EXAMPLE, Standins

from .helper import ROOT
from .test_node import on_sockets
from .test_setup import chutepin


def test_commands_check_show_compact_and_repair(tmp_path: Path) -> None:
    old, new = tmp_path / "old", tmp_path / "new"
    with Store.open(old, segment_bytes=4096, max_bytes=2**18) as store:
        for index in range(200):
            store.put(b"k%d" % (index % 40), b"%d" % index * 20, math.inf)
        store.put(b"\xff", b"text", 4e9)
    check_result = chutepin("store", "check", str(old))
    assert check_result.returncode == 0 and json.loads(check_result.stdout)["sound"]
    assert json.loads(chutepin("store", "stat", str(old)).stdout)["keys"] == 41
    rows = [json.loads(row) for row in chutepin("store", "dump", str(old)).stdout.splitlines()]
    assert len(rows) == 41 and rows[-1] | {"seq": 0} == {
        "seq": 0,
        "kind": "put",
        "key": "0xff",
        "expires": 4e9,
        "bytes": 4,
        "value": "text",
    }
    compacted = json.loads(chutepin("store", "compact", str(old)).stdout)
    assert compacted["keys"] == 41 and compacted["disk_bytes"] < compacted["disk_bytes_before"]
    segment = next(path for path in sorted(old.glob("*.seg")) if path.read_bytes()[64:].strip(b"\0"))
    data = bytearray(segment.read_bytes())
    data[100] ^= 1
    segment.write_bytes(data)
    check_result = chutepin("store", "check", str(old))
    assert check_result.returncode == 1 and json.loads(check_result.stdout)["findings"][0]["file"] == segment.name
    repaired = chutepin("store", "repair", str(old), str(new), "--yes")
    assert repaired.returncode == 1 and json.loads(repaired.stdout)["kept"] == 40
    with Store.open(new) as store:
        assert len(store) == 40
    for arguments in (["stat", str(tmp_path)], ["compact", str(tmp_path)]):
        result = chutepin("store", *arguments)
        assert (
            result.returncode == 2 and "no store in this directory" in result.stderr and result.stderr.count("\n") == 1
        )


def test_node_opens_configured_store_and_refuses_damaged_one(tmp_path: Path) -> None:
    setup = tmp_path / "node.kdl"
    setup.write_text(f'store {{ directory "{tmp_path}/store"; segment (KiB)64; max (MiB)1 }}')

    async def test(world: Standins, stack: object) -> None:
        await world.start(stack, "node", "--setup", str(setup))  # type: ignore[arg-type]
        assert chutepin("store", "check", f"{tmp_path}/store").returncode == 3
        log = await world.leave()
        assert "store.segments=2" in log and "store.keys=0" in log

    on_sockets(test)
    (tmp_path / "store" / "MANIFEST").write_bytes(b"")
    config = tmp_path / "config.json"
    config.write_text(json.dumps(EXAMPLE))
    result = subprocess.run(
        [sys.executable, "-m", "chutepin", "node", "--setup", str(setup)],
        cwd=ROOT,
        text=True,
        env={**os.environ, "LB_CONFIG": str(config)},
        capture_output=True,
        check=False,
    )
    assert (
        result.returncode == 2
        and result.stderr.startswith("chutepin: store.directory: ")
        and "MANIFEST" in result.stderr
    )
    assert result.stderr.count("\n") == 1
