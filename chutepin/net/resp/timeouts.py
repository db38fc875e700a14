"""Timeouts of a balancer connection: the next check and the expired timeout. Pure; time is an argument."""

from __future__ import annotations

from enum import Enum

from .connection import Connection

BYE_GRACE_S = 2.0  # for a balancer to close an idle connection after BYE
DRAIN_READ_S = 1.0  # during which input is read and discarded after the last answer
HEALTH_CHECK_IDLE_S = 60.0  # idle limit of a connection that carries health checks
MIN_IDLE_S = 0.25  # shortest idle limit that is enforced: the interval between two sweeps


class Expired(Enum):
    """The timeout of a connection that has expired."""

    NONE = "none"
    CLOSE = "close"  # the peer has not closed after the last answer
    MESSAGE = "message"  # the awaited message is not complete
    BYE = "bye"  # the balancer has not closed after BYE
    IDLE = "idle"  # no message for the idle limit


def idle_timeout_s(connection: Connection, idle_after_s: float) -> float:
    """Return how long a connection may be idle; `idle_after_s` is the limit that the decision module announced."""
    return HEALTH_CHECK_IDLE_S if connection.carries_health_checks else max(idle_after_s, MIN_IDLE_S)


def bye_deadline(connection: Connection) -> float:
    """Return when a connection is closed whose balancer has not closed it after BYE.

    The deadline does not fall inside a message, nor while the last answer may be in flight: a reset would lose it."""
    if connection.parser.partial:
        return connection.message_deadline
    return max(connection.bye_sent_at or 0.0, connection.last_answer_at) + BYE_GRACE_S


def next_deadline(connection: Connection, idle_after_s: float) -> float:
    """Return the earliest time at which a timeout of the connection can expire."""
    if connection.closing:
        return connection.close_at
    if connection.open_requests:
        return connection.message_deadline
    if connection.bye_sent_at is not None:
        return min(connection.message_deadline, bye_deadline(connection))
    return min(connection.message_deadline, connection.last_used_at + idle_timeout_s(connection, idle_after_s))


def expired(connection: Connection, now: float, idle_after_s: float) -> Expired:
    """Return the timeout that has expired by `now`; the first one that applies, in the order of the conditions."""
    if connection.closing:
        return Expired.CLOSE if now > connection.close_at else Expired.NONE
    if now > connection.message_deadline:
        return Expired.MESSAGE
    if connection.open_requests:
        return Expired.NONE
    if connection.bye_sent_at is not None:
        return Expired.BYE if now > bye_deadline(connection) else Expired.NONE
    idle_s = now - connection.last_used_at
    return Expired.IDLE if idle_s > idle_timeout_s(connection, idle_after_s) else Expired.NONE
