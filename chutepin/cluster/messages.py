"""The messages between members, as data. `frames` encodes and decodes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .records import SenderRecord, Update


class Ping(NamedTuple):
    """A direct probe, answered by Ack. `requester`, `requester_nonce`: of the PingReq on whose behalf it is sent."""

    nonce: int
    requester: str = ""
    requester_nonce: int = 0


class Ack(NamedTuple):
    """The answer to a ping.

    `last_heard_ms`: milliseconds since its sender last heard the requester of the ping (or the pinger, if it has
    none) directly; -1 if not lately."""

    nonce: int
    last_heard_ms: int


class PingReq(NamedTuple):
    """A request to ping `subject`: an indirect probe."""

    nonce: int
    subject: str


class ProbeResult(NamedTuple):
    """The answer to a PingReq: an ack of `subject`, or a nack (`answered` false). `last_heard_ms` as in Ack."""

    nonce: int
    subject: str
    answered: bool
    last_heard_ms: int


class Gossip(NamedTuple):
    """A packet that only carries updates; not answered."""


class Sync(NamedTuple):
    """The full state of the sender, in the updates.

    `reply_requested`: it wants that of the receiver. `joined`: some member has accepted the sender before.
    `referred`: in an answer, that the updates are a few members, one of which is to be asked for the full state; in
    a request, that the sender follows such a referral. Over TCP only."""

    reply_requested: bool
    joined: bool
    referred: bool = False


class BucketDigests(NamedTuple):
    """Anti-entropy, the first request: a digest of four bytes for each bucket of names, and that of the bad links.

    Over TCP only."""

    digests: bytes
    links: int


class BucketRecords(NamedTuple):
    """The answer to BucketDigests.

    `buckets` has a bit for each of `bucket_count` buckets, set where digests differ; the updates are the sender's
    records of these, the first `settled` of them older than dissemination takes. `links` is the digest of its bad
    links. Over TCP only."""

    bucket_count: int
    buckets: bytes
    settled: int
    links: int


class RecordRequest(NamedTuple):
    """Anti-entropy, the second request: for the whole records of `names`; the updates are what is newer at the sender.

    Over TCP only."""

    names: tuple[str, ...]


class Records(NamedTuple):
    """The answer to RecordRequest: whole records. Over TCP only."""


class NameTaken(NamedTuple):
    """A notice that another live process holds the receiver's name: the one update is its record. Over TCP only."""


class StaleProcess(NamedTuple):
    """A notice that a later process of the receiver's name is known, with its process incarnation."""

    process_incarnation: int


Body = (
    Ping
    | Ack
    | PingReq
    | ProbeResult
    | Gossip
    | Sync
    | NameTaken
    | StaleProcess
    | BucketDigests
    | BucketRecords
    | RecordRequest
    | Records
)


@dataclass(frozen=True, slots=True)
class Packet:
    """One message, with what every message carries.

    `sender` is the sender's own record, short where the receiver is expected to hold it. `process_incarnation` numbers
    the processes of the sender's name, `sequence` the packets of one process incarnation. `digest` is that of the
    sender's view, in pings and acks; 0 elsewhere."""

    to: str
    sender: SenderRecord
    process_incarnation: int
    sequence: int
    digest: int
    body: Body
    updates: tuple[Update, ...] = ()

    @property
    def expects_answer(self) -> bool:
        """Whether it is a request, which the receiver answers over the same TCP connection."""
        body = self.body
        return isinstance(body, (BucketDigests, RecordRequest)) or (isinstance(body, Sync) and body.reply_requested)
