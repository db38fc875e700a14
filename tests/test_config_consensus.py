"""Tests the block `agree` of the operator's file."""

from __future__ import annotations

from pathlib import Path

import pytest

from chutepin.config import ConfigError
from chutepin.config.consensus import ConsensusSetup


def test_agree_block_is_validated(tmp_path: Path) -> None:
    from chutepin.config import parse_setup

    cluster = 'cluster { name "f"; region "r"; zone "z"; listen "127.0.0.1:7301"; }\n'
    store = f'store {{ directory "{tmp_path}"; }}\n'
    setup = parse_setup(cluster + store + 'agree { voters "n1" "n2" "n3"; election (ms)500; heartbeat (ms)100; }')
    assert setup.consensus == ConsensusSetup(("n1", "n2", "n3"), 0.5, 0.1)
    for text, why in (
        (store + 'agree { voters "n1"; }', "agree: needs the block cluster as well"),
        (cluster + 'agree { voters "n1"; }', "agree: needs the block store as well"),
        (cluster + store + "agree { election (s)1; }", "agree.voters: missing"),
        (cluster + store + 'agree { voters "n1" "n2"; }', "agree.voters: 1, 3, 5 or 7 members"),
        (cluster + store + 'agree { voters "n1" "n1" "n2"; }', "agree.voters: a member stands there twice"),
        (cluster + store + 'agree { voters "n1"; election (ms)300; }', "agree.heartbeat: more than a third"),
        (cluster + store + 'agree { voters "n~1"; }', "agree.voters: not a member's name"),
    ):
        with pytest.raises(ConfigError, match=why):
            parse_setup(text)
