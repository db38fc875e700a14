"""Writes the kept bytes: `python -m tests.data.make_stored_bytes [DIRECTORY]`, by default beside this file.

Tests also repeat the operations on the store and the journal. Kinds of messages are identified by their number on the
wire; `frames.json` has the names that the kinds had when the data was generated."""

from __future__ import annotations

import hashlib
import json
import math
import shutil
import sys
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any

import msgpack

from chutepin.cluster.frames import BODIES, cluster_id, stream_frame
from chutepin.cluster.frames import encode as gossip_frame
from chutepin.cluster.messages import Packet
from chutepin.cluster.records import BadLink, LinkReport, Record, ShortRecord, Status
from chutepin.consensus.codec import MESSAGE_TYPES, PREFACE
from chutepin.consensus.codec import encode as consensus_frame
from chutepin.consensus.identity import IDENTITY_KEY, KNOWN_STORES_KEY, StoredIdentity, StoreStatus
from chutepin.consensus.journal import Journal
from chutepin.consensus.key_value import KeyValueMachine, pack_assignment
from chutepin.consensus.messages import Entry, EntryKind, Membership, Persist, Snapshot
from chutepin.consensus.replicated_state import Proposal, ReplicatedState, new_proposal_id, pack_proposal
from chutepin.facade import End
from chutepin.handover.frames import encode_frame, encode_record
from chutepin.idempotency import IdempotencyRecord as KeyEntry
from chutepin.store.engine import Engine
from chutepin.store.file_system import LocalFileSystem
from chutepin.store.limits import Limits

from ..helper import Core

DATA = Path(__file__).parent
BORN = 1_700_000_000.0  # Unix time in seconds at which the kept store is created
ENDS = BORN + 60  # time at which the kept store is closed
SEGMENT, MAX_BYTES, MAX_MEMORY = 1024, 64 * 1024, 2**20
CLUSTER = "kept-cluster"
Model = dict[bytes, tuple[bytes, float]]
Change = tuple[bytes, bytes | None]


class StoreWriter:
    """A store run step by step without its thread, so that the same operations produce the same bytes."""

    def __init__(self, directory: Path) -> None:
        self.now = BORN
        self.model: Model = {}
        self._engine = Engine.open(
            LocalFileSystem(directory),
            Limits(SEGMENT, MAX_BYTES, MAX_MEMORY),
            lambda: self.now,
            lambda name, **fields: None,
        )
        self._engine.settle()

    def put(self, key: bytes, value: bytes, expires: float = math.inf) -> None:
        assert self._engine.put(key, value, expires)
        self.model[key] = (value, expires)

    def put_many(self, items: list[tuple[bytes, bytes]], expires: float) -> None:
        assert self._engine.put_many(items, expires) == len(items)
        self.model |= {key: (value, expires) for key, value in items}

    def delete(self, key: bytes) -> None:
        assert self._engine.delete(key)
        self.model.pop(key, None)

    def settle(self) -> None:
        """Make all writes durable and complete the background work."""
        self._engine.settle()

    def compact(self) -> None:
        self._engine.compact()
        self._engine.settle()

    def metrics(self) -> dict[str, int]:
        return self._engine.metrics()

    def close(self) -> None:
        self._engine.close()


def live(model: Model, now: float) -> dict[str, str]:
    """Return the unexpired entries in the form of the kept JSON."""
    return {key.hex(): value.hex() for key, (value, expires) in sorted(model.items()) if expires > now}


def write_store(directory: Path) -> Model:
    """Write a store of several segments with puts, overwrites, deletes, expiries and a compaction."""
    store = StoreWriter(directory)
    for number in range(24):
        store.put(b"early/%02d" % number, bytes([number]) * (20 + number), math.inf if number % 3 else BORN + 30)
        store.settle()
    store.put_many([(b"run/%03d" % number, b"of one shape %d" % number) for number in range(8)], BORN + 600)
    store.settle()
    for number in range(0, 24, 2):
        store.delete(b"early/%02d" % number)
        store.settle()
    store.now = BORN + 40  # every third entry has expired
    for number in range(1, 24, 4):
        store.put(b"early/%02d" % number, b"anew %d" % number, BORN + 500.125)
    store.settle()
    store.compact()
    store.put(b"", b"an empty key")
    store.put(b"\x00\xff\n", bytes(range(256)))
    store.put(b"no value", b"", BORN + 61.5)
    store.settle()
    store.delete(b"run/003")
    store.put(b"run/004", b"replaced", BORN + 700)
    store.settle()
    for number in range(10):
        store.put(b"late/%d" % number, b"#" * (number * 11), BORN + 55 + number)
        store.settle()
    store.now = ENDS
    store.delete(b"late/9")
    store.put(b"last", b"in the segment that is written to", math.inf)
    assert store.metrics()["segments.compacted"] > 0 and store.metrics()["copied_bytes"] > 0
    store.close()
    return store.model


