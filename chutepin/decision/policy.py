"""The decision module: what a server takes, runs, turns away and tells its callers.

Its interface (settings, events, actions) is `chutepin/decision/api.py`. The ordinary path is the AIMD limit of
"RFC 1858 - Automatically Adjust Request Limits"; `docs/design.md` says what was kept and what was added.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Sequence

from .actions import (
    Action,
    Announce,
    Call,
    Fail,
    ForgetKey,
    IdleTimeout,
    KeepKey,
    Log,
    Reject,
    Run,
    SetHealth,
    SetTimer,
    ShareResult,
    SkipCall,
    Stop,
)
from .aimd_limit import AimdLimit
from .attempt_ages import AttemptAges
from .caller_traffic import CallerTraffic
from .core_capacity import CoreCapacity
from .core_gauges import CoreGauges
from .errors import UsageError
from .events import (
    CallerGone,
    CallNeeded,
    CallReturned,
    DrainNotice,
    Event,
    Finished,
    Outcome,
    PeerProcessUsage,
    Request,
    TimerFired,
)
from .experience import read_learned, write_learned
from .idle_connections import IdleConnections
from .job import Job, State
from .settings import Cancellation, Idempotency, LoadSignal, RequestClass, Settings
from .snapshot import Snapshot
from .statistics import ClassStatistics, RejectionStatistics
from .tenants import TenantQuotas
from .warm_up import WarmUp

AVERAGE_WEIGHT = 0.1  # weight of a new run in the averages
RELATIVE_MARGIN = 0.1  # ... and at least this share of the average
USED_LIMIT_SHARE = 0.85  # share of a told ceiling (memory, crowd, calls) that is used
CONTROL_INTERVAL_S = 0.1  # seconds between looks at the backlog
TARGET_BACKLOG_SHARE = 0.15  # wanted backlog, as a share of the mean aim
SHARE_GAIN = 0.5  # how fast the announced share follows the backlog
REJECTION_FACTOR = 0.95  # each refusal for want of room lowers the announced share to this part
MIN_ANNOUNCED_SHARE = 0.5  # announced share that keeps some traffic coming, so that recovery is seen
ABANDONED_RUNS_DECAY_S = 4.0  # seconds over which runs that were cut off count as slow
PRIOR_RUNS = 4.0  # ended runs that the average counts for, against those still running
UNREAD_PRESSURE_SHARE = 0.3  # an unread wait above this share of the run time is back pressure
GAUGE_WINDOW_S = 0.5  # seconds that the gauge of the cores looks back: until then a step of growth hardly shows
PAUSE_TICKS = 20  # a timer later than this many ticks shows that the process stood still
HANG_RUN_TIMES = 3.0  # no progress for this many usual run times is a hang
FULL_FLEET_REJECTED_SHARE = 0.2  # share of reads refused from which others are taken to be full as well
MIN_COMPACTED_TIMERS = 1000  # deadlines kept before those that no longer matter are dropped
CALL_RETRY_DELAY_S = 0.05  # seconds before a failed call is repeated, doubled each time


class Policy:
    """One server's decisions. Feed it events; it answers with actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        s = self.settings = settings
        self.random = random.Random(seed)
        self.now = self.last_control = self.progress = self.stood = 0.0
        self.grown = self.moved = -math.inf  # moved: when the process last went on after a stall
        self.out: list[Action] = []
        self.jobs: dict[str, Job] = {}
        self.held: dict[str, Job] = {}
        self.class_indexes = {cls.name: index for index, cls in enumerate(s.classes)}
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(s.tenants)}
        self.class_statistics = ClassStatistics(s.classes)
        self.rejections = RejectionStatistics()
        self.attempt_ages = AttemptAges(s.marks_retries)
        self.caller_traffic = CallerTraffic()
        self.idle_connections = IdleConnections(s.max_idle_time)
        self.tenants = TenantQuotas(s.tenants, s.servers)
        self.warm_up = WarmUp(s)
        self.core_gauges = CoreGauges(s.gauges)
        self.core_capacity = CoreCapacity(s, self.warm_up, self.core_gauges)
        self.mean_aim = sum(cls.latency_objective for cls in s.classes) / len(s.classes)
        slowness = 1.0 / s.initial_speed if s.warming_up else 1.0
        ceiling = self.core_capacity.limit_ceiling(self.now)
        self.runs = AimdLimit(s.cores, ceiling, slowness, min(self.class_statistics.work))
        calls_cap = max(s.cores, int(s.max_calls * USED_LIMIT_SHARE)) if s.max_calls else 10**6
        # A tier below tells no share and turns away what it cannot take: a limit of ours on top would read
        # the long tail of sound calls as trouble, shrink to one and leave runs parked behind it.
        calls_floor = 1 if s.max_calls else calls_cap
        self.calls = AimdLimit(calls_floor, calls_cap, self.mean_aim / 10, self.mean_aim / 10)
        self.calls.limit = max(calls_floor, s.cores, calls_cap // 4)
        self.call_queue: list[Job] = []
        self.lingering: deque[float] = deque()  # ends of abandoned calls that linger below
        self.calling = self.in_use = self.parked = self.key_count = 0
        # Calls in hand over time: (moment, call seconds until then, calls in hand from then).
        self.call_steps: deque[tuple[float, float, int]] = deque([(-math.inf, 0.0, 0)])
        self.promised = 0.0  # the longest that the calls in hand may yet take, together
        self.memory = 0.0
        self.other_use, self.other_memory = 0, 0.0  # of another process on the same cores
        self.heap: list[tuple[float, int, str, Job | None]] = []
        self.sequence = self.token = 0
        self.heap_room = MIN_COMPACTED_TIMERS
        self.armed, self.wake = math.inf, -math.inf
        self.share = self.warm_up.speed(self.now)
        self.announced = -1.0
        self.unread = self.cut_spent = self.cut_work = 0.0
        self.slowness, self.excess = slowness, 0.0
        self.hung = False
        self.stop_at: float | None = None
        self.last_arrival = math.inf
        self.limited = 0

    # --- the outer surface ---

    def start(self, now: float) -> list[Action]:
        """The first actions of a life: checks answered cheaply, connections kept, the value announced."""
        self.now = self.warm_up.started_at = self.last_control = self.progress = now
        self.out = [SetHealth(True), IdleTimeout(self.settings.max_idle_time)]
        self._announce()
        return self.out

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """All that is to be done about these events. Events about requests already over are harmless."""
        if now < self.now:
            raise UsageError(f"time runs backwards: {now} after {self.now}")
        self._account_for_pause(now)
        self.now, self.out = now, []
        for event in events:
            self._dispatch(event)
        self._expire_timers()
        if now >= self.last_control + CONTROL_INTERVAL_S:
            self._control()
        self._make_calls()
        self._start_runs()
        self._set_timer()
        return self.out

    def snapshot(self) -> Snapshot:
        """What the mechanism is doing; cheap, changes nothing."""
        state = "draining" if self.stop_at is not None else "hung" if self.hung else "serving"
        return Snapshot(
            self.runs.limit,
            self.in_use,
            self.parked,
            len(self.held),
            self.runs.average_time,
            self.slowness,
            self.limited,
            self.announced,
            state,
            dict(self.rejections.by_reason),
        )

    def learned(self) -> dict[str, object]:
        """What another process may begin with."""
        return read_learned(self)

    def adopt(self, learned: dict[str, object]) -> None:
        """Begin with what another process had learned about the same cores and callers."""
        write_learned(self, learned)
        self.runs.set_ceiling(self.core_capacity.limit_ceiling(self.now))

    def _dispatch(self, event: Event) -> None:
        if isinstance(event, Request):
            self._on_request(event)
        elif isinstance(event, TimerFired):
            self._on_timer(event)
        elif isinstance(event, DrainNotice):
            self._on_drain(event)
        elif isinstance(event, PeerProcessUsage):
            self.other_use, self.other_memory = event.running, event.memory
        elif (job := self.jobs.get(event.id)) is not None:
            if isinstance(event, Finished):
                self._on_finished(job, event.outcome)
            elif isinstance(event, CallerGone):
                self._on_caller_gone(job)
            elif isinstance(event, CallNeeded):
                self._on_call_needed(job)
            else:
                self._on_call_returned(job, event)

    # --- arrival and the hold ---

    def _on_request(self, req: Request) -> None:
        if req.id in self.jobs:
            raise UsageError(f"request id given twice: {req.id}")
        if req.cls not in self.class_indexes:
            raise UsageError(f"unknown class: {req.cls}")
        index = self.class_indexes[req.cls]
        cls = self.settings.classes[index]
        job = Job(
            req,
            index,
            self.tenant_indexes.get(req.tenant or "", -1),
            self.now - req.unread,
            max(2 * self.settings.tick, req.hint or self.class_statistics.work[index]),
        )
        self.jobs[job.id] = self.held[job.id] = job
        self.memory += req.size
        due = req.due if req.due is not None else job.arrived_at + cls.deadline
        job.due_at = max(self.now, due) - self.settings.tick
        if self.stop_at is not None:
            job.due_at = min(job.due_at, self.stop_at)
        objective = min(cls.latency_objective + cls.objective_stretch * job.work, cls.deadline)
        objective -= self._time_before_arrival(job, cls)
        job.objective_at = min(job.arrived_at + objective, job.due_at)  # callers may give up an attempt before that
        self.rejections.record_request()
        self.attempt_ages.record_request(req.is_retry)
        stood = max(0.0, min(self.now, self.moved) - max(job.arrived_at, self.stood))
        self.unread += 2 * AVERAGE_WEIGHT * (max(0.0, req.unread - stood) - self.unread)
        self.idle_connections.record_request(self.now, req.caller)
        self.caller_traffic.record(self.now, req.caller)
        self._push_timer(job.due_at, "due", job)
        if req.repeats is not None and self._join_original(job, cls):
            return
        if reason := self._rejection_reason(job, cls):
            self._reject(job, reason)
            return
        if cls.idempotency is Idempotency.KEYED:
            self._keep_key(job, cls)
        # Never in this batch: what finds a free permit runs, or nothing would be measured.
        self._push_timer(max(self.now + self.settings.tick, job.objective_at - self._expected_time(job)), "late", job)

    def _time_before_arrival(self, job: Job, cls: RequestClass) -> float:
        time_to_rejection = self.class_statistics.time_to_rejection[job.class_index]
        return self.attempt_ages.earlier_attempts_time(job.request, job.arrived_at, cls, time_to_rejection)

    def _join_original(self, job: Job, cls: RequestClass) -> bool:
        """A repeat of a kept request shares its answer; where that never began, the newer try replaces it.

        Guards against two runs of one effect. Harm: a repeat of a request that failed gets an error."""
        origin = self.jobs.get(job.request.repeats or "")
        # A try that reached the machine earlier may lie in the window of a run that the other is outside of.
        replaces = origin and origin.state is State.QUEUED and origin.arrived_at <= job.arrived_at
        if cls.idempotency is Idempotency.KEYED and origin and replaces:
            if origin.has_key:
                origin.has_key, job.has_key = False, True
                self.out.append(KeepKey(job.id, cls.window - job.request.unread + self.settings.tick))
            self._reject(origin, "replaced", no_other_node=True)
            return False
        if cls.idempotency is Idempotency.NOT_IDEMPOTENT or (
            cls.idempotency is Idempotency.IDEMPOTENT and not self.settings.result_reuse_time
        ):
            return False
        self._enter(job, State.AWAITING_RESULT)
        self.out.append(ShareResult(job.id))
        return True

    def _rejection_reason(self, job: Job, cls: RequestClass) -> str:
        """Why an arrival is refused at once, or nothing."""
        if job.arrived_at > self.last_arrival:
            return "drain"
        if self.hung:
            return "hang"
        keys = self.settings.key_memory if cls.idempotency is Idempotency.KEYED and not job.has_key else 0.0
        memory = self.memory + self.other_memory
        if memory + keys + job.request.size * self.settings.run_factor > self.settings.memory * USED_LIMIT_SHARE:
            return "memory"
        if self.in_use + self.other_use + self.core_gauges.reading < self.runs.limit and len(self.held) == 1:
            return ""
        rank = self._weight_density(job)
        ahead = sum(o.work for o in self.held.values() if o is not job and self._weight_density(o) >= rank)
        wait = ahead * self.slowness / self.runs.limit
        return "hopeless" if self.now + wait + self._expected_time(job) > job.objective_at else ""

    def _expected_time(self, job: Job) -> float:
        return (
            self.warm_up.run_time(self.now, job.work, self.slowness) + self.class_statistics.call_wait[job.class_index]
        )

    def _keep_key(self, job: Job, cls: RequestClass) -> None:
        """Keep the key before any run and for the whole window, counted from the arrival."""
        if not job.has_key:
            job.has_key = True
            self.key_count += 1
            self.memory += self.settings.key_memory
            self.out.append(KeepKey(job.id, cls.window - job.request.unread + self.settings.tick))

    def _weight_density(self, job: Job) -> float:
        """Worth for each unit of expected work as the told goal counts it."""
        worth = self.settings.classes[job.class_index].priority_weight * self._quota_weight(job)
        return worth if self.settings.weight_by_work else worth / job.work

    def _has_permit(self) -> bool:
        """Under the limit; reading takes permits as a mean, but none of one run for each core: at two cores a
        single request being read would otherwise keep a core from every run."""
        used = self.in_use + self.other_use + self.core_gauges.reading
        return self.in_use < self.settings.cores or used < self.runs.limit

    def _start_runs(self) -> None:
        bound = self.core_capacity.max_awaiting_calls(self.now, self.runs.limit)
        while self.held:
            if not (self._has_permit() and self._cores_admit()):
                self.limited += 1
                return
            ready = list(self.held.values())
            if self.parked >= bound:  # what makes no call can go on while the dependency holds the others up
                ready = [job for job in ready if not self.settings.classes[job.class_index].makes_calls]
            if not ready:
                return
            job = max(ready, key=self._weight_density)
            extra = job.request.size * (self.settings.run_factor - 1)
            if self.memory + self.other_memory + extra > self.settings.memory * (1 + USED_LIMIT_SHARE) / 2:
                return
            if not self.in_use:
                self.progress = self.now
            self._enter(job, State.RUNNING)
            job.ran, job.run_started = True, self.now
            if job.tenant_index >= 0:
                self.tenants.record_start(job.tenant_index)
            self.out.append(Run(job.id))

    def _enter(self, job: Job, state: State) -> None:
        """Move a request between states; every count of memory, cores and calls is kept here."""
        old, factor = job.state, self.settings.run_factor
        light = (State.QUEUED, State.AWAITING_RESULT)
        if old in light and state not in light:
            self.memory += job.request.size * (factor - 1)
        self.in_use += (state is State.RUNNING) - (old is State.RUNNING)
        away = (State.AWAITING_CALL, State.CALLING)
        self.parked += (state in away) - (old in away)
        if old is State.QUEUED:
            self.held.pop(job.id, None)
        job.state = state

    def _leave(self, job: Job) -> None:
        """A request is over: give its memory back, and its key where it never ran."""
        light = job.state in (State.QUEUED, State.AWAITING_RESULT)
        self.memory -= job.request.size * (1 if light else self.settings.run_factor)
        self.in_use -= job.state is State.RUNNING
        self.parked -= job.state in (State.AWAITING_CALL, State.CALLING)
        self.held.pop(job.id, None)
        del self.jobs[job.id]
        if job.has_key:
            if job.ran:
                window = self.settings.classes[job.class_index].window
                self._push_timer(job.arrived_at + window + 2 * self.settings.tick, "key", None)
            else:
                self._drop_key()
                self.out.append(ForgetKey(job.id))

    def _drop_key(self) -> None:
        self.key_count -= 1
        self.memory -= self.settings.key_memory

    # --- ends ---

    def _reject(self, job: Job, reason: str, no_other_node: bool | None = None) -> None:
        """Turn a request away that never ran. PeerProcessUsage is worth a try only while few are refused or this
        server is the sick one; else each further try costs every server its reading."""
        sick = reason in ("drain", "hang")
        if no_other_node is None:
            no_other_node = not sick and self.rejections.share > FULL_FLEET_REJECTED_SHARE
        self.rejections.record_rejection(reason)
        self.class_statistics.record_rejection(job.class_index, self.now - job.arrived_at)
        if reason in ("hopeless", "late"):
            self.share *= 1 - (1 - REJECTION_FACTOR) * self._quota_weight(job)
        # Where the others are full as well the client is told when this backlog will be the wanted one again.
        hold_off = min(self.settings.max_retry_after, math.inf if sick else self.excess if no_other_node else 0.0)
        if job.state is State.QUEUED:
            self._leave(job)
        else:
            job.answered = True
        self.out.append(Reject(job.id, hold_off, no_other_node))

    def _fail(self, job: Job) -> None:
        """The final answer for what cannot be served in time, running work included."""
        if job.answered:
            return
        if job.state is State.QUEUED and not job.ran:
            self._reject(job, "due", no_other_node=True)
            return
        self.out.append(Fail(job.id))
        self._abandon(job)

    def _on_caller_gone(self, job: Job) -> None:
        if not job.answered:
            self._abandon(job)

    def _abandon(self, job: Job) -> None:
        """Nobody waits any longer: stop the work, unless a keyed repeat may still come for its answer."""
        job.answered = True
        if job.state is State.RUNNING:
            # Runs cut off teach the average nothing; without a trace a slow server forgets its slowness.
            self.cut_spent += self.now - job.run_started - job.call_wait
            self.cut_work += job.work
        if job.state in (State.QUEUED, State.AWAITING_RESULT):
            self._leave(job)
        elif job.state is State.RUNNING and self.settings.cancellation is not Cancellation.UNSUPPORTED:
            if self.settings.classes[job.class_index].idempotency is not Idempotency.KEYED:
                self.out.append(Stop(job.id))

    def _on_finished(self, job: Job, outcome: Outcome) -> None:
        cls = self.settings.classes[job.class_index]
        if job.state is State.CALLING:
            self._end_call(job, abandoned=True)
        if job.state is State.RUNNING:
            self._on_progress()
            if outcome is Outcome.OK:
                self._record_run(job, cls)
        if outcome is Outcome.OK and job.tenant_index >= 0 and not job.answered and self.now <= job.objective_at:
            self.tenants.record_served(job.tenant_index)
        if outcome in (Outcome.CANCELLED, Outcome.MOOT) and not job.answered:
            self.out.append(Fail(job.id))
        self._leave(job)

    def _record_run(self, job: Job, cls: RequestClass) -> None:
        """Feed the limit with the run time, call waits taken out."""
        rtt = max(1e-6, self.now - job.run_started - job.call_wait)
        over = self.now - job.arrived_at > cls.latency_objective and job.arrived_at >= self.moved
        late = over or self.unread > UNREAD_PRESSURE_SHARE * self.runs.average_time
        if job.request.hint is None:
            own = rtt * min(1.0, self.settings.cores / max(1, self.in_use + self.other_use))
            self.class_statistics.record_work(job.class_index, own)
        self.class_statistics.record_call_wait(job.class_index, job.call_wait)
        self.runs.record_success(
            self.now,
            rtt,
            job.work,
            self.in_use + self.other_use,
            late,
            self.core_gauges.cores_full,
            self.core_gauges.cores_idle,
        )

    def _on_progress(self) -> None:
        self.progress = self.now
        if self.hung:
            self.hung = False
            self.out += [SetHealth(self.stop_at is None), Log("work moves again")]

    # --- calls below ---

    def _on_call_needed(self, job: Job) -> None:
        self._on_progress()
        self._enter(job, State.AWAITING_CALL)
        job.call_wait_began = self.now
        if not job.answered:
            self.call_queue.append(job)
            cls = self.settings.classes[job.class_index]
            if not (cls.late_weight or cls.weight_without_call):  # given up once no call can end in time
                self._push_timer(job.objective_at - self.calls.average_time, "spent", job)

    def _on_call_returned(self, job: Job, event: CallReturned) -> None:
        if job.state is not State.CALLING:
            return
        self._end_call(job, abandoned=event.outcome is Outcome.TIMEOUT)
        if event.outcome is Outcome.OK:
            self.calls.record_success(self.now, max(1e-6, event.elapsed), 1.0, self.calling + 1, False)
            self._resume(job)
            return
        self._enter(job, State.AWAITING_CALL)
        if event.outcome in (Outcome.BUSY, Outcome.TIMEOUT):
            self.calls.record_back_pressure(self.now)
            self.runs.record_back_pressure(self.now)
        if job.answered:
            return
        proof = event.outcome in (Outcome.BUSY, Outcome.CONNECT_FAILED)
        cls = self.settings.classes[job.class_index]
        pause = CALL_RETRY_DELAY_S * 2**job.call_attempts * (0.5 + self.random.random())
        job.call_attempts += 1
        # Only a proof that it never ran, or a class safe to repeat, allows a second call.
        if (proof or cls.idempotency is Idempotency.IDEMPOTENT) and self.now + pause < min(
            job.due_at, job.objective_at
        ):
            self._push_timer(self.now + pause, "recall", job)
        elif cls.weight_without_call:
            self.out.append(SkipCall(job.id))
            self._resume(job)
        else:
            self._fail(job)

    def _resume(self, job: Job) -> None:
        """Back on the cores at once, even over the limit."""
        job.call_wait += self.now - job.call_wait_began
        self._enter(job, State.RUNNING)

    def _end_call(self, job: Job, abandoned: bool) -> None:
        self.calling -= 1
        self.promised -= job.reserved_call_time
        if abandoned and self.settings.abandoned_call_time:
            self.lingering.append(self.now + self.settings.abandoned_call_time)
        self._record_calls()

    def _record_calls(self) -> None:
        """Note how many calls are in the dependency's hands, abandoned ones included."""
        while self.lingering and self.lingering[0] <= self.now:
            self.lingering.popleft()
        if not self.settings.max_calls:
            return
        at, total, count = self.call_steps[-1]
        total += count * (self.now - at) if count else 0.0
        self.call_steps.append((self.now, total, self.calling + len(self.lingering)))

    def _remaining_call_time(self) -> float:
        """Call seconds that the told share still leaves in its window, once all in hand take their longest.

        Guards the shared dependency whatever slows it, also where the share is a fraction of one call: a
        server then makes short calls one after the other. Harm: a call cut off that others' room allowed."""
        if not self.settings.max_calls:
            return math.inf
        self._record_calls()
        since, steps = self.now - self.settings.max_calls_window, self.call_steps
        while len(steps) > 1 and steps[1][0] <= since:
            steps.popleft()
        at, before, count = steps[0]
        spent = steps[-1][1] - before - (count * (since - at) if count and since > at else 0.0)
        lingers = sum(end - self.now for end in self.lingering)
        return self._total_call_time() - spent - lingers - self.promised

    def _total_call_time(self) -> float:
        """Call seconds that the told share leaves in its window while no call was made."""
        return self.settings.max_calls * USED_LIMIT_SHARE * self.settings.max_calls_window or math.inf

    def _make_calls(self) -> None:
        """Make the calls that the limit and the told share allow; leave out those that cannot wait."""
        if not self.call_queue:
            return
        self.call_queue = [job for job in self.call_queue if not job.answered and job.id in self.jobs]
        linger, tick = self.settings.abandoned_call_time, self.settings.tick
        # A call is never to wait for more time than the share can ever allow: where its usual time is not
        # known yet and thought longer, or has been longer of late, no call would be made and nothing learned.
        most = (self._total_call_time() / 2 - linger) * (1 - RELATIVE_MARGIN)
        while self.call_queue and self.calling < self.calls.limit and self._cores_admit():
            job = max(self.call_queue, key=self._weight_density)
            time_out = min(job.due_at - self.now, self._remaining_call_time() / 2 - linger)
            if time_out < min(self.calls.average_time, job.due_at - self.now, max(tick, most)):
                break
            self.call_queue.remove(job)
            job.reserved_call_time = max(tick, time_out) + linger
            self.calling += 1
            self.promised += job.reserved_call_time
            self._record_calls()
            self._enter(job, State.CALLING)
            self.out.append(Call(job.id, job.reserved_call_time - linger))
        for job in [j for j in self.call_queue if self.settings.classes[j.class_index].weight_without_call]:
            late = (
                self.now + self.class_statistics.call_wait[job.class_index] + job.work * self.slowness / 2
                > job.objective_at
            )
            if late and self._cores_admit():
                self.call_queue.remove(job)
                self.out.append(SkipCall(job.id))
                self._resume(job)
        if self.call_queue and self.wake <= self.now:
            self.wake = self.now + CALL_RETRY_DELAY_S
            self._push_timer(self.wake, "wake", None)

    # --- drain, time, health, advice ---

    def _on_drain(self, notice: DrainNotice) -> None:
        """Leave: nothing that arrives after the grace runs, and all is answered before the stop."""
        if self.stop_at is None:
            at = self.now if notice.at is None else notice.at
            self.last_arrival = at + self.settings.drain_grace
            self.out += [SetHealth(False), Log("draining")]
        self.stop_at = max(self.now, notice.stop - 2 * self.settings.tick)
        for job in list(self.jobs.values()):
            if job.due_at > self.stop_at:
                job.due_at = self.stop_at
                self._push_timer(job.due_at, "due", job)

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == self.token:
            self.armed = math.inf
        self.core_gauges.record(event.gauges, self.in_use + self.other_use)
        # Growth without the wait while cores idle and requests are held (disk waits leave cores idle).
        full = self.held and self.in_use >= self.runs.limit
        if self.core_gauges.cores_idle and full and self.now >= self.grown + GAUGE_WINDOW_S:
            self.grown = self.now
            # Only half of them, as it is not known what the runs wait for.
            self.runs.raise_by(max(1, int(self.core_gauges.spare_runs(self.in_use) / 2)))

    def _account_for_pause(self, now: float) -> None:
        """A timer that comes late proves that the process, runs and reading included, stood still.

        That time is in no run's own time, no sign of a hang and no crowding of the cores: counted there, it
        would halve the limit and take a sound server out of the list. Covers pauses of whatever cause.
        Harm: on a host that is late with every timer, slowness is seen later."""
        if now - self.armed <= PAUSE_TICKS * self.settings.tick:
            return
        lost, self.stood, self.moved, self.armed = now - self.armed, self.armed, now, now
        self.progress = min(now, self.progress + lost)
        for job in self.jobs.values():
            if job.state is State.RUNNING:
                job.run_started += lost

    def _push_timer(self, at: float, what: str, job: Job | None) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (at, self.sequence, what, job))
        if len(self.heap) > self.heap_room:  # guards memory: most are over long before their deadlines
            self.heap = [e for e in self.heap if e[3] is None or (e[3].id in self.jobs and not e[3].answered)]
            heapq.heapify(self.heap)
            self.heap_room = 2 * len(self.heap) + MIN_COMPACTED_TIMERS

    def _expire_timers(self) -> None:
        """Everything whose time has come, from the one heap of deadlines."""
        while self.heap and self.heap[0][0] <= self.now:
            _, _, what, job = heapq.heappop(self.heap)
            if what == "key":
                self._drop_key()
            elif job is None or job.id not in self.jobs or job.answered:
                continue
            elif what == "due":
                self._fail(job)
            elif what == "spent" and job.state is State.AWAITING_CALL:
                if self.calling or self.now >= job.objective_at:
                    self._fail(job)
                else:  # one is made all the same: else a slow spell would never be unlearned
                    self._push_timer(min(job.objective_at, self.now + CALL_RETRY_DELAY_S), "spent", job)
            elif what == "recall" and job.state is State.AWAITING_CALL:
                self.call_queue.append(job)
            elif what == "late" and job.state is State.QUEUED:
                self._reject(job, "late")

    def _set_timer(self) -> None:
        """One timer, for the earliest deadline that still matters, or the next look while there is work.

        Timers cost CPU; without the look a hang or a stall would show only when something else comes."""
        while self.heap and (job := self.heap[0][3]) and job.id not in self.jobs and self.heap[0][2] != "key":
            heapq.heappop(self.heap)
        pulse = self.now + CONTROL_INTERVAL_S if self.in_use or self.held else math.inf
        if (at := min(pulse, self.heap[0][0] if self.heap else pulse)) < self.armed:
            self.armed = max(at, self.now + self.settings.tick)
            self.token += 1
            self.out.append(SetTimer(self.token, self.armed - self.now))

    def _cores_admit(self) -> bool:
        """Room on the cores for one more, should every call in hand return at once.

        Guards the crowd whatever the calls do, also where runs cannot be stopped: those on the cores and
        those at calls stay under the ceiling together; what waits for its call waits here. Harm: a call
        or a start waits while calls take long."""
        return self.in_use + self.calling + self.other_use + 1 <= self.core_capacity.total(self.now)

    def _control(self) -> None:
        step, self.last_control = min(1.0, self.now - self.last_control), self.now
        self.runs.set_ceiling(self.core_capacity.limit_ceiling(self.now))
        self.cut_spent *= math.exp(-step / ABANDONED_RUNS_DECAY_S)
        self.cut_work *= math.exp(-step / ABANDONED_RUNS_DECAY_S)
        self.caller_traffic.decay(step)
        self.tenants.advance(step)
        self._watch_runs()
        if (timeout := self.idle_connections.update(step, self.rejections.share)) is not None:
            self.out.append(IdleTimeout(timeout))
        self._adjust_share(step)
        self._announce()

    def _watch_runs(self) -> None:
        """Slowness by symptom: the average of ended runs, or more where those running took longer."""
        running = [job for job in self.jobs.values() if job.state is State.RUNNING]
        spent = sum(self.now - job.run_started - job.call_wait for job in running)
        work = sum(job.work for job in running)
        prior = PRIOR_RUNS * self.runs.average_time / self.runs.average_ratio
        spent, work_seen = spent + self.cut_spent, work + self.cut_work
        self.slowness = max(self.runs.average_ratio, (prior * self.runs.average_ratio + spent) / (prior + work_seen))
        if not running or self.hung:
            return
        usual = max(self.runs.average_time, work / len(running) * self.runs.average_ratio) * (1 + 2 / len(running))
        # Where requests wait unread, reading has the cores: slow, and no hang, which leaves reading alone.
        if self.now - self.progress > HANG_RUN_TIMES * usual and self.unread < UNREAD_PRESSURE_SHARE * usual:
            self._on_hang(running)

    def _on_hang(self, running: list[Job]) -> None:
        """No run ends: send callers elsewhere while there is time. Guards against hangs of whatever cause,
        and catches extreme slowness; one very long run looks alike, and then good work is turned away."""
        self.hung = True
        self.out += [SetHealth(False), Log("no progress while work runs")]
        for job in [*self.held.values(), *running]:
            if not job.answered and (
                not job.ran or self.settings.classes[job.class_index].idempotency is Idempotency.IDEMPOTENT
            ):
                self._reject(job, "hang")

    def _quota_weight(self, job: Job) -> float:
        """What a request counts for its class's worth, as told."""
        return self.settings.over_quota_weight if self.tenants.is_over_quota(job.tenant_index) else 1.0

    def _backlog(self) -> float:
        """Seconds that a request waits: unread, then for the work in the hold."""
        work = sum(job.work * self._quota_weight(job) for job in self.held.values())
        return self.unread + work * self.slowness / self.runs.limit

    def _adjust_share(self, step: float) -> None:
        """Integrate the backlog's distance from the wanted one into the share of traffic asked for."""
        wanted = TARGET_BACKLOG_SHARE * self.mean_aim
        self.excess = max(0.0, (backlog := self._backlog()) - wanted)
        error = max(-2.0, min(1.0, (wanted - backlog) / wanted))
        self.share = max(
            MIN_ANNOUNCED_SHARE,
            min(1.0, self.warm_up.speed(self.now), self.share * math.exp(SHARE_GAIN * error * step)),
        )

    def _announce(self) -> None:
        """The cheapest refusal is the one never sent: tell callers how much to send, in their meaning."""
        signal, value = self.settings.signal, self.share
        if signal is LoadSignal.NONE:
            return
        if self.hung or self.stop_at is not None:
            value = 0.0
        if signal is LoadSignal.LEVEL:
            value = 1.0 - value
        elif signal is LoadSignal.CREDIT:
            work = self.slowness * sum(self.class_statistics.work) / len(self.class_statistics.work)
            room = TARGET_BACKLOG_SHARE * self.mean_aim * self.runs.limit / work
            could = min(self.runs.ceiling, self.core_gauges.runs_on_full_cores(self.runs.limit))
            total = (max(self.runs.limit, could) + self.parked + room) if value else 0.0
            # Callers' traffic is uneven: an even part turns the busiest away while the others' lies idle.
            value = total * max(self.caller_traffic.busiest_share(self.now), 1 / self.settings.callers)
        if abs(value - self.announced) > 0.01:
            self.announced = round(value, 3)
            self.out.append(Announce(self.announced))
