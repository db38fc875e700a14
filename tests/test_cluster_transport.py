"""The transport, and validation of announced addresses."""

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
def test_invalid_announced_address_is_rejected_without_lookup(address: str) -> None:
    with pytest.raises(AddressError, match="is not an IP address with a port"):
        parse_address(address)


def test_frame_of_another_version_is_counted_and_dropped(capsys: pytest.CaptureFixture[str]) -> None:
    counters, delivered = Counters(), []
    transport = Transport(
        "fleet",
        Address("127.0.0.1", 7301),
        lambda packet, stream: delivered.append(packet),
        None,  # type: ignore[arg-type]
        counters,
        Log(Clock()),
    )
    frame = encode(gossip_packet(record(3)), FLEET)
    transport._receive(frame[:2] + b"\x01" + frame[3:])
    assert counters.counts["cluster.drop.version"] == 1 and not delivered
    assert "reason=version" in capsys.readouterr().err
    transport._receive(frame)
    assert len(delivered) == 1
