"""Errors of the consensus package. All have one base, so that a caller can tell them from its own."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base of all errors of this package."""


class RejectedError(ConsensusError):
    """A request was not accepted and will have no effect; `leader` is the member to ask instead, empty if unknown."""

    def __init__(self, reason: str, leader: str = "") -> None:
        super().__init__(reason)
        self.leader = leader


class InvalidRequestError(ConsensusError):
    """An argument of an operator's request has the wrong form; the message names the right one."""


class UnsupportedFormatError(ConsensusError):
    """A snapshot of the state machine has a format that this program cannot read."""


class CodecError(ConsensusError):
    """Received bytes are not a message; the text is the reason under which it is counted."""


class JournalError(ConsensusError):
    """The stored journal is not one that this node has written: the node must not vote on the strength of it."""
