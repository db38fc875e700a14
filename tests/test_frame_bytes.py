"""One of each kind of frame as an earlier version wrote it (`tests/data/README.md`): read, and written again."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args

import msgpack
import pytest

from chutepin.cluster import frames as gossip
from chutepin.cluster import messages
from chutepin.consensus import codec as consensus
from chutepin.facade import End
from chutepin.handover import frames as handover

from .data.make_stored_bytes import all_frames
from .helper import Core

KEPT: dict[str, dict[str, str]] = json.loads((Path(__file__).parent / "data" / "frames.json").read_text())
CLUSTER = gossip.cluster_id("kept-cluster")
GOSSIP_HEAD, CONSENSUS_HEAD = 11, 8  # bytes before the content
COMPRESSED, WITH_LENGTH = "Sync, compressed", "Sync, with its length"
STREAM_ONLY = {"Sync", "Refuse", "BucketDigests", "BucketRecords", "RecordRequest", "Records"}


def kept(protocol: str) -> dict[str, bytes]:
    return {name: bytes.fromhex(data) for name, data in KEPT[protocol].items()}


def plain_kinds(protocol: str) -> list[str]:
    """Names of kinds, without the further ways in which one may be written."""
    return [name for name in KEPT[protocol] if "," not in name]


def kind_of(packet: Any) -> type:
    """Of the body, whichever field holds it."""
    values = [getattr(packet, field.name) for field in fields(packet)]
    (body,) = [value for value in values if type(value) in get_args(messages.Body)]
    return type(body)


def test_the_same_values_are_written_as_the_kept_frames() -> None:
    """What reads and writes alike may still mean something else: a status under another number, say."""
    made = all_frames()
    other = {"gossip": {COMPRESSED}, "hand-over": {"LEARNED"}}  # rest on zlib's build, on the module's policy
    for protocol, frames in KEPT.items():
        assert list(made[protocol]) == list(frames)
        for name in frames.keys() - other.get(protocol, set()):
            assert made[protocol][name] == frames[name], name


# --- gossip ---


@pytest.mark.parametrize("name", [name for name in KEPT["gossip"] if name not in (COMPRESSED, WITH_LENGTH)])
def test_a_kept_gossip_frame_is_read_and_written_the_same(name: str) -> None:
    data = kept("gossip")[name]
    packet = gossip.decode(data, CLUSTER, True)
    assert gossip.encode(packet, CLUSTER) == data
    if name in STREAM_ONLY:
        with pytest.raises(gossip.FrameError, match="malformed"):
            gossip.decode(data, CLUSTER, False)
    else:
        assert gossip.decode(data, CLUSTER, False) == packet


def test_a_kept_gossip_frame_of_a_stream_is_read_and_written_the_same() -> None:
    data = kept("gossip")[WITH_LENGTH]
    frame = gossip.StreamReader().feed(data)
    assert frame is not None
    assert gossip.stream_frame(gossip.decode(frame, CLUSTER, True), CLUSTER) == data


def test_a_kept_compressed_gossip_frame_is_read_and_written_the_same() -> None:
    """Byte for byte where zlib is of the build that the data was made with; else the content, unpacked."""
    data = kept("gossip")[COMPRESSED]
    again = gossip.encode(gossip.decode(data, CLUSTER, True), CLUSTER)
    assert again[:7] == data[:7]  # mark, version, cluster
    assert zlib.decompress(again[GOSSIP_HEAD:]) == zlib.decompress(data[GOSSIP_HEAD:])
    if zlib.compress(zlib.decompress(data[GOSSIP_HEAD:]), 1) == data[GOSSIP_HEAD:]:
        assert again == data


def test_no_kind_of_gossip_is_forgotten() -> None:
    names = plain_kinds("gossip")
    frames = kept("gossip")
    numbers = [msgpack.unpackb(frames[name][GOSSIP_HEAD:])[5] for name in names]
    assert numbers == list(range(len(names)))
    assert {kind_of(gossip.decode(frames[name], CLUSTER, True)) for name in names} == set(get_args(messages.Body))
    assert len(names) == len(get_args(messages.Body))


def test_kept_gossip_is_damaged_by_any_change() -> None:
    data = kept("gossip")["Ping"]
    for at in range(len(data)):
        with pytest.raises(gossip.FrameError):
            gossip.decode(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], CLUSTER, True)


# --- consensus ---


@pytest.mark.parametrize("name", KEPT["consensus"])
def test_a_kept_consensus_frame_is_read_and_written_the_same(name: str) -> None:
    data = kept("consensus")[name]
    (word,) = consensus.FrameReader().feed(data)
    assert consensus.encode(word) == data
    assert consensus.decode(data[CONSENSUS_HEAD:]) == word


def test_no_kind_of_consensus_is_forgotten() -> None:
    names = plain_kinds("consensus")
    frames = kept("consensus")
    numbers = [msgpack.unpackb(frames[name][CONSENSUS_HEAD:])[0] for name in names]
    assert numbers == list(range(len(names)))
    words = consensus.FrameReader().feed(b"".join(frames[name] for name in names))
    assert {type(word) for word in words} == set(get_args(consensus.WireMessage))
    assert len(names) == len(get_args(consensus.WireMessage))


def test_a_consensus_connection_begins_as_it_did() -> None:
    assert kept("preface")["consensus"] == consensus.PREFACE


# --- hand-over ---


def read(data: bytes) -> Iterator[handover.Frame]:
    frames = handover.FrameReader()
    frames.feed(data)
    while (frame := frames.next()) is not None:
        yield frame


@pytest.mark.parametrize("name", KEPT["hand-over"])
def test_a_kept_handover_frame_is_read_and_written_the_same(name: str) -> None:
    data = kept("hand-over")[name]
    ((verb, fields),) = read(data)
    assert verb == name.partition(",")[0]
    assert handover.encode_frame(verb, **fields) == data


@pytest.mark.parametrize("name", [name for name in KEPT["hand-over"] if name.startswith("KEY")])
def test_a_kept_entry_of_a_key_is_read_and_written_the_same(name: str) -> None:
    data = kept("hand-over")[name]
    ((_, fields),) = read(data)
    assert handover.encode_record(handover.decode_record(fields)) == data


def test_no_end_of_a_run_is_forgotten() -> None:
    ends = {fields["end"] for data in kept("hand-over").values() for verb, fields in read(data) if verb == "KEY"}
    assert ends == {None, *(end.value for end in End)}


def test_kept_experience_is_adopted_whole() -> None:
    """Names of the module's own parts travel in it."""
    ((_, fields),) = read(kept("hand-over")["LEARNED"])
    pupil = Core()
    assert pupil.broker.peer_exchange.learned() != fields
    pupil.broker.peer_exchange.adopt(fields)
    assert handover.encode_frame("LEARNED", **pupil.broker.peer_exchange.learned()) == kept("hand-over")["LEARNED"]


def test_no_verb_of_the_handover_is_forgotten() -> None:
    assert sorted(plain_kinds("hand-over")) == sorted(handover.VERBS)
