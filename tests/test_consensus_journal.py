"""The journal: recovery after a crash, and detection of damage."""

from __future__ import annotations

import random
from dataclasses import replace

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.consensus import Entry, EntryKind, Membership, Persist, PersistentState, Snapshot
from chutepin.consensus.errors import JournalError
from chutepin.consensus.journal import Journal, entry_key
from chutepin.testbench.simulators.consensus_hosts import Disk

from .helper import STEPS


def entry(index: int, term: int, data: bytes = b"x") -> Entry:
    return Entry(index, term, EntryKind.PROPOSAL, data)


@STEPS
@given(st.randoms(use_true_random=False), st.integers(0, 2**32))
def test_journal_recovers_acknowledged_changes_and_a_prefix_of_the_rest_after_a_crash(
    random_source: random.Random, seed: int
) -> None:
    rng = random.Random(seed)
    disk, journal, model = Disk(), Journal(), PersistentState()
    for _ in range(rng.randrange(1, 25)):
        change = random_change(rng, model)
        disk.write(journal.write(change))
        after = replace(model, entries=model.entries[:])
        after.persist(change)
        if rng.random() < 0.3:
            disk.crash(rng)
            loaded, rest = Journal().load(disk.get)
            check_recovered(loaded, model, after)
            journal, model = Journal(), loaded
            journal.load(disk.get)
            disk.write(rest)
            model = replace(loaded, entries=loaded.entries[:])
        else:
            model = after
        disk.sync(len(disk.pending))
        loaded, _ = Journal().load(disk.get)
        extra_entries = loaded.base_index - model.base_index  # the entry at the base is kept for its term only
        assert 0 <= extra_entries <= 1
        assert (loaded.term, loaded.voted_for, loaded.entries) == (
            model.term,
            model.voted_for,
            model.entries[extra_entries:],
        )
    kept = {key for key in disk.durable if key.startswith(b"agree/entry/")}
    assert len(kept) <= len(model.entries) + 1


def random_change(rng: random.Random, model: PersistentState) -> Persist:
    last = model.base_index + len(model.entries)
    term = model.term + (rng.random() < 0.4)
    kind = rng.random()
    known = max(model.base_index, model.snapshot.up_to_index if model.snapshot is not None else 0)
    if kind < 0.2 and last > known:  # take a snapshot and truncate the log
        up_to_index = rng.randint(known + 1, last)
        snapshot_term = model.entries[up_to_index - model.base_index - 1].term
        base_index = rng.randint(model.base_index, up_to_index)
        snapshot = Snapshot(up_to_index, snapshot_term, Membership(("n1",)), rng.randbytes(rng.choice((0, 10, 40_000))))
        return Persist(model.term, model.voted_for, 0, (), snapshot, base_index)
    if kind < 0.3:  # install a leader's snapshot
        snapshot = Snapshot(last + rng.randint(1, 5), term, Membership(("n1",)), rng.randbytes(10))
        return Persist(term, "", 0, (), snapshot, snapshot.up_to_index, True)
    first = rng.randint(known + 1, last + 1)
    term = model.term + 1 if first <= last else term  # replaced entries are of an earlier term
    return Persist(
        term, rng.choice(("", "n2")), first, tuple(entry(first + number, term) for number in range(rng.randint(0, 4)))
    )


def check_recovered(loaded: PersistentState, before: PersistentState, after: PersistentState) -> None:
    """Check that acknowledged entries are recovered, except those that the interrupted write replaces."""
    assert (loaded.term, loaded.voted_for) in ((before.term, before.voted_for), (after.term, after.voted_for))
    new = {(stored.index, stored.term) for stored in after.entries}
    old = {(stored.index, stored.term): stored for stored in before.entries}
    covered = loaded.snapshot.up_to_index if loaded.snapshot is not None else 0
    have = {(stored.index, stored.term) for stored in loaded.entries}
    for key in old:
        assert key in have or key not in new or key[0] <= max(covered, loaded.base_index)


def test_damaged_journal_is_rejected() -> None:
    disk, journal = Disk(), Journal()
    disk.write(journal.write(Persist(1, "n1", 1, (entry(1, 1), entry(2, 1), entry(3, 1)))))
    disk.write(journal.write(Persist(1, "n1", 0, (), Snapshot(3, 1, Membership(("n1",)), b"state"), 1)))
    disk.sync(len(disk.pending))
    for key, value in (
        (entry_key(2), None),
        (entry_key(2), msgpack.packb([9, 1, 1, b"", None])),
        (b"agree/snapshot/3/0", b"other"),
        (b"agree/term", b"\xc1"),
    ):
        damaged = Disk()
        damaged.durable = dict(disk.durable)
        damaged.write([(key, value)])
        damaged.sync(1)
        with pytest.raises(JournalError):
            Journal().load(damaged.get)
