"""The hand-over session of one process: processes received messages and sends others through `send`. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum

from ..clock import Clock
from ..counters import Counters
from ..idempotency import IdempotencyRecord, KeyOwnership, KeyRequest
from ..lifecycle import Peer
from ..node_intent import NodeIntent
from .fields import MalformedFrameError
from .frames import MAX_STARTED_IDS, Frame, decode, encode, encode_record
from .host import HandoverHost
from .messages import (
    HandoverAccepted,
    KeyRemoved,
    KeyReply,
    KeysSynced,
    LearnedStatistics,
    Message,
    ProcessUsage,
    RecordChanged,
    Rejection,
    TakeoverGranted,
    TakeoverRequest,
)
from .state_machine import PREDECESSOR_STAGES, Event, HandoverStateMachine, Stage


class Delivery(Enum):
    """The result of writing a message to the peer process."""

    IN_KERNEL = "in the kernel's buffer"  # the peer can read the message even if this process is killed
    BUFFERED = "buffered in this process"
    LINK_CLOSED = "link closed"  # detected by this write, before the end of the link is processed


NO_USAGE = ProcessUsage(0, 0.0, 0)
MAX_KEY_LIFETIME_S = 7 * 86400.0  # upper limit for a peer's key, unless this process's settings keep keys longer


class HandoverSession:
    """The message handling between the state machine and the host; implements the broker's `PeerProcess`."""

    def __init__(self, host: HandoverHost, machine: HandoverStateMachine, clock: Clock, counters: Counters) -> None:
        self._host = host
        self._clock = clock
        self._counters = counters
        self.machine = machine
        self.send: Callable[[bytes], Delivery] | None = None  # None without a link
        self._is_executor_ready = False
        self._are_keys_sent = False  # whether every record has been sent to the successor
        self._has_met_peer = False
        self._has_peer_sent_intent = False  # a peer of an earlier version does not, and ignores the intent it receives
        self._is_successor_serving = False  # whether the successor served before the hand-over

    # The broker's `PeerProcess`, and `IdempotencyTable.replicate`:

    def ownership(self, now: float, key_lifetime_s: float) -> KeyOwnership:
        """Return which process may take a key that is not in this process's table and is kept for `key_lifetime_s`."""
        return self.machine.ownership(now, key_lifetime_s)

    def request_key(self, request: KeyRequest) -> None:
        """Request a key from the peer process, which owns unknown keys."""
        self._counters.add("handover.keys_requested")
        self._send(request)

    def replicate(self, key: str, record: IdempotencyRecord | None) -> bool:
        """Send a change of this process's table; return whether the peer is certain to receive it or need not."""
        if self.send is None:
            return self.machine.stage is not Stage.DISCONNECTED
        delivery = self.send(encode(KeyRemoved(key)) if record is None else encode_record(record))
        if delivery is Delivery.LINK_CLOSED:
            return self.machine.owns_keys  # only the owner may run keys while the link is closed
        if delivery is Delivery.IN_KERNEL:
            return True
        # A successor without all records runs no unknown key if this process dies now.
        return self.machine.stage is Stage.SENDING_KEYS and not self._are_keys_sent

    # Both processes:

    def run_started(self, id: str) -> None:
        """Tell the peer that a request runs here, so that its id does not run there too."""
        if self.send is not None:
            self._send(self._host.usage()._replace(started_ids=(id,)))

    def send_usage(self) -> bool:
        """Send the usage of this process; return whether the kernel accepted the message."""
        return self._send(self._host.usage())

    def pass_on(self, intent: NodeIntent) -> bool:
        """Send what the node is told to the successor that serves; return whether the successor receives it."""
        if self.send is None or not self._has_peer_sent_intent or self.machine.stage is not Stage.YIELDED:
            return False
        return self._send(self._host.usage()._replace(intent=intent))

    def intent_changed(self) -> None:
        """Keep what the node was told, and send it to the peer.

        A notice to leave a node of one process concerns no other process, and is not kept."""
        if self._has_met_peer or not self._host.is_leaving():
            self._host.keep_intent()
        self.send_usage()

    def recall_intent(self) -> None:
        """Apply what the node was told at a process to which there is no link."""
        self._host.recall_intent(self._peer)

    @property
    def _peer(self) -> Peer:
        return Peer.SUCCESSOR if self.machine.stage in PREDECESSOR_STAGES else Peer.PREDECESSOR

    def link_opened(self) -> None:
        """Begin with a new link, on which `send` sends: tell the peer this process's usage and intent."""
        self._has_met_peer = True
        self._has_peer_sent_intent = False
        self.send_usage()

    def close(self) -> None:
        """Discard the kept intent at the end of a process that has met no other."""
        if not self._has_met_peer:
            self._host.discard_intent()

    def receive(self, frame: Frame) -> None:
        """Process a frame of the peer. Raises ProtocolError."""
        now = self._clock.now()
        message = decode(frame)
        self._check_expiry(message, now)  # before any change, so that a malformed frame only ends the link
        match message:
            case HandoverAccepted():
                self.machine.apply(Event.ACCEPTED, now)
            case KeysSynced():
                self.machine.apply(Event.KEYS_SYNCED, now)
            case TakeoverGranted():
                self.machine.apply(Event.TAKEOVER_GRANTED, now)
        self.machine.extend_deadline(now)
        self._apply(message)

    def _check_expiry(self, message: Message, now: float) -> None:
        """Check that a key expires and that unknown keys are not refused for ever. Raises MalformedFrameError."""
        match message:
            case RecordChanged(record):
                expires_at = record.expires_at
            case KeyRequest():
                expires_at = message.expires_at
            case KeysSynced(in_doubt_until):
                expires_at = in_doubt_until
            case _:
                return
        if expires_at > now + max(MAX_KEY_LIFETIME_S, self.machine.key_window_s):
            raise MalformedFrameError(f"the key's expiry is {expires_at - now:.0f} s in the future")

    def _apply(self, message: Message) -> None:
        match message:
            case RecordChanged(record):
                self._host.peer_record_changed(record)
            case KeyRemoved(key):
                self._host.peer_key_removed(key)
            case ProcessUsage():
                self._host.set_peer_usage(message)
                self._host.peer_runs_started(message.started_ids)
                self._apply_intent(message.intent)
            case KeyRequest():
                is_granted = self._host.peer_requests_key(message)
                self._send(KeyReply(message.request_id, message.key, is_granted))
            case KeyReply(request_id, key, is_granted):
                self._host.key_replied(request_id, key, is_granted)
            case KeysSynced(in_doubt_until):
                self.machine.adopt_doubt(in_doubt_until)
                self._request_takeover()
            case LearnedStatistics(statistics):
                self._host.adopt_statistics(statistics)
            case TakeoverRequest():
                self._grant_takeover()
            case _:
                pass  # the remaining messages only change the stage

    def _apply_intent(self, intent: NodeIntent | None) -> None:
        if intent is not None:
            self._has_peer_sent_intent = True
            self._host.peer_told(intent, self._peer)

    # Successor:

    def executor_ready(self) -> None:
        """Record that this process's executor has started, and request the takeover if the keys are synced."""
        self._is_executor_ready = True
        self._request_takeover()

    def _request_takeover(self) -> None:
        if self._is_executor_ready and self.machine.apply(Event.EXECUTOR_READY, self._clock.now()):
            self._send(TakeoverRequest())

    def rejected(self, is_busy: bool) -> None:
        """Process the predecessor's rejection of the hand-over."""
        self.send = None
        self.machine.apply(Event.REJECTED_BUSY if is_busy else Event.REJECTED, self._clock.now())

    def predecessor_lost(self, is_alive: bool, are_frames_lost: bool = False) -> None:
        """Process the end of the link to the predecessor. `are_frames_lost`: frames were sent that cannot be read."""
        now = self._clock.now()
        self._end_link()
        self._host.recall_intent(Peer.PREDECESSOR)
        self.machine.predecessor_lost(now, is_alive)
        if are_frames_lost:  # one of them may claim the run of a key that this process knows as reserved
            self.machine.put_keys_in_doubt(now)
        self._host.peer_lost()

    # Predecessor:

    def accept_successor(self, is_serving: bool = False) -> bool:
        """Start a hand-over; return false if the node leaves, a successor is connected or the keys are not owned.

        `is_serving`: the successor serves already. Any other process begins a new life of a node that leaves, and waits
        for the end of this one."""
        if self._host.is_leaving() and not is_serving:
            return False
        self._is_successor_serving = is_serving
        return self.machine.apply(Event.SUCCESSOR_CONNECTED, self._clock.now())

    def record_frames(self) -> Iterator[bytes]:
        """Yield the frames of all records for a successor; concurrent changes are replicated separately."""
        self._are_keys_sent = False
        for record in self._host.records():
            if self._host.is_current(record):
                yield encode_record(record)
        ids = self._host.recent_run_ids()
        for start in range(0, len(ids), MAX_STARTED_IDS):
            yield encode(self._host.usage()._replace(started_ids=tuple(ids[start : start + MAX_STARTED_IDS])))

    def keys_sent(self) -> None:
        """Send SYNCED to the successor.

        Call this after the kernel has accepted all records. From then on a key runs only if the kernel accepts its
        claim immediately."""
        self._are_keys_sent = True
        self._send(KeysSynced(max(0.0, self.machine.in_doubt_until)))

    def _grant_takeover(self) -> None:
        if self._host.is_leaving() and not self._is_successor_serving:
            self._send(Rejection("the node is leaving", is_busy=True))
            return
        if not self.machine.apply(Event.TAKEOVER_REQUESTED, self._clock.now()):
            return
        self._counters.add("handover.yielded")
        if not self._has_peer_sent_intent:
            self._host.successor_ignores_intent()
        self._host.yield_ownership()
        self.send_usage()  # with what the node was told, before the successor serves
        self._send(LearnedStatistics(self._host.learned_statistics()))
        self._send(TakeoverGranted())

    def successor_lost(
        self, is_alive: bool, loop_stalled_s: float, are_frames_lost: bool = False, has_left: bool = False
    ) -> None:
        """Process the end of the link to the successor.

        `loop_stalled_s`: time since the last event loop iteration. `are_frames_lost`: as for `predecessor_lost`.
        `has_left`: the successor has ended in order, as after a notice to leave."""
        now = self._clock.now()
        has_yielded = self.machine.stage is Stage.YIELDED
        self._end_link()
        self._host.recall_intent(Peer.SUCCESSOR)
        if has_yielded and has_left:
            self._successor_left()
        self.machine.successor_lost(now, has_yielded and is_alive, loop_stalled_s)
        if not has_yielded:
            return
        if are_frames_lost:
            self.machine.put_keys_in_doubt(now)
        self._host.peer_lost()
        if self.machine.stage is Stage.ALONE:
            self._host.resume_ownership()

    # Either process, without a link:

    def peer_ended(self, has_left: bool = False) -> None:
        """Process the end of a peer process that had no link to this process. `has_left`: as for `successor_lost`."""
        was_disconnected = self.machine.stage is Stage.DISCONNECTED
        self._host.recall_intent(self._peer)
        if was_disconnected and has_left:
            self._successor_left()
        self.machine.apply(Event.PEER_ENDED, self._clock.now())
        if was_disconnected:
            self._host.resume_ownership()

    def _successor_left(self) -> None:
        """Take the end of a successor that says nothing of its intent, and ends in order, for a notice to leave."""
        if not self._has_peer_sent_intent:
            self._host.successor_left()

    def _send(self, message: Message) -> bool:
        return self.send is not None and self.send(encode(message)) is Delivery.IN_KERNEL

    def _end_link(self) -> None:
        self.send = None
        self._host.set_peer_usage(NO_USAGE)
