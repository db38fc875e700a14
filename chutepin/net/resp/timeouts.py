"""When a connection has to be looked at again, and what is due then. Pure: times are arguments."""

from __future__ import annotations

from enum import Enum

from .connection import Connection

BYE_GRACE_S = 2.0  # that a balancer has to close an idle connection once asked to
DRAIN_READ_S = 1.0  # for which input is read and discarded after the last answer
HEALTH_CHECK_IDLE_S = 60.0  # that a connection for health checks may be silent
MIN_IDLE_S = 0.25  # the shortest idle time that is enforced: that between two sweeps


class Expired(Enum):
    """Which time of a connection is over."""

    NONE = "none"
    CLOSE = "close"  # its peer has had the time to close
    MESSAGE = "message"  # the awaited message is not complete
    BYE = "bye"  # it was asked to close and stays
    IDLE = "idle"


def idle_timeout_s(connection: Connection, idle_after: float) -> float:
    """How long a connection may be silent. `idle_after`: as the decision module has announced it."""
    return HEALTH_CHECK_IDLE_S if connection.carries_health_checks else max(idle_after, MIN_IDLE_S)


def bye_deadline(connection: Connection) -> float:
    """When a connection is closed whose balancer was asked to close it and has not.

    Not in the middle of a message, nor while its last answer may be on its way: a reset would lose it."""
    if connection.parser.partial:
        return connection.message_deadline
    return max(connection.bye_sent_at or 0.0, connection.last_answer_at) + BYE_GRACE_S


def next_deadline(connection: Connection, idle_after: float) -> float:
    """When to look at a connection again: the earliest time that may be over then."""
    if connection.closing:
        return connection.close_at
    if connection.open:
        return connection.message_deadline
    if connection.bye_sent_at is not None:
        return min(connection.message_deadline, bye_deadline(connection))
    return min(connection.message_deadline, connection.last_used_at + idle_timeout_s(connection, idle_after))


def expired(connection: Connection, now: float, idle_after: float) -> Expired:
    """Which time of a connection is over now; the first that applies, in the order of the conditions."""
    if connection.closing:
        return Expired.CLOSE if now > connection.close_at else Expired.NONE
    if now > connection.message_deadline:
        return Expired.MESSAGE
    if connection.open:
        return Expired.NONE
    if connection.bye_sent_at is not None:
        return Expired.BYE if now > bye_deadline(connection) else Expired.NONE
    idle_s = now - connection.last_used_at
    return Expired.IDLE if idle_s > idle_timeout_s(connection, idle_after) else Expired.NONE
