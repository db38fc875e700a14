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
from .job import Job, State
from .settings import Cancellation, Idempotency, LoadSignal, RequestClass, Settings
from .snapshot import Snapshot

# Tuned values: ratios and shares, none of them a figure of one deployment.
AVERAGE_WEIGHT = 0.1  # weight of a new run in the averages
RISING_SHARE_WEIGHT = 0.5  # weight of a look that shows more of the runs on the cores than before
RELATIVE_MARGIN = 0.1  # ... and at least this share of the average
USED_LIMIT_SHARE = 0.85  # share of a told ceiling (memory, crowd, calls) that is used
PARKED_SHARE = 0.3  # share of the crowd ceiling kept for requests parked at calls
CONTROL_INTERVAL_S = 0.1  # seconds between looks at the backlog
TARGET_BACKLOG_SHARE = 0.15  # wanted backlog, as a share of the mean aim
SHARE_GAIN = 0.5  # how fast the announced share follows the backlog
MAX_WAIT_SHARES = 300  # parts of the deadline that are remembered
MIN_FIRST_ATTEMPT_SHARE = 0.05  # a part that this share of tries has is a first try's
MAX_CALLERS = 1000  # callers remembered, for their connections
MIN_RETURNS_PER_IDLE_TIME = 3.0  # returns while a connection may idle from which it is worth its place; half in a jam
SHORT_IDLE_TIMEOUT_S = 0.1  # seconds that an idle connection stays where callers hardly return
WAIT_SHARE_STEP = 0.002  # waits this close, as shares of the deadline, are the same
REJECTION_FACTOR = 0.95  # each refusal for want of room lowers the announced share to this part
MIN_ANNOUNCED_SHARE = 0.5  # announced share that keeps some traffic coming, so that recovery is seen
TRAFFIC_DECAY_S = 8.0  # seconds over which the service of tenants is remembered
MIN_CORE_USE = 0.5  # the use of the cores is not taken to be less when callers are told what these could run
MIN_OBSERVATION_S = 2.0  # seconds over which a caller's traffic is counted at least
ABANDONED_RUNS_DECAY_S = 4.0  # seconds over which runs that were cut off count as slow
QUOTA_BURST_S = 5.0  # seconds of its quota that a tenant may use at once
UNEVEN_TRAFFIC_FACTOR = 1.25  # traffic is spread unevenly: a server lets a tenant have this multiple of its even part
PRIOR_RUNS = 4.0  # ended runs that the average counts for, against those still running
UNREAD_PRESSURE_SHARE = (
    0.3  # an unread wait above this share of the run time is back pressure: reading shares the cores
)
GAUGE_WINDOW_S = 0.5  # seconds that the gauge of the cores looks back: until then a step of growth hardly shows
PAUSE_TICKS = 20  # a timer later than this many ticks shows that the process stood still
HANG_RUN_TIMES = 3.0  # no progress for this many usual run times is a hang
FULL_FLEET_REJECTED_SHARE = 0.2  # share of reads refused from which others are taken to be full as well
MIN_COMPACTED_TIMERS = 1000  # deadlines kept before those that no longer matter are dropped
CALL_RETRY_DELAY_S = 0.05  # seconds before a failed call is repeated, doubled each time
# What experience teaches about callers, work and cores; a process that takes over begins with it.
LEARNED = (
    "work",
    "turned",
    "waits",
    "patience",
    "tries",
    "parts",
    "heard",
    "returned",
    "silent",
    "first",
    "served",
    "buckets",
    "share",
    "refused_share",
    "unread",
    "reading",
    "slowness",
    "core_use",
    "usual_use",
    "again_share",
)
LIMIT_FIELDS = {"limit": "limit", "average": "average_ratio", "deviation": "deviation", "time": "average_time"}


