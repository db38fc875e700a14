"""The hand-over state machine of one process. The stage determines which process serves and owns unknown keys.

Pure: time is an argument and no messages are sent. `docs/operation.md` prints the tables below, and a test compares
the two."""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from ..idempotency import KeyOwnership

HELLO_TIMEOUT_S = 2.0  # timeout of a predecessor's answer to HELLO
FRAME_TIMEOUT_S = 3.0  # timeout of the next frame of a predecessor that is handing over
STALLED_LOOP_S = 1.5  # duration of an event loop stall after which the peer may treat this process as dead


class Stage(Enum):
    """The stage of a process in a hand-over."""

    ALONE = "alone"  # no other process
    # stages of a successor
    WAITING = "waiting"  # the predecessor is handing over to another successor; this process does not serve yet
    HELLO_SENT = "hello sent"
    RECEIVING_KEYS = "receiving keys"
    SYNCED = "synced"  # all keys have been received; this process's executor may not have started yet
    TAKEOVER_REQUESTED = "takeover requested"
    TAKEN_OVER = "taken over"  # serves; the predecessor finishes its open requests
    UNCOORDINATED = "uncoordinated"  # serves beside a running predecessor that did not hand over
    # stages of a predecessor
    SENDING_KEYS = "sending keys"  # a successor is connected and not ready
    YIELDED = "yielded"  # the successor serves
    DISCONNECTED = "disconnected"  # the successor serves, and the connection to it is lost


PREDECESSOR_STAGES = frozenset({Stage.SENDING_KEYS, Stage.YIELDED, Stage.DISCONNECTED})


class Event(Enum):
    """An event that may change the stage."""

    HELLO_SENT = "HELLO sent"
    REJECTED = "NO received"
    REJECTED_BUSY = "NO received, busy"
    ACCEPTED = "HERE received"
    KEYS_SYNCED = "SYNCED received"
    EXECUTOR_READY = "executor ready"
    TAKEOVER_GRANTED = "YOURS received"
    PREDECESSOR_LOST = "predecessor lost, alive"
    PREDECESSOR_DEAD = "predecessor lost, dead"
    PEER_ENDED = "peer ended"  # no process listens at the rendezvous any more
    SUCCESSOR_CONNECTED = "HELLO received"
    TAKEOVER_REQUESTED = "TAKES received"
    SUCCESSOR_LOST = "successor lost, alive"
    SUCCESSOR_DEAD = "successor lost, dead"
    SUCCESSOR_DEAD_AFTER_STALL = "successor lost, dead, after a stalled loop"


class Transition(NamedTuple):
    """The next stage, and whether unknown keys are in doubt for one window after the transition."""

    stage: Stage
    puts_keys_in_doubt: bool = False


_REJECTIONS = {
    Event.REJECTED: Transition(Stage.UNCOORDINATED),
    Event.REJECTED_BUSY: Transition(Stage.WAITING),
}
_RESTART = {
    Event.HELLO_SENT: Transition(Stage.HELLO_SENT),
    Event.PEER_ENDED: Transition(Stage.ALONE, puts_keys_in_doubt=True),
}
# Not all keys have been received, so the death of the predecessor leaves unknown keys in doubt.
_LOST_UNSYNCED = {
    Event.PREDECESSOR_LOST: Transition(Stage.UNCOORDINATED),
    Event.PREDECESSOR_DEAD: Transition(Stage.ALONE, puts_keys_in_doubt=True),
}
_LOST_SYNCED = {
    Event.PREDECESSOR_LOST: Transition(Stage.UNCOORDINATED),
    Event.PREDECESSOR_DEAD: Transition(Stage.ALONE),
}

# All transitions; an event that is not listed for a stage has no effect.
TRANSITIONS: dict[Stage, dict[Event, Transition]] = {
    Stage.ALONE: {
        Event.HELLO_SENT: Transition(Stage.HELLO_SENT),
        Event.SUCCESSOR_CONNECTED: Transition(Stage.SENDING_KEYS),
    },
    Stage.WAITING: _RESTART,
    Stage.UNCOORDINATED: _RESTART,
    Stage.HELLO_SENT: {
        Event.ACCEPTED: Transition(Stage.RECEIVING_KEYS),
        **_REJECTIONS,
        **_LOST_UNSYNCED,
    },
    Stage.RECEIVING_KEYS: {
        Event.KEYS_SYNCED: Transition(Stage.SYNCED),
        **_REJECTIONS,
        **_LOST_UNSYNCED,
    },
    Stage.SYNCED: {
        Event.EXECUTOR_READY: Transition(Stage.TAKEOVER_REQUESTED),
        **_REJECTIONS,
        **_LOST_SYNCED,
    },
    Stage.TAKEOVER_REQUESTED: {
        Event.TAKEOVER_GRANTED: Transition(Stage.TAKEN_OVER),
        **_REJECTIONS,
        **_LOST_SYNCED,
    },
    Stage.TAKEN_OVER: {
        **_REJECTIONS,
        Event.PREDECESSOR_LOST: Transition(Stage.ALONE),
        Event.PREDECESSOR_DEAD: Transition(Stage.ALONE),
    },
    Stage.SENDING_KEYS: {
        Event.TAKEOVER_REQUESTED: Transition(Stage.YIELDED),
        Event.SUCCESSOR_LOST: Transition(Stage.ALONE),
        Event.SUCCESSOR_DEAD: Transition(Stage.ALONE),
        Event.SUCCESSOR_DEAD_AFTER_STALL: Transition(Stage.ALONE),
    },
    Stage.YIELDED: {
        Event.SUCCESSOR_LOST: Transition(Stage.DISCONNECTED),
        Event.SUCCESSOR_DEAD: Transition(Stage.ALONE),
        # A successor may have taken over on its own while this process's event loop was stalled.
        Event.SUCCESSOR_DEAD_AFTER_STALL: Transition(Stage.ALONE, puts_keys_in_doubt=True),
    },
    Stage.DISCONNECTED: {Event.PEER_ENDED: Transition(Stage.ALONE, puts_keys_in_doubt=True)},
}

