"""One process's side of a hand-over: messages in, messages out through `send`. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import Protocol

from ..clock import Clock
from ..counters import Counters
from ..idempotency import IdempotencyRecord, KeyOwnership, KeyRequest
from .fields import MalformedFrameError
from .frames import Frame, decode, encode, encode_record
from .messages import (
    Here,
    KeyRemoved,
    KeyReply,
    KeysSynced,
    LearnedStatistics,
    Message,
    ProcessUsage,
    RecordChanged,
    TakeoverGranted,
    TakeoverRequest,
)
from .state_machine import Event, HandoverStateMachine, Stage


class Delivery(Enum):
    """What became of a message that was written to the other process."""

    IN_KERNEL = "in the kernel's buffer"  # the peer will read it even if this process is killed
    BUFFERED = "buffered in this process"
    LINK_CLOSED = "link closed"  # found by this very write; nobody has been notified yet


class HandoverHost(Protocol):
    """The node, as the hand-over needs it."""

    def records(self) -> list[IdempotencyRecord]:
        """Return all records of this process."""

    def is_current(self, record: IdempotencyRecord) -> bool:
        """The record is still in the table."""

    def peer_record_changed(self, record: IdempotencyRecord) -> None:
        """Apply a record of the other process."""

    def peer_key_removed(self, key: str) -> None:
        """Apply the removal of a key by the other process."""

    def peer_requests_key(self, request: KeyRequest) -> bool:
        """Decide whether the other process may take a key."""

    def key_replied(self, request_id: str, key: str, is_granted: bool) -> None:
        """Go on with a request that waits for its key."""

    def peer_lost(self) -> None:
        """Settle what the other process held."""

    def learned_statistics(self) -> dict[str, object]:
        """Return what this process's decision module has learned."""

    def adopt_statistics(self, statistics: dict[str, object]) -> None:
        """Begin with what the predecessor's decision module had learned."""

    def usage(self) -> ProcessUsage:
        """Return what this process uses of the node's limits."""

    def set_peer_usage(self, usage: ProcessUsage) -> None:
        """Leave room for what the other process uses."""

    def yield_ownership(self) -> None:
        """Stop accepting and finish what is open: the successor serves."""

    def resume_ownership(self) -> None:
        """Accept again: the successor has gone."""


NO_USAGE = ProcessUsage(0, 0.0, 0)
MAX_KEY_LIFETIME_S = 7 * 86400.0  # of a key at the other process, unless this one's settings remember keys for longer


