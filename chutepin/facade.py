"""Facade of the decision package for the broker: `Facade.pick`, `Facade.report` and `Facade.tick`.

No other module of the node uses the package's events or actions. Each call passes one event to the policy and applies
the returned actions to the `DecisionHost`, in their order.
"""

from __future__ import annotations

import dataclasses
from enum import Enum
from typing import Any, Protocol

from . import decision
from .decision.policy import Policy


class End(Enum):
    """Outcome of a run, a shared answer or a call, as the broker reports it."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"  # rejected: had no effect
    TIMED_OUT = "late"
    UNREACHABLE = "unreachable"  # never sent: had no effect
    CONNECTION_LOST = "broken"  # the effect is unknown
    CANCELLED = "cancelled"
    NOT_STARTED = "never"


_OUTCOMES = {
    End.OK: decision.Outcome.OK,
    End.ERROR: decision.Outcome.ERROR,
    End.REFUSED: decision.Outcome.BUSY,
    End.TIMED_OUT: decision.Outcome.TIMEOUT,
    End.UNREACHABLE: decision.Outcome.CONNECT_FAILED,
    End.CONNECTION_LOST: decision.Outcome.RESET,
    End.CANCELLED: decision.Outcome.CANCELLED,
    End.NOT_STARTED: decision.Outcome.NOT_STARTED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """Request data that the decision package needs: no body and no connection."""

    id: str
    cls: str
    tenant: str | None
    subject: str | None
    arrived: float  # clock time
    due: float  # clock time at which the caller gives up
    size: float  # KB
    rank: float
    caller: int
    is_retry: bool
    repeats: str | None  # id of the attempt that holds the idempotency key's record


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run or a shared answer ended."""

    id: str
    end: End
    elapsed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallNeeded:
    """A run needs its dependency call."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallReturned:
    """A dependency call ended."""

    id: str
    end: End
    elapsed: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request disconnected."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainNotice:
    """The node shuts down: the notice came at `notice`, and all requests must be answered by `stop`."""

    stop: float
    notice: float


Report = RunEnded | CallNeeded | CallReturned | CallerDisconnected | DrainNotice


class DecisionHost(Protocol):
    """The operations of the broker that carry out decisions. Times are absolute unless said otherwise."""

    def run(self, id: str) -> None:
        """Start a queued request."""

    def stop(self, id: str) -> None:
        """Stop a run; the request still needs an answer."""

    def reject(self, id: str, retry_after: float, no_other_node: bool) -> None:
        """Reject a request that never ran; `retry_after` is in seconds from now."""

    def fail(self, id: str) -> None:
        """Answer with an error."""

    def call(self, id: str, deadline: float) -> None:
        """Make the dependency call that a run waits for."""

    def skip_call(self, id: str) -> None:
        """Resume a run without its dependency call."""

    def reserve_key(self, id: str, until: float) -> None:
        """Reserve the request's idempotency key until a time."""

    def release_key(self, id: str) -> None:
        """Release the request's idempotency key."""

    def share_result(self, id: str) -> None:
        """Answer a request with the result of the request that it repeats."""

    def set_health(self, good: bool) -> None:
        """Set the answer to health checks."""

    def announce(self, value: float) -> None:
        """Set the load value sent with every answer."""

    def set_idle_timeout(self, after: float) -> None:
        """Set the idle time, in seconds, after which connections are closed."""

    def set_timer(self, token: int, at: float) -> None:
        """Schedule a call of `Facade.tick` with `token` at the time `at`."""

    def log(self, text: str) -> None:
        """Write a line to the log."""