class Policy:
    """One server's decisions. Feed it events; it answers with actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        s = self.settings = settings
        self.random = random.Random(seed)
        self.now = self.born = self.last_control = self.progress = self.stood = 0.0
        self.grown = self.moved = -math.inf  # moved: when the process last went on after a stall
        self.on_core_share = 1.0  # of the runs, those that want a core of late; the others wait for disk
        self.out: list[Action] = []
        self.jobs: dict[str, Job] = {}
        self.held: dict[str, Job] = {}
        self.classes = {cls.name: index for index, cls in enumerate(s.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(s.tenants)}
        self.work = [cls.latency_objective / 5 for cls in s.classes]  # learned per class, where no hint comes
        self.turned = [0.0] * len(s.classes)  # learned time until a refusal
        self.waits = [0.0] * len(s.classes)  # learned time at calls
        self.mean_aim = sum(cls.latency_objective for cls in s.classes) / len(s.classes)
        self.patience: dict[int, float] = {}  # parts of the deadline that tries may wait: how often, of late
        self.tries = 0.0
        self.parts: dict[int, tuple[float, float]] = {}  # what each caller sent of late; first heard
        self.heard: dict[int, float] = {}  # callers, longest silent first: when last heard
        self.returned, self.silent = 3.0, s.max_idle_time  # callers heard again; seconds that callers were silent
        self.idle = s.max_idle_time
        self.first = math.inf  # when the first request came
        slowness = 1.0 / s.initial_speed if s.warming_up else 1.0
        self.runs = AimdLimit(s.cores, self._limit_ceiling(), slowness, min(self.work))
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
        self.served = [1e-3] * len(s.tenants)  # answered within the aim, of late
        self.quotas = sum(tenant.quota for tenant in s.tenants)
        self.buckets = [tenant.quota / s.servers * UNEVEN_TRAFFIC_FACTOR * QUOTA_BURST_S for tenant in s.tenants]
        self.share = self._warm_up_speed()
        self.announced = -1.0
        self.refused_share = self.unread = self.reading = self.cut_spent = self.cut_work = 0.0
        self.slowness, self.core_use, self.excess, self.again_share = slowness, 0.0, 0.0, 0.0
        self.hung = self.cores_idle = False
        self.usual_use = 1.0  # core use of late; full until gauges tell
        self.stop_at: float | None = None
        self.last_arrival = math.inf
        self.limited = 0
        self.refusals: dict[str, int] = {}

    # --- the outer surface ---

    def start(self, now: float) -> list[Action]:
        """The first actions of a life: checks answered cheaply, connections kept, the value announced."""
        self.now = self.born = self.last_control = self.progress = now
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
            dict(self.refusals),
        )

    def learned(self) -> dict[str, object]:
        """What another process may begin with."""
        learned: dict[str, object] = {name: getattr(self, name) for name in LEARNED}
        for owner in ("runs", "calls"):
            limit = getattr(self, owner)
            learned |= {f"{owner}.{outside}": getattr(limit, field) for outside, field in LIMIT_FIELDS.items()}
        return learned

    def adopt(self, learned: dict[str, object]) -> None:
        """Begin with what another process had learned about the same cores and callers."""
        for name, value in learned.items():
            owner, _, part = name.rpartition(".")
            if owner:
                setattr(getattr(self, owner), LIMIT_FIELDS[part], value)
            else:
                setattr(self, name, value)
        self.runs.set_ceiling(self._limit_ceiling())

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
        if req.cls not in self.classes:
            raise UsageError(f"unknown class: {req.cls}")
        index = self.classes[req.cls]
        cls = self.settings.classes[index]
        job = Job(
            req,
            index,
            self.tenants.get(req.tenant or "", -1),
            self.now - req.unread,
            max(2 * self.settings.tick, req.hint or self.work[index]),
        )
        self.jobs[job.id] = self.held[job.id] = job
        self.memory += req.size
        due = req.due if req.due is not None else job.arrived_at + cls.deadline
        job.due_at = max(self.now, due) - self.settings.tick
        if self.stop_at is not None:
            job.due_at = min(job.due_at, self.stop_at)
        aim = min(
            cls.latency_objective + cls.objective_stretch * job.work, cls.deadline
        ) - self._previous_attempts_time(job, cls)
        job.objective_at = min(job.arrived_at + aim, job.due_at)  # callers may give up a try before the aim
        self.refused_share *= 1 - AVERAGE_WEIGHT / 2
        self.again_share += AVERAGE_WEIGHT / 2 * (req.is_retry - self.again_share)  # below 1
        stood = max(0.0, min(self.now, self.moved) - max(job.arrived_at, self.stood))
        self.unread += 2 * AVERAGE_WEIGHT * (max(0.0, req.unread - stood) - self.unread)
        self._note_caller(req.caller)
        self.first = min(self.first, self.now)
        if req.caller in self.parts or len(self.parts) < MAX_CALLERS:
            part, first = self.parts.get(req.caller, (0.0, self.now))
            self.parts[req.caller] = part + 1, first
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

    def _previous_attempts_time(self, job: Job, cls: RequestClass) -> float:
        """Time spent on earlier tries, which nothing tells, but that there were some, where tries are marked.
        First tries wait one of few parts of the deadline, by habit of their callers; what earlier tries left
        of the whole is hardly seen twice."""
        if job.request.due is None:  # as long as as many refusals take here as tries come before one
            return (
                self.turned[job.class_index] * self.again_share / (1 - self.again_share)
                if job.request.is_retry
                else 0.0
            )
        part = (job.request.due - job.arrived_at) / cls.deadline
        mark, tally = round(part / WAIT_SHARE_STEP), self.patience
        first = self.settings.marks_retries and not job.request.is_retry
        if first or not self.settings.marks_retries:
            tally[mark] = tally.get(mark, 0.0) + 1
            self.tries += 1
        if first:
            return 0.0
        near = sum(tally.get(at, 0.0) for at in (mark - 1, mark, mark + 1))
        if len(tally) > MAX_WAIT_SHARES:  # guards memory: all fade and the rare ones go
            self.patience = {at: count / 2 for at, count in tally.items() if count > 1}
            self.tries = sum(self.patience.values())
        usual = near >= MIN_FIRST_ATTEMPT_SHARE * self.tries
        return 0.0 if usual else max(0.0, 1 - part) * cls.deadline

    def _note_caller(self, caller: int) -> None:
        """Learn how soon callers come again; those silent for longer than connections may idle go."""
        self.returned += self.heard.pop(caller, None) is not None
        self.heard[caller] = self.now
        while (oldest := next(iter(self.heard))) != caller and (
            len(self.heard) > MAX_CALLERS or self.now - self.heard[oldest] > self.settings.max_idle_time
        ):
            del self.heard[oldest]

    def _adjust_idle_timeout(self, step: float) -> None:
        """Close idle connections at once where a caller is hardly heard again while its own may stay open.

        Guards against a table full of connections that nobody uses: it costs cores and turns callers away.
        Harm: a handshake for each try of the few callers that do come again."""
        longest = self.settings.max_idle_time
        keep = math.exp(-step / max(longest, step))
        self.returned, self.silent = self.returned * keep, (self.silent + len(self.heard) * step) * keep
        # The more is refused, the more a full table helps: it turns away without handshake or reading.
        needed = max(MIN_RETURNS_PER_IDLE_TIME / 2, MIN_RETURNS_PER_IDLE_TIME * (1 - self.refused_share))
        idle = longest if self.returned * longest > needed * self.silent else min(SHORT_IDLE_TIMEOUT_S, longest)
        if idle != self.idle:
            self.idle = idle
            self.out.append(IdleTimeout(idle))

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
        if self.in_use + self.other_use + self.reading < self.runs.limit and len(self.held) == 1:
            return ""
        rank = self._weight_density(job)
        ahead = sum(o.work for o in self.held.values() if o is not job and self._weight_density(o) >= rank)
        wait = ahead * self.slowness / self.runs.limit
        return "hopeless" if self.now + wait + self._expected_time(job) > job.objective_at else ""

    def _expected_time(self, job: Job) -> float:
        return self._expected_run_time(job.work) + self.waits[job.class_index]

    def _expected_run_time(self, work: float) -> float:
        """Expected time on the cores. A cold server warms up meanwhile, evenly at the slowest: at its present
        speed a long run would look hopeless that ends in time."""
        time, speed = work * self.slowness, self._warm_up_speed()
        if speed >= 1:
            return time
        full, rise = time * speed, (1 - self.settings.initial_speed) / self.settings.warm_up_time
        end = min(1.0, math.sqrt(speed**2 + 2 * rise * full))  # the speed at its end
        return (end - speed) / rise + max(0.0, full - (1 - speed**2) / 2 / rise)

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

    def _is_over_quota(self, job: Job) -> bool:
        """Its tenant has used up this server's part of the quota, and more of its quota than the others.

        The second guards small tenants where traffic is uneven: a busy server sees more of every tenant than
        the even part. Harm: where all tenants exceed their shares alike, none is put back."""
        if job.tenant_index < 0 or self.buckets[job.tenant_index] >= 1:
            return False
        quota = self.settings.tenants[job.tenant_index].quota
        return quota > 0 and self.served[job.tenant_index] * self.quotas > quota * sum(self.served)

    def _has_permit(self) -> bool:
        """Under the limit; reading takes permits as a mean, but none of one run for each core: at two cores a
        single request being read would otherwise keep a core from every run."""
        used = self.in_use + self.other_use + self.reading
        return self.in_use < self.settings.cores or used < self.runs.limit

    def _start_runs(self) -> None:
        # What the limit leaves of the crowd may be parked: all of them back at once still fit on the cores.
        room = self._cores_capacity()
        bound = max(1, int(max(room * PARKED_SHARE, room - self.runs.limit)))
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
                self.buckets[job.tenant_index] -= 1
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
            no_other_node = not sick and self.refused_share > FULL_FLEET_REJECTED_SHARE
        self.refused_share += AVERAGE_WEIGHT / 2
        self.turned[job.class_index] += AVERAGE_WEIGHT * (self.now - job.arrived_at - self.turned[job.class_index])
        if reason in ("hopeless", "late"):
            self.share *= 1 - (1 - REJECTION_FACTOR) * self._quota_weight(job)
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
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
            self.served[job.tenant_index] += 1
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
            self.work[job.class_index] += AVERAGE_WEIGHT * (own - self.work[job.class_index])
        self.waits[job.class_index] += AVERAGE_WEIGHT * (job.call_wait - self.waits[job.class_index])
        self.runs.record_success(
            self.now,
            rtt,
            job.work,
            self.in_use + self.other_use,
            late,
            self.core_use >= 1 - RELATIVE_MARGIN,
            self.cores_idle,
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
            late = self.now + self.waits[job.class_index] + job.work * self.slowness / 2 > job.objective_at
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
        gauges = dict(zip(self.settings.gauges, event.gauges, strict=False))
        # Reading shares the cores and takes permits too, as a mean; at least one request always runs.
        runs = self.in_use + self.other_use
        self.reading += AVERAGE_WEIGHT * (max(0.0, gauges.get("on_cores", runs) - runs) - self.reading)
        self.core_use = gauges.get("core_use", 0.0)
        if runs and "on_cores" in gauges:
            fewer = min(1.0, gauges["on_cores"] / runs) - self.on_core_share
            self.on_core_share += fewer * (AVERAGE_WEIGHT if fewer < 0 else RISING_SHARE_WEIGHT)
        # Growth without the wait while cores idle and requests are held (disk waits leave cores idle).
        if "core_use" in gauges:
            self.usual_use += AVERAGE_WEIGHT * (self.core_use - self.usual_use)
        self.cores_idle = "core_use" in gauges and self.core_use < 1 - RELATIVE_MARGIN
        full = self.held and self.in_use >= self.runs.limit
        if self.cores_idle and full and self.now >= self.grown + GAUGE_WINDOW_S:
            self.grown = self.now
            # As many more as the idle part of the cores could run, halved: what they wait for is not known.
            spare = self.in_use * (1 - RELATIVE_MARGIN - self.core_use) / max(MIN_CORE_USE, self.core_use)
            self.runs.raise_by(max(1, int(spare / 2)))

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

    def _warm_up_speed(self) -> float:
        s = self.settings
        if not s.warming_up or self.now - self.born >= s.warm_up_time:
            return 1.0
        return s.initial_speed + (1 - s.initial_speed) * (self.now - self.born) / s.warm_up_time

    def _survivable_runs(self) -> float:
        """How many runs the cores survive now, cold to warm: a part of the told figure, or one run a core."""
        cores = self.settings.cores
        return max(
            cores, (1 + (self.settings.max_running_per_core - 1) * self._warm_up_speed()) * cores * USED_LIMIT_SHARE
        )

    def _cores_admit(self) -> bool:
        """Room on the cores for one more, should every call in hand return at once.

        Guards the crowd whatever the calls do, also where runs cannot be stopped: those on the cores and
        those at calls stay under the ceiling together; what waits for its call waits here. Harm: a call
        or a start waits while calls take long."""
        return self.in_use + self.calling + self.other_use + 1 <= self._cores_capacity()

    def _cores_capacity(self) -> float:
        """Runs and calls in hand that the cores survive. Where runs wait for disk, which the told figure
        leaves out, a warm server uses the margin too: all of them back at once are still not over it."""
        return max(
            self._survivable_runs(),
            min(self.settings.max_running_per_core * self.settings.cores, self._runs_with_disk_waits(USED_LIMIT_SHARE)),
        )

    def _runs_with_disk_waits(self, least: float) -> float:
        """The crowd where some of the runs wait for disk, which only the gauge of the cores shows."""
        return self._survivable_runs() / (max(least, self.on_core_share) if self._warm_up_speed() >= 1 else 1.0)

    def _limit_ceiling(self) -> int:
        return int(self._runs_with_disk_waits(1 - PARKED_SHARE) * (1 - PARKED_SHARE))

    def _control(self) -> None:
        step, self.last_control = min(1.0, self.now - self.last_control), self.now
        self.runs.set_ceiling(self._limit_ceiling())
        self.cut_spent *= math.exp(-step / ABANDONED_RUNS_DECAY_S)
        self.cut_work *= math.exp(-step / ABANDONED_RUNS_DECAY_S)
        fade = math.exp(-step / TRAFFIC_DECAY_S)
        self.parts = {c: (part * fade, first) for c, (part, first) in self.parts.items() if part > 0.01}
        self.served = [max(1e-3, value * fade) for value in self.served]
        for index, tenant in enumerate(self.settings.tenants):
            rate = tenant.quota / self.settings.servers * UNEVEN_TRAFFIC_FACTOR
            self.buckets[index] = max(
                -rate * QUOTA_BURST_S, min(rate * QUOTA_BURST_S, self.buckets[index] + rate * step)
            )
        self._watch_runs()
        self._adjust_idle_timeout(step)
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
        return self.settings.over_quota_weight if self._is_over_quota(job) else 1.0

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
            MIN_ANNOUNCED_SHARE, min(1.0, self._warm_up_speed(), self.share * math.exp(SHARE_GAIN * error * step))
        )

    def _busiest_caller_share(self) -> float:
        """The part of all traffic that the busiest caller sends, each counted over the time it was heard.

        Guards against callers that restart and come back under new numbers: counted over the same time as
        those that stay, each of their numbers would seem to send little, and the credit would starve them."""

        def seen(since: float) -> float:  # share of the memory that this time fills
            return 1 - math.exp(-max(MIN_OBSERVATION_S, self.now - since) / TRAFFIC_DECAY_S)

        most = max((part / seen(first) for part, first in self.parts.values()), default=0.0)
        total = sum(part for part, _ in self.parts.values())
        return min(1.0, most * seen(self.first) / max(1.0, total))

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
            work = self.slowness * sum(self.work) / len(self.work)
            room = TARGET_BACKLOG_SHARE * self.mean_aim * self.runs.limit / work
            could = min(self.runs.ceiling, self.runs.limit * (1 - RELATIVE_MARGIN) / max(MIN_CORE_USE, self.usual_use))
            total = (max(self.runs.limit, could) + self.parked + room) if value else 0.0
            # Callers' traffic is uneven: an even part turns the busiest away while the others' lies idle.
            value = total * max(self._busiest_caller_share(), 1 / self.settings.callers)
        if abs(value - self.announced) > 0.01:
            self.announced = round(value, 3)
            self.out.append(Announce(self.announced))
