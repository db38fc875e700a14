"""A log in common: what the fleet has agreed on.

`core.Core` is the consensus, free of clock, file and socket; `messages` is what it says and wants done.
`docs/consensus.md` has the design and what is still open: no node uses it yet."""

from .core import Core, Durable, Progress, RefusedError, Role, Times
from .messages import Apply, Effect, Entry, Kind, Message, Persist, Readable, Restore, Send, Snapshot, Voters

__all__ = [
    "Apply",
    "Core",
    "Durable",
    "Effect",
    "Entry",
    "Kind",
    "Message",
    "Persist",
    "Progress",
    "Readable",
    "RefusedError",
    "Restore",
    "Role",
    "Send",
    "Snapshot",
    "Times",
    "Voters",
]
