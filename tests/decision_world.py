"""Random legal event sequences for one decision instance, with the four rules checked on its actions.

The simulation does not model how fast a server is; it tracks only the state that the rules need.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from itertools import pairwise

from chutepin import decision
from chutepin.decision import Cancellation, Idempotency, LoadSignal, Outcome, RequestClass, Settings, Tenant
from chutepin.decision.policy import Policy

IDEMPOTENT_CLASS = RequestClass("view", Idempotency.IDEMPOTENT, 1.0, 0.8, 2.0, 0.2, 0.0, True, 0.5)
KEYED_CLASS = RequestClass("pay", Idempotency.KEYED, 4.0, 1.0, 2.5, 0.2, 3.0, True)
NOT_IDEMPOTENT_CLASS = RequestClass("send", Idempotency.NOT_IDEMPOTENT, 2.0, 1.0, 2.5, 0.0, 0.0, True)

BASE = Settings(
    classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS),
    cores=2,
    memory=4000.0,
    tenants=(Tenant("a", 0.5, 20.0), Tenant("b", 0.5, 5.0)),
    servers=2,
    callers=3,
    initial_speed=0.3,
    warm_up_time=5.0,
    answer_slack=0.06,
    drain_grace=0.5,
    max_running_per_core=6.0,
    max_running_window=1.0,
    run_factor=8.0,
    key_memory=40.0,
    cancellation=Cancellation.DISCARDS_WORK,
    signal=LoadSignal.WEIGHT,
    max_retry_after=1.0,
    has_dependency=True,
    max_calls=3.0,
    max_calls_window=2.0,
    abandoned_call_time=0.2,
    gauges=("core_use",),
    over_quota_weight=0.1,
    tick=0.005,
)


class RuleViolationError(AssertionError):
    """An action violates one of the four rules or the contract of the actions."""


def require(condition: bool, violation: str) -> None:
    if not condition:
        raise RuleViolationError(violation)


@dataclass(slots=True)
class TrackedRequest:
    req: decision.Request
    cls: RequestClass
    arrived: float
    due: float
    read: float
    state: str = "queued"  # queued, running, paused, awaiting_call, calling, awaiting_result, completed
    answered: bool = False
    disconnected: bool = False
    ran: bool = False
    may_have_effect: bool = False  # a call may have taken effect
    effect: int = -1  # number of the intended effect; a repeat has that of its original
    called: bool = False  # the run has needed its call


@dataclass
class EventSimulation:
    settings: Settings
    seed: int
    rate: float = 40.0
    speed: float = 3.0  # rate per second at which each run ends or needs its call
    call_failures: float = 0.3
    callers: int = 3
    deadline_share: float = 0.9  # share of the requests that pass a deadline
    disconnects_per_s: float = 0.1  # rate per request
    marked_share: float = 0.0  # share of the requests that are marked as retries
    now: float = 100.0
    drain_at: float | None = None
    stop_at: float = 0.0
    last_serial: int = 0
    requests: dict[str, TrackedRequest] = field(default_factory=dict)
    key_expiry: dict[str, float] = field(default_factory=dict)  # by id of the request whose key is kept
    timers: list[tuple[float, int]] = field(default_factory=list)
    inbox: list[decision.Event] = field(default_factory=list)
    running_steps: list[tuple[float, float]] = field(default_factory=list)  # (time, running requests)
    call_steps: list[tuple[float, float]] = field(default_factory=list)  # (time, calls the dependency works on)
    abandoned_call_ends: list[float] = field(default_factory=list)  # when the dependency ends abandoned calls
    log: list[decision.Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.policy = Policy(self.settings, self.seed)
        self.started_at = self.now
        self.apply(self.policy.start(self.now))

    # --- events ---

    def step(self) -> None:
        self.now += self.rng.choice([0.005, 0.01, 0.02])
        if self.drain_at is not None:
            self.now = min(self.now, self.stop_at - self.settings.tick)
        events, self.inbox = self.inbox, []
        elapsed = 0.02
        for item in list(self.requests.values()):
            self._advance(item, events, elapsed)
        for _ in range(self.rng.choice([0, 0, 1, 2]) if self.rng.random() < self.rate * elapsed else 0):
            events.append(self._arrival())
        fired = [token for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        events += [decision.TimerFired(token, (self.rng.random(),)) for token in fired]
        if self.requests and self.rng.random() < 0.05:  # a late event of a completed request
            item = self.rng.choice(list(self.requests.values()))
            if item.state == "completed":
                events.append(decision.CallerDisconnected(item.req.id))
        if events:
            self.apply(self.policy.handle(self.now, events))
        self._check()

    def drain(self, time_left: float) -> None:
        self.drain_at, self.stop_at = self.now, self.now + time_left
        self.apply(self.policy.handle(self.now, [decision.DrainNotice(self.stop_at)]))

    def _advance(self, item: TrackedRequest, events: list[decision.Event], elapsed: float) -> None:
        roll = self.rng.random()
        if item.state == "running" and roll < self.speed * elapsed:
            if item.cls.makes_calls and not item.called and self.rng.random() < 0.6:
                item.called = True
                item.state = "completed" if item.answered else "awaiting_call"
                events.append(
                    decision.CallNeeded(item.req.id)
                    if not item.answered
                    else decision.Finished(item.req.id, Outcome.CANCELLED)
                )
            else:
                item.state = "completed"
                outcome = Outcome.ERROR if self.rng.random() < 0.1 else Outcome.OK
                item.answered = True
                events.append(decision.Finished(item.req.id, outcome))
        elif item.state == "calling" and roll < 4 * elapsed:
            self._end_call(item, events)
        elif item.state == "awaiting_result" and roll < 2 * elapsed:
            item.state, item.answered = "completed", True
            events.append(decision.Finished(item.req.id, Outcome.OK))
        elif item.state != "completed" and not item.answered and roll > 1 - self.disconnects_per_s * elapsed:
            self._disconnect_caller(item, events)

    def _disconnect_caller(self, item: TrackedRequest, events: list[decision.Event]) -> None:
        item.answered = item.disconnected = True
        events.append(decision.CallerDisconnected(item.req.id))
        if item.state in ("queued", "awaiting_result"):
            item.state = "completed"
        elif item.state in ("awaiting_call", "calling"):
            item.state = "completed"
            events.append(decision.Finished(item.req.id, Outcome.CANCELLED))

    def _end_call(self, item: TrackedRequest, events: list[decision.Event]) -> None:
        outcome = Outcome.OK
        if self.rng.random() < self.call_failures:
            outcome = self.rng.choice(
                [Outcome.ERROR, Outcome.BUSY, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]
            )
        item.may_have_effect |= outcome not in (Outcome.BUSY, Outcome.CONNECT_FAILED)
        item.state = "running" if outcome is Outcome.OK else "awaiting_call"
        if outcome is Outcome.TIMEOUT:
            self.abandoned_call_ends.append(self.now + self.settings.abandoned_call_time)
        events.append(decision.CallReturned(item.req.id, outcome, 0.1))

    def _arrival(self) -> decision.Request:
        self.last_serial += 1
        cls = self.rng.choice(self.settings.classes)
        unread = self.rng.choice([0.0, 0.0, 0.01, 0.4])
        repeats, effect = None, self.last_serial
        if cls.idempotency is Idempotency.KEYED and self.rng.random() < 0.5:
            earlier = [t for t in self.requests.values() if t.cls is cls and self.now - unread - t.arrived < cls.window]
            if earlier:
                original = self.rng.choice(earlier)
                effect = original.effect
                kept = [
                    t
                    for t in earlier
                    if t.effect == effect
                    and (t.read == self.now or self.key_expiry.get(t.req.id, 0.0) >= self.now - unread)
                ]
                repeats = kept[-1].req.id if kept else None
        wait = self.rng.choice([cls.deadline, cls.deadline, 0.4, 0.05])
        due = self.now - unread + wait if self.rng.random() < self.deadline_share else None
        tenant = self.rng.choice(self.settings.tenants).name if self.settings.tenants else None
        req = decision.Request(
            f"r{self.last_serial}",
            cls.name,
            unread,
            self.rng.uniform(5, 30),
            tenant,
            None,
            due,
            self.rng.choice([None, 0.1, 0.5]),
            0.5,
            self.rng.randrange(self.callers),
            repeats,
            self.marked_share > 0 and self.rng.random() < self.marked_share,
        )
        arrived = self.now - unread
        due = max(self.now, arrived + cls.deadline if due is None else due)
        self.requests[req.id] = TrackedRequest(req, cls, arrived, due, self.now, effect=effect)
        return req

    # --- actions ---

    def apply(self, actions: list[decision.Action]) -> None:
        self.log += actions
        for action in actions:
            if isinstance(action, decision.SetTimer):
                require(action.after >= 0, "timer in the past")
                self.timers.append((self.now + action.after, action.token))
            elif isinstance(action, decision.Announce):
                require(self.settings.signal is not LoadSignal.NONE and action.value >= 0, "invalid announced value")
                require(self.settings.signal is LoadSignal.CREDIT or action.value <= 1, "announced share above 1")
            elif not isinstance(action, (decision.SetHealth, decision.IdleTimeout, decision.Log)):
                item = self.requests.get(action.id)
                require(item is not None, "action on an unknown request")
                assert item is not None
                if item.state != "completed" or isinstance(action, decision.ForgetKey):
                    getattr(self, "_" + type(action).__name__.lower())(item, action)

    def _run(self, item: TrackedRequest, action: decision.Run) -> None:
        require(item.state == "queued" and not item.answered, "run of a request that is not queued")
        require(
            not (item.ran and item.cls.idempotency is not Idempotency.IDEMPOTENT), "duplicate: second run after a stop"
        )
        if item.cls.idempotency is Idempotency.KEYED:
            for other in self.requests.values():
                if other.ran and other.effect == item.effect:
                    interval = item.arrived - other.arrived
                    require(interval > item.cls.window, "duplicate: second run in the window")
        if self.drain_at is not None:
            require(item.arrived <= self.drain_at + self.settings.drain_grace, "drain: run after the grace period")
        item.state, item.ran = "running", True

    def _reject(self, item: TrackedRequest, action: decision.Reject) -> None:
        require(not item.answered, "answered twice")
        require(item.cls.idempotency is Idempotency.IDEMPOTENT or not item.ran, "duplicate: rejected after a run")
        self._answer(item)

    def _fail(self, item: TrackedRequest, action: decision.Fail) -> None:
        require(not item.answered, "answered twice")
        self._answer(item)

    def _answer(self, item: TrackedRequest) -> None:
        item.answered = True
        if item.state in ("queued", "awaiting_result"):
            item.state = "completed"
        elif item.state in ("awaiting_call", "calling"):
            if item.state == "calling":
                self.abandoned_call_ends.append(self.now + self.settings.abandoned_call_time)
            item.state = "completed"
            self.inbox.append(decision.Finished(item.req.id, Outcome.CANCELLED))

    def _stop(self, item: TrackedRequest, action: decision.Stop) -> None:
        require(self.settings.cancellation is not Cancellation.UNSUPPORTED, "stop without support for cancellation")
        if item.state != "running":
            return
        keeps_work = self.settings.cancellation is Cancellation.KEEPS_WORK  # the request keeps the memory of a run
        item.state = "completed" if item.answered else "paused" if keeps_work else "queued"
        self.inbox.append(decision.Finished(item.req.id, Outcome.CANCELLED))

    def _call(self, item: TrackedRequest, action: decision.Call) -> None:
        require(
            item.cls.idempotency is Idempotency.IDEMPOTENT or not item.may_have_effect,
            "duplicate: call repeated without proof that it had no effect",
        )
        require(action.timeout > 0, "call without a positive timeout")
        if item.state == "awaiting_call":
            item.state = "calling"

    def _skipcall(self, item: TrackedRequest, action: decision.SkipCall) -> None:
        require(item.cls.weight_without_call > 0, "skip of a call that is not optional")
        if item.state == "awaiting_call":
            item.state = "running"

    def _keepkey(self, item: TrackedRequest, action: decision.KeepKey) -> None:
        require(self.now + action.keep_for >= item.arrived + item.cls.window, "key kept for less than the window")
        if item.req.repeats and item.req.repeats in self.key_expiry:
            del self.key_expiry[item.req.repeats]
        self.key_expiry[item.req.id] = self.now + action.keep_for

    def _forgetkey(self, item: TrackedRequest, action: decision.ForgetKey) -> None:
        self.key_expiry.pop(item.req.id, None)

    def _shareresult(self, item: TrackedRequest, action: decision.ShareResult) -> None:
        require(item.req.repeats is not None, "shared result for a request that repeats none")
        item.state = "awaiting_result"

    # --- rules on deadlines, memory and concurrency ---

    def _check(self) -> None:
        s = self.settings
        memory = sum(s.key_memory for expiry in self.key_expiry.values() if expiry > self.now)
        running = calling = 0
        for item in self.requests.values():
            if item.state == "completed":
                continue
            memory += item.req.size * (1 if item.state in ("queued", "awaiting_result") else s.run_factor)
            running += item.state == "running"
            calling += item.state == "calling"
            in_time = self.now <= item.due + s.answer_slack
            require(item.answered or in_time, f"lost: no answer by the due time {item}")
        require(memory <= s.memory, "overload: memory")
        self.abandoned_call_ends = [end for end in self.abandoned_call_ends if end > self.now]
        speed = 1.0
        if s.warming_up:
            speed = min(1.0, s.initial_speed + (1 - s.initial_speed) * (self.now - self.started_at) / s.warm_up_time)
        max_running = (1 + (s.max_running_per_core - 1) * speed) * s.cores
        self._check_mean(self.running_steps, float(running), s.max_running_window, max_running, "running requests")
        if s.max_calls:
            calls = float(calling + len(self.abandoned_call_ends))
            self._check_mean(self.call_steps, calls, s.max_calls_window, s.max_calls, "dependency calls")
        if len(self.requests) > 600:
            self.requests = {
                k: t
                for k, t in self.requests.items()
                if t.state != "completed" or self.now - t.arrived < 2 * t.cls.window
            }

    def _check_mean(
        self, steps: list[tuple[float, float]], value: float, window: float, maximum: float, resource: str
    ) -> None:
        """Append a step to a time series and require that its mean over the window is at most `maximum`."""
        steps.append((self.now, value))
        while steps[0][0] < self.now - window:
            steps.pop(0)
        mean = sum(v * (b - a) for (a, v), (b, _) in pairwise(steps)) / window
        require(mean <= maximum, f"overload: {resource}")


def play(settings: Settings, seed: int, steps: int = 900, drain: bool = True, **fields: float) -> EventSimulation:
    """Simulate random events, with a drain at a random step. Raises RuleViolationError.

    `fields` sets fields of the simulation before its first step."""
    simulation = EventSimulation(settings, seed)
    for name, value in fields.items():
        setattr(simulation, name, value)
    drain_step = simulation.rng.randrange(steps // 2, steps) if drain else steps
    for step in range(steps):
        if step == drain_step:
            simulation.drain(1.5)
        simulation.step()
        if simulation.drain_at is not None and simulation.now >= simulation.stop_at - settings.tick:
            break
    if simulation.drain_at is not None and simulation.now >= simulation.stop_at - settings.tick:
        for item in simulation.requests.values():
            require(item.answered or item.state == "completed", "drain: unanswered at the stop")
    return simulation


def cold(settings: Settings) -> Settings:
    return replace(settings, warming_up=True)