class HandoverSession:
    """Applies messages to the state machine and the host; the broker's `PeerProcess`."""

    def __init__(self, host: HandoverHost, machine: HandoverStateMachine, clock: Clock, counters: Counters) -> None:
        self._host = host
        self._clock = clock
        self._counters = counters
        self.machine = machine
        self.send: Callable[[bytes], Delivery] | None = None  # None without a link
        self._is_executor_ready = False
        self._are_keys_sent = False  # the successor has been sent every record

    # As the broker's `PeerProcess`, and `IdempotencyTable.replicate`:

    def ownership(self, now: float) -> KeyOwnership:
        """Return who may take a key that is not known here."""
        return self.machine.ownership(now)

    def request_key(self, request: KeyRequest) -> None:
        """Ask the owner of the keys."""
        self._counters.add("handover.keys_requested")
        self._send(request)

    def replicate(self, key: str, record: IdempotencyRecord | None) -> bool:
        """Send a change of this process's table; true once the other process is sure to receive it, or needs not."""
        if self.send is None:
            return self.machine.stage is not Stage.DISCONNECTED
        delivery = self.send(encode(KeyRemoved(key)) if record is None else encode_record(record))
        if delivery is Delivery.LINK_CLOSED:
            return self.machine.owns_keys  # and goes on alone: without a link the other one runs no key
        if delivery is Delivery.IN_KERNEL:
            return True
        # A successor that was not sent every record takes no key if this process dies now.
        return self.machine.stage is Stage.SENDING_KEYS and not self._are_keys_sent

    # Both processes:

    def send_usage(self) -> bool:
        """Send what this process uses; true where the kernel took it."""
        return self._send(self._host.usage())

    def receive(self, frame: Frame) -> None:
        """Apply a frame of the other process. Raises ProtocolError."""
        now = self._clock.now()
        message = decode(frame)
        self._check_time(message, now)  # before anything changes: what is malformed ends the link and no more
        match message:
            case Here():
                self.machine.apply(Event.ACCEPTED, now)
            case KeysSynced():
                self.machine.apply(Event.KEYS_SYNCED, now)
            case TakeoverGranted():
                self.machine.apply(Event.TAKEOVER_GRANTED, now)
        self.machine.extend_deadline(now)
        self._apply(message)

    def _check_time(self, message: Message, now: float) -> None:
        """Guard against a key that would stay for ever, and against unknown keys that would be refused for good."""
        match message:
            case RecordChanged(record):
                until = record.expires_at
            case KeyRequest():
                until = message.expires_at
            case KeysSynced(in_doubt_until):
                until = in_doubt_until
            case _:
                return
        if until > now + max(MAX_KEY_LIFETIME_S, self.machine.key_window_s):
            raise MalformedFrameError(f"a key's time is {until - now:.0f} s ahead")

    def _apply(self, message: Message) -> None:
        match message:
            case RecordChanged(record):
                self._host.peer_record_changed(record)
            case KeyRemoved(key):
                self._host.peer_key_removed(key)
            case ProcessUsage():
                self._host.set_peer_usage(message)
            case KeyRequest():
                is_granted = self._host.peer_requests_key(message)
                self._send(KeyReply(message.request_id, message.key, is_granted))
            case KeyReply(request_id, key, is_granted):
                self._host.key_replied(request_id, key, is_granted)
            case KeysSynced(in_doubt_until):
                self.machine.in_doubt_until = in_doubt_until
                self._request_takeover()
            case LearnedStatistics(statistics):
                self._host.adopt_statistics(statistics)
            case TakeoverRequest():
                self._grant_takeover()
            case _:
                pass  # these change the stage alone

    # The successor:

    def executor_ready(self) -> None:
        """Note that this process's executor is up."""
        self._is_executor_ready = True
        self._request_takeover()

    def _request_takeover(self) -> None:
        if self._is_executor_ready and self.machine.apply(Event.EXECUTOR_READY, self._clock.now()):
            self._send(TakeoverRequest())

    def rejected(self, is_busy: bool) -> None:
        """Apply the predecessor's refusal to hand over."""
        self.send = None
        self.machine.apply(Event.REJECTED_BUSY if is_busy else Event.REJECTED, self._clock.now())

    def predecessor_lost(self, is_alive: bool) -> None:
        """Apply the end of the link to the predecessor."""
        self._end_link()
        self.machine.predecessor_lost(self._clock.now(), is_alive)
        self._host.peer_lost()

    # The predecessor:

    def accept_successor(self) -> bool:
        """Begin a hand-over; false where there is a successor already, or the keys are not this process's."""
        return self.machine.apply(Event.SUCCESSOR_CONNECTED, self._clock.now())

    def record_frames(self) -> Iterator[bytes]:
        """Yield the frames of all records for a successor; changes meanwhile are replicated as they happen."""
        self._are_keys_sent = False
        for record in self._host.records():
            if self._host.is_current(record):
                yield encode_record(record)

    def keys_sent(self) -> None:
        """Tell the successor that it has every record.

        To be called once the kernel has taken them: from here on a key runs only if the kernel takes its claim at
        once."""
        self._are_keys_sent = True
        self._send(KeysSynced(max(0.0, self.machine.in_doubt_until)))

    def _grant_takeover(self) -> None:
        if not self.machine.apply(Event.TAKEOVER_REQUESTED, self._clock.now()):
            return
        self._counters.add("handover.yielded")
        self._host.yield_ownership()
        self._send(LearnedStatistics(self._host.learned_statistics()))
        self._send(TakeoverGranted())

    def successor_lost(self, is_alive: bool, loop_stalled_s: float) -> None:
        """Apply the end of the link to the successor."""
        has_yielded = self.machine.stage is Stage.YIELDED
        self._end_link()
        self.machine.successor_lost(self._clock.now(), has_yielded and is_alive, loop_stalled_s)
        if not has_yielded:
            return
        self._host.peer_lost()
        if self.machine.stage is Stage.ALONE:
            self._host.resume_ownership()

    # Either, without a link:

    def peer_ended(self) -> None:
        """Apply the end of a process that lived on without a link to this one."""
        was_disconnected = self.machine.stage is Stage.DISCONNECTED
        self.machine.apply(Event.PEER_ENDED, self._clock.now())
        if was_disconnected:
            self._host.resume_ownership()

    def _send(self, message: Message) -> bool:
        return self.send is not None and self.send(encode(message)) is Delivery.IN_KERNEL

    def _end_link(self) -> None:
        self.send = None
        self._host.set_peer_usage(NO_USAGE)
