"""Whether a balancer has left: whether anyone still reads the answers that are sent on its connection."""

from __future__ import annotations

import asyncio

from ..streams import PeerState
from .connection import Connection
from .messages import BYE
from .sockets import SocketLink

CHECK_INTERVAL_S = 0.01  # after BYE, between checks whether the connection was reset
MAX_CHECKS = 5
ANSWER_CHECK_INTERVAL_S = 0.05  # between checks whether a balancer that ended its side has all answers


async def has_left(connection: Connection, link: SocketLink, now: float) -> bool:
    """Return whether no one reads the answers to further requests of a connection.

    A balancer that has ended its side may still read its answers, or may have closed the connection, and the system
    does not tell which: BYE makes the balancer's system reset a connection that is closed."""
    state = link.peer_state
    if state is not PeerState.ENDED or connection.has_ended_input:
        return state is PeerState.RESET
    connection.has_ended_input = True
    connection.write(BYE)
    connection.bye_sent_at = connection.bye_sent_at or now
    for _ in range(MAX_CHECKS):
        if link.peer_state is PeerState.RESET:
            return True
        await asyncio.sleep(CHECK_INTERVAL_S)
    return False


async def wait_for_answers(connection: Connection, link: SocketLink, now: float) -> None:
    """Wait until a balancer that ended its side has an answer to each of its requests, or has left."""
    while connection.open_requests and not await has_left(connection, link, now):
        await asyncio.sleep(ANSWER_CHECK_INTERVAL_S)
