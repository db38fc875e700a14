"""Messages between participants in addition to Raft's: forwarded proposals and reads, greetings, fetches.

The order and types of a message's fields define its wire format (`codec`)."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Entry, Membership, RaftMessage


class ForwardProposal(NamedTuple):
    """A proposal forwarded to the leader; `data` is encoded by `replicated_state.pack_proposal`."""

    proposal_id: bytes
    version: int
    data: bytes


class ProposalRejected(NamedTuple):
    """The leader rejected the proposal with this id; with `final`, a retry would be rejected as well."""

    proposal_id: bytes
    reason: str
    final: bool


class ReadIndexRequest(NamedTuple):
    """A request for the read index: the index up to which the leader has committed entries."""

    number: int


class ReadIndexReply(NamedTuple):
    """The reply to a ReadIndexRequest: the read index, or READ_REJECTED."""

    number: int
    commit_index: int


class Greeting(NamedTuple):
    """A message that opens a connection, whose Hello carries identity and entry version; a leader wants a reply."""

    wants_reply: bool


class FetchRequest(NamedTuple):
    """A request for the committed entries after `applied_index`.

    The sender has `snapshot_offset` bytes of the snapshot at `snapshot_index`. `depth` is its distance from a voter."""

    applied_index: int
    snapshot_index: int
    snapshot_offset: int
    depth: int


class FetchReply(NamedTuple):
    """The reply to a FetchRequest: the next entries or a chunk of the snapshot at `snapshot_index`, and the leader.

    `leader_contact_ms` is the time since the last contact with the leader, or NO_LEADER_CONTACT if that is too long
    ago. `depth` is the sender's distance from a voter."""

    entries: tuple[Entry, ...]
    leader: str
    leader_contact_ms: int
    depth: int
    membership: Membership
    snapshot_index: int
    snapshot_term: int
    snapshot_bytes: int
    snapshot_checksum: int
    offset: int
    data: bytes


NO_LEADER_CONTACT = -1

ParticipantMessage = (
    RaftMessage
    | Greeting
    | ForwardProposal
    | ProposalRejected
    | ReadIndexRequest
    | ReadIndexReply
    | FetchRequest
    | FetchReply
)
