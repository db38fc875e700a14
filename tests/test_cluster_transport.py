"""The transport and the addresses that members announce."""

from __future__ import annotations

import pytest

from chutepin.clock import Clock
from chutepin.cluster.addresses import AddressError, parse_address
from chutepin.cluster.frames import (
    encode,
)
from chutepin.cluster.transport import Transport
from chutepin.config import Address
from chutepin.counters import Counters
from chutepin.logs import Log

from .cluster_helper import FLEET, gossip_packet, record


@pytest.mark.parametrize("address", ["example.org:7301", "127.0.0.1", "127.0.0.1:x", ":7301"])
def test_announced_host_name_is_not_resolved(address: str) -> None:
    with pytest.raises(AddressError, match="is no IP address with a port"):
        parse_address(address)


def test_frames_of_another_version_are_counted_and_dropped(capsys: pytest.CaptureFixture[str]) -> None:
    counters, taken = Counters(), []
    transport = Transport(
        "fleet",
        Address("127.0.0.1", 7301),
        lambda packet, stream: taken.append(packet),
        None,  # type: ignore[arg-type]
        counters,
        Log(Clock()),
    )
    frame = encode(gossip_packet(record(3)), FLEET)
    transport._receive(frame[:2] + b"\x01" + frame[3:])
    assert counters.counts["cluster.drop.version"] == 1 and not taken
    assert "reason=version" in capsys.readouterr().err
    transport._receive(frame)
    assert len(taken) == 1
