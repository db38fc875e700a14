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
    MEETING = "meeting"  # HELLO was said
    LEARNING = "learning"  # keys are being told
    SYNCED = "synced"  # all was told; the executor may not have welcomed yet
    TAKING = "taking"  # TAKES was said
    OWNER = "owner"  # serves; the predecessor finishes
    APART = "apart"  # serves without having met a predecessor that lives
    # the older one
    TELLING = "telling"  # a successor is there and not ready
    YIELDED = "yielded"  # the successor serves
    CUT_OFF = "cut off"  # the successor serves, and the link to it is gone


SERVING = frozenset({Stage.ALONE, Stage.OWNER, Stage.APART, Stage.TELLING})
OWNING = frozenset({Stage.ALONE, Stage.OWNER, Stage.TELLING})


class Succession:
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
            return KeyOwnership.ASKS
        return KeyOwnership.OWNS if self.stage in OWNING and now >= self.closed_until else KeyOwnership.CLOSED

    # --- the newer process ---

    def met(self, now: float) -> None:
        """A predecessor was found and HELLO was said."""
        self.stage, self.by = Stage.MEETING, now + ANSWER_BY

    def turned_away(self, now: float, busy: bool) -> None:
        """It does not hand over: another successor is at work, or it is of another version."""
        self.stage, self.by = Stage.WAITING if busy else Stage.APART, math.inf

    def heard(self, now: float, verb: str) -> None:
        """It said something."""
        if verb == "HERE" and self.stage is Stage.MEETING:
            self.stage = Stage.LEARNING
        elif verb == "SYNCED" and self.stage is Stage.LEARNING:
            self.stage, self.by = Stage.SYNCED, math.inf
        elif verb == "YOURS" and self.stage is Stage.TAKING:
            self.stage, self.by = Stage.OWNER, math.inf
        if self.by < math.inf:
            self.by = now + WORD_BY

    def takes(self, now: float) -> bool:
        """The executor has welcomed: whether TAKES is to be said now."""
        if self.stage is not Stage.SYNCED:
            return False
        self.stage, self.by = Stage.TAKING, now + WORD_BY
        return True

    def lost(self, now: float, alive: bool) -> None:
        """The link to the predecessor is gone or given up; `alive`: it still answers at the meeting place."""
        told = self.stage in (Stage.SYNCED, Stage.TAKING, Stage.OWNER)
        if alive and self.stage is not Stage.OWNER:
            # It lives and was not heard to yield: it goes on owning the keys.
            self.stage, self.by = Stage.APART, math.inf
            return
        if not told and self.stage is not Stage.WAITING:
            self.closed_until = now + self._window
        self.stage, self.by = Stage.ALONE, math.inf

    def gone(self, now: float) -> None:
        """Nobody answers at the meeting place any more."""
        if self.stage in (Stage.APART, Stage.CUT_OFF, Stage.WAITING):
            self.closed_until = now + self._window
            self.stage, self.by = Stage.ALONE, math.inf

    # --- the older process ---

    def joined(self) -> bool:
        """A successor says HELLO; false where there is one already or this process does not own the keys."""
        if self.stage is not Stage.ALONE:
            return False
        self.stage = Stage.TELLING
        return True

    def taken(self) -> bool:
        """The successor says TAKES."""
        if self.stage is not Stage.TELLING:
            return False
        self.stage = Stage.YIELDED
        return True

    def left(self, now: float, alive: bool, stood: float) -> None:
        """The link to the successor is gone. `stood`: seconds since the last turn of this process's loop. A successor
        that could not be heard for that long may have gone on by itself."""
        if self.stage is Stage.YIELDED and alive:
            self.stage = Stage.CUT_OFF
            return
        if self.stage is Stage.YIELDED and stood >= STALLED:
            self.closed_until = now + self._window
        self.stage = Stage.ALONE
