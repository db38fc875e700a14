"""Exceptions of the consensus package, all derived from `ConsensusError`."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base class of all exceptions of this package."""


class RejectedError(ConsensusError):
    """A request was rejected and has no effect; `leader` is the member to send it to, empty if unknown."""

    def __init__(self, reason: str, leader: str = "") -> None:
        super().__init__(reason)
        self.leader = leader


class InvalidRequestError(ConsensusError):
    """An argument of an operator's call is invalid; the message states the expected form."""


class UnsupportedFormatError(ConsensusError):
    """A state machine snapshot has a format or version that this program cannot read."""


class CodecError(ConsensusError):
    """Received bytes are not a valid message; the text is the suffix of the counter that is incremented."""


class JournalError(ConsensusError):
    """The stored journal is damaged or was not written by this node, so the node must not vote based on it."""
