"""What an earlier version left on a disk (`tests/data/README.md`): it is read as it was meant, and written again.

The kept files are never written to: each test works on a copy."""

from __future__ import annotations

import json
import shutil
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest

from chutepin.consensus.identity import IDENTITY_KEY, KNOWN_STORES_KEY, StoredIdentity
from chutepin.consensus.journal import Journal
from chutepin.consensus.key_value import KeyValueMachine
from chutepin.consensus.messages import Snapshot
from chutepin.consensus.replicated_state import ReplicatedState
from chutepin.store import Store

from .data.make_stored_bytes import (
    BORN,
    DATA,
    ENDS,
    digest,
    identities,
    identity_changes,
    journal_changes,
    large_changes,
    plain,
    state_after,
    write_journal,
    write_store,
    written,
)

STORE: dict[str, dict[str, str]] = json.loads((DATA / "store.json").read_text())
JOURNAL: dict[str, Any] = json.loads((DATA / "journal.json").read_text())


def copied(name: str, to: Path) -> Path:
    return Path(shutil.copytree(DATA / name, to / name))


def contents(directory: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in sorted(directory.iterdir())}


def read(directory: Path, now: float) -> dict[str, str]:
    with Store.open(directory, clock=lambda: now, event=lambda name, **fields: None) as store:
        found = {key.hex(): value.hex() for key, value in store.items()}
        assert len(store) == len(found)
    return dict(sorted(found.items()))


def test_the_kept_store_is_of_several_segments_and_one_was_compacted() -> None:
    names = [path.name for path in sorted((DATA / "store").glob("*.seg"))]
    numbers = [int(name.partition(".")[0]) for name in names]
    assert len(numbers) >= 4 and numbers != list(range(1, len(numbers) + 1))
    assert len(list((DATA / "store").glob("*.hint"))) >= 2


@pytest.mark.parametrize("now", [float(now) for now in STORE])
def test_a_kept_store_is_read_as_it_was_written(now: float, tmp_path: Path) -> None:
    directory = copied("store", tmp_path)
    assert read(directory, now) == STORE[str(now)]
    assert read(directory, now) == STORE[str(now)], "opened again"


@pytest.mark.parametrize("pattern", ["*.hint", "ACKED", "LOCK"])
def test_a_kept_store_is_read_without_what_can_be_made_anew(pattern: str, tmp_path: Path) -> None:
    directory = copied("store", tmp_path)
    gone = list(directory.glob(pattern))
    assert gone
    for path in gone:
        path.unlink()
    assert read(directory, ENDS) == STORE[str(ENDS)]


def test_what_had_expired_stays_so_when_the_clock_is_set_back(tmp_path: Path) -> None:
    assert read(copied("store", tmp_path), BORN) == STORE[str(ENDS)]


def test_a_kept_store_is_written_to_and_read_again(tmp_path: Path) -> None:
    directory = copied("store", tmp_path)
    with Store.open(directory, clock=lambda: ENDS, event=lambda name, **fields: None) as store:
        for key in (b"another", b""):
            store.put(key, b"of a later version", ENDS + 5)
        store.delete(b"last")
        store.compact()
    expected = STORE[str(ENDS)] | {key.hex(): b"of a later version".hex() for key in (b"another", b"")}
    del expected[b"last".hex()]
    assert read(directory, ENDS) == dict(sorted(expected.items()))


def test_the_same_operations_lay_out_the_same_files(tmp_path: Path) -> None:
    write_store(tmp_path / "store")
    assert contents(tmp_path / "store") == contents(DATA / "store")


def test_a_kept_journal_is_read_as_it_was_written(tmp_path: Path) -> None:
    directory = copied("journal", tmp_path)
    with Store.open(directory, clock=lambda: ENDS, event=lambda name, **fields: None) as store:
        assert plain(Journal().load(store.get)) == JOURNAL["state"]
        for key, value in identity_changes():
            assert store.get(key) == value
        who = store.get(IDENTITY_KEY)
        assert who is not None and StoredIdentity.unpack(who).pack() == who
        assert store.get(KNOWN_STORES_KEY) is not None


def test_each_standing_of_an_identity_is_read_and_written_the_same() -> None:
    assert plain(list(identities())) == JOURNAL["identities"]
    for kept in map(bytes.fromhex, JOURNAL["identities"]):
        assert StoredIdentity.unpack(kept).pack() == kept


def test_the_state_in_a_kept_snapshot_is_taken_over_and_written_the_same(tmp_path: Path) -> None:
    with Store.open(copied("journal", tmp_path), clock=lambda: ENDS, event=lambda name, **fields: None) as store:
        durable, _ = Journal().load(store.get)
    values = [getattr(durable, field.name) for field in fields(durable)]
    (snapshot,) = [value for value in values if isinstance(value, Snapshot)]
    copy = ReplicatedState(KeyValueMachine())
    assert copy.restore(snapshot)
    assert copy.snapshot().hex() == JOURNAL["state"][0][3][3]


def test_the_kept_journal_has_a_snapshot_and_entries_behind_it() -> None:
    (_, _, entries, snapshot, base, _), rest = JOURNAL["state"]
    assert snapshot[0] == 6 and base == 5
    assert rest and all(value is None for _, value in rest)  # to be deleted again, in case of a crash before that
    assert [entry[0] for entry in entries] == [6, 7, 8, 9, 10]


def test_the_same_changes_of_a_member_lay_out_the_same_files(tmp_path: Path) -> None:
    write_journal(tmp_path / "journal")
    assert contents(tmp_path / "journal") == contents(DATA / "journal")


def test_the_journal_makes_the_same_keys_and_values_of_each_change() -> None:
    changes = list(written(journal_changes()))
    assert plain(changes) == JOURNAL["changes"]
    assert state_after(changes) == JOURNAL["state"]


def test_a_snapshot_of_several_pieces_is_laid_out_and_read_as_before() -> None:
    changes = list(written(large_changes()))
    assert digest(changes) == JOURNAL["large"]["changes"]
    assert digest(state_after(changes)) == JOURNAL["large"]["state"]
