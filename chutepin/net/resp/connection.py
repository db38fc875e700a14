"""The sans-I/O state machine of one balancer connection: bytes in, requests to the broker, answers out."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ...admission import ConnectionTable, ProxyError, ProxyHeaderParser
from ...broker import Answer, Broker, Verdict
from ...clock import Clock
from ...counters import Counters
from ...logs import Log
from ..lines import ProtocolError
from .messages import BYE, format_answer
from .parser import RespParser

MAX_MESSAGES_PER_TURN = 4  # processed before other connections get their turn
MESSAGE_TIMEOUT_S = 5.0  # to complete a partly received message; the first message has its own limit


class ConnectionOwner(Protocol):
    """The listener, as its connections use it."""

    broker: Broker
    clock: Clock
    counters: Counters
    log: Log
    table: ConnectionTable

    def record(self, connection: Connection, sent: bool, data: bytes) -> None:
        """Pass the bytes to the recorder, if one is set."""

    def handle_message(self, connection: Connection, items: list[bytes]) -> None:
        """Handle one parsed message. Raises ProtocolError."""

    def accept_proxied(self, connection: Connection, address: bytes) -> bool:
        """Admit the client address that a relay sent; return False if the connection must close."""

    def update_deadline(self, connection: Connection) -> None:
        """Recompute when the connection must next be checked for a timeout."""


@dataclass(slots=True)
class Connection:
    """The protocol state of one balancer connection, without a socket; `write` sends bytes to the balancer."""

    listener: ConnectionOwner
    write: Callable[[bytes], None]
    parser: RespParser = field(default_factory=RespParser)
    open_requests: dict[bytes, str] = field(default_factory=dict)  # tag to request id
    last_used_at: float = 0.0
    last_answer_at: float = 0.0
    carries_health_checks: bool = False
    bye_sent_at: float | None = None
    closing: bool = False  # no more requests are read; the connection closes once no request is open
    close_at: float = math.inf  # after the last answer: when the connection is closed even if the peer has not
    message_deadline: float = math.inf  # for the first or a partly received message to be complete
    has_valid_message: bool = False  # a well-formed request or a health check has been received
    time_shift_s: float = 0.0  # added to the timestamps of the requests, for a replay
    key: int = 0  # of this connection in the listener's tables; 0 for a replay, which has no socket
    proxy: ProxyHeaderParser | None = None  # parser of the PROXY header, until a relay has sent it
    is_behind: bool = False  # more input than one read was waiting
    has_unhandled_messages: bool = False  # received messages wait for this connection's next turn
    has_ended_input: bool = False  # the balancer has ended its side of the connection, and was sent BYE for it
    unfinished_ids: set[str] = field(default_factory=set)  # attempts, also of withdrawn requests; some may have ended
    caller: int | None = None  # the number of the balancer in its first request, which all its requests count for

    def received(self, data: bytes) -> None:
        """Process received bytes and all messages in them.

        Malformed input stops all further reading from the connection and fails its open requests at once."""
        self.feed(data)
        while self.has_unhandled_messages:
            self.handle_messages(MAX_MESSAGES_PER_TURN)

    def feed(self, data: bytes) -> None:
        """Take received bytes; `handle_messages` processes the messages in them."""
        self.listener.record(self, False, data)
        if self.proxy is not None:
            try:
                self.proxy.feed(data)
            except ProxyError as error:
                self._reject_malformed(str(error))
                return
            if not self.proxy.done:
                return
            data, address, self.proxy = self.proxy.rest, self.proxy.address, None
            if address is not None and not self.listener.accept_proxied(self, address):
                self.abort()
                return
        self.parser.feed(data)
        self.has_unhandled_messages = True

    def handle_messages(self, limit: int) -> None:
        """Process up to `limit` of the received messages; `has_unhandled_messages` tells whether more may be left."""
        count = 0
        self.has_unhandled_messages = False
        try:
            while not self.closing and (items := self.parser.next()) is not None:
                count += 1
                self.listener.handle_message(self, items)
                if count >= limit:
                    self.has_unhandled_messages = not self.closing and self.parser.partial
                    break
        except ProtocolError as error:
            self._reject_malformed(str(error))
        if count or self.message_deadline == math.inf:
            # Keeps a peer that sends a message byte by byte from holding its place in the connection table.
            awaits_rest = self.parser.partial and not self.has_unhandled_messages
            self.message_deadline = self.listener.clock.now() + MESSAGE_TIMEOUT_S if awaits_rest else math.inf
        self.listener.update_deadline(self)

    def _reject_malformed(self, reason: str) -> None:
        self.listener.counters.add("balancers.malformed")
        self.listener.log.event("balancers.malformed", why=reason)
        self.listener.table.malformed(self.key, self.listener.clock.now())
        self.abort()

    def abort(self) -> None:
        """Fail every open request, send BYE, read no more requests and release what was received of the next one."""
        self.closing = True
        self.has_unhandled_messages = False
        self.parser = RespParser()
        for tag, id in list(self.open_requests.items()):
            self.listener.broker.caller_disconnected(id)
            self.answer(tag, Answer(Verdict.FAILED, value=self.listener.broker.value))
        self.send_bye(self.listener.clock.now())

    def release(self) -> None:
        """Release the buffers and the transport of a connection that has ended, whoever still refers to it."""
        self.parser = RespParser()
        self.has_unhandled_messages = False
        self.write = _write_nothing

    def answer(self, tag: bytes, answer: Answer) -> None:
        """Write the answer of the open request with this tag; do nothing if the request was cancelled."""
        if self.open_requests.pop(tag, None) is not None:
            self.write(format_answer(tag, answer))
            self.last_answer_at = self.listener.clock.now()
            if not self.open_requests:
                self.listener.table.answered(self.key)
                self.listener.update_deadline(self)

    def send_bye(self, now: float) -> None:
        """Send BYE, once: a request to the balancer to send nothing more here and to close the connection."""
        if self.bye_sent_at is None:
            self.bye_sent_at = now
            self.write(BYE)
            self.listener.update_deadline(self)


def _write_nothing(data: bytes) -> None:
    """Stand for `Connection.write` after the end of the connection."""


@dataclass(frozen=True, slots=True)
class Reply:
    """The destination of one request's answer: a tag on a connection."""

    connection: Connection
    tag: bytes

    def answer(self, answer: Answer) -> None:
        """Write the answer on the connection."""
        self.connection.answer(self.tag, answer)
