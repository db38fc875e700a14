"""Periodic control while there is work: limits, slowness estimate, hang detection and the announced value."""

from __future__ import annotations

import math

from .actions import Announce, IdleTimeout, Log, SetHealth
from .endings import Endings, RejectReason
from .job import Job
from .server_state import ServerState
from .settings import Idempotency, LoadSignal

CONTROL_INTERVAL_S = 0.1
MAX_ELAPSED_S = 1.0  # longest time that one run of the loop accounts for
GAUGE_WINDOW_S = 0.5  # averaging window of the core gauge; a raised limit shows in the gauge only after this time


class ControlLoop:
    """Controller that adjusts the server's state to the elapsed time."""

    def __init__(self, server: ServerState, endings: Endings) -> None:
        self.last_run_at = 0.0
        self._server = server
        self._endings = endings
        self._limit_raised_at = -math.inf
        self._suspension_announced = False  # the last announced value asks callers to send nothing

    def run(self) -> None:
        """Adjust limits, estimates and announcement to the elapsed time, at most once per control interval."""
        server = self._server
        if server.now < self.last_run_at + CONTROL_INTERVAL_S:
            if self._suspension_announced and not self._suspends_traffic():
                # Announces the resumption without waiting for the interval: with no work left no timer fires, and
                # callers that send nothing cause no later announcement.
                self.announce()
            return
        elapsed = min(MAX_ELAPSED_S, server.now - self.last_run_at)
        self.last_run_at = server.now
        server.run_limit.set_ceiling(server.core_capacity.limit_ceiling(server.now))
        server.progress.decay(elapsed)
        server.caller_traffic.decay(elapsed)
        server.tenants.advance(elapsed)
        self._monitor_runs()
        timeout = server.idle_connections.update(elapsed, server.rejections.share)
        if timeout is not None:
            server.actions.append(IdleTimeout(timeout))
        server.announcement.update_share(elapsed, self._backlog(), server.warm_up.speed(server.now))
        self.announce()

    def read_gauges(self, values: tuple[float, ...]) -> None:
        """Record the host's gauges, and raise the limit while cores are idle and requests are queued.

        Runs that wait for disk leave cores idle, and a limit that grows only when runs end would grow too slowly."""
        server = self._server
        running = server.requests.running
        server.core_gauges.record(values, running + server.peer_running)
        is_limited = server.requests.queued and running >= server.run_limit.limit
        may_raise = server.now >= self._limit_raised_at + GAUGE_WINDOW_S
        if server.core_gauges.cores_idle and is_limited and may_raise:
            self._limit_raised_at = server.now
            # Half of the runs that would fit, because the gauges do not show what the running ones wait for.
            server.run_limit.raise_by(max(1, int(server.core_gauges.spare_runs(running) / 2)))

    def announce(self) -> None:
        """Announce the traffic share to callers, in the form that the settings choose."""
        server = self._server
        signal = server.settings.signal
        if signal is LoadSignal.NONE:
            return
        share = server.announcement.share
        self._suspension_announced = self._suspends_traffic()
        if self._suspension_announced:
            share = 0.0
        value = share
        if signal is LoadSignal.LEVEL:
            value = 1.0 - share
        elif signal is LoadSignal.CREDIT:
            value = self._credit() if share else 0.0
        if server.announcement.set_value(value):
            server.actions.append(Announce(server.announcement.value))

    def _suspends_traffic(self) -> bool:
        """Return whether callers are asked to send nothing."""
        return self._server.progress.hung or self._server.drain.has_begun

    def _credit(self) -> float:
        """Return the maximum number of requests that a caller may have outstanding on this server.

        The credit is sized for the busiest caller, because traffic is uneven: with equal parts the busiest caller would
        be limited while the credit of the others stays unused."""
        server = self._server
        limit = server.run_limit.limit
        work = server.class_statistics.work
        run_time = server.progress.slowness * sum(work) / len(work)
        queue_capacity = server.announcement.target_backlog * limit / run_time
        runs_on_full_cores = min(server.run_limit.ceiling, server.core_gauges.runs_on_full_cores(limit))
        total = max(limit, runs_on_full_cores) + server.requests.in_calls + queue_capacity
        return total * max(server.caller_traffic.busiest_share(server.now), 1 / server.settings.callers)

    def _backlog(self) -> float:
        """Return the expected wait of a request in seconds: before it is read, and then for the queued work."""
        server = self._server
        work = sum(job.work * server.quota_weight(job) for job in server.requests.queued.values())
        return server.unread_wait.average + work * server.progress.slowness / server.run_limit.limit

    def _monitor_runs(self) -> None:
        """Update the slowness estimate from the running requests, and detect a hang."""
        server = self._server
        progress = server.progress
        running = server.requests.running_jobs()
        progress.update_slowness(server.now, running, server.run_limit)
        if not running or progress.hung:
            return
        usual_run_time = progress.usual_run_time(running, server.run_limit)
        # A hang does not slow the reading of requests. Where requests wait long to be read, reading occupies the cores
        # and the server is slow, not hung.
        if progress.is_overdue(server.now, usual_run_time) and server.unread_wait.is_short(usual_run_time):
            self._begin_hang(running)

    def _begin_hang(self, running: list[Job]) -> None:
        """Mark the server as hung and reject its requests, while callers still have time to retry on other servers.

        Covers hangs of any cause and extreme slowness. A single very long run looks the same, and requests that could
        have been served are then rejected."""
        server = self._server
        server.progress.hung = True
        server.actions += [SetHealth(False), Log("hang detected: no run makes progress")]
        for job in [*server.requests.queued.values(), *running]:
            may_run_again = not job.ran or job.request_class.idempotency is Idempotency.IDEMPOTENT
            if not job.answered and may_run_again:
                self._endings.reject(job, RejectReason.HUNG)
