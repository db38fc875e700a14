"""The connection to the executor: commands out and numbered notices in, neither lost nor repeated after a reconnect.

`session` is the protocol without a socket, `commands` holds what is not confirmed, `unconfirmed_runs` tracks runs that
may or may not have begun, `repeated_returns` detects misdirected replies, `notices` is the port to the broker, `link`
owns the connection."""

from .link import ExecutorLink
from .notices import NoticeHandler
from .session import Session

__all__ = ["ExecutorLink", "NoticeHandler", "Session"]