# Owner of a key that is not in this process's table, except before `in_doubt_until`.
OWNERSHIP: dict[Stage, KeyOwnership] = {
    Stage.ALONE: KeyOwnership.OWNED,
    Stage.WAITING: KeyOwnership.IN_DOUBT,
    Stage.HELLO_SENT: KeyOwnership.IN_DOUBT,
    Stage.RECEIVING_KEYS: KeyOwnership.IN_DOUBT,
    Stage.SYNCED: KeyOwnership.IN_DOUBT,
    Stage.TAKEOVER_REQUESTED: KeyOwnership.IN_DOUBT,
    Stage.TAKEN_OVER: KeyOwnership.OWNED,
    Stage.UNCOORDINATED: KeyOwnership.IN_DOUBT,
    Stage.SENDING_KEYS: KeyOwnership.OWNED,
    Stage.YIELDED: KeyOwnership.ASK_PEER,
    Stage.DISCONNECTED: KeyOwnership.IN_DOUBT,
}

# Time in seconds from the entry of a stage to its deadline; each frame of the predecessor extends the deadline.
_ENTRY_TIMEOUTS_S: dict[Stage, float] = {
    Stage.HELLO_SENT: HELLO_TIMEOUT_S,
    Stage.RECEIVING_KEYS: FRAME_TIMEOUT_S,
    Stage.TAKEOVER_REQUESTED: FRAME_TIMEOUT_S,
}


class HandoverStateMachine:
    """The hand-over stage of one process, its deadline and the time until which unknown keys are in doubt."""

    def __init__(self, key_window_s: float) -> None:
        """Create a machine without a peer process. `key_window_s`: longest time for which a key is kept."""
        self.key_window_s = key_window_s
        self.stage = Stage.ALONE
        self.deadline = math.inf  # when the predecessor is considered stalled
        # In between, an unknown key may have run at a process that cannot be queried.
        self.in_doubt_since = -math.inf
        self.in_doubt_until = -math.inf

    @property
    def owns_keys(self) -> bool:
        """Return whether this process owns unknown keys, regardless of `in_doubt_until`."""
        return OWNERSHIP[self.stage] is KeyOwnership.OWNED

    def ownership(self, now: float, key_lifetime_s: float | None = None) -> KeyOwnership:
        """Return which process may take a key that is not in this process's table.

        `key_lifetime_s`: how long the key is kept after its run; a key that is kept for a shorter time than others is
        in doubt for a shorter time. None: as long as any key."""
        ownership = OWNERSHIP[self.stage]
        in_doubt_until = self.in_doubt_until
        if key_lifetime_s is not None:
            in_doubt_until = min(in_doubt_until, self.in_doubt_since + key_lifetime_s)
        if ownership is KeyOwnership.OWNED and now < in_doubt_until:
            return KeyOwnership.IN_DOUBT
        return ownership

    def apply(self, event: Event, now: float) -> bool:
        """Apply the transition of an event; return false and change nothing if the stage has none."""
        transition = TRANSITIONS[self.stage].get(event)
        if transition is None:
            return False
        self.stage = transition.stage
        self.deadline = now + _ENTRY_TIMEOUTS_S.get(self.stage, math.inf)
        if transition.puts_keys_in_doubt:
            self.put_keys_in_doubt(now)
        return True

    def put_keys_in_doubt(self, now: float) -> None:
        """Put unknown keys in doubt for one window."""
        self.in_doubt_since = now
        self.in_doubt_until = now + self.key_window_s

    def adopt_doubt(self, in_doubt_until: float) -> None:
        """Keep unknown keys in doubt until a time that the predecessor has given, whatever their lifetime."""
        self.in_doubt_since = self.in_doubt_until = in_doubt_until

    def extend_deadline(self, now: float) -> None:
        """Extend the deadline, if there is one, after a frame of the predecessor."""
        if self.deadline < math.inf:
            self.deadline = now + FRAME_TIMEOUT_S

    def predecessor_lost(self, now: float, is_alive: bool) -> bool:
        """Apply the loss of the link to the predecessor. `is_alive`: it still listens at the rendezvous."""
        return self.apply(Event.PREDECESSOR_LOST if is_alive else Event.PREDECESSOR_DEAD, now)

    def successor_lost(self, now: float, is_alive: bool, loop_stalled_s: float) -> bool:
        """Apply the loss of the link to the successor.

        `loop_stalled_s`: time since the last iteration of this process's event loop."""
        if is_alive:
            return self.apply(Event.SUCCESSOR_LOST, now)
        was_stalled = loop_stalled_s >= STALLED_LOOP_S
        return self.apply(Event.SUCCESSOR_DEAD_AFTER_STALL if was_stalled else Event.SUCCESSOR_DEAD, now)
