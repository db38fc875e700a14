"""The link to the executor: commands out, numbered notices in, both kept whole over a lost link.

`session` is the protocol without a socket, `repeated_returns` its rule for replies in doubt, `link` the connection."""

from .link import ExecutorLink
from .session import NoticeHandler, Session

__all__ = ["ExecutorLink", "NoticeHandler", "Session"]
