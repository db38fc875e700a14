"""Dissemination: repeats, intervals and the byte budget of gossip."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutepin.cluster import Record, Status
from chutepin.cluster.budget import ByteBudget
from chutepin.cluster.gossip import UpdateQueue, gossip_interval, limits, repeats
from chutepin.cluster.records import ShortRecord, shorten

from .cluster_helper import record
from .helper import STEPS


@STEPS
@given(st.lists(st.integers(0, 5), max_size=60), st.integers(1, 2000))
def test_update_is_sent_a_bounded_number_of_times(order: list[int], room: int) -> None:
    queue, sent = UpdateQueue(), dict.fromkeys(range(6), 0)
    for number in range(6):
        queue.add(Record(f"m{number}", "a:1", "r", "z", 1, Status.ALIVE, "x"))
    for _ in order:
        for update in queue.pick(room, 4):
            assert isinstance(update, Record)
            sent[int(update.name[1:])] += 1
    assert max(sent.values()) <= 4
    assert room < 500 or max(sent.values()) - min(sent.values()) <= 1  # the least-sent update first


def test_gossip_interval_grows_with_members_but_less_for_urgent_updates() -> None:
    for members in (2, 12, 400, 2300, 8192):
        assert 0.1 <= gossip_interval(0.1, members, True) <= gossip_interval(0.1, members, False) <= 2.0
    assert gossip_interval(0.1, 12, False) < 0.11 and gossip_interval(0.1, 2300, True) < 0.4
    assert limits(repeats(2300), 1) == (16, 6) and limits(repeats(2300), 1000) == (2, 2) and limits(8, 5) == (8, 6)


def test_urgent_update_is_sent_more_often() -> None:
    queue = UpdateQueue()
    queue.add(shorten(record(1)), urgent=False)
    queue.add(shorten(record(2)), urgent=True)
    sent = [update.name for _ in range(20) for update in queue.pick(1000, 8, 3) if isinstance(update, ShortRecord)]
    assert (sent.count("n1"), sent.count("n2"), len(queue), queue.urgent) == (3, 8, 0, 0)


@STEPS
@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 3000)), max_size=40))
def test_budget_is_never_overdrawn_by_more_than_one_message(steps: list[tuple[float, int]]) -> None:
    budget, now, spent = ByteBudget(0.0, 1000.0, 2.0), 0.0, 0
    for wait, size in steps:
        now += wait
        if budget.available(now) > 0:
            budget.spend(now, size)
            spent += size
        assert spent <= 2000 + 1000 * now + 3000
