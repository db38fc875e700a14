"""One balancer's connection as a state machine without a socket: bytes in, messages and answers out."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ...admission import ConnectionTable, ProxyError, ProxyHead
from ...broker import Answer, Broker, Verdict
from ...clock import Clock
from ...counters import Counters
from ...logs import Log
from ..lines import ProtocolError
from .messages import BYE, format_answer
from .parser import RespParser

MESSAGE_TIMEOUT_S = 5.0  # in which a message that has begun must be complete, the first one apart


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that owns it."""

    broker: Broker
    clock: Clock
    counters: Counters
    log: Log
    table: ConnectionTable

    def record(self, connection: Connection, sent: bool, data: bytes) -> None:
        """Pass bytes to the recorder, if there is one."""

    def handle_message(self, connection: Connection, items: list[bytes]) -> None:
        """Handle one message. Raises ProtocolError."""

    def accept_proxied(self, connection: Connection, address: bytes) -> bool:
        """Judge the address that a relay has sent; false if the connection must end."""

    def update_deadline(self, connection: Connection) -> None:
        """Look at the connection again when a time of it may be over."""


@dataclass(slots=True)
class Connection:
    """One balancer's connection: the state of the protocol, and how to write. It knows no socket."""

    listener: ConnectionOwner
    write: Callable[[bytes], None]
    parser: RespParser = field(default_factory=RespParser)
    open: dict[bytes, str] = field(default_factory=dict)  # tag to request id
    last_used_at: float = 0.0
    last_answer_at: float = 0.0
    carries_health_checks: bool = False
    bye_sent_at: float | None = None
    closing: bool = False  # reads no more requests; closes once none is open
    close_at: float = math.inf  # when it is closed, whatever its peer does, after the last answer
    message_deadline: float = math.inf  # by which the awaited or partly received message must be complete
    has_valid_message: bool = False  # a request that could be accepted, or a health check
    time_shift_s: float = 0.0  # added to the times of its requests
    key: int = 0  # in the listener's tables; 0 has no socket
    proxy: ProxyHead | None = None  # what a relay sends first

    def received(self, data: bytes) -> None:
        """Take in bytes. Malformed input ends the reading, and every open request is failed at once."""
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
        complete = False
        try:
            while not self.closing and (items := self.parser.next()) is not None:
                complete = True
                self.listener.handle_message(self, items)
        except ProtocolError as error:
            self._reject_malformed(str(error))
        if complete or self.message_deadline == math.inf:
            # Guards the table of connections against messages that begin and never end, however slowly they come.
            self.message_deadline = self.listener.clock.now() + MESSAGE_TIMEOUT_S if self.parser.partial else math.inf
        self.listener.update_deadline(self)

    def _reject_malformed(self, reason: str) -> None:
        self.listener.counters.add("balancers.malformed")
        self.listener.log.event("balancers.malformed", why=reason)
        self.listener.table.malformed(self.key, self.listener.clock.now())
        self.abort()

    def abort(self) -> None:
        """Fail every open request, ask the balancer to close, and read no more."""
        self.closing = True
        for tag, id in list(self.open.items()):
            self.listener.broker.caller_disconnected(id)
            self.answer(tag, Answer(Verdict.FAILED, value=self.listener.broker.value))
        self.send_bye(self.listener.clock.now())

    def answer(self, tag: bytes, answer: Answer) -> None:
        """Write the one answer to a tag, unless its caller has cancelled."""
        if self.open.pop(tag, None) is not None:
            self.write(format_answer(tag, answer))
            self.last_answer_at = self.listener.clock.now()
            if not self.open:
                self.listener.table.answered(self.key)
                self.listener.update_deadline(self)

    def send_bye(self, now: float) -> None:
        """Ask the balancer to send nothing more here and to close."""
        if self.bye_sent_at is None:
            self.bye_sent_at = now
            self.write(BYE)
            self.listener.update_deadline(self)


@dataclass(frozen=True, slots=True)
class Reply:
    """Who gets a request's answer: a tag on a connection."""

    connection: Connection
    tag: bytes

    def answer(self, answer: Answer) -> None:
        """Write the answer on the connection."""
        self.connection.answer(self.tag, answer)
