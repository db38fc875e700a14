"""The block `cluster` of the operator's file."""

from __future__ import annotations

from pathlib import Path

import pytest

from chutepin.config import ConfigError, load_setup

BLOCK = 'cluster { name "f"; region "r"; zone "a"; listen "127.0.0.1:7301"; %s }'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('cluster { name "f" }', "cluster.region: missing"),
        (BLOCK % 'seeds "n1"', "cluster.seeds: n1 is not of the form member=host:port"),
        (BLOCK % 'seeds "n1=elsewhere:1"', "cluster.seeds: elsewhere is not an IP address"),
        (BLOCK % 'seeds "n1=127.0.0.1:1" "n1=127.0.0.1:2"', "cluster.seeds: a member stands there twice"),
        (BLOCK % "probe-every 5", "cluster.probe-every: 5 states no unit"),
        (BLOCK % "probe-timeout (ms)400", "cluster.probe-timeout: more than half of cluster.probe-every"),
        (BLOCK % 'zone "b"', "cluster.zone: given twice"),
        (BLOCK % 'colour "red"', "cluster.colour: unknown; known are name"),
        (BLOCK.replace('"a"', '"a b"') % "", "cluster.zone: not a word"),
        (BLOCK.replace("127.0.0.1", "0.0.0.0") % "", "cluster.listen: 0.0.0.0 is no address that others could dial"),
    ],
)
def test_invalid_cluster_block_raises_one_line_error(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "node.kdl"
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_setup(str(path))
    assert str(error.value).startswith(f"{path}: {message}") and "\n" not in str(error.value)
