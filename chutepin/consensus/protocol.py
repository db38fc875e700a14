"""Messages between participants besides Raft's own: proposals and reads for the leader, greetings, fetches.

Order and types of a message's fields are its form on the wire (`codec`)."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Entry, Membership, RaftMessage


class ForwardProposal(NamedTuple):
    """A proposal for the leader; `data` is packed by `replicated_state.pack_proposal`."""

    proposal_id: bytes
    version: int
    data: bytes


class ProposalRejected(NamedTuple):
    """The proposal with this id was not taken. With `final`, no leader would take it."""

    proposal_id: bytes
    reason: str
    final: bool


class ReadIndexRequest(NamedTuple):
    """Asks the leader for the index from which on a read sees all that is committed now."""

    number: int


class ReadIndexReply(NamedTuple):
    """That index, or READ_ELSEWHERE."""

    number: int
    commit_index: int


class Greeting(NamedTuple):
    """Makes identity and entry version known, which each connection begins with; a leader asks for a reply."""

    wants_reply: bool


class FetchRequest(NamedTuple):
    """Asks for the committed entries behind `applied_index`.

    Of the snapshot at `snapshot_index` the sender has `snapshot_offset` bytes. `depth` is its distance from a voter."""

    applied_index: int
    snapshot_index: int
    snapshot_offset: int
    depth: int


class FetchReply(NamedTuple):
    """Entries behind what was asked for, or a chunk of the snapshot at `snapshot_index`; and what the sender knows.

    `leader_contact_ms`: how long ago the leader was heard, NO_LEADER_CONTACT if not lately. `depth` is the sender's
    distance from a voter."""

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
