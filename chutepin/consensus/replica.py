"""The state that follows from the log: sessions that make a repeated proposal count once, and the user's machine. Pure.

Every member that applies the same entries has the same state, byte for byte."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

import msgpack

from .messages import Entry, EntryKind, Membership, Snapshot

FORMAT = 1  # of a snapshot
DEDUPLICATION_WINDOW = 2048  # entries for which the id of a proposal is known
MAX_RESULT_BYTES = 64  # bytes that a machine may say to a proposal
MAX_PROPOSAL_BYTES = 24 * 1024  # bytes: one entry fits a value of the store and a message
MAX_SNAPSHOT_BYTES = 2**20  # bytes of a snapshot


class StateMachine(Protocol):
    """What users of the log bring: the same on all nodes."""

    version: int  # of the entries that it knows, and of its snapshots

    def apply(self, index: int, version: int, data: bytes) -> bytes:
        """Take in what was agreed; the answer to who proposed it, of 64 bytes at the most. Must not raise, and rest on
        nothing but its arguments and what was applied before."""

    def snapshot(self) -> bytes:
        """The state: of equal states the same bytes."""

    def restore(self, version: int, data: bytes) -> None:
        """Take over such a state."""


class OutcomeState(IntEnum):
    """What has become of a proposal."""

    COMMITTED = 0
    REJECTED = 1  # it never will be
    UNKNOWN = 2  # it may be or become either; ask by its id


class Outcome(NamedTuple):
    """The end of a proposal, or what is known of it. `again`: seconds after which it is worth another try."""

    state: OutcomeState
    at: int = 0  # the entry that decided it
    answer: bytes = b""
    why: str = ""
    again: float = 0.0


class Proposal(NamedTuple):
    """What a proposal is in the log. `void` stands for none: it makes sure that the one with this id will not come any
    more. An id has 16 bytes: an index that was agreed before it was made, and 8 bytes of chance."""

    id: bytes
    version: int
    data: bytes
    void: bool = False


def new_proposal_id(applied: int, chance: int) -> bytes:
    """An id that no other proposal has. `applied`: what this copy shows; `chance`: 64 bits of it."""
    return applied.to_bytes(8) + chance.to_bytes(8)


def pack_proposal(proposal: Proposal) -> bytes:
    """As an entry's data."""
    return bytes(msgpack.packb(list(proposal)))


def unpack_proposal(data: bytes) -> Proposal:
    """Raises ValueError, TypeError."""
    id, version, data, void = msgpack.unpackb(data)
    return Proposal(id, version, data, void)


@dataclass(slots=True)
class _Known:
    """What became of an id."""

    at: int  # the entry that decided
    agreed: bool
    answer: bytes


class Replica:
    """One member's copy."""

    def __init__(self, machine: StateMachine) -> None:
        self.machine, self.applied_index = machine, 0
        self.membership = Membership(())  # as the last change of them says that was applied; none: nothing said it yet
        self.chain = bytes(8)  # a digest of all entries up to `applied`, in their order: equal where they are
        self._known: dict[bytes, _Known] = {}  # the oldest first
        self.doubles = 0  # proposals that came again, and those too old to tell

    def apply(self, entries: Iterable[Entry]) -> list[tuple[bytes, Outcome]]:
        """Take in agreed entries; ids that were decided by them. What is known already, or leaves a gap, is passed
        over: it comes from another source as well."""
        decided = []
        for entry in entries:
            if entry.index != self.applied_index + 1:
                continue
            self.applied_index = entry.index
            self.chain = hashlib.blake2b(
                self.chain + b"%d %d " % (entry.index, entry.kind) + entry.data, digest_size=8
            ).digest()
            if entry.membership is not None:
                self.membership = entry.membership
            if entry.kind is EntryKind.PROPOSAL:
                proposal = unpack_proposal(entry.data)
                decided.append((proposal.id, self._decide(entry.index, proposal)))
        return decided

    def _decide(self, index: int, proposal: Proposal) -> Outcome:
        while self._known and next(iter(self._known.values())).at <= index - DEDUPLICATION_WINDOW:
            del self._known[next(iter(self._known))]
        if (found := self.outcome(proposal.id)) is not None:
            self.doubles += not proposal.void
            return found
        if int.from_bytes(proposal.id[:8]) <= index - DEDUPLICATION_WINDOW:  # its id may have been known and forgotten
            self.doubles += 1
            return Outcome(OutcomeState.UNKNOWN, index, why="too long ago to tell")
        if proposal.void:
            self._known[proposal.id] = _Known(index, False, b"")
        else:
            answer = self.machine.apply(index, proposal.version, proposal.data)[:MAX_RESULT_BYTES]
            self._known[proposal.id] = _Known(index, True, answer)
        found = self.outcome(proposal.id)
        assert found is not None
        return found

    def outcome(self, id: bytes) -> Outcome | None:
        """What became of a proposal, as far as this copy knows."""
        known = self._known.get(id)
        if known is None:
            return None
        if known.agreed:
            return Outcome(OutcomeState.COMMITTED, known.at, known.answer)
        return Outcome(OutcomeState.REJECTED, known.at, why="withdrawn")

    def snapshot(self) -> bytes:
        """All of it."""
        known = [[id, known.at, known.agreed, known.answer] for id, known in self._known.items()]
        return bytes(msgpack.packb([FORMAT, self.chain, known, self.machine.version, self.machine.snapshot()]))

    def restore(self, snapshot: Snapshot) -> bool:
        """Take over a later state; whether it was one. Raises ValueError for a format that this program does not
        know."""
        if snapshot.up_to_index <= self.applied_index:
            return False
        form, chain, known, version, state = msgpack.unpackb(snapshot.data)
        if form != FORMAT or version > self.machine.version:
            raise ValueError(
                f"a state of format {form}, version {version}; this program knows {FORMAT}, {self.machine.version}"
            )
        self.machine.restore(version, state)
        self._known = {id: _Known(at, agreed, answer) for id, at, agreed, answer in known}
        self.applied_index, self.chain, self.membership = snapshot.up_to_index, chain, snapshot.membership
        return True
