"""Decoders of stored data raise only their own error on malformed data with a valid checksum.

Checksums detect disk corruption. These tests compute valid checksums for malformed content, as another version or a
faulty tool could write."""

from __future__ import annotations

import json
import struct
from typing import Any

import msgpack
import pytest
from google_crc32c import value as crc32c
from hypothesis import given
from hypothesis import strategies as st

from chutepin.consensus.errors import JournalError
from chutepin.consensus.journal import SNAPSHOT_KEY, TERM_KEY, Journal, entry_key
from chutepin.store.codec import (
    HintWriter,
    Manifest,
    SegmentEntry,
    decode_hint,
    decode_manifest,
    encode_manifest,
)
from chutepin.store.errors import CorruptDataError

from .test_reader_errors import FUZZ, changed

PLAIN_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-(2**63), 2**63 - 1), st.floats(), st.text(max_size=3)),
    lambda values: st.one_of(st.lists(values, max_size=4), st.dictionaries(st.text(max_size=3), values, max_size=2)),
    max_leaves=8,
)
MANIFEST = encode_manifest(Manifest(3, 65536, 5, segments=(SegmentEntry(1, 4096, 2, 9), SegmentEntry(2))))
MANIFEST_FIELDS = ["generation", "segment_bytes", "next", "mark", "segments"]


def manifest_with_checksum(body: bytes) -> bytes:
    """Return a manifest of this body with the correct length and checksum."""
    name = MANIFEST.partition(b"\n")[0].rsplit(b" ", 2)[0]
    return b"%b %08d %08x\n" % (name, len(body), crc32c(body)) + body


def hint_with_checksum(content: bytes) -> bytes:
    return content + struct.pack("<I", crc32c(content))


def valid_hint() -> bytes:
    """Return the hint of a segment with three records in two runs."""
    writer = HintWriter()
    location = struct.pack("<qIIQ", 1, 2, 3, 4)
    writer.add(1, b"key", 1, location, 40)
    writer.add(1, b"kez", 1, location, 40)
    writer.add(2, b"key", 1, location, 40)
    return writer.encode(1, 4096, 3, 9)


def test_checksum_helpers_match_store_encoding() -> None:
    """Otherwise the tests below would only exercise checksum mismatches."""
    assert manifest_with_checksum(MANIFEST.partition(b"\n")[2]) == MANIFEST
    assert hint_with_checksum(valid_hint()[:-4]) == valid_hint()
    assert len(decode_hint(valid_hint(), 1, 4096, 3, 9)) == 2


# Guards against an unhandled exception instead of the store's message on the damage.
@FUZZ
@given(data=st.data(), name=st.sampled_from(MANIFEST_FIELDS), value=PLAIN_VALUES)
def test_malformed_manifest_with_valid_checksum_raises_corrupt_data_error(
    data: st.DataObject, name: str, value: Any
) -> None:
    raw = json.loads(MANIFEST.partition(b"\n")[2])
    raw[name] = value
    if data.draw(st.booleans()):
        del raw[name]
    body = json.dumps(raw).encode()
    if data.draw(st.booleans()):
        body = data.draw(changed(body))
    try:
        manifest = decode_manifest(manifest_with_checksum(body))
    except CorruptDataError:
        return
    assert decode_manifest(encode_manifest(manifest)) == manifest  # every field has its type


@FUZZ
@given(data=st.data())
def test_malformed_hint_with_valid_checksum_raises_corrupt_data_error(data: st.DataObject) -> None:
    valid = valid_hint()
    try:
        runs = decode_hint(hint_with_checksum(data.draw(changed(valid[:-4]))), 1, 4096, 3, 9)
    except CorruptDataError:
        return
    for run in runs:
        assert len(list(run.entries())) == run.count


def stored_values() -> dict[bytes, bytes]:
    """Return the stored values of a journal with a term, a snapshot and an entry after it."""
    head = [4, 2, [["n1"], []], 0, 0, 5, [1, 0, 0]]
    return {
        TERM_KEY: msgpack.packb([3, "n1"]),
        SNAPSHOT_KEY: msgpack.packb(head),
        entry_key(5): msgpack.packb([5, 3, 1, b"data", None]),
    }


def test_sample_journal_is_valid() -> None:
    state, _ = Journal().load(stored_values().get)
    assert state.term == 3 and state.base_index == 4 and len(state.entries) == 1


@FUZZ
@given(
    data=st.data(),
    key=st.sampled_from([TERM_KEY, SNAPSHOT_KEY, entry_key(5)]),
    position=st.integers(0, 6),
    value=PLAIN_VALUES,
)
def test_malformed_journal_raises_journal_error(data: st.DataObject, key: bytes, position: int, value: Any) -> None:
    values = stored_values()
    fields = msgpack.unpackb(values[key])
    fields[position % len(fields)] = value
    raw = msgpack.packb(fields)
    values[key] = data.draw(changed(raw)) if data.draw(st.booleans()) else raw
    try:
        state, _ = Journal().load(values.get)
    except JournalError:
        return
    assert isinstance(state.term, int) and isinstance(state.voted_for, str)
    for entry in state.entries:
        assert isinstance(entry.index, int) and isinstance(entry.term, int) and isinstance(entry.data, bytes)


@pytest.mark.parametrize("count", [2**31, 2**63 - 1, -1])
def test_snapshot_with_impossible_chunk_count_raises_journal_error_without_delay(count: int) -> None:
    values = stored_values()
    head = msgpack.unpackb(values[SNAPSHOT_KEY])
    head[3] = count
    values[SNAPSHOT_KEY] = msgpack.packb(head)
    with pytest.raises(JournalError):
        Journal().load(values.get)
