"""Records: precedence between two records, and expansion of short records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutepin.cluster import Record, Status
from chutepin.cluster.frames import (
    encode,
)
from chutepin.cluster.messages import (
    Gossip,
    Packet,
)
from chutepin.cluster.records import MergeResult, compare_records, expand, shorten

from .cluster_helper import FLEET, gossip_packet, make_detector, record
from .helper import STEPS

RECORDS = st.builds(
    Record,
    st.just("x"),
    st.sampled_from(["a:1", "b:1"]),
    st.just("r"),
    st.just("z"),
    st.integers(0, 3),
    st.sampled_from(Status),
    st.just("x"),
)


@STEPS
@given(RECORDS, RECORDS)
def test_at_most_one_of_two_records_takes_precedence(a: Record, b: Record) -> None:
    assert (compare_records(a, b), compare_records(b, a)) != (MergeResult.ACCEPTED, MergeResult.ACCEPTED)
    if a.address == b.address:
        newer = max(a, b, key=lambda record: (record.incarnation, record.status))
        older = a if newer is b else b
        same = (a.incarnation, a.status) == (b.incarnation, b.status)
        assert compare_records(newer, older) is (MergeResult.UNCHANGED if same else MergeResult.ACCEPTED)
    elif a.live and b.live:  # two processes of one name: the one with the lower incarnation holds it
        assert (compare_records(a, b) is MergeResult.ACCEPTED) == (a.incarnation < b.incarnation)


def test_short_record_expands_only_at_same_location() -> None:
    new = record(7, 5, Status.LEFT)
    assert expand(shorten(new), record(7)) == new
    assert expand(shorten(new), record(7, zone="b")) is None
    assert len(encode(gossip_packet(shorten(new)), FLEET)) + 15 < len(encode(gossip_packet(new), FLEET))


def test_short_update_of_unknown_or_moved_member_is_ignored() -> None:
    member = make_detector(2, 1, 3)
    for number, update in enumerate((record(9), record(3, 8, zone="b"))):
        member.receive(1.0, Packet("n2", shorten(record(1)), 1, number, 0, Gossip(), (shorten(update),)))
    assert "n9" not in member.view.table.members and member.view.table.members["n3"].record == record(3)
    assert member.view.counts["unknown_updates"] == 2
    member.receive(1.0, Packet("n2", shorten(record(8)), 1, 2, 0, Gossip()))
    assert member.view.counts["drop.unknown"] == 1
