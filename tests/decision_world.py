"""Random but legal event sequences for one decision instance, with the four rules checked on its actions.

This is no model of a server, as it knows nothing of speed; it only counts what the rules need.
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


class RuleBrokenError(AssertionError):
    """One of the four rules, or the wire's own, was broken."""


def must(condition: bool, what: str) -> None:
    if not condition:
        raise RuleBrokenError(what)


@dataclass(slots=True)
class Tracked:
    req: decision.Request
    cls: RequestClass
    arrived: float
    due: float
    read: float
    state: str = "queued"  # queued, running, at_call, calling, sharing, over
    answered: bool = False
    gone: bool = False
    ran: bool = False
    unproven: bool = False  # a call may have taken effect
    effect: int = -1
    done: bool = False


@dataclass
class World:
    settings: Settings
    seed: int
    rate: float = 40.0
    speed: float = 3.0  # runs ended a second, on average, for each core
    call_failures: float = 0.3
    callers: int = 3
    deadline_share: float = 0.9  # of the requests, those that pass a deadline
    disconnects_per_s: float = 0.1  # for each request
    marked_share: float = 0.0  # of the requests, those marked as retries
    now: float = 100.0
    drain_at: float | None = None
    stop_at: float = 0.0
    serial: int = 0
    requests: dict[str, Tracked] = field(default_factory=dict)
    table: dict[str, float] = field(default_factory=dict)  # kept id -> expiry
    timers: list[tuple[float, int]] = field(default_factory=list)
    inbox: list[decision.Event] = field(default_factory=list)
    running_steps: list[tuple[float, float]] = field(default_factory=list)
    call_steps: list[tuple[float, float]] = field(default_factory=list)  # (time, in hand)
    lingering: list[float] = field(default_factory=list)
    log: list[decision.Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.policy = Policy(self.settings, self.seed)
        self.born = self.now
        self.apply(self.policy.start(self.now))

    # --- events ---

    def step(self) -> None:
        self.now += self.rng.choice([0.005, 0.01, 0.02])
        if self.drain_at is not None:
            self.now = min(self.now, self.stop_at - self.settings.tick)
        events, self.inbox = self.inbox, []
        gap = 0.02
        for item in list(self.requests.values()):
            self._advance(item, events, gap)
        for _ in range(self.rng.choice([0, 0, 1, 2]) if self.rng.random() < self.rate * gap else 0):
            events.append(self._arrival())
        fired = [token for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        events += [decision.TimerFired(token, (self.rng.random(),)) for token in fired]
        if self.requests and self.rng.random() < 0.05:  # a late event of a request, perhaps long over
            item = self.rng.choice(list(self.requests.values()))
            if item.state == "over":
                events.append(decision.CallerDisconnected(item.req.id))
        if events:
            self.apply(self.policy.handle(self.now, events))
        self._check()

    def drain(self, left: float) -> None:
        self.drain_at, self.stop_at = self.now, self.now + left
        self.apply(self.policy.handle(self.now, [decision.DrainNotice(self.stop_at)]))

    def _advance(self, item: Tracked, events: list[decision.Event], gap: float) -> None:
        roll = self.rng.random()
        if item.state == "running" and roll < self.speed * gap:
            if item.cls.makes_calls and not item.done and self.rng.random() < 0.6:
                item.done = True
                item.state = "over" if item.answered else "at_call"
                events.append(
                    decision.CallNeeded(item.req.id)
                    if not item.answered
                    else decision.Finished(item.req.id, Outcome.CANCELLED)
                )
            else:
                item.state = "over"
                outcome = Outcome.ERROR if self.rng.random() < 0.1 else Outcome.OK
                item.answered = True
                events.append(decision.Finished(item.req.id, outcome))
        elif item.state == "calling" and roll < 4 * gap:
            self._call_ends(item, events)
        elif item.state == "sharing" and roll < 2 * gap:
            item.state, item.answered = "over", True
            events.append(decision.Finished(item.req.id, Outcome.OK))
        elif item.state != "over" and not item.answered and roll > 1 - self.disconnects_per_s * gap:
            self._goes(item, events)

    def _goes(self, item: Tracked, events: list[decision.Event]) -> None:
        item.answered = item.gone = True
        events.append(decision.CallerDisconnected(item.req.id))
        if item.state in ("queued", "sharing"):
            item.state = "over"
        elif item.state in ("at_call", "calling"):
            item.state = "over"
            events.append(decision.Finished(item.req.id, Outcome.CANCELLED))

    def _call_ends(self, item: Tracked, events: list[decision.Event]) -> None:
        outcome = Outcome.OK
        if self.rng.random() < self.call_failures:
            outcome = self.rng.choice(
                [Outcome.ERROR, Outcome.BUSY, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]
            )
        item.unproven |= outcome not in (Outcome.BUSY, Outcome.CONNECT_FAILED)
        item.state = "running" if outcome is Outcome.OK else "at_call"
        if outcome is Outcome.TIMEOUT:
            self.lingering.append(self.now + self.settings.abandoned_call_time)
        events.append(decision.CallReturned(item.req.id, outcome, 0.1))

    def _arrival(self) -> decision.Request:
        self.serial += 1
        cls = self.rng.choice(self.settings.classes)
        unread = self.rng.choice([0.0, 0.0, 0.01, 0.4])
        repeats, effect = None, self.serial
        if cls.idempotency is Idempotency.KEYED and self.rng.random() < 0.5:
            old = [t for t in self.requests.values() if t.cls is cls and self.now - unread - t.arrived < cls.window]
            if old:
                origin = self.rng.choice(old)
                effect = origin.effect
                kept = [
                    t
                    for t in old
                    if t.effect == effect and (t.read == self.now or self.table.get(t.req.id, 0.0) >= self.now - unread)
                ]
                repeats = kept[-1].req.id if kept else None
        wait = self.rng.choice([cls.deadline, cls.deadline, 0.4, 0.05])
        due = self.now - unread + wait if self.rng.random() < self.deadline_share else None
        tenant = self.rng.choice(self.settings.tenants).name if self.settings.tenants else None
        req = decision.Request(
            f"r{self.serial}",
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
        self.requests[req.id] = Tracked(req, cls, arrived, due, self.now, effect=effect)
        return req

    # --- actions ---

    def apply(self, actions: list[decision.Action]) -> None:
        self.log += actions
        for action in actions:
            if isinstance(action, decision.SetTimer):
                must(action.after >= 0, "a timer in the past")
                self.timers.append((self.now + action.after, action.token))
            elif isinstance(action, decision.Announce):
                must(self.settings.signal is not LoadSignal.NONE and action.value >= 0, "a faulty value")
                must(self.settings.signal is LoadSignal.CREDIT or action.value <= 1, "a faulty share")
            elif not isinstance(action, (decision.SetHealth, decision.IdleTimeout, decision.Log)):
                item = self.requests.get(action.id)
                must(item is not None, "an action on an unknown request")
                assert item is not None
                if item.state != "over" or isinstance(action, decision.ForgetKey):
                    getattr(self, "_" + type(action).__name__.lower())(item, action)

    def _run(self, item: Tracked, action: decision.Run) -> None:
        must(item.state == "queued" and not item.answered, "run of a request that is not queued")
        must(
            not (item.ran and item.cls.idempotency is not Idempotency.IDEMPOTENT), "duplicate: second run after a stop"
        )
        if item.cls.idempotency is Idempotency.KEYED:
            for other in self.requests.values():
                if other.ran and other.effect == item.effect:
                    apart = item.arrived - other.arrived
                    must(apart > item.cls.window, "duplicate: second run in the window")
        if self.drain_at is not None:
            must(item.arrived <= self.drain_at + self.settings.drain_grace, "drain: run after the grace")
        item.state, item.ran = "running", True

    def _reject(self, item: Tracked, action: decision.Reject) -> None:
        must(not item.answered, "answered twice")
        must(item.cls.idempotency is Idempotency.IDEMPOTENT or not item.ran, "duplicate: refused after a run")
        self._answer(item)

    def _fail(self, item: Tracked, action: decision.Fail) -> None:
        must(not item.answered, "answered twice")
        self._answer(item)

    def _answer(self, item: Tracked) -> None:
        item.answered = True
        if item.state in ("queued", "sharing"):
            item.state = "over"
        elif item.state in ("at_call", "calling"):
            if item.state == "calling":
                self.lingering.append(self.now + self.settings.abandoned_call_time)
            item.state = "over"
            self.inbox.append(decision.Finished(item.req.id, Outcome.CANCELLED))

    def _stop(self, item: Tracked, action: decision.Stop) -> None:
        must(self.settings.cancellation is not Cancellation.UNSUPPORTED, "a faulty stop")
        if item.state != "running":
            return
        paused = self.settings.cancellation is Cancellation.KEEPS_WORK  # keeps the memory of a run
        item.state = "over" if item.answered else "paused" if paused else "queued"
        self.inbox.append(decision.Finished(item.req.id, Outcome.CANCELLED))

    def _call(self, item: Tracked, action: decision.Call) -> None:
        must(
            item.cls.idempotency is Idempotency.IDEMPOTENT or not item.unproven,
            "duplicate: a call repeated without proof",
        )
        must(action.timeout > 0, "a call without a time-out")
        if item.state == "at_call":
            item.state = "calling"

    def _skipcall(self, item: Tracked, action: decision.SkipCall) -> None:
        must(item.cls.weight_without_call > 0, "a faulty skip")
        if item.state == "at_call":
            item.state = "running"

    def _keepkey(self, item: Tracked, action: decision.KeepKey) -> None:
        must(self.now + action.keep_for >= item.arrived + item.cls.window, "a key kept short")
        if item.req.repeats and item.req.repeats in self.table:
            del self.table[item.req.repeats]
        self.table[item.req.id] = self.now + action.keep_for

    def _forgetkey(self, item: Tracked, action: decision.ForgetKey) -> None:
        self.table.pop(item.req.id, None)

    def _shareresult(self, item: Tracked, action: decision.ShareResult) -> None:
        must(item.req.repeats is not None, "a faulty share")
        item.state = "sharing"

    # --- the rules that time and sums decide ---

    def _check(self) -> None:
        s = self.settings
        memory = sum(s.key_memory for expiry in self.table.values() if expiry > self.now)
        running = calling = 0
        for item in self.requests.values():
            if item.state == "over":
                continue
            memory += item.req.size * (1 if item.state in ("queued", "sharing") else s.run_factor)
            running += item.state == "running"
            calling += item.state == "calling"
            in_time = self.now <= item.due + s.answer_slack
            must(item.answered or in_time, f"lost: no answer by the due time {item}")
        must(memory <= s.memory, "fall-over: memory")
        self.lingering = [end for end in self.lingering if end > self.now]
        warm = 1.0
        if s.warming_up:
            warm = min(1.0, s.initial_speed + (1 - s.initial_speed) * (self.now - self.born) / s.warm_up_time)
        most = (1 + (s.max_running_per_core - 1) * warm) * s.cores
        self._mean(self.running_steps, float(running), s.max_running_window, most, "crowd")
        if s.max_calls:
            in_hand = float(calling + len(self.lingering))
            self._mean(self.call_steps, in_hand, s.max_calls_window, s.max_calls, "calls below")
        if len(self.requests) > 600:
            self.requests = {
                k: t for k, t in self.requests.items() if t.state != "over" or self.now - t.arrived < 2 * t.cls.window
            }

    def _mean(self, steps: list[tuple[float, float]], value: float, over: float, most: float, what: str) -> None:
        steps.append((self.now, value))
        while steps[0][0] < self.now - over:
            steps.pop(0)
        mean = sum(v * (b - a) for (a, v), (b, _) in pairwise(steps)) / over
        must(mean <= most, f"fall-over: {what}")


def play(settings: Settings, seed: int, steps: int = 900, drain: bool = True, **knobs: float) -> World:
    """A short life with a drain at a random moment; raises RuleBrokenError."""
    world = World(settings, seed)
    for name, value in knobs.items():
        setattr(world, name, value)
    moment = world.rng.randrange(steps // 2, steps) if drain else steps
    for at in range(steps):
        if at == moment:
            world.drain(1.5)
        world.step()
        if world.drain_at is not None and world.now >= world.stop_at - settings.tick:
            break
    if world.drain_at is not None and world.now >= world.stop_at - settings.tick:
        for item in world.requests.values():
            must(item.answered or item.state == "over", "drain: unanswered at the stop")
    return world


def cold(settings: Settings) -> Settings:
    return replace(settings, warming_up=True)
