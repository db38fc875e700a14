"""The hand-over state machine of one process: its stage, and with it whether it serves and who owns unknown keys.

Pure: time is an argument and nothing is sent from here. `docs/operation.md` prints the tables below; a test compares
them."""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from ..idempotency import KeyOwnership

HELLO_TIMEOUT_S = 2.0  # for a predecessor's answer to HELLO
FRAME_TIMEOUT_S = 3.0  # between two frames of a predecessor that is handing over
STALLED_LOOP_S = 1.5  # without a turn of the event loop, after which a peer may have given this process up


class Stage(Enum):
    """Where a process stands in a hand-over."""

    ALONE = "alone"  # no other process
    # the successor
    WAITING = "waiting"  # another successor is being served by the predecessor; this one does not serve yet
    HELLO_SENT = "hello sent"
    RECEIVING_KEYS = "receiving keys"
    SYNCED = "synced"  # all keys have come; this process's executor may not be up yet
    TAKEOVER_REQUESTED = "takeover requested"
    TAKEN_OVER = "taken over"  # serves; the predecessor finishes
    UNCOORDINATED = "uncoordinated"  # serves beside a live predecessor that did not hand over
    # the predecessor
    SENDING_KEYS = "sending keys"  # a successor is connected and not ready
    YIELDED = "yielded"  # the successor serves
    DISCONNECTED = "disconnected"  # the successor serves, and the connection to it is lost


class Event(Enum):
    """What may change the stage."""

    HELLO_SENT = "HELLO sent"
    REJECTED = "NO received"
    REJECTED_BUSY = "NO received, busy"
    ACCEPTED = "HERE received"
    KEYS_SYNCED = "SYNCED received"
    EXECUTOR_READY = "executor ready"
    TAKEOVER_GRANTED = "YOURS received"
    PREDECESSOR_LOST = "predecessor lost, alive"
    PREDECESSOR_DEAD = "predecessor lost, dead"
    PEER_ENDED = "peer ended"  # nobody listens at the rendezvous any more
    SUCCESSOR_CONNECTED = "HELLO received"
    TAKEOVER_REQUESTED = "TAKES received"
    SUCCESSOR_LOST = "successor lost, alive"
    SUCCESSOR_DEAD = "successor lost, dead"
    SUCCESSOR_DEAD_UNHEARD = "successor lost, dead, after a stalled loop"


class Transition(NamedTuple):
    """The next stage, and whether unknown keys are in doubt for one window from then on."""

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
# The keys have not come whole: the predecessor's death leaves the unknown ones in doubt.
_LOST_UNSYNCED = {
    Event.PREDECESSOR_LOST: Transition(Stage.UNCOORDINATED),
    Event.PREDECESSOR_DEAD: Transition(Stage.ALONE, puts_keys_in_doubt=True),
}
_LOST_SYNCED = {
    Event.PREDECESSOR_LOST: Transition(Stage.UNCOORDINATED),
    Event.PREDECESSOR_DEAD: Transition(Stage.ALONE),
}

# Every transition; an event that a stage does not list changes nothing.
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
        Event.SUCCESSOR_DEAD_UNHEARD: Transition(Stage.ALONE),
    },
    Stage.YIELDED: {
        Event.SUCCESSOR_LOST: Transition(Stage.DISCONNECTED),
        Event.SUCCESSOR_DEAD: Transition(Stage.ALONE),
        # A successor that could not be heard for that long may have gone on by itself.
        Event.SUCCESSOR_DEAD_UNHEARD: Transition(Stage.ALONE, puts_keys_in_doubt=True),
    },
    Stage.DISCONNECTED: {Event.PEER_ENDED: Transition(Stage.ALONE, puts_keys_in_doubt=True)},
}

# Who owns a key that this process does not know, until `in_doubt_until` aside.
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

# Seconds from the entry of a stage to its deadline; frames of the predecessor extend it.
_ENTRY_TIMEOUTS_S: dict[Stage, float] = {
    Stage.HELLO_SENT: HELLO_TIMEOUT_S,
    Stage.RECEIVING_KEYS: FRAME_TIMEOUT_S,
    Stage.TAKEOVER_REQUESTED: FRAME_TIMEOUT_S,
}


class HandoverStateMachine:
    """The stage of one process."""

    def __init__(self, key_window_s: float) -> None:
        """`key_window_s`: for how long the longest-lived key is remembered."""
        self.key_window_s = key_window_s
        self.stage = Stage.ALONE
        self.deadline = math.inf  # when a predecessor counts as stalled
        self.in_doubt_until = -math.inf  # until then an unknown key may have run where nobody can be asked

    @property
    def owns_keys(self) -> bool:
        """Keys are this process's to give, apart from those in doubt."""
        return OWNERSHIP[self.stage] is KeyOwnership.OWNED

    def ownership(self, now: float) -> KeyOwnership:
        """Return who may take a key that this process does not know."""
        ownership = OWNERSHIP[self.stage]
        if ownership is KeyOwnership.OWNED and now < self.in_doubt_until:
            return KeyOwnership.IN_DOUBT
        return ownership

    def apply(self, event: Event, now: float) -> bool:
        """Make the transition of an event; false, and no change, where the stage has none."""
        transition = TRANSITIONS[self.stage].get(event)
        if transition is None:
            return False
        self.stage = transition.stage
        self.deadline = now + _ENTRY_TIMEOUTS_S.get(self.stage, math.inf)
        if transition.puts_keys_in_doubt:
            self.in_doubt_until = now + self.key_window_s
        return True

    def extend_deadline(self, now: float) -> None:
        """Note that the predecessor has sent a frame."""
        if self.deadline < math.inf:
            self.deadline = now + FRAME_TIMEOUT_S

    def predecessor_lost(self, now: float, is_alive: bool) -> bool:
        """Apply the loss of the connection to the predecessor. `is_alive`: it still listens at the rendezvous."""
        return self.apply(Event.PREDECESSOR_LOST if is_alive else Event.PREDECESSOR_DEAD, now)

    def successor_lost(self, now: float, is_alive: bool, loop_stalled_s: float) -> bool:
        """Apply the loss of the connection to the successor.

        `loop_stalled_s`: since the last turn of this process's event loop."""
        if is_alive:
            return self.apply(Event.SUCCESSOR_LOST, now)
        is_unheard = loop_stalled_s >= STALLED_LOOP_S
        return self.apply(Event.SUCCESSOR_DEAD_UNHEARD if is_unheard else Event.SUCCESSOR_DEAD, now)
