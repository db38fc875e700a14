"""RETURNs that are written once more after a lost link, and whether one was taken for the reply to another call."""

from __future__ import annotations

from enum import Enum, auto

MAX_RUNS = 4000  # with a wrong reply, of which the end is awaited; the executor keeps as many notices


class CallState(Enum):
    """What a repeated RETURN means for the call that a run asks for."""

    OPEN = auto()  # nothing: the call is to be made
    IN_DOUBT = auto()  # it may have answered the call, which is to be made, though the run's result is worth nothing
    ANSWERED = auto()  # it answers the call, and the run goes on without it


class RepeatedReturns:
    """Tells which runs got, or may have got, the reply to an earlier call.

    Whether the executor read a RETURN of a lost link isn't known, so it is written again. If it had read the first, the
    second does nothing, unless the run has asked for its next call by then: that call gets the earlier reply.

    A METER is written right before each repeated RETURN. A call that arrives before the answer to that METER was
    asked for before the RETURN was read, so that the RETURN answers it. Where the link is lost before that answer,
    nothing tells."""

    def __init__(self) -> None:
        self._unread_until: dict[str, int] = {}  # the METER whose answer shows that the RETURN after it is being read
        self._in_doubt: set[str] = set()  # runs whose repeated RETURN went with a link that was lost
        self._wrongly_answered: dict[str, None] = {}  # runs, oldest first

    def written(self, id: str, meter: int) -> None:
        """Note that a RETURN was written once more, right behind this METER."""
        self._unread_until[id] = meter

    def meter_answered(self, meter: int) -> None:
        """Note that this METER and all before it were read."""
        self._unread_until = {id: until for id, until in self._unread_until.items() if until > meter}

    def link_lost(self) -> None:
        """Note that what was written may not be read."""
        self._in_doubt.update(self._unread_until)
        self._unread_until.clear()

    def link_synced(self) -> None:
        """Note that all calls that were asked for on lost links are known."""
        self._in_doubt.clear()

    def call_wanted(self, id: str) -> CallState:
        """Return whether a repeated RETURN answers the call that a run asks for."""
        if self._unread_until.pop(id, None) is not None:
            self._remember_wrong(id)
            return CallState.ANSWERED
        if id in self._in_doubt:
            self._in_doubt.discard(id)
            self._remember_wrong(id)
            return CallState.IN_DOUBT
        return CallState.OPEN

    def run_ended(self, id: str) -> bool:
        """Forget a run that is over; return whether it went on with a wrong reply, or may have."""
        self._unread_until.pop(id, None)
        self._in_doubt.discard(id)
        if id not in self._wrongly_answered:
            return False
        del self._wrongly_answered[id]
        return True

    def _remember_wrong(self, id: str) -> None:
        self._wrongly_answered[id] = None
        if len(self._wrongly_answered) > MAX_RUNS:
            del self._wrongly_answered[next(iter(self._wrongly_answered))]
