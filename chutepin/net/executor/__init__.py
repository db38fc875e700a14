"""The connection to the executor: commands out and numbered notices in, neither lost nor repeated after a reconnect.

`session` is the protocol without a socket, `unconfirmed_runs` tracks runs that may or may not have begun,
`repeated_returns` detects misdirected replies, `link` owns the connection."""

from .link import ExecutorLink
from .session import NoticeHandler, Session

__all__ = ["ExecutorLink", "NoticeHandler", "Session"]
