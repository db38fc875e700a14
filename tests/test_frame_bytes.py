"""Tests that kept frames of an earlier version (`tests/data/README.md`) decode and encode to the same bytes."""

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
GOSSIP_HEAD, CONSENSUS_HEAD = 11, 8  # header bytes before the content
COMPRESSED, WITH_LENGTH = "Sync, compressed", "Sync, with its length"
STREAM_ONLY = {"Sync", "Refuse", "BucketDigests", "BucketRecords", "RecordRequest", "Records"}


def kept(protocol: str) -> dict[str, bytes]:
    return {name: bytes.fromhex(data) for name, data in KEPT[protocol].items()}


def plain_kinds(protocol: str) -> list[str]:
    """Return the names of the kinds, without the names of encoding variants."""
    return [name for name in KEPT[protocol] if "," not in name]


def kind_of(packet: Any) -> type:
    """Return the type of the body of a packet."""
    values = [getattr(packet, field.name) for field in fields(packet)]
    (body,) = [value for value in values if type(value) in get_args(messages.Body)]
    return type(body)


def test_encoded_values_equal_kept_frames() -> None:
    """Detect changes that a round trip misses, for example a status encoded under a different number."""
    encoded = all_frames()
    excluded = {"gossip": {COMPRESSED}, "hand-over": {"LEARNED"}}  # depend on the zlib build and on the decision policy
    for protocol, frames in KEPT.items():
        assert list(encoded[protocol]) == list(frames)
        for name in frames.keys() - excluded.get(protocol, set()):
            assert encoded[protocol][name] == frames[name], name


# --- gossip ---


@pytest.mark.parametrize("name", [name for name in KEPT["gossip"] if name not in (COMPRESSED, WITH_LENGTH)])
def test_kept_gossip_frame_round_trips(name: str) -> None:
    data = kept("gossip")[name]
    packet = gossip.decode(data, CLUSTER, True)
    assert gossip.encode(packet, CLUSTER) == data
    if name in STREAM_ONLY:
        with pytest.raises(gossip.FrameError, match="malformed"):
            gossip.decode(data, CLUSTER, False)
    else:
        assert gossip.decode(data, CLUSTER, False) == packet


def test_kept_gossip_stream_frame_round_trips() -> None:
    data = kept("gossip")[WITH_LENGTH]
    frame = gossip.StreamReader().feed(data)
    assert frame is not None
    assert gossip.stream_frame(gossip.decode(frame, CLUSTER, True), CLUSTER) == data


def test_kept_compressed_gossip_frame_round_trips() -> None:
    """Compare bytes if zlib compresses as in the kept data, otherwise compare the decompressed content."""
    data = kept("gossip")[COMPRESSED]
    encoded = gossip.encode(gossip.decode(data, CLUSTER, True), CLUSTER)
    assert encoded[:7] == data[:7]  # magic number, version, cluster
    assert zlib.decompress(encoded[GOSSIP_HEAD:]) == zlib.decompress(data[GOSSIP_HEAD:])
    if zlib.compress(zlib.decompress(data[GOSSIP_HEAD:]), 1) == data[GOSSIP_HEAD:]:
        assert encoded == data


def test_kept_gossip_frames_cover_all_kinds() -> None:
    names = plain_kinds("gossip")
    frames = kept("gossip")
    numbers = [msgpack.unpackb(frames[name][GOSSIP_HEAD:])[5] for name in names]
    assert numbers == list(range(len(names)))
    assert {kind_of(gossip.decode(frames[name], CLUSTER, True)) for name in names} == set(get_args(messages.Body))
    assert len(names) == len(get_args(messages.Body))


def test_gossip_frame_with_flipped_bit_is_rejected() -> None:
    data = kept("gossip")["Ping"]
    for offset in range(len(data)):
        with pytest.raises(gossip.FrameError):
            gossip.decode(data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :], CLUSTER, True)


# --- consensus ---


@pytest.mark.parametrize("name", KEPT["consensus"])
def test_kept_consensus_frame_round_trips(name: str) -> None:
    data = kept("consensus")[name]
    (message,) = consensus.FrameReader().feed(data)
    assert consensus.encode(message) == data
    assert consensus.decode(data[CONSENSUS_HEAD:]) == message


def test_kept_consensus_frames_cover_all_kinds() -> None:
    names = plain_kinds("consensus")
    frames = kept("consensus")
    numbers = [msgpack.unpackb(frames[name][CONSENSUS_HEAD:])[0] for name in names]
    assert numbers == list(range(len(names)))
    messages_read = consensus.FrameReader().feed(b"".join(frames[name] for name in names))
    assert {type(message) for message in messages_read} == set(get_args(consensus.WireMessage))
    assert len(names) == len(get_args(consensus.WireMessage))


def test_consensus_preface_equals_kept_preface() -> None:
    assert kept("preface")["consensus"] == consensus.PREFACE


# --- hand-over ---


def read(data: bytes) -> Iterator[handover.Frame]:
    frames = handover.FrameReader()
    frames.feed(data)
    while (frame := frames.next()) is not None:
        yield frame


@pytest.mark.parametrize("name", KEPT["hand-over"])
def test_kept_handover_frame_round_trips(name: str) -> None:
    data = kept("hand-over")[name]
    ((verb, fields),) = read(data)
    assert verb == name.partition(",")[0]
    assert handover.encode_frame(verb, **fields) == data


@pytest.mark.parametrize("name", [name for name in KEPT["hand-over"] if name.startswith("KEY")])
def test_kept_key_record_round_trips(name: str) -> None:
    data = kept("hand-over")[name]
    ((_, fields),) = read(data)
    assert handover.encode_record(handover.decode_record(fields)) == data


def test_kept_key_records_cover_all_run_ends() -> None:
    ends = {fields["end"] for data in kept("hand-over").values() for verb, fields in read(data) if verb == "KEY"}
    assert ends == {None, *(end.value for end in End)}


def test_kept_experience_is_adopted_completely() -> None:
    """Detect renamed parts of the decision module, whose names are encoded in the frame."""
    ((_, fields),) = read(kept("hand-over")["LEARNED"])
    successor = Core()
    assert successor.broker.peer_exchange.learned() != fields
    successor.broker.peer_exchange.adopt(fields)
    assert handover.encode_frame("LEARNED", **successor.broker.peer_exchange.learned()) == kept("hand-over")["LEARNED"]


def test_kept_handover_frames_cover_all_verbs() -> None:
    assert sorted(plain_kinds("hand-over")) == sorted(handover.VERBS)
