"""The state that follows from the log: the state machine, and the ids that make a repeated proposal count once.

Pure. Members that have applied the same entries have the same state, byte for byte."""

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
DEDUPLICATION_WINDOW = 2048  # entries for which the id of a proposal is remembered
PROPOSAL_ID_BYTES = 16
INDEX_BYTES = 8  # of an id: an index that was applied when it was made; random bits follow
DIGEST_BYTES = 8
MAX_RESULT_BYTES = 64  # that a state machine returns for a proposal
MAX_PROPOSAL_BYTES = 24 * 1024  # an entry must fit one value of the store, and one message
MAX_SNAPSHOT_BYTES = 2**20


class StateMachine(Protocol):
    """The user's part of the state; the same on all members."""

    version: int  # the highest version of entries and snapshots that it reads

    def apply(self, index: int, version: int, data: bytes) -> bytes:
        """Apply a committed proposal; return a result of up to MAX_RESULT_BYTES for the proposer.

        It must be deterministic and must not raise."""

    def snapshot(self) -> bytes:
        """Return the state; equal states give equal bytes."""

    def restore(self, version: int, data: bytes) -> None:
        """Replace the state by that of a snapshot."""


class OutcomeState(IntEnum):
    """What became of a proposal."""

    COMMITTED = 0
    REJECTED = 1  # it never will be committed
    UNKNOWN = 2  # it may be committed already, or may be yet; its id tells later


class Outcome(NamedTuple):
    """What became of a request.

    `at_index` is that of the entry which decided it; for a read, the one up to which the state shows all."""

    state: OutcomeState
    at_index: int = 0
    result: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0


class Proposal(NamedTuple):
    """A proposal as it is in the log. `void` makes sure that the proposal with this id is not applied later."""

    proposal_id: bytes
    version: int
    data: bytes
    void: bool = False


def new_proposal_id(applied_index: int, random_bits: int) -> bytes:
    """Return an id that no other proposal has, of the index applied here and 64 random bits."""
    return applied_index.to_bytes(INDEX_BYTES) + random_bits.to_bytes(PROPOSAL_ID_BYTES - INDEX_BYTES)


def pack_proposal(proposal: Proposal) -> bytes:
    """Encode a proposal as an entry's data."""
    return bytes(msgpack.packb(list(proposal)))


def _unpack_proposal(data: bytes) -> Proposal:
    proposal_id, version, packed, void = msgpack.unpackb(data)
    return Proposal(proposal_id, version, packed, void)


@dataclass(slots=True)
class _Decision:
    """What became of a proposal id."""

    index: int
    committed: bool
    result: bytes


class ReplicatedState:
    """One member's copy of the state."""

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.applied_index = 0
        self.membership = Membership(())  # by the last applied change of it; empty before the first
        self.log_digest = bytes(DIGEST_BYTES)  # of all applied entries in their order
        self.duplicates = 0  # proposals that came again, or too late to tell
        self._decisions: dict[bytes, _Decision] = {}  # by proposal id, the oldest first

    def apply(self, entries: Iterable[Entry]) -> list[tuple[bytes, Outcome]]:
        """Apply committed entries; return the proposal ids that they decide, with their outcomes.

        Entries that are applied already, or leave a gap, are skipped: they come from several sources."""
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
        self._forget_decisions(index - DEDUPLICATION_WINDOW)
        known = self.outcome(proposal.proposal_id)
        if known is not None:
            self.duplicates += not proposal.void
            return known
        if int.from_bytes(proposal.proposal_id[:INDEX_BYTES]) <= index - DEDUPLICATION_WINDOW:
            # An earlier decision may be forgotten by now.
            self.duplicates += 1
            return Outcome(OutcomeState.UNKNOWN, index, reason="too long ago to tell")
        if proposal.void:
            decision = _Decision(index, False, b"")
        else:
            result = self.machine.apply(index, proposal.version, proposal.data)[:MAX_RESULT_BYTES]
            decision = _Decision(index, True, result)
        self._decisions[proposal.proposal_id] = decision
        return _outcome_of(decision)

    def _forget_decisions(self, up_to_index: int) -> None:
        while self._decisions and next(iter(self._decisions.values())).index <= up_to_index:
            del self._decisions[next(iter(self._decisions))]

    def outcome(self, proposal_id: bytes) -> Outcome | None:
        """Return what became of a proposal, as far as this copy knows."""
        decision = self._decisions.get(proposal_id)
        return _outcome_of(decision) if decision is not None else None

    def snapshot(self) -> bytes:
        """Return the whole state, with the decisions that are remembered."""
        decisions = [
            [proposal_id, decision.index, decision.committed, decision.result]
            for proposal_id, decision in self._decisions.items()
        ]
        content = [SNAPSHOT_FORMAT, self.log_digest, decisions, self.machine.version, self.machine.snapshot()]
        return bytes(msgpack.packb(content))

    def make_snapshot(self, membership: Membership) -> Snapshot:
        """Return a snapshot for members that have no log: the term of its last entry is of no use to them."""
        return Snapshot(self.applied_index, 0, membership, self.snapshot())

    def restore(self, snapshot: Snapshot) -> bool:
        """Take over a later state; return whether it was one. Raises UnsupportedFormatError."""
        if snapshot.up_to_index <= self.applied_index:
            return False
        try:
            form, digest, decisions, version, data = msgpack.unpackb(snapshot.data)
            if form != SNAPSHOT_FORMAT or version > self.machine.version:
                raise UnsupportedFormatError(
                    f"a state of format {form}, version {version}; "
                    f"this program knows {SNAPSHOT_FORMAT}, {self.machine.version}"
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
