"""Admission of arriving requests, attachment of repeats to their original request, and start of queued requests."""

from __future__ import annotations

from .actions import KeepKey, Run, ShareResult
from .endings import Endings, RejectReason
from .errors import UsageError
from .events import Request
from .job import Job, RequestState
from .server_state import ServerState
from .settings import Idempotency, Settings
from .timers import TimerKind


class Arrivals:
    """Handler of requests from their arrival to the start of their run."""

    def __init__(self, server: ServerState, endings: Endings) -> None:
        self.times_limited = 0  # attempts to start runs that the limit or the cores prevented
        self._server = server
        self._endings = endings
        self._class_indexes = {cls.name: index for index, cls in enumerate(server.settings.classes)}
        self._tenant_indexes = {tenant.name: index for index, tenant in enumerate(server.settings.tenants)}

    def receive(self, request: Request) -> None:
        """Queue, attach or reject an arriving request. Raises UsageError."""
        server = self._server
        job = self._job(request)
        server.requests.add(job)
        self._set_deadlines(job)
        self._record_statistics(job)
        server.timers.push(job.due_at, TimerKind.DUE, job)
        if request.repeats is not None and self._attach_to_original(job):
            return
        if reason := self._rejection_reason(job):
            self._endings.reject(job, reason)
            return
        if job.request_class.idempotency is Idempotency.KEYED:
            self._keep_key(job)
        # The latest start is after this batch, so that a request that finds a free permit runs even when it looks
        # late: a server that starts no run would measure no run time.
        earliest = server.now + server.settings.tick
        latest_start = max(earliest, job.objective_at - server.expected_time(job))
        server.timers.push(latest_start, TimerKind.LATEST_START, job)

    def start_runs(self) -> None:
        """Start queued requests, highest weight per unit of work first, while limit, cores and memory allow."""
        server = self._server
        requests = server.requests
        if not requests.queued:
            return
        max_awaiting_calls = server.core_capacity.max_awaiting_calls(server.now, server.run_limit.limit)
        while requests.queued:
            if not (self._has_permit() and server.has_core_capacity()):
                self.times_limited += 1
                return
            ready = list(requests.queued.values())
            if requests.in_calls >= max_awaiting_calls:
                # Requests of classes without calls can run while the dependency delays the others.
                ready = [job for job in ready if not job.request_class.makes_calls]
            if not ready:
                return
            job = max(ready, key=server.weight_density)
            if not server.memory.admits_run(job.request.size):
                return
            self._start(job)

    def _start(self, job: Job) -> None:
        server = self._server
        if not server.requests.running:
            server.progress.last_progress_at = server.now
        server.requests.move(job, RequestState.RUNNING)
        job.ran = True
        job.run_started_at = server.now
        if job.tenant_index >= 0:
            server.tenants.record_start(job.tenant_index)
        server.actions.append(Run(job.id))

    def _job(self, request: Request) -> Job:
        server = self._server
        if request.id in server.requests.jobs:
            raise UsageError(f"request id given twice: {request.id}")
        if request.cls not in self._class_indexes:
            raise UsageError(f"unknown class: {request.cls}")
        index = self._class_indexes[request.cls]
        tenant_index = self._tenant_indexes.get(request.tenant or "", -1)
        arrived_at = server.now - request.unread
        work = max(2 * server.settings.tick, request.hint or server.class_statistics.work[index])
        return Job(request, server.settings.classes[index], index, tenant_index, arrived_at, work)

    def _set_deadlines(self, job: Job) -> None:
        server = self._server
        request_class = job.request_class
        due_at = job.request.due
        if due_at is None:
            due_at = job.arrived_at + request_class.deadline
        job.due_at = max(server.now, due_at) - server.settings.tick
        if server.drain.stop_at is not None:
            job.due_at = min(job.due_at, server.drain.stop_at)
        objective = request_class.latency_objective + request_class.objective_stretch * job.work
        earlier_attempts_time = server.attempt_ages.earlier_attempts_time(
            job.request,
            job.arrived_at,
            request_class,
            server.class_statistics.time_to_rejection[job.class_index],
        )
        time_left = min(objective, request_class.deadline) - earlier_attempts_time
        # The caller may give up this attempt, at `due_at`, before the latency objective.
        job.objective_at = min(job.arrived_at + time_left, job.due_at)

    def _record_statistics(self, job: Job) -> None:
        server = self._server
        request = job.request
        server.rejections.record_request()
        server.attempt_ages.record_request(request.is_retry)
        paused = server.pauses.time_since(job.arrived_at, server.now)
        server.unread_wait.record(max(0.0, request.unread - paused))
        server.idle_connections.record_request(server.now, request.caller)
        server.caller_traffic.record(server.now, request.caller)

    def _attach_to_original(self, job: Job) -> bool:
        """Answer a repeat with the result of its original request. Return whether the repeat was attached.

        A repeat replaces an original that never ran. Prevents two runs of the same effect; a repeat of a failed
        request is answered with an error."""
        server = self._server
        idempotency = job.request_class.idempotency
        original = server.requests.jobs.get(job.request.repeats or "")
        if original is job:  # the id of an attempt that ran came again; that attempt is no longer in the table
            original = None
        if idempotency is Idempotency.KEYED and original and original.state is RequestState.QUEUED:
            # The window of an earlier run may cover an attempt that arrived earlier, but not one that arrived later. So
            # an attempt replaces only an original that did not arrive after it.
            if original.arrived_at <= job.arrived_at:
                if original.has_key:
                    original.has_key = False
                    job.has_key = True
                    server.actions.append(self._keep_key_action(job))
                self._endings.reject(original, RejectReason.REPLACED, no_other_node=True)
                return False
        if not _can_share_results(idempotency, server.settings):
            return False
        server.requests.move(job, RequestState.AWAITING_RESULT)
        server.actions.append(ShareResult(job.id))
        return True

    def _rejection_reason(self, job: Job) -> RejectReason | None:
        """Return the reason to reject an arriving request, or None to admit it."""
        server = self._server
        requests = server.requests
        if job.arrived_at > server.drain.last_arrival_at:
            return RejectReason.DRAINING
        if server.progress.hung:
            return RejectReason.HUNG
        needs_key = job.request_class.idempotency is Idempotency.KEYED and not job.has_key
        if not server.memory.admits_request(job.request.size, needs_key):
            return RejectReason.MEMORY
        in_use = requests.running + server.peer_running + server.core_gauges.cores_reading
        if in_use < server.run_limit.limit and len(requests.queued) == 1:
            return None
        density = server.weight_density(job)
        work_ahead = sum(
            other.work
            for other in requests.queued.values()
            if other is not job and server.weight_density(other) >= density
        )
        wait = work_ahead * server.progress.slowness / server.run_limit.limit
        if server.now + wait + server.expected_time(job) > job.objective_at:
            return RejectReason.OBJECTIVE_UNREACHABLE
        return None

    def _keep_key(self, job: Job) -> None:
        """Keep the request's idempotency key before the request may run."""
        if not job.has_key:
            job.has_key = True
            self._server.memory.add_key()
            self._server.actions.append(self._keep_key_action(job))

    def _keep_key_action(self, job: Job) -> KeepKey:
        """Return the action that keeps the key until the window ends; the window begins at the arrival."""
        return KeepKey(job.id, job.request_class.window - job.request.unread + self._server.settings.tick)

    def _has_permit(self) -> bool:
        """Return whether the concurrency limit admits one more run.

        The average number of cores busy reading requests counts against the limit, but one run per core is always
        admitted: with two cores, a single request being read would otherwise keep one core from all runs."""
        server = self._server
        running = server.requests.running
        if running < server.settings.cores:
            return True
        return running + server.peer_running + server.core_gauges.cores_reading < server.run_limit.limit


def _can_share_results(idempotency: Idempotency, settings: Settings) -> bool:
    """Return whether a repeat may be answered with the result of the request that it repeats."""
    if idempotency is Idempotency.IDEMPOTENT:
        return bool(settings.result_reuse_time)
    return idempotency is Idempotency.KEYED
