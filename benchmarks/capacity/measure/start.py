"""Bytes that a starting node fetches and processor time to load them, by the size of the fetched state.

Membership arrives as one complete state over TCP, the replicated log as a snapshot. The program's only state machine on
the log holds names with values; each name stands for a tenant or a route."""

from __future__ import annotations

import random
import time

import msgpack

from chutepin.cluster.frames import StreamReader, cluster_id, decode, stream_frame
from chutepin.cluster.member_table import MemberTable as Members
from chutepin.cluster.messages import Packet, Sync
from chutepin.cluster.records import Record, Status
from chutepin.consensus.key_value import KeyValueMachine, pack_assignment
from chutepin.consensus.messages import Entry, EntryKind, Membership, Snapshot
from chutepin.consensus.replicated_state import (
    DEDUPLICATION_WINDOW,
    Proposal,
    ReplicatedState,
    new_proposal_id,
    pack_proposal,
)

from .tools import Measurement, Table

MEMBERS = (100, 300, 900, 2_300)
NAME_COUNTS = (32, 64, 128, 256)  # the state machine accepts up to 256 names
ROUNDS = 3
REPEAT_FACTOR = 5  # executions per timing
SEED = 1
REMEMBER_S = 86_400.0
VALUE = msgpack.packb(["bernard-lodge", 0.5, 2.7, "status-read"])  # a tenant: name, share, quota, class
MEMBER_UNITS = {"state_bytes": "bytes", "take_in_cpu_ms": "ms of a core"}
NAME_UNITS = {"log_state_bytes": "bytes", "log_take_in_cpu_ms": "ms of a core"}


def record(number: int) -> Record:
    """Return the membership record of the member with this number, as nodes send it."""
    address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7410"
    name = f"node-{number:05d}"
    return Record(name, address, f"r{number % 9}", f"z{number % 22}", 1_700_000_000_000, Status.ALIVE, name)


def _timed(work: object) -> float:
    assert callable(work)
    started = time.process_time()
    for _ in range(REPEAT_FACTOR):
        work()
    return 1000 * (time.process_time() - started) / REPEAT_FACTOR


def _membership(table: Table, members: int) -> None:
    cluster = cluster_id("capacity")
    records = tuple(record(number) for number in range(members))
    data = stream_frame(Packet("n1", records[0], 1, 1, 1, Sync(False, True), records), cluster)

    def load_state() -> None:
        frame = StreamReader().feed(data)
        assert frame is not None
        known = Members(members, REMEMBER_S)
        for update in decode(frame, cluster, True).updates:
            assert isinstance(update, Record)
            known.put(0.0, update)

    table.add(members, state_bytes=len(data), take_in_cpu_ms=_timed(load_state))


def _log(table: Table, names: int, rng: random.Random) -> None:
    replica = ReplicatedState(KeyValueMachine())
    for number in range(names):
        data = pack_assignment(f"tenant-{number:06d}", VALUE)
        proposal = Proposal(new_proposal_id(number, rng.getrandbits(64)), 1, data)
        replica.apply([Entry(number + 1, 1, EntryKind.PROPOSAL, pack_proposal(proposal))])
    state = replica.snapshot()

    def load_state() -> None:
        ReplicatedState(KeyValueMachine()).restore(Snapshot(names, 1, Membership(("a",)), state))

    table.add(names, log_state_bytes=len(replica.machine.snapshot()), log_take_in_cpu_ms=_timed(load_state))


def run() -> Measurement:
    """Measure the part and return its series."""
    rng = random.Random(SEED)
    membership, log = Table("members", MEMBER_UNITS), Table("names", NAME_UNITS)
    for _ in range(ROUNDS):
        for members in MEMBERS:
            _membership(membership, members)
        for names in NAME_COUNTS:
            _log(log, names, rng)
    return Measurement(
        membership.series() + log.series(),
        (SEED,),
        (
            "in one process, without sockets; taking in is decoding and filling the tables",
            "bytes of the log's state are those of its machine, "
            f"without the ids of the last {DEDUPLICATION_WINDOW} proposals",
        ),
    )