class Facade:
    """Decision instance of this node; each start of the executor begins a new one."""

    def __init__(self, settings: decision.Settings, seed: int, host: DecisionHost) -> None:
        self._settings, self._seed, self._host = settings, seed, host
        self._policy = Policy(settings, seed)

    def start(self, now: float, started_at: float, is_warming_up: bool) -> None:
        """Replace the policy by a new one for an executor that started at `started_at` and may be warming up."""
        self._policy = Policy(dataclasses.replace(self._settings, warming_up=is_warming_up), self._seed)
        self._apply(now, self._policy.start(min(started_at, now)))

    def pick(self, now: float, pending: PendingRequest) -> None:
        """Pass a new request to the policy."""
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

    def report(self, now: float, event: Report) -> None:
        """Pass a report about a run, a call, a caller or the node's shutdown to the policy."""
        match event:
            case RunEnded(id, end, elapsed):
                self._handle(now, decision.Finished(id, _OUTCOMES[end], elapsed))
            case CallNeeded(id):
                self._handle(now, decision.CallNeeded(id))
            case CallReturned(id, end, elapsed):
                self._handle(now, decision.CallReturned(id, _OUTCOMES[end], elapsed))
            case CallerDisconnected(id):
                self._handle(now, decision.CallerDisconnected(id))
            case DrainNotice(stop, notice):
                self._handle(now, decision.DrainNotice(stop, notice))

    @property
    def usage(self) -> tuple[int, float]:
        """Number of runs on the cores or with a call in flight, which may return any time, and memory in use in KB."""
        usage = self._policy.usage()
        return usage.running, usage.memory

    def set_peer_usage(self, now: float, running: int, memory: float) -> None:
        """Record the use of cores and memory by the node's other process."""
        self._handle(now, decision.PeerProcessUsage(running, memory))

    def learned(self) -> dict[str, object]:
        """Return the learned values by external name; tables become lists of pairs, as JSON has no numeric keys."""
        return {
            name: list(value.items()) if isinstance(value, dict) else value
            for name, value in self._policy.learned().items()
        }

    def adopt(self, learned: dict[str, object]) -> bool:
        """Replace the learned values by another process's. Return false, without a change, if they are malformed."""
        adopted: dict[str, object] = {}
        try:
            for name, current in self._policy.learned().items():
                value: Any = learned[name]
                if isinstance(current, dict):  # JSON turns pairs into lists
                    adopted[name] = {key: tuple(v) if isinstance(v, list) else v for key, v in value}
                    continue
                kind: Any = type(current)
                adopted[name] = kind(value)
                if isinstance(current, list) and len(value) != len(current):  # one value per class or tenant
                    return False
        except (KeyError, TypeError, ValueError, OverflowError):
            return False
        self._policy.adopt(adopted)
        return True

    def tick(self, now: float, token: int, gauges: tuple[float, ...]) -> None:
        """Pass a fired timer, with the current gauges, to the policy."""
        self._handle(now, decision.TimerFired(token, gauges))

    def _handle(self, now: float, event: decision.Event) -> None:
        self._apply(now, self._policy.handle(now, [event]))

    def _apply(self, now: float, actions: list[decision.Action]) -> None:  # noqa: C901  one case per action
        host = self._host
        for action in actions:
            match action:
                case decision.Run(id):
                    host.run(id)
                case decision.Stop(id):
                    host.stop(id)
                case decision.Reject(id, retry_after, no_other_node):
                    host.reject(id, retry_after, no_other_node)
                case decision.Fail(id):
                    host.fail(id)
                case decision.Call(id, timeout):
                    host.call(id, now + timeout)
                case decision.SkipCall(id):
                    host.skip_call(id)
                case decision.KeepKey(id, keep_for):
                    host.reserve_key(id, now + keep_for)
                case decision.ForgetKey(id):
                    host.release_key(id)
                case decision.ShareResult(id):
                    host.share_result(id)
                case decision.SetHealth(healthy):
                    host.set_health(healthy)
                case decision.Announce(value):
                    host.announce(value)
                case decision.IdleTimeout(after):
                    host.set_idle_timeout(after)
                case decision.SetTimer(token, after):
                    host.set_timer(token, now + after)
                case decision.Log(text):
                    host.log(text)
