"""The decision module behind three calls: `pick`, `report` and `tick`.

Nothing else in chutepin sees the module's events or actions. Each call hands one event to the module and turns its
actions into calls on the core, in the module's order.
"""

from __future__ import annotations

import dataclasses
from enum import Enum
from typing import Any, Protocol

from . import decision
from .decision.policy import Policy


class End(Enum):
    """How a run, a shared answer or a call ended, in the core's words."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"  # rejected: proof that it never ran
    LATE = "late"  # ran out of time
    UNREACHABLE = "unreachable"  # proof that it never ran
    BROKEN = "broken"  # outcome unknown
    CANCELLED = "cancelled"
    NEVER = "never"  # nothing was started


_OUTCOME = {
    End.OK: decision.Outcome.OK,
    End.ERROR: decision.Outcome.ERROR,
    End.REFUSED: decision.Outcome.BUSY,
    End.LATE: decision.Outcome.TIMEOUT,
    End.UNREACHABLE: decision.Outcome.CONNECT_FAILED,
    End.BROKEN: decision.Outcome.RESET,
    End.CANCELLED: decision.Outcome.CANCELLED,
    End.NEVER: decision.Outcome.NOT_STARTED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request as the module sees it: no bodies and no connection."""

    id: str
    cls: str
    tenant: str | None
    subject: str | None
    arrived: float
    due: float
    size: float
    rank: float
    caller: int
    is_retry: bool
    repeats: str | None  # id of the attempt that holds the key's record


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run or a shared answer is over."""

    id: str
    end: End
    elapsed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallNeeded:
    """A run needs its call to the dependency."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallReturned:
    """A call is over."""

    id: str
    end: End
    elapsed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller has disconnected."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainNotice:
    """The node shuts down, after a notice at `notice`; all is answered by `stop`."""

    stop: float
    notice: float


Report = RunEnded | CallNeeded | CallReturned | CallerDisconnected | DrainNotice


class Core(Protocol):
    """What the module asks of the core. All times are absolute."""

    def run(self, id: str) -> None:
        """Start a queued request."""

    def stop(self, id: str) -> None:
        """Stop a run; its answer stays owed."""

    def reject(self, id: str, retry_after: float, no_other_node: bool) -> None:
        """Reject a request that never ran."""

    def fail(self, id: str) -> None:
        """Answer with an error."""

    def call(self, id: str, deadline: float) -> None:
        """Make the call that a run waits for."""

    def skip_call(self, id: str) -> None:
        """Let a run go on without its call."""

    def keep_key(self, id: str, until: float) -> None:
        """Keep the request's idempotency key."""

    def forget_key(self, id: str) -> None:
        """Remove the request's idempotency key."""

    def share(self, id: str) -> None:
        """Answer with the result of the request that this one repeats."""

    def set_health(self, good: bool) -> None:
        """Answer health checks so from now on."""

    def announce(self, value: float) -> None:
        """Send this value with every answer from now on."""

    def set_idle(self, after: float) -> None:
        """Close connections that are idle for `after` seconds."""

    def set_timer(self, token: int, at: float) -> None:
        """Call `Facade.tick` with this token at that time."""

    def log_line(self, text: str) -> None:
        """Write a line to the log."""


class Facade:
    """A decision instance of this node, from one start of the executor to the next."""

    def __init__(self, settings: decision.Settings, seed: int, core: Core) -> None:
        self._settings, self._seed, self._core = settings, seed, core
        self._policy = Policy(settings, seed)

    def start(self, now: float, born: float, cold: bool) -> None:
        """Begin anew: the executor came up at `born`, cold or warm."""
        self._policy = Policy(dataclasses.replace(self._settings, warming_up=cold), self._seed)
        self._apply(now, self._policy.start(min(born, now)))

    def pick(self, now: float, pending: PendingRequest) -> None:
        """Take in a request."""
        self._handle(
            now,
            decision.Request(
                id=pending.id,
                cls=pending.cls,
                unread=max(0.0, now - pending.arrived),
                size=pending.size,
                tenant=pending.tenant,
                key=pending.subject,
                due=pending.due,
                rank=pending.rank,
                caller=pending.caller,
                repeats=pending.repeats,
                is_retry=pending.is_retry,
            ),
        )

    def report(self, now: float, what: Report) -> None:
        """Take in the end of a run or a call, that a caller has disconnected, or that the node shuts down."""
        match what:
            case RunEnded(id, end, elapsed):
                self._handle(now, decision.Finished(id, _OUTCOME[end], elapsed))
            case CallNeeded(id):
                self._handle(now, decision.CallNeeded(id))
            case CallReturned(id, end, elapsed):
                self._handle(now, decision.CallReturned(id, _OUTCOME[end], elapsed))
            case CallerDisconnected(id):
                self._handle(now, decision.CallerDisconnected(id))
            case DrainNotice(stop, notice):
                self._handle(now, decision.DrainNotice(stop, notice))

    @property
    def use(self) -> tuple[int, float]:
        """Runs on the cores or at calls, from which they may come back any moment; memory of all requests in KB."""
        usage = self._policy.usage()
        return usage.running, usage.memory

    def set_peer_usage(self, now: float, running: int, memory: float) -> None:
        """Take in what the node's other process uses."""
        self._handle(now, decision.PeerProcessUsage(running, memory))

    def learned(self) -> dict[str, object]:
        """What the module has learned; tables are lists of pairs, as names in JSON are no numbers."""
        return {
            name: list(value.items()) if isinstance(value, dict) else value
            for name, value in self._policy.learned().items()
        }

    def adopt(self, learned: dict[str, object]) -> bool:
        """Give the module what another one has learned. Returns false, and changes nothing, where that is malformed."""
        adopted: dict[str, object] = {}
        try:
            for name, current in self._policy.learned().items():
                value: Any = learned[name]
                if isinstance(current, dict):  # pairs come back from JSON as lists
                    adopted[name] = {key: tuple(v) if isinstance(v, list) else v for key, v in value}
                    continue
                kind: Any = type(current)
                adopted[name] = kind(value)
                if isinstance(current, list) and len(value) != len(current):  # one value a class or tenant
                    return False
        except (KeyError, TypeError, ValueError, OverflowError):
            return False
        self._policy.adopt(adopted)
        return True

    def tick(self, now: float, token: int, gauges: tuple[float, ...]) -> None:
        """A timer that the module set ran out."""
        self._handle(now, decision.TimerFired(token, gauges))

    def _handle(self, now: float, event: decision.Event) -> None:
        self._apply(now, self._policy.handle(now, [event]))

    def _apply(self, now: float, actions: list[decision.Action]) -> None:  # noqa: C901  one case an action
        core = self._core
        for action in actions:
            match action:
                case decision.Run(id):
                    core.run(id)
                case decision.Stop(id):
                    core.stop(id)
                case decision.Reject(id, retry_after, no_other_node):
                    core.reject(id, retry_after, no_other_node)
                case decision.Fail(id):
                    core.fail(id)
                case decision.Call(id, timeout):
                    core.call(id, now + timeout)
                case decision.SkipCall(id):
                    core.skip_call(id)
                case decision.KeepKey(id, keep_for):
                    core.keep_key(id, now + keep_for)
                case decision.ForgetKey(id):
                    core.forget_key(id)
                case decision.ShareResult(id):
                    core.share(id)
                case decision.SetHealth(good):
                    core.set_health(good)
                case decision.Announce(value):
                    core.announce(value)
                case decision.IdleTimeout(after):
                    core.set_idle(after)
                case decision.SetTimer(token, after):
                    core.set_timer(token, now + after)
                case decision.Log(text):
                    core.log_line(text)
