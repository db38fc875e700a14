"""Dispatch of events to the handlers of a decision instance, and collection of their actions.

The concurrency limit follows RFC 1858 (`aimd_limit`); `docs/design.md` describes the additions to it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from .actions import Action, IdleTimeout, Log, SetHealth
from .arrivals import Arrivals
from .control_loop import CONTROL_INTERVAL_S, ControlLoop
from .dependency_calls import DependencyCalls
from .endings import Endings, RejectReason
from .errors import UsageError
from .events import (
    CallerDisconnected,
    CallNeeded,
    CallReturned,
    DrainNotice,
    Event,
    Finished,
    PeerProcessUsage,
    Request,
    TimerFired,
)
from .experience import read_learned, write_learned
from .job import Job, RequestState
from .server_state import ServerState
from .settings import Settings
from .snapshot import Snapshot
from .timers import TimerKind


class Policy:
    """Decision instance of one server, which turns batches of events into actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.server = ServerState(settings, seed)
        self._endings = Endings(self.server)
        self._arrivals = Arrivals(self.server, self._endings)
        self._calls = DependencyCalls(self.server, self._endings)
        self._control = ControlLoop(self.server, self._endings)

    def start(self, now: float) -> list[Action]:
        """Begin at `now`. Return the first actions: health, idle timeout and the first announced value."""
        server = self.server
        server.now = now
        server.warm_up.started_at = now
        server.progress.last_progress_at = now
        self._control.last_run_at = now
        server.actions = [SetHealth(True), IdleTimeout(server.settings.max_idle_time)]
        self._control.announce()
        return server.actions

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Process a batch of events and return the actions. Events of completed requests are ignored.

        Raises UsageError."""
        server = self.server
        if now < server.now:
            raise UsageError(f"time runs backwards: {now} after {server.now}")
        self._exclude_pause(now)
        server.now = now
        server.actions = []
        for event in events:
            self._dispatch(event)
        self._expire_timers()
        self._control.run()
        self._calls.make_calls()
        self._arrivals.start_runs()
        self._set_timer()
        return server.actions

    def snapshot(self) -> Snapshot:
        """Return the current state for dashboards. Cheap and without side effects."""
        server = self.server
        state = "serving"
        if server.drain.has_begun:
            state = "draining"
        elif server.progress.hung:
            state = "hung"
        return Snapshot(
            limit=server.run_limit.limit,
            running=server.requests.running,
            in_calls=server.requests.in_calls,
            queued=len(server.requests.queued),
            average_run_time=server.run_limit.average_time,
            slowness=server.progress.slowness,
            times_limited=self._arrivals.times_limited,
            announced=server.announcement.value,
            state=state,
            rejections=dict(server.rejections.by_reason),
        )

    def usage(self) -> PeerProcessUsage:
        """Return the use of cores and memory, for another process on the same server."""
        server = self.server
        return PeerProcessUsage(server.requests.running + server.call_budget.in_flight, server.memory.used)

    def learned(self) -> dict[str, object]:
        """Return the learned values by external name, for the successor process."""
        return read_learned(self.server)

    def adopt(self, learned: dict[str, object]) -> None:
        """Replace the learned values by those of a process that ran on the same cores and for the same callers."""
        server = self.server
        write_learned(server, learned)
        server.run_limit.set_ceiling(server.core_capacity.limit_ceiling(server.now))

    def _dispatch(self, event: Event) -> None:
        if isinstance(event, Request):
            self._arrivals.receive(event)
        elif isinstance(event, TimerFired):
            self.server.timers.record_fired(event.token)
            self._control.read_gauges(event.gauges)
        elif isinstance(event, DrainNotice):
            self._on_drain(event)
        elif isinstance(event, PeerProcessUsage):
            self.server.peer_running = event.running
            self.server.memory.used_by_peer = event.memory
        elif (job := self.server.requests.jobs.get(event.id)) is not None:
            self._dispatch_for_job(job, event)

    def _dispatch_for_job(self, job: Job, event: Finished | CallerDisconnected | CallNeeded | CallReturned) -> None:
        match event:
            case Finished():
                self._endings.finish(job, event.outcome)
            case CallerDisconnected():
                self._endings.abandon(job)
            case CallNeeded():
                self._calls.request_call(job)
            case CallReturned():
                self._calls.record_return(job, event)

    def _on_drain(self, notice: DrainNotice) -> None:
        """Begin or update the drain, and move all later deadlines to the stop."""
        server = self.server
        if not server.drain.has_begun:
            server.actions += [SetHealth(False), Log("draining")]
        stop_at = server.drain.update(server.now, notice)
        for job in list(server.requests.jobs.values()):
            if job.due_at > stop_at:
                job.due_at = stop_at
                server.timers.push(job.due_at, TimerKind.DUE, job)

    def _exclude_pause(self, now: float) -> None:
        """Exclude a pause of the process from the run times and from the time without progress."""
        server = self.server
        lateness = now - server.timers.armed_for
        if not server.pauses.is_pause(lateness):
            return
        server.pauses.record(server.timers.armed_for, now)
        server.timers.armed_for = now
        server.progress.last_progress_at = min(now, server.progress.last_progress_at + lateness)
        for job in server.requests.running_jobs():
            job.run_started_at += lateness

    def _expire_timers(self) -> None:
        server = self.server
        while (timer := server.timers.pop_expired(server.now)) is not None:
            if timer.kind is TimerKind.KEY_EXPIRED:
                server.memory.remove_key()
            elif (job := timer.job) is not None and job.id in server.requests.jobs and not job.answered:
                self._on_deadline(timer.kind, job)

    def _on_deadline(self, kind: TimerKind, job: Job) -> None:
        match kind:
            case TimerKind.DUE:
                self._endings.fail(job)
            case TimerKind.CALL_TOO_LATE if job.state is RequestState.AWAITING_CALL:
                self._calls.fail_if_too_late(job)
            case TimerKind.RETRY_CALL if job.state is RequestState.AWAITING_CALL:
                self._calls.retry_now(job)
            case TimerKind.LATEST_START if job.state is RequestState.QUEUED:
                self._endings.reject(job, RejectReason.LATEST_START_PASSED)

    def _set_timer(self) -> None:
        """Request one timer, for the earliest deadline, and while there is work at the latest for the control interval.

        Without a timer for the control interval, a hang or a pause would be detected only at the next event."""
        server = self.server
        has_work = server.requests.running or server.requests.queued
        latest = server.now + CONTROL_INTERVAL_S if has_work else math.inf
        if (action := server.timers.arm(server.now, latest)) is not None:
            server.actions.append(action)
