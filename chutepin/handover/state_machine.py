"""Who serves and who owns the keys, as one table of stages. Pure: time is an argument, nothing is sent from here."""

from __future__ import annotations

import math
from enum import Enum

from ..idempotency import KeyOwnership

ANSWER_BY = 2.0  # seconds in which a predecessor must answer HELLO
WORD_BY = 3.0  # seconds in which it must go on telling
STALLED = 1.5  # seconds without a turn of the loop after which another may have given this process up


class Stage(Enum):
    """Where a process stands towards the node's other one."""

    ALONE = "alone"
    # the newer one
    WAITING = "waiting"  # a third process is between the two: not serving until it is met or gone
    HELLO_SENT = "hello sent"  # to a predecessor that has not answered
    RECEIVING_KEYS = "learning"  # keys are being told
    SYNCED = "synced"  # all was told; the executor may not have welcomed yet
    TAKEOVER_REQUESTED = "taking"  # TAKES was said
    TAKEN_OVER = "owner"  # serves; the predecessor finishes
    UNCOORDINATED = "apart"  # serves without having met a predecessor that lives
    # the older one
    SENDING_KEYS = "telling"  # a successor is there and not ready
    YIELDED = "yielded"  # the successor serves
    DISCONNECTED = "cut off"  # the successor serves, and the link to it is gone


SERVING = frozenset({Stage.ALONE, Stage.TAKEN_OVER, Stage.UNCOORDINATED, Stage.SENDING_KEYS})
OWNING = frozenset({Stage.ALONE, Stage.TAKEN_OVER, Stage.SENDING_KEYS})


class HandoverStateMachine:
    """The stages of one process."""

    def __init__(self, window: float) -> None:
        """`window`: seconds for which the longest-lived key is remembered."""
        self._window = window
        self.stage = Stage.ALONE
        self.by = math.inf  # when the present stage counts as stalled
        self.closed_until = -math.inf  # until then an unknown key may have run where nobody can be asked

    @property
    def serving(self) -> bool:
        """This process accepts connections."""
        return self.stage in SERVING

    def standing(self, now: float) -> KeyOwnership:
        """Who may take a key that this process does not know."""
        if self.stage is Stage.YIELDED:
            return KeyOwnership.ASK_PEER
        return KeyOwnership.OWNED if self.stage in OWNING and now >= self.closed_until else KeyOwnership.IN_DOUBT

    # --- the newer process ---

    def met(self, now: float) -> None:
        """A predecessor was found and HELLO was said."""
        self.stage, self.by = Stage.HELLO_SENT, now + ANSWER_BY

    def turned_away(self, now: float, busy: bool) -> None:
        """It does not hand over: another successor is at work, or it is of another version."""
        self.stage, self.by = Stage.WAITING if busy else Stage.UNCOORDINATED, math.inf

    def heard(self, now: float, verb: str) -> None:
        """It said something."""
        if verb == "HERE" and self.stage is Stage.HELLO_SENT:
            self.stage = Stage.RECEIVING_KEYS
        elif verb == "SYNCED" and self.stage is Stage.RECEIVING_KEYS:
            self.stage, self.by = Stage.SYNCED, math.inf
        elif verb == "YOURS" and self.stage is Stage.TAKEOVER_REQUESTED:
            self.stage, self.by = Stage.TAKEN_OVER, math.inf
        if self.by < math.inf:
            self.by = now + WORD_BY

    def takes(self, now: float) -> bool:
        """The executor has welcomed: whether TAKES is to be said now."""
        if self.stage is not Stage.SYNCED:
            return False
        self.stage, self.by = Stage.TAKEOVER_REQUESTED, now + WORD_BY
        return True

    def lost(self, now: float, alive: bool) -> None:
        """The link to the predecessor is gone or given up; `alive`: it still answers at the meeting place."""
        told = self.stage in (Stage.SYNCED, Stage.TAKEOVER_REQUESTED, Stage.TAKEN_OVER)
        if alive and self.stage is not Stage.TAKEN_OVER:
            # It lives and was not heard to yield: it goes on owning the keys.
            self.stage, self.by = Stage.UNCOORDINATED, math.inf
            return
        if not told and self.stage is not Stage.WAITING:
            self.closed_until = now + self._window
        self.stage, self.by = Stage.ALONE, math.inf

    def gone(self, now: float) -> None:
        """Nobody answers at the meeting place any more."""
        if self.stage in (Stage.UNCOORDINATED, Stage.DISCONNECTED, Stage.WAITING):
            self.closed_until = now + self._window
            self.stage, self.by = Stage.ALONE, math.inf

    # --- the older process ---

    def joined(self) -> bool:
        """A successor says HELLO; false where there is one already or this process does not own the keys."""
        if self.stage is not Stage.ALONE:
            return False
        self.stage = Stage.SENDING_KEYS
        return True

    def taken(self) -> bool:
        """The successor says TAKES."""
        if self.stage is not Stage.SENDING_KEYS:
            return False
        self.stage = Stage.YIELDED
        return True

    def left(self, now: float, alive: bool, stood: float) -> None:
        """The link to the successor is gone. `stood`: seconds since the last turn of this process's loop. A successor
        that could not be heard for that long may have gone on by itself."""
        if self.stage is Stage.YIELDED and alive:
            self.stage = Stage.DISCONNECTED
            return
        if self.stage is Stage.YIELDED and stood >= STALLED:
            self.closed_until = now + self._window
        self.stage = Stage.ALONE
