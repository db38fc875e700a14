"""What members say to each other, as data. `frames` writes and reads it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .records import SenderRecord, Update


class Ping(NamedTuple):
    """Answer me. `via`: the member that asked the sender to find out, and the nonce of its own ping."""

    nonce: int
    requester: str = ""
    requester_nonce: int = 0


class Ack(NamedTuple):
    """The answer to a ping. `heard`: milliseconds since the answerer last heard the one who wants to know (the pinger,
    or the one that asked it to) directly; -1 if not lately."""

    nonce: int
    last_heard_ms: int


class PingReq(NamedTuple):
    """Find out for me whether `subject` answers."""

    nonce: int
    subject: str


class ProbeResult(NamedTuple):
    """The answer to a PingReq: `subject` answered, or (`answered` false) did not in time. `heard` as in Ack."""

    nonce: int
    subject: str
    answered: bool
    last_heard_ms: int


class Gossip(NamedTuple):
    """Nothing but updates; not answered."""


class Sync(NamedTuple):
    """All that the sender knows stands in the updates. `ask`: tell me yours. `joined`: some member has taken the sender
    in before. `referred`: in an answer, that the updates are a few members, one of which is to be asked for all; in a
    request, that the sender was told to ask here. Over TCP only."""

    reply_requested: bool
    joined: bool
    referred: bool = False


class BucketDigests(NamedTuple):
    """Anti-entropy, the request: one digest of four bytes for each bucket of names, and that of bad links. Over TCP
    only."""

    digests: bytes
    links: int


class BucketRecords(NamedTuple):
    """The answer to BucketDigests. `buckets` has a bit for each of `bucket_count` buckets, set where digests differ;
    the updates are the answerer's records of these, the first `settled` of them older than dissemination takes.
    `links` is the digest of its bad links. Over TCP only."""

    bucket_count: int
    buckets: bytes
    settled: int
    links: int


class RecordRequest(NamedTuple):
    """Anti-entropy, the second request: send me the whole records of these `names`; the updates are what the sender
    holds and the receiver does not. Over TCP only."""

    names: tuple[str, ...]


class Records(NamedTuple):
    """The answer to RecordRequest: whole records. Over TCP only."""


class NameTaken(NamedTuple):
    """The sender's name is held by another process that lives: the one update tells which. Over TCP only."""


class StaleProcess(NamedTuple):
    """What came from you was said in an earlier life than the one known here."""

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
    """One message with what every message carries.

    `me` is the sender's own record, short where the receiver is expected to hold it. `life` numbers the processes of
    the sender's name, `number` the packets of one life. `digest` is that of the sender's view; pings and their answers
    carry it, 0 elsewhere."""

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
