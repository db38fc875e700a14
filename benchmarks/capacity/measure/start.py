"""A starting node: what it fetches, in bytes and in the processor time of taking it in, by the size of what there is.

Membership comes as one whole state over TCP, the log in common as a snapshot. The only machine on the log that the
program has holds names with values; a tenant or a route is taken for one of these."""

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

from .tools import Measured, Table

MEMBERS = (100, 300, 900, 2_300)
FACTS = (32, 64, 128, 256)  # the machine's own bound is 256 names
ROUNDS = 3
REPEAT_FACTOR = 5  # of what is timed
SEED = 1
REMEMBER_S = 86_400.0
VALUE = msgpack.packb(["bernard-lodge", 0.5, 2.7, "status-read"])  # a tenant: name, share, quota, class
MEMBER_UNITS = {"state_bytes": "bytes", "take_in_cpu_ms": "ms of a core"}
FACT_UNITS = {"log_state_bytes": "bytes", "log_take_in_cpu_ms": "ms of a core"}


def record(number: int) -> Record:
    """A member as nodes tell of it."""
    address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7410"
    name = f"node-{number:05d}"
    return Record(name, address, f"r{number % 9}", f"z{number % 22}", 1_700_000_000_000, Status.ALIVE, name)


def _timed(work: object) -> float:
    assert callable(work)
    begun = time.process_time()
    for _ in range(REPEAT_FACTOR):
        work()
    return 1000 * (time.process_time() - begun) / REPEAT_FACTOR


def _membership(table: Table, members: int) -> None:
    cluster = cluster_id("capacity")
    records = tuple(record(number) for number in range(members))
    data = stream_frame(Packet("n1", records[0], 1, 1, 1, Sync(False, True), records), cluster)

    def take_in() -> None:
        frame = StreamReader().feed(data)
        assert frame is not None
        known = Members(members, REMEMBER_S)
        for update in decode(frame, cluster, True).updates:
            assert isinstance(update, Record)
            known.put(0.0, update)

    table.add(members, state_bytes=len(data), take_in_cpu_ms=_timed(take_in))


def _log(table: Table, facts: int, rng: random.Random) -> None:
    replica = ReplicatedState(KeyValueMachine())
    for number in range(facts):
        data = pack_assignment(f"tenant-{number:06d}", VALUE)
        proposal = Proposal(new_proposal_id(number, rng.getrandbits(64)), 1, data)
        replica.apply([Entry(number + 1, 1, EntryKind.PROPOSAL, pack_proposal(proposal))])
    state = replica.snapshot()

    def take_in() -> None:
        ReplicatedState(KeyValueMachine()).restore(Snapshot(facts, 1, Membership(("a",)), state))

    table.add(facts, log_state_bytes=len(replica.machine.snapshot()), log_take_in_cpu_ms=_timed(take_in))


def run() -> Measured:
    """The part."""
    rng = random.Random(SEED)
    membership, log = Table("members", MEMBER_UNITS), Table("names", FACT_UNITS)
    for _ in range(ROUNDS):
        for members in MEMBERS:
            _membership(membership, members)
        for facts in FACTS:
            _log(log, facts, rng)
    return Measured(
        membership.series() + log.series(),
        (SEED,),
        (
            "in one process, without sockets; taking in is decoding and filling the tables",
            "bytes of the log's state are those of its machine, "
            f"without the ids of the last {DEDUPLICATION_WINDOW} proposals",
        ),
    )
