"""The messages of balancers: requests to the broker, withdrawals, and health checks."""

from __future__ import annotations

from collections.abc import Callable

from ...admission import ConnectionTable, ConnectionUsage
from ...broker import Answer, Broker, Request, Verdict
from ...clock import Clock
from ...counters import Counters
from ..lines import ProtocolError
from .connection import Connection, Reply
from .messages import CALL, CANCEL, HEALTH, format_answer, format_health, parse_call

MAX_OPEN_REQUESTS = 64  # on one connection; balancers limit themselves to 32
MAX_TAG_DIGITS = 19


class MessageHandler:
    """Passes the messages of all connections of a listener to the broker, within the limits of each connection."""

    def __init__(
        self,
        broker: Broker,
        clock: Clock,
        counters: Counters,
        table: ConnectionTable,
        is_healthy: Callable[[], bool],
    ) -> None:
        """Create a handler. `is_healthy`: returns the answer to health checks."""
        self._broker = broker
        self._clock = clock
        self._counters = counters
        self._table = table
        self._is_healthy = is_healthy

    def handle(self, connection: Connection, items: list[bytes]) -> None:
        """Handle one message. Raises ProtocolError."""
        if len(items) < 2 or not items[1].isdigit() or len(items[1]) > MAX_TAG_DIGITS:
            raise ProtocolError("message has no valid tag")
        verb, tag = items[0], items[1]
        connection.last_used_at = self._clock.now()
        if verb == CALL:
            self._call(connection, tag, items)
        elif verb == CANCEL:
            self._cancel(connection, tag)
        elif verb == HEALTH:
            self._check_health(connection, tag)
        else:
            raise ProtocolError("unknown verb")

    def _call(self, connection: Connection, tag: bytes, items: list[bytes]) -> None:
        """Submit a request, or reject it if its connection has too many attempts. Raises ProtocolError."""
        if tag in connection.open_requests or len(connection.open_requests) >= MAX_OPEN_REQUESTS:
            raise ProtocolError("tag is already open, or too many open requests")
        request = parse_call(items)
        self._adjust(connection, request)
        connection.has_valid_message = True
        connection.open_requests[tag] = request.id
        self._table.message_received(connection.key, connection.last_used_at, ConnectionUsage.REQUESTS, True)
        if self._has_too_many_attempts(connection):
            self._broker.reject(request, Reply(connection, tag))
            return
        connection.unfinished_ids.add(request.id)
        self._broker.submit(request, Reply(connection, tag))

    @staticmethod
    def _adjust(connection: Connection, request: Request) -> None:
        """Shift the times of a replayed request, and set the balancer that the request counts for."""
        request.arrived += connection.time_shift_s
        request.due += connection.time_shift_s
        # The number is that of the balancer: a connection with ever new ones would displace those of others.
        if connection.caller is None:
            connection.caller = request.caller
        request.caller = connection.caller

    def _has_too_many_attempts(self, connection: Connection) -> bool:
        """Return whether a connection has as many attempts as it may have open requests.

        The run of a request that was withdrawn may go on, so that a balancer which withdraws each of its requests
        would otherwise have the attempts of all others."""
        ids = connection.unfinished_ids
        if len(ids) >= MAX_OPEN_REQUESTS:
            ids = connection.unfinished_ids = {id for id in ids if self._broker.is_open(id)}
        return len(ids) >= MAX_OPEN_REQUESTS

    def _cancel(self, connection: Connection, tag: bytes) -> None:
        """Withdraw a request."""
        self._counters.add("cancels")
        id = connection.open_requests.pop(tag, None)
        if id is not None:
            self._broker.caller_disconnected(id)
            if connection.is_behind:
                # Nothing else may be sent to a balancer that withdraws each request. If it has closed the connection,
                # its system still sends what it wrote before, and resets the connection for an answer.
                connection.write(format_answer(tag, Answer(Verdict.FAILED, value=self._broker.value)))
        self._table.message_received(connection.key, connection.last_used_at, None, bool(connection.open_requests))

    def _check_health(self, connection: Connection, tag: bytes) -> None:
        """Answer a health check."""
        self._counters.add("checks")
        connection.carries_health_checks = connection.has_valid_message = True
        self._table.message_received(
            connection.key, connection.last_used_at, ConnectionUsage.CHECKS, bool(connection.open_requests)
        )
        connection.write(format_health(tag, self._is_healthy(), self._broker.value))
