"""The member table and the membership view: bounded size, retention and replay detection."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutepin.cluster import Record, Status
from chutepin.cluster.member_table import LEFT_RETENTION_S, MemberTable, ReplayWindow
from chutepin.cluster.membership_view import MembershipView
from chutepin.cluster.records import MergeResult

from .cluster_helper import record
from .helper import STEPS


@STEPS
@given(st.lists(st.integers(0, 700), max_size=60))
def test_sequence_number_is_not_accepted_twice(sequences: list[int]) -> None:
    window, accepted = ReplayWindow(), set()
    for number in sequences:
        if window.accept(number):
            assert number not in accepted
            accepted.add(number)
        else:
            assert number in accepted or number <= max(accepted) - 256


def test_table_is_bounded_and_forgets_departed_members_first() -> None:
    table = MemberTable(3, 100.0)
    for number, status in enumerate([Status.ALIVE, Status.DEAD, Status.LEFT]):
        assert table.put(float(number), Record(f"m{number}", "a:1", "r", "z", 1, status, "x")) is MergeResult.ACCEPTED
    digest = table.digest
    assert table.put(5.0, Record("m3", "a:1", "r", "z", 1, Status.ALIVE, "x")) is MergeResult.ACCEPTED
    assert sorted(table.members) == ["m0", "m2", "m3"] and table.digest != digest
    assert table.expired(102.5) == ["m2"] and table.expired(101.0) == []
    table.put(6.0, Record("m4", "a:1", "r", "z", 1, Status.ALIVE, "x"))
    assert (
        table.put(7.0, Record("m5", "a:1", "r", "z", 1, Status.ALIVE, "x")) is MergeResult.REJECTED
        and table.rejected == 1
    )


def test_table_holds_only_recent_names_after_a_day_of_restarts() -> None:
    view = MembershipView(record(0), 8192, 86400.0)
    for number in range(1, 2001):
        view.merge(0.0, record(number), disseminate=False)
    largest = 0
    for number in range(2001, 72001):
        now = (number - 2000) * 86400.0 / 70000
        view.merge(now, record(number))
        view.merge(now, record(number - 2000, 1, Status.LEFT))
        view.pick_updates(600)
        view.events.clear()
        if number % 20 == 0:
            view.expire(now)
            largest = max(largest, len(view.table.members))
    assert view.live_count == 2001 and largest < 2000 + LEFT_RETENTION_S * 70000 / 86400 + 50
    assert len(view.queue) < 50 and view.table.rejected == 0
