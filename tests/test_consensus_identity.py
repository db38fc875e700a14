"""The identity under which a store votes."""

from __future__ import annotations

import msgpack
import pytest

from chutepin.consensus.identity import Identity, StoreAcknowledgement, StoreAnnouncement, StoredIdentity, StoreStatus


def test_store_votes_once_all_others_acknowledge_it_and_a_new_store_never_under_its_name() -> None:
    voters = ("n1", "n2", "n3")
    first, other, third = (Identity(name, voters, f"b{name}", None, {}) for name in voters)
    assert first.status.value == "forming" and first.awaited == ("n2", "n3")
    for peer in (other, third):
        answer = peer.acknowledge("n1", StoreAnnouncement("n1", first.store_id))
        assert answer == StoreAcknowledgement("n1", first.store_id)
        assert first.receive_acknowledgement(peer.name, answer) is (peer is third)
    assert first.status is StoreStatus.CONFIRMED and first.identity == "n1"
    again = Identity("n1", voters, "other", None, {})
    answer = other.acknowledge("n1", StoreAnnouncement("n1", again.store_id))
    assert answer is not None and again.receive_acknowledgement("n2", answer)
    assert again.status is StoreStatus.LOST and again.identity == "n1~other"
    assert Identity("n4", voters, "x", None, {}).status is StoreStatus.OBSERVER
    assert other.acknowledge("n2", StoreAnnouncement("n1", "forged")) is None


@pytest.mark.parametrize("status", StoreStatus)
def test_stored_identity_keeps_its_form(status: StoreStatus) -> None:
    """A store that an earlier version wrote must be read as the same node's."""
    stored = StoredIdentity("fleet", "n1", "0123456789ab", status)
    written = msgpack.packb(["fleet", "n1", "0123456789ab", status.value])
    assert stored.pack() == written and StoredIdentity.unpack(written) == stored
