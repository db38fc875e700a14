"""RETURNs repeated after a lost link, and whether the executor applied one to a later call."""

from __future__ import annotations

from enum import Enum, auto

MAX_RUNS = 4000  # unfinished runs with a wrong reply that are remembered; the executor keeps as many notices


class CallState(Enum):
    """How a call that a run requests is affected by a repeated RETURN."""

    OPEN = auto()  # not affected: the call must be made
    IN_DOUBT = auto()  # may have been answered: the call must be made, but the result of the run is discarded
    ANSWERED = auto()  # answered by the RETURN: the run continues with the wrong reply, the call is not made


class RepeatedReturns:
    """Tracks which runs received, or may have received, the reply to an earlier call.

    After a link is lost it is unknown whether the executor read a RETURN, so the RETURN is written again. If the
    executor had read the first one, it ignores the second, unless the run has requested its next call by then: that
    call receives the earlier reply.

    A METER is written directly before each repeated RETURN. A call that arrives before the answer to that METER was
    requested before the RETURN was read, so the RETURN answers it. If the link is lost before the answer to the
    METER, the outcome remains unknown."""

    def __init__(self) -> None:
        self._pending: dict[str, int] = {}  # run to the unanswered METER before its repeated RETURN
        self._in_doubt: set[str] = set()  # runs whose link was lost after a repeated RETURN
        self._runs_with_wrong_reply: dict[str, None] = {}  # runs, oldest first

    def written(self, id: str, meter: int) -> None:
        """Record that a RETURN was repeated directly after this METER."""
        self._pending[id] = meter

    def meter_answered(self, meter: int) -> None:
        """Record that the executor read this METER and all earlier ones."""
        self._pending = {id: guard_meter for id, guard_meter in self._pending.items() if guard_meter > meter}

    def link_lost(self) -> None:
        """Record that RETURNs whose METER is unanswered may not have been read."""
        self._in_doubt.update(self._pending)
        self._pending.clear()

    def link_synced(self) -> None:
        """Record that all calls requested on lost links have been received."""
        self._in_doubt.clear()

    def call_wanted(self, id: str) -> CallState:
        """Return whether a repeated RETURN answers the call that a run requests."""
        if self._pending.pop(id, None) is not None:
            self._record_wrong_reply(id)
            return CallState.ANSWERED
        if id in self._in_doubt:
            self._in_doubt.discard(id)
            self._record_wrong_reply(id)
            return CallState.IN_DOUBT
        return CallState.OPEN

    def run_ended(self, id: str) -> bool:
        """Forget a run that has ended; return whether it received, or may have received, a wrong reply."""
        self._pending.pop(id, None)
        self._in_doubt.discard(id)
        if id not in self._runs_with_wrong_reply:
            return False
        del self._runs_with_wrong_reply[id]
        return True

    def _record_wrong_reply(self, id: str) -> None:
        self._runs_with_wrong_reply[id] = None
        if len(self._runs_with_wrong_reply) > MAX_RUNS:
            del self._runs_with_wrong_reply[next(iter(self._runs_with_wrong_reply))]
