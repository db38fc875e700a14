"""The state derived from the log: the state machine, and the proposal ids used to apply a proposal at most once.

The module performs no I/O. Nodes that have applied the same entries have the same state, byte for byte."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

import msgpack

from .errors import UnsupportedFormatError
from .messages import Entry, EntryKind, Membership, Snapshot

SNAPSHOT_FORMAT = 1
DEDUPLICATION_WINDOW = 2048  # number of entries for which the id of a proposal is kept
PROPOSAL_ID_BYTES = 16
INDEX_BYTES = 8  # first part of a proposal id: the applied index at its creation; random bits follow
DIGEST_BYTES = 8
MAX_RESULT_BYTES = 64  # a longer result of the state machine is truncated
MAX_PROPOSAL_BYTES = 24 * 1024  # an entry must fit into one value of the store and into one message
MAX_SNAPSHOT_BYTES = 2**20


class StateMachine(Protocol):
    """A deterministic state machine that applies the proposals of the log."""

    version: int  # the highest version of entries and snapshots that the machine can read

    def apply(self, index: int, version: int, data: bytes) -> bytes:
        """Apply a committed proposal; return a result of up to MAX_RESULT_BYTES for the proposer.

        An implementation must be deterministic and must not raise exceptions."""

    def snapshot(self) -> bytes:
        """Return the serialized state; equal states must give equal bytes."""

    def restore(self, version: int, data: bytes) -> None:
        """Replace the state with that of a snapshot."""


class OutcomeState(IntEnum):
    """The state of a completed request."""

    COMMITTED = 0
    REJECTED = 1  # the proposal will never be committed
    UNKNOWN = 2  # the proposal may be committed already or later; a query by its id returns the outcome


class Outcome(NamedTuple):
    """The outcome of a request.

    `at_index` is the index of the entry that decided a proposal, or the applied index at which a read completed."""

    state: OutcomeState
    at_index: int = 0
    result: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0


class Proposal(NamedTuple):
    """A proposal in the log; `void` marks an entry that prevents a later proposal with this id from being applied."""

    proposal_id: bytes
    version: int
    data: bytes
    void: bool = False


def new_proposal_id(applied_index: int, random_bits: int) -> bytes:
    """Return a unique proposal id that consists of the applied index and 64 random bits."""
    return applied_index.to_bytes(INDEX_BYTES) + random_bits.to_bytes(PROPOSAL_ID_BYTES - INDEX_BYTES)


def pack_proposal(proposal: Proposal) -> bytes:
    """Encode a proposal as an entry's data."""
    return bytes(msgpack.packb(list(proposal)))


def _unpack_proposal(data: bytes) -> Proposal:
    proposal_id, version, packed, void = msgpack.unpackb(data)
    return Proposal(proposal_id, version, packed, void)


@dataclass(slots=True)
class _Decision:
    """The decision on a proposal id: the deciding entry, whether it was committed, and the result."""

    index: int
    committed: bool
    result: bytes


class ReplicatedState:
    """The replicated state on one node."""

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.applied_index = 0
        self.membership = Membership(())  # as of the last applied membership change; empty before the first
        self.log_digest = bytes(DIGEST_BYTES)  # digest of all applied entries in order
        self.duplicates = 0  # repeated proposals, and proposals whose id is older than the window
        self._decisions: dict[bytes, _Decision] = {}  # by proposal id, oldest first

    def apply(self, entries: Iterable[Entry]) -> list[tuple[bytes, Outcome]]:
        """Apply committed entries; return the decided proposal ids with their outcomes.

        Entries that are already applied or not contiguous are skipped, because several sources deliver entries."""
        decided = []
        for entry in entries:
            if entry.index != self.applied_index + 1:
                continue
            self.applied_index = entry.index
            self._extend_digest(entry)
            if entry.membership is not None:
                self.membership = entry.membership
            if entry.kind is EntryKind.PROPOSAL:
                proposal = _unpack_proposal(entry.data)
                decided.append((proposal.proposal_id, self._decide(entry.index, proposal)))
        return decided

    def _extend_digest(self, entry: Entry) -> None:
        content = self.log_digest + b"%d %d " % (entry.index, entry.kind) + entry.data
        self.log_digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()

    def _decide(self, index: int, proposal: Proposal) -> Outcome:
        self._expire_decisions(index - DEDUPLICATION_WINDOW)
        known = self.outcome(proposal.proposal_id)
        if known is not None:
            self.duplicates += not proposal.void
            return known
        if int.from_bytes(proposal.proposal_id[:INDEX_BYTES]) <= index - DEDUPLICATION_WINDOW:
            # The id is older than the window, so an earlier decision on it may have been dropped.
            self.duplicates += 1
            return Outcome(OutcomeState.UNKNOWN, index, reason="too long ago to tell")
        if proposal.void:
            decision = _Decision(index, False, b"")
        else:
            result = self.machine.apply(index, proposal.version, proposal.data)[:MAX_RESULT_BYTES]
            decision = _Decision(index, True, result)
        self._decisions[proposal.proposal_id] = decision
        return _outcome_of(decision)

    def _expire_decisions(self, up_to_index: int) -> None:
        while self._decisions and next(iter(self._decisions.values())).index <= up_to_index:
            del self._decisions[next(iter(self._decisions))]

    def outcome(self, proposal_id: bytes) -> Outcome | None:
        """Return the outcome of a proposal; None if no decision is recorded."""
        decision = self._decisions.get(proposal_id)
        return _outcome_of(decision) if decision is not None else None

    def snapshot(self) -> bytes:
        """Return the serialized state, including the recorded decisions."""
        decisions = [
            [proposal_id, decision.index, decision.committed, decision.result]
            for proposal_id, decision in self._decisions.items()
        ]
        content = [SNAPSHOT_FORMAT, self.log_digest, decisions, self.machine.version, self.machine.snapshot()]
        return bytes(msgpack.packb(content))

    def make_snapshot(self, membership: Membership) -> Snapshot:
        """Return a snapshot for observers; its term is 0, because observers do not use terms."""
        return Snapshot(self.applied_index, 0, membership, self.snapshot())

    def restore(self, snapshot: Snapshot) -> bool:
        """Replace the state with a newer snapshot; return whether it was newer. Raises UnsupportedFormatError."""
        if snapshot.up_to_index <= self.applied_index:
            return False
        try:
            form, digest, decisions, version, data = msgpack.unpackb(snapshot.data)
            if form != SNAPSHOT_FORMAT or version > self.machine.version:
                raise UnsupportedFormatError(
                    f"snapshot of format {form}, version {version}; "
                    f"this program supports {SNAPSHOT_FORMAT}, {self.machine.version}"
                )
            self.machine.restore(version, data)
            self._decisions = {key: _Decision(index, committed, result) for key, index, committed, result in decisions}
        except ValueError as error:
            raise UnsupportedFormatError(str(error)) from error
        self.log_digest = digest
        self.applied_index = snapshot.up_to_index
        self.membership = snapshot.membership
        return True


def _outcome_of(decision: _Decision) -> Outcome:
    if decision.committed:
        return Outcome(OutcomeState.COMMITTED, decision.index, decision.result)
    return Outcome(OutcomeState.REJECTED, decision.index, reason="withdrawn")
