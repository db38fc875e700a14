"""State of a decision instance, with one component for each concern."""

from __future__ import annotations

import random

from .actions import Action
from .aimd_limit import AimdLimit
from .announcement import Announcement
from .attempt_ages import AttemptAges
from .call_budget import USED_SHARE as USED_CALL_SHARE
from .call_budget import CallBudget
from .caller_traffic import CallerTraffic
from .core_capacity import CoreCapacity
from .core_gauges import CoreGauges
from .drain import Drain
from .idle_connections import IdleConnections
from .job import Job
from .memory_guard import MemoryGuard
from .process_pauses import ProcessPauses
from .request_table import RequestTable
from .run_progress import RunProgress
from .settings import Settings
from .statistics import ClassStatistics, RejectionStatistics, UnreadWait
from .tenants import TenantQuotas
from .timers import TimerQueue
from .warm_up import WarmUp

UNLIMITED_CALLS = 10**6


class ServerState:
    """State shared by the event handlers, and queries over several of its components."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.memory = MemoryGuard(settings)
        self.requests = RequestTable(self.memory, settings.run_factor)
        self.timers = TimerQueue(settings.tick, self.requests.jobs)
        self.pauses = ProcessPauses(settings.tick)
        self.drain = Drain(settings)
        self.warm_up = WarmUp(settings)
        self.core_gauges = CoreGauges(settings.gauges)
        self.core_capacity = CoreCapacity(settings, self.warm_up, self.core_gauges)
        self.class_statistics = ClassStatistics(settings.classes)
        self.rejections = RejectionStatistics()
        self.unread_wait = UnreadWait()
        self.attempt_ages = AttemptAges(settings.marks_retries)
        self.caller_traffic = CallerTraffic()
        self.idle_connections = IdleConnections(settings.max_idle_time)
        self.tenants = TenantQuotas(settings.tenants, settings.servers)
        self.announcement = Announcement(settings.mean_latency_objective(), self.warm_up.speed(self.now))
        self.progress = RunProgress(1.0 / settings.initial_speed if settings.warming_up else 1.0)
        ceiling = self.core_capacity.limit_ceiling(self.now)
        usual_run_time = min(self.class_statistics.work)
        self.run_limit = AimdLimit(settings.cores, ceiling, self.progress.slowness, usual_run_time)
        self.call_budget = CallBudget(settings)
        self.call_limit = _call_limit(settings)
        self.peer_running = 0  # runs of another process on the same cores

    def has_core_capacity(self) -> bool:
        """Return whether the cores sustain one more run even if all calls in flight return at once.

        The bound holds whatever the calls do, also where runs cannot be stopped. In exchange, calls and runs may have
        to wait to start while calls take long."""
        in_use = self.requests.running + self.call_budget.in_flight + self.peer_running
        return in_use + 1 <= self.core_capacity.total(self.now)

    def quota_weight(self, job: Job) -> float:
        """Return the weight factor of a request: lower if its tenant is over quota, otherwise 1."""
        return self.settings.over_quota_weight if self.tenants.is_over_quota(job.tenant_index) else 1.0

    def weight_density(self, job: Job) -> float:
        """Return the priority weight per unit of expected work."""
        weight = job.request_class.priority_weight * self.quota_weight(job)
        return weight if self.settings.weight_by_work else weight / job.work

    def expected_time(self, job: Job) -> float:
        """Return the expected time in seconds of a run that starts now, including its call."""
        run_time = self.warm_up.run_time(self.now, job.work, self.progress.slowness)
        return run_time + self.class_statistics.call_wait[job.class_index]


def _call_limit(settings: Settings) -> AimdLimit:
    """Return the limit of calls in flight: adaptive if the settings give this server a share of the dependency.

    A dependency without shares rejects the calls that it cannot process. An adaptive limit would mistake the long tail
    of normal call times for overload, shrink to one, and leave runs waiting for calls."""
    if settings.max_calls:
        floor = 1
        ceiling = max(settings.cores, int(settings.max_calls * USED_CALL_SHARE))
    else:
        floor = UNLIMITED_CALLS
        ceiling = UNLIMITED_CALLS
    usual_call_time = settings.mean_latency_objective() / 10
    limit = AimdLimit(floor, ceiling, usual_call_time, usual_call_time)
    limit.limit = max(floor, settings.cores, ceiling // 4)
    return limit