def proposal(index: int, key: str, value: str) -> Entry:
    """Return a log entry with a proposal that sets a key."""
    data = pack_proposal(Proposal(new_proposal_id(index - 1, 1000 + index), 1, pack_assignment(key, value.encode())))
    return Entry(index, 2 + index // 4, EntryKind.PROPOSAL, data)


def journal_changes() -> list[Persist]:
    """Return the durable changes of a member in order.

    Entries, a vote, a replaced end of the log, a snapshot and further entries."""
    voters = Membership(("anna", "bert~0a1b", "carl"), ("dora",))
    first = Entry(1, 1, EntryKind.VOTERS, b"", voters)
    empty = Entry(2, 2, EntryKind.NO_OP)
    entries = [proposal(index, f"key {index % 3}", f"value {index}") for index in range(3, 10)]
    state = ReplicatedState(KeyValueMachine())
    state.apply([first, empty, *entries[:4]])
    snapshot = Snapshot(6, entries[3].term, voters, state.snapshot())
    return [
        Persist(1, "anna", 1, (first,)),
        Persist(2, "bert~0a1b", 2, (empty, *entries[:3])),
        Persist(3, "", 6, (Entry(6, 3, EntryKind.NO_OP), Entry(7, 3, EntryKind.NO_OP))),
        Persist(4, "carl", 6, tuple(entries[3:5])),
        Persist(4, "carl", 8, (), snapshot, 5),
        Persist(4, "carl", 8, tuple(entries[5:])),
        Persist(
            5, "dora", 10, (Entry(10, 5, EntryKind.VOTERS, b"", Membership(("anna", "dora"), ("carl", "bert~0a1b"))),)
        ),
    ]


def large_changes() -> list[Persist]:
    """Return changes in which a snapshot of several chunks replaces an earlier snapshot and the whole log."""
    data = b"".join(zlib.crc32(b"%d" % number).to_bytes(4) for number in range(17_000))
    earlier, members = Snapshot(4, 1, Membership(("anna",)), data[:40_000]), Membership(("anna", "bert"), ("carl",))
    return [
        Persist(1, "anna", 1, tuple(Entry(index, 1, EntryKind.NO_OP) for index in range(1, 6))),
        Persist(1, "anna", 6, (), earlier, 3),
        Persist(7, "bert", 21, (), Snapshot(20, 6, members, data), 20, True),
        Persist(7, "bert", 21, (Entry(21, 7, EntryKind.NO_OP),)),
    ]


def identity_changes() -> list[Change]:
    """Return the changes that store the identity of the member and the known stores."""
    stored = StoredIdentity(CLUSTER, "anna", "00c0ffee00c0ffee", StoreStatus.CONFIRMED)
    return [(IDENTITY_KEY, stored.pack()), (KNOWN_STORES_KEY, bytes(msgpack.packb({"bert": "0a1b", "carl": "2c3d"})))]


def identities() -> Iterator[bytes]:
    """Return a packed identity for each store status."""
    for status in StoreStatus:
        yield StoredIdentity(CLUSTER, "anna", "00c0ffee00c0ffee", status).pack()


def write_journal(directory: Path) -> None:
    """Write the journal's changes to a store and make each change durable."""
    store = StoreWriter(directory)
    for changes in [identity_changes(), *written(journal_changes())]:
        for key, value in changes:
            if value is None:
                store.delete(key)
            else:
                store.put(key, value)
        store.settle()
        store.now += 1
    store.close()


def gossip_frames() -> Iterator[tuple[str, bytes]]:
    """Return frames of all kinds in order of their number, then encoding variants."""
    kinds: list[tuple[str, tuple[Any, ...]]] = [
        ("Ping", (7, "via-member", 8)),
        ("Ack", (9, 123)),
        ("PingReq", (10, "subject")),
        ("Found", (11, "subject", True, 456)),
        ("Gossip", ()),
        ("Sync", (True, True, True)),
        ("Refuse", ()),
        ("Stale", (12,)),
        ("BucketDigests", (bytes(range(16)), 2**32 - 5)),
        ("BucketRecords", (64, bytes(range(8)), 3, 2**31 + 1)),
        ("RecordRequest", (("anna", "bert"),)),
        ("Records", ()),
    ]
    assert len(kinds) == len(BODIES)
    whole = Record("anna", "192.0.2.7:4711", "north", "north-2", 1_700_000_000_005, Status.SUSPECT, "bert")
    short = ShortRecord("anna", 1_700_000_000_005, Status.DEAD, 0xBEEF, "carl")
    links = LinkReport("dora", 1_700_000_000_000, 17, (BadLink("anna", "dora", 250), BadLink("bert", "dora", 70_000)))
    updates = (
        whole._replace(name="dora", status=Status.LEFT, by="dora"),
        short._replace(name="emil", status=Status.ALIVE, by=""),
        short._replace(name="fred"),
        links,
    )
    cluster = cluster_id(CLUSTER)
    for number, (name, values) in enumerate(kinds):
        me = whole if number % 2 else short
        body = BODIES[number](*values)
        packet = Packet("receiver", me, 1_700_000_000_002, 100 + number, 2**32 - 1 - number, body, updates)
        yield name, gossip_frame(packet, cluster)
    minimal = Packet("", whole, whole.incarnation, 1, 0, BODIES[0](1))
    yield "Ping, bare", gossip_frame(minimal, cluster)
    yield "Found, not answered", gossip_frame(Packet("anna", short, 3, 1, 0, BODIES[3](1, "x", False, -1)), cluster)
    yield "Sync, with its length", stream_frame(Packet("anna", whole, 3, 1, 0, BODIES[5](False, True)), cluster)
    many = tuple(whole._replace(name=f"member-{number:03d}", incarnation=number) for number in range(128))
    yield "Sync, compressed", gossip_frame(Packet("anna", whole, 3, 1, 0, BODIES[5](False, True), many), cluster)


def consensus_frames() -> Iterator[tuple[str, bytes]]:
    """Return frames of all kinds in order of their number."""
    voters = Membership(("anna", "bert~0a1b"), ("carl", "dora"))
    entries = (Entry(5, 2, EntryKind.NO_OP), proposal(6, "key", "value"), Entry(7, 4, EntryKind.VOTERS, b"why", voters))
    kinds: list[tuple[str, tuple[Any, ...]]] = [
        ("Hello", (CLUSTER, "anna", "anna~00c0ffee", "bert", 3)),
        ("Ask", (9, 8, 7, True, True)),
        ("Vote", (9, True, True)),
        ("Append", (9, 4, 2, entries, 5, 31)),
        ("Appended", (9, True, 7, 31)),
        ("Piece", (9, 6, 5, voters, 70_000, 2**32 - 3, 32_768, bytes(range(64)), 32)),
        ("Taken", (9, 6, 32_832, 33)),
        ("Begin", (10,)),
        ("Forward", (new_proposal_id(6, 2**63 + 1), 2, b"a proposal")),
        ("Rejected", (new_proposal_id(6, 2), "not the leader", True)),
        ("ReadAsk", (41,)),
        ("ReadAt", (41, 7)),
        ("Pull", (3, 6, 32_768, 2)),
        ("Feed", (entries, "anna", 120, 1, voters, 6, 5, 70_000, 2**32 - 3, 32_768, b"a piece")),
        ("Meet", ("anna", "00c0ffee00c0ffee")),
        ("Met", ("anna", "00c0ffee00c0ffee")),
        ("Greet", (True,)),
    ]
    assert len(kinds) == len(MESSAGE_TYPES)
    for number, (name, values) in enumerate(kinds):
        yield name, consensus_frame(MESSAGE_TYPES[number](*values))
    yield "ReadAt, elsewhere", consensus_frame(MESSAGE_TYPES[11](41, -1))


def learned() -> dict[str, object]:
    """Return the experience that a core gains from a few requests."""
    core = Core()
    for number in range(12):
        core.pick(f"run-{number}", key=f"key-{number % 5}" if number % 2 else None)
        core.hand.time += 0.25
        if id := next(iter(core.running()), None):
            core.end(id)
            core.ports.done.append(("ended", id))
    return core.broker.peer_exchange.learned()


def handover_frames() -> Iterator[tuple[str, bytes]]:
    """Return frames of all verbs, with the fields that either process sends."""
    entry = KeyEntry("tenant key \u00e9", "try-1", 1234.5, bytes(range(16)), "try-0", End.ERROR, b"re\xffsult\r\n")
    yield "HELLO", encode_frame("HELLO", version=1)
    yield "HERE", encode_frame("HERE", version=1)
    yield "NO", encode_frame("NO", why="another version", version=1)
    yield "NO, busy", encode_frame("NO", why="another successor", busy=True)
    yield "KEY", encode_record(entry)
    yield "KEY, not run", encode_record(KeyEntry("key", "try-2", 0.25, b""))
    for end in End:
        yield f"KEY, {end.value}", encode_record(KeyEntry("key", "try-1", 7.5, b"\x01", "try-1", end, b"result"))
    yield "DROP", encode_frame("DROP", key="tenant key \u00e9")
    yield "LEARNED", encode_frame("LEARNED", **learned())
    yield "SYNCED", encode_frame("SYNCED", closed_until=99.75)
    yield "TAKES", encode_frame("TAKES")
    yield "YOURS", encode_frame("YOURS")
    yield "USE", encode_frame("USE", running=3, memory=2048.5, descriptors=17)
    yield "ASK", encode_frame("ASK", id="try-3", key="key", contents="00ff10", until=77.125)
    yield "TOLD", encode_frame("TOLD", id="try-3", key="key", may=True)


def all_frames() -> dict[str, dict[str, str]]:
    """Return all frames as hexadecimal text, by protocol and kind."""
    frames = {"gossip": gossip_frames(), "consensus": consensus_frames(), "hand-over": handover_frames()}
    kinds = {protocol: {name: data.hex() for name, data in encoded} for protocol, encoded in frames.items()}
    return kinds | {"preface": {"consensus": PREFACE.hex()}}


def plain(value: Any) -> Any:
    """Convert a value to JSON types, without the names of types and fields."""
    if isinstance(value, bytes):
        return value.hex()
    if is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    return int(value) if isinstance(value, int) and not isinstance(value, bool) else value


def digest(value: object) -> str:
    """Return the SHA-256 of a value that is too large to keep, in hexadecimal."""
    return hashlib.sha256(json.dumps(plain(value)).encode()).hexdigest()


def written(changes: Iterable[Persist]) -> Iterator[list[Change]]:
    """Return the keys and values that the journal writes for each change."""
    journal = Journal()
    for change in changes:
        yield journal.write(change)


def state_after(written: Iterable[list[Change]]) -> Any:
    """Return the member's state read from these keys and values, and the keys still to be deleted."""
    values: dict[bytes, bytes | None] = {}
    for changes in written:
        values |= dict(changes)
    return plain(Journal().load(values.get))


def write_json(path: Path, content: object) -> None:
    path.write_text(json.dumps(content, indent=1) + "\n")


def main(directory: Path) -> None:
    """Generate all data, replacing the store and journal directories."""
    for name in ("store", "journal"):
        shutil.rmtree(directory / name, ignore_errors=True)
    model = write_store(directory / "store")
    write_json(directory / "store.json", {str(now): live(model, now) for now in (ENDS, ENDS + 2, ENDS + 1000)})
    write_journal(directory / "journal")
    changes, large = list(written(journal_changes())), list(written(large_changes()))
    content = {
        "state": state_after(changes),
        "changes": plain(changes),
        "identities": plain(list(identities())),
        "large": {"changes": digest(large), "state": digest(state_after(large))},
    }
    write_json(directory / "journal.json", content)
    write_json(directory / "frames.json", all_frames())


if __name__ == "__main__":
    main(Path(sys.argv[1]) if len(sys.argv) > 1 else DATA)
