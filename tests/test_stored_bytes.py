"""Compatibility of stored data: files of an earlier version (`tests/data/README.md`) are read and written unchanged.

Each test works on a copy of the sample files."""

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


def copy_sample(name: str, to: Path) -> Path:
    return Path(shutil.copytree(DATA / name, to / name))


def contents(directory: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in sorted(directory.iterdir())}


def read(directory: Path, now: float) -> dict[str, str]:
    with Store.open(directory, clock=lambda: now, event=lambda name, **fields: None) as store:
        contents_found = {key.hex(): value.hex() for key, value in store.items()}
        assert len(store) == len(contents_found)
    return dict(sorted(contents_found.items()))


def test_stored_sample_has_several_segments_and_a_compacted_one() -> None:
    names = [path.name for path in sorted((DATA / "store").glob("*.seg"))]
    numbers = [int(name.partition(".")[0]) for name in names]
    assert len(numbers) >= 4 and numbers != list(range(1, len(numbers) + 1))
    assert len(list((DATA / "store").glob("*.hint"))) >= 2


@pytest.mark.parametrize("now", [float(now) for now in STORE])
def test_store_of_earlier_version_is_read_unchanged(now: float, tmp_path: Path) -> None:
    directory = copy_sample("store", tmp_path)
    assert read(directory, now) == STORE[str(now)]
    assert read(directory, now) == STORE[str(now)], "opened again"


@pytest.mark.parametrize("pattern", ["*.hint", "ACKED", "LOCK"])
def test_store_of_earlier_version_is_read_without_rebuildable_files(pattern: str, tmp_path: Path) -> None:
    directory = copy_sample("store", tmp_path)
    removed_files = list(directory.glob(pattern))
    assert removed_files
    for path in removed_files:
        path.unlink()
    assert read(directory, ENDS) == STORE[str(ENDS)]


def test_expired_keys_of_earlier_version_stay_expired_when_clock_is_set_back(tmp_path: Path) -> None:
    assert read(copy_sample("store", tmp_path), BORN) == STORE[str(ENDS)]


def test_store_of_earlier_version_accepts_writes(tmp_path: Path) -> None:
    directory = copy_sample("store", tmp_path)
    with Store.open(directory, clock=lambda: ENDS, event=lambda name, **fields: None) as store:
        for key in (b"another", b""):
            store.put(key, b"of a later version", ENDS + 5)
        store.delete(b"last")
        store.compact()
    expected = STORE[str(ENDS)] | {key.hex(): b"of a later version".hex() for key in (b"another", b"")}
    del expected[b"last".hex()]
    assert read(directory, ENDS) == dict(sorted(expected.items()))


def test_same_operations_write_identical_store_files(tmp_path: Path) -> None:
    write_store(tmp_path / "store")
    assert contents(tmp_path / "store") == contents(DATA / "store")


def test_journal_of_earlier_version_is_read_unchanged(tmp_path: Path) -> None:
    directory = copy_sample("journal", tmp_path)
    with Store.open(directory, clock=lambda: ENDS, event=lambda name, **fields: None) as store:
        assert plain(Journal().load(store.get)) == JOURNAL["state"]
        for key, value in identity_changes():
            assert store.get(key) == value
        stored_identity = store.get(IDENTITY_KEY)
        assert stored_identity is not None and StoredIdentity.unpack(stored_identity).pack() == stored_identity
        assert store.get(KNOWN_STORES_KEY) is not None


def test_identity_of_each_status_is_reencoded_identically() -> None:
    assert plain(list(identities())) == JOURNAL["identities"]
    for stored in map(bytes.fromhex, JOURNAL["identities"]):
        assert StoredIdentity.unpack(stored).pack() == stored


def test_snapshot_of_earlier_version_is_restored_and_reencoded_identically(tmp_path: Path) -> None:
    with Store.open(copy_sample("journal", tmp_path), clock=lambda: ENDS, event=lambda name, **fields: None) as store:
        durable, _ = Journal().load(store.get)
    values = [getattr(durable, field.name) for field in fields(durable)]
    (snapshot,) = [value for value in values if isinstance(value, Snapshot)]
    restored = ReplicatedState(KeyValueMachine())
    assert restored.restore(snapshot)
    assert restored.snapshot().hex() == JOURNAL["state"][0][3][3]


def test_journal_sample_has_snapshot_and_later_entries() -> None:
    (_, _, entries, snapshot, base, _), rest = JOURNAL["state"]
    assert snapshot[0] == 6 and base == 5
    # Keys whose deletion is repeated, as a crash may have prevented it
    assert rest and all(value is None for _, value in rest)
    assert [entry[0] for entry in entries] == [6, 7, 8, 9, 10]


def test_same_member_changes_write_identical_journal_files(tmp_path: Path) -> None:
    write_journal(tmp_path / "journal")
    assert contents(tmp_path / "journal") == contents(DATA / "journal")


def test_each_journal_change_writes_identical_keys_and_values() -> None:
    changes = list(written(journal_changes()))
    assert plain(changes) == JOURNAL["changes"]
    assert state_after(changes) == JOURNAL["state"]


def test_multi_chunk_snapshot_is_written_and_read_identically() -> None:
    changes = list(written(large_changes()))
    assert digest(changes) == JOURNAL["large"]["changes"]
    assert digest(state_after(changes)) == JOURNAL["large"]["state"]
