"""Periodic adjustments while there is work: limits, slowness, hangs, and what is announced to callers."""

from __future__ import annotations

import math

from .actions import Announce, IdleTimeout, Log, SetHealth
from .endings import Endings, RejectReason
from .job import Job
from .server_state import ServerState
from .settings import Idempotency, LoadSignal

CONTROL_INTERVAL_S = 0.1
MAX_STEP_S = 1.0
GAUGE_WINDOW_S = 0.5  # that the gauge of the cores looks back: until then a higher limit hardly shows


class ControlLoop:
    """Adjusts the server's state to the time that has passed."""

    def __init__(self, server: ServerState, endings: Endings) -> None:
        self.last_run_at = 0.0
        self._server = server
        self._endings = endings
        self._limit_raised_at = -math.inf
        self._closure_announced = False  # callers were told to send nothing

    def run(self) -> None:
        """Adjust everything to the time that has passed, if the interval has."""
        server = self._server
        if server.now < self.last_run_at + CONTROL_INTERVAL_S:
            if self._closure_announced and not self._is_closed():
                # At once: where no work is left no timer comes, and callers that send nothing would never be told.
                self.announce()
            return
        elapsed = min(MAX_STEP_S, server.now - self.last_run_at)
        self.last_run_at = server.now
        server.run_limit.set_ceiling(server.core_capacity.limit_ceiling(server.now))
        server.progress.decay(elapsed)
        server.caller_traffic.decay(elapsed)
        server.tenants.advance(elapsed)
        self._watch_runs()
        timeout = server.idle_connections.update(elapsed, server.rejections.share)
        if timeout is not None:
            server.actions.append(IdleTimeout(timeout))
        server.announcement.update_share(elapsed, self._backlog(), server.warm_up.speed(server.now))
        self.announce()

    def read_gauges(self, values: tuple[float, ...]) -> None:
        """Take in the host's gauges, and raise the limit while cores idle and requests are queued.

        Runs that wait for disk leave cores idle, and the limit would grow too slowly by their ends alone."""
        server = self._server
        running = server.requests.running
        server.core_gauges.record(values, running + server.peer_running)
        is_limited = server.requests.queued and running >= server.run_limit.limit
        may_raise = server.now >= self._limit_raised_at + GAUGE_WINDOW_S
        if server.core_gauges.cores_idle and is_limited and may_raise:
            self._limit_raised_at = server.now
            # Only half of what fits, as it is not known what the runs wait for.
            server.run_limit.raise_by(max(1, int(server.core_gauges.spare_runs(running) / 2)))

    def announce(self) -> None:
        """Tell callers how much to send, in the form that they understand."""
        server = self._server
        signal = server.settings.signal
        if signal is LoadSignal.NONE:
            return
        share = server.announcement.share
        self._closure_announced = self._is_closed()
        if self._closure_announced:
            share = 0.0
        value = share
        if signal is LoadSignal.LEVEL:
            value = 1.0 - share
        elif signal is LoadSignal.CREDIT:
            value = self._credit() if share else 0.0
        if server.announcement.set_value(value):
            server.actions.append(Announce(server.announcement.value))

    def _is_closed(self) -> bool:
        """Whether callers are to send nothing."""
        return self._server.progress.hung or self._server.drain.is_begun

    def _credit(self) -> float:
        """The most requests that a caller may have outstanding here.

        Sized for the busiest caller, as traffic is uneven: an even part would turn the busiest away while what the
        others are allowed lies idle."""
        server = self._server
        limit = server.run_limit.limit
        work = server.class_statistics.work
        run_time = server.progress.slowness * sum(work) / len(work)
        queue_capacity = server.announcement.target_backlog * limit / run_time
        runs_on_full_cores = min(server.run_limit.ceiling, server.core_gauges.runs_on_full_cores(limit))
        total = max(limit, runs_on_full_cores) + server.requests.at_calls + queue_capacity
        return total * max(server.caller_traffic.busiest_share(server.now), 1 / server.settings.callers)

    def _backlog(self) -> float:
        """Seconds that a request waits: unread, then for the work in the queue."""
        server = self._server
        work = sum(job.work * server.quota_weight(job) for job in server.requests.queued.values())
        return server.unread_wait.average + work * server.progress.slowness / server.run_limit.limit

    def _watch_runs(self) -> None:
        """Estimate the slowness from the runs, and look for a hang."""
        server = self._server
        progress = server.progress
        running = server.requests.running_jobs()
        progress.update_slowness(server.now, running, server.run_limit)
        if not running or progress.hung:
            return
        usual_run_time = progress.usual_run_time(running, server.run_limit)
        # Where requests wait unread, reading has the cores: that is slow, and no hang, which leaves reading alone.
        if progress.is_overdue(server.now, usual_run_time) and server.unread_wait.is_short(usual_run_time):
            self._begin_hang(running)

    def _begin_hang(self, running: list[Job]) -> None:
        """Send callers to other servers while there is time.

        Guards against hangs of whatever cause, and catches extreme slowness. One very long run looks alike, and then
        good work is rejected."""
        server = self._server
        server.progress.hung = True
        server.actions += [SetHealth(False), Log("no progress while work runs")]
        for job in [*server.requests.queued.values(), *running]:
            may_run_again = not job.ran or job.request_class.idempotency is Idempotency.IDEMPOTENT
            if not job.answered and may_run_again:
                self._endings.reject(job, RejectReason.HUNG)
