"""The messages between members, as data types. `frames` encodes and decodes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .records import SenderRecord, Update


class Ping(NamedTuple):
    """A direct probe, answered by Ack.

    `requester` and `requester_nonce` identify the PingReq that a relayed ping serves."""

    nonce: int
    requester: str = ""
    requester_nonce: int = 0


class Ack(NamedTuple):
    """The answer to a Ping.

    `last_heard_ms`: milliseconds since the sender of the ack last received a datagram from the requester (or from the
    sender of the ping, if the ping has no requester); -1 if there was none."""

    nonce: int
    last_heard_ms: int


class PingReq(NamedTuple):
    """A request to a helper to ping `subject`: an indirect probe."""

    nonce: int
    subject: str


class ProbeResult(NamedTuple):
    """The helper's answer to a PingReq: `answered` is False for a nack. `last_heard_ms` as in the subject's Ack."""

    nonce: int
    subject: str
    answered: bool
    last_heard_ms: int


class Gossip(NamedTuple):
    """A message that only carries updates and is not answered."""


class Sync(NamedTuple):
    """A request for the full state (`reply_requested`), or the answer, with the state in the updates. Over TCP only.

    `joined`: the sender has been accepted by a member before. `referred`: an answer is a referral, whose updates are a
    few members to request the full state from; a request follows such a referral."""

    reply_requested: bool
    joined: bool
    referred: bool = False


class BucketDigests(NamedTuple):
    """The first anti-entropy request: a digest of four bytes per bucket of names, and the digest of the bad links.

    Over TCP only."""

    digests: bytes
    links: int


class BucketRecords(NamedTuple):
    """The answer to BucketDigests.

    `buckets` is a bitmap of `bucket_count` bits, set for the differing buckets included. The updates are the sender's
    records in these buckets; the first `settled` of them are older than the dissemination time. `links` is the digest
    of the sender's bad links. Over TCP only."""

    bucket_count: int
    buckets: bytes
    settled: int
    links: int


class RecordRequest(NamedTuple):
    """The second anti-entropy request: for the whole records of `names`. The updates are the sender's newer records.

    Over TCP only."""

    names: tuple[str, ...]


class Records(NamedTuple):
    """The answer to RecordRequest: whole records, in the updates. Over TCP only."""


class NameTaken(NamedTuple):
    """A notice that another live process holds the receiver's name. The only update is its record. Over TCP only."""


class StaleProcess(NamedTuple):
    """A notice that a later process of the receiver's name is known, with that process's incarnation."""

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
    """One message with the fields that are common to all messages.

    `sender` is the sender's own record, short if the receiver is expected to hold the whole one. `process_incarnation`
    distinguishes successive processes of the sender's name; `sequence` numbers the packets of one process incarnation.
    `digest` is that of the sender's view in pings and acks, 0 in other messages."""

    to: str
    sender: SenderRecord
    process_incarnation: int
    sequence: int
    digest: int
    body: Body
    updates: tuple[Update, ...] = ()

    @property
    def expects_answer(self) -> bool:
        """Return whether the packet is a request that the receiver answers over the same TCP connection."""
        body = self.body
        return isinstance(body, (BucketDigests, RecordRequest)) or (isinstance(body, Sync) and body.reply_requested)
