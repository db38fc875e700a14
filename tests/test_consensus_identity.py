"""The identity of a node and the acknowledgement of its store by the other voters."""

from __future__ import annotations

import msgpack
import pytest

from chutepin.consensus.identity import Identity, StoreAcknowledgement, StoreAnnouncement, StoredIdentity, StoreStatus


def test_store_is_confirmed_by_all_other_voters_and_a_replacement_store_is_lost() -> None:
    voters = ("n1", "n2", "n3")
    store_owner, other, last_voter = (Identity(name, voters, f"b{name}", None, {}) for name in voters)
    assert store_owner.status.value == "forming" and store_owner.awaited == ("n2", "n3")
    for peer in (other, last_voter):
        answer = peer.acknowledge("n1", StoreAnnouncement("n1", store_owner.store_id))
        assert answer == StoreAcknowledgement("n1", store_owner.store_id)
        assert store_owner.receive_acknowledgement(peer.name, answer) is (peer is last_voter)
    assert store_owner.status is StoreStatus.CONFIRMED and store_owner.identity == "n1"
    replacement = Identity("n1", voters, "other", None, {})
    answer = other.acknowledge("n1", StoreAnnouncement("n1", replacement.store_id))
    assert answer is not None and replacement.receive_acknowledgement("n2", answer)
    assert replacement.status is StoreStatus.LOST and replacement.identity == "n1~other"
    assert Identity("n4", voters, "x", None, {}).status is StoreStatus.OBSERVER
    assert other.acknowledge("n2", StoreAnnouncement("n1", "forged")) is None


@pytest.mark.parametrize("status", StoreStatus)
def test_stored_identity_keeps_its_format(status: StoreStatus) -> None:
    """A store written by an earlier version of the program must yield the same identity."""
    stored = StoredIdentity("fleet", "n1", "0123456789ab", status)
    written = msgpack.packb(["fleet", "n1", "0123456789ab", status.value])
    assert stored.pack() == written and StoredIdentity.unpack(written) == stored
