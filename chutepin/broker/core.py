"""The broker of one node: admits requests, follows their runs and calls, and keeps time."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from .. import decision
from ..clock import Clock
from ..counters import Counters
from ..decision import Idempotency, RequestClass
from ..facade import (
    CallerDisconnected,
    CallNeeded,
    CallReturned,
    DrainNotice,
    End,
    Facade,
    PendingRequest,
    Report,
    RunEnded,
)
from ..idempotency import IdempotencyRecord, IdempotencyTable, KeyOwnership, KeyRequest, NoPeerProcess, PeerProcess
from ..logs import Log
from ..request_metrics import RequestMetrics
from .actions import DecisionActions
from .attempts import Attempt, NodeStatus, OpenAttempts, Phase
from .decisions import DecisionQueue
from .drain import DrainPlan
from .idempotent import IdempotentRequests
from .peer_exchange import PeerExchange
from .ports import Caller, Environment, Executor, Records, Timer
from .requests import Answer, Request, Verdict, fingerprint
from .schedule import OVERDUE_ANSWER_S, Schedule

MAX_REQUESTS = 2048  # open at a time; each holds a body of up to 2 KiB
KEY_MEMORY_SHARE = 1 / 3  # of the node's own memory that the table of keys may take
UNWATCHED_RUN_LIMIT_S = 60.0  # past its due time, for a run whose end the executor cannot see
MAX_CLOCK_LEAD_S = 1.0  # by which a caller's times may be beyond what its class and our clock allow
KEY_REQUEST_TIMEOUT_S = 0.5  # for the node's other process to say whether a key may be taken
SWEEP_INTERVAL_S = 1.0


class Broker:
    """One node's requests: every one gets exactly one final answer.

    Listeners call `pick` and `caller_disconnected`, the executor's and the records' links what has happened to runs
    and calls, the timer `tick`."""

    def __init__(
        self,
        settings: decision.Settings,
        seed: int,
        clock: Clock,
        counters: Counters,
        log: Log,
        executor: Executor,
        records: Records,
        timer: Timer,
        memory: int,
    ) -> None:
        """`memory`: bytes that the node itself may use."""
        self.classes: dict[str, RequestClass] = {cls.name: cls for cls in settings.classes}
        self.metrics = RequestMetrics(self.classes)
        self.status = NodeStatus(settings.max_idle_time)
        self.load_signal = settings.signal  # how callers read the announced value
        self.keys = IdempotencyTable(int(memory * KEY_MEMORY_SHARE))
        self.started = False  # the executor has come up
        self.on_started: Callable[[], None] = lambda: None  # called once the executor is up
        self.peer: PeerProcess = NoPeerProcess()
        self._clock = clock
        self._counters = counters
        self._log = log
        self._executor = executor
        self._records = records
        self._tenants = {None, *(tenant.name for tenant in settings.tenants)} if settings.tenants else None
        self._callers_pass_deadline = settings.passes_deadline
        self._gauge_count = len(settings.gauges)
        self._gauges: tuple[float, ...] = ()
        self._next_sweep = 0.0
        self._drain = DrainPlan(settings.drain_grace)
        reports: deque[Report] = deque()
        self._attempts = OpenAttempts(executor, counters, self.metrics, self.status)
        self._schedule = Schedule(clock, timer, self._attempts.by_id)
        self._idempotent = IdempotentRequests(self.keys, self._attempts, reports, self.classes, counters)
        self._attempts.on_keyed_forgotten = self._idempotent.release
        self.actions = DecisionActions(
            self._attempts,
            self._idempotent,
            self._schedule,
            self._drain,
            self.status,
            reports,
            Environment(clock, counters, log, executor, records, timer),
            announces_value=settings.signal is not decision.LoadSignal.NONE,
        )
        self._facade = Facade(settings, seed, self.actions)
        self._decisions = DecisionQueue(self._facade, reports, self._attempts, clock)
        self.peer_exchange = PeerExchange(
            self.keys, self._idempotent, self._attempts, self._decisions, clock, counters, self._offer
        )

    # For the fronts and the node:

    @property
    def value(self) -> float | None:
        """The free value that goes out with every answer; None where the site uses none."""
        return self.status.value

    @property
    def awaiting_response_count(self) -> int:
        """Requests whose callers await a response."""
        return self.metrics.current

    @property
    def has_open_attempts(self) -> bool:
        """A caller awaits a response, or a run goes on."""
        return bool(self._attempts.by_id)

    @property
    def last_arrival(self) -> float | None:
        """What arrives later than this is not run; None while no drain was asked for."""
        return self._drain.last_arrival

    def pick(self, request: Request, caller: Caller) -> None:
        """Take a request; its caller gets exactly one answer, unless it disconnects first."""
        self._counters.add("requests")
        self.metrics.request_received(request.cls)
        now = self._clock.now()
        cls = self.classes.get(request.cls)
        if cls is None or not self._is_well_formed(request, cls, now):
            self._refuse(request, caller, Verdict.FAILED, "requests.malformed")
            return
        is_keyed = cls.idempotency is Idempotency.KEYED
        record = self.keys.find(request.key, request.arrived) if is_keyed else None
        if record is not None and record.fingerprint != fingerprint(request):
            # Another request under a key that is taken: it must not get a result that no run made for it.
            self._refuse(request, caller, Verdict.FAILED, "requests.malformed")
            return
        is_new_key = is_keyed and record is None
        is_full = len(self._attempts.by_id) >= MAX_REQUESTS or (is_new_key and self.keys.is_full)
        if not self.started or is_full or (is_keyed and request.key is None):
            # Before the executor is up nothing can run; a full table could not keep a run from being
            # repeated; without a key nothing tells a repeat.
            verdict = Verdict.FAILED if self._idempotent.has_run(request) else Verdict.REJECTED
            self._refuse(request, caller, verdict, "requests.full" if is_full else "requests.not_taken")
            return
        if self._schedule.stop is not None and now >= self._schedule.stop:
            # The process may end before a run does; who still sends here is told that nothing ran.
            verdict = Verdict.FAILED if self._idempotent.has_run(request) else Verdict.REJECTED
            self._refuse(request, caller, verdict, "requests.past_stop")
            return
        ownership = self.peer.ownership(now) if is_new_key else KeyOwnership.OWNED
        if ownership is KeyOwnership.IN_DOUBT:
            self._refuse(request, caller, Verdict.FAILED, "keys.in_doubt")
            return
        # Guards what the module learns from the wait, and the windows of keys, against times that cannot be.
        request.arrived = max(now - cls.deadline, min(now, request.arrived))
        attempt = self._attempts.by_id[request.id] = Attempt(request, caller, cls.idempotency)
        if ownership is KeyOwnership.ASK_PEER:
            self._request_key(attempt, now, cls.window)
            return
        self._offer(attempt, record)

    def _is_well_formed(self, request: Request, cls: RequestClass, now: float) -> bool:
        """A caller may send this request. What only comes late may be sent, and is answered as late."""
        if request.due == math.inf or (not self._callers_pass_deadline and request.due == request.arrived):
            request.due = request.arrived + cls.deadline
        if self._tenants and request.tenant not in self._tenants:
            return False
        if request.arrived >= now + MAX_CLOCK_LEAD_S:
            return False
        if not 0 < request.due - request.arrived < cls.deadline + MAX_CLOCK_LEAD_S:
            return False
        return request.id not in self._attempts.by_id

    def _refuse(self, request: Request, caller: Caller, verdict: Verdict, counter: str) -> None:
        """Answer a request that does not become an attempt."""
        self._counters.add(counter)
        self._attempts.answer_now(request.cls, caller, Answer(verdict, value=self.status.value))

    def _request_key(self, attempt: Attempt, now: float, window_s: float) -> None:
        """Ask the node's other process for an attempt's key."""
        request = attempt.request
        attempt.phase = Phase.REQUESTING_KEY
        self._schedule.set_answer_deadline(attempt, min(request.due, now + KEY_REQUEST_TIMEOUT_S))
        expires_at = request.arrived + window_s
        self.peer.request_key(KeyRequest(request.id, request.key or "", fingerprint(request), expires_at))

    def _offer(self, attempt: Attempt, record: IdempotencyRecord | None) -> None:
        """Let the decision module decide about a request."""
        request = attempt.request
        now = self._clock.now()
        pending = PendingRequest(
            request.id,
            request.cls,
            request.tenant,
            request.subject,
            request.arrived,
            request.due,
            request.size,
            request.rank,
            request.caller,
            request.is_retry,
            (record.run_id or record.holder_id) if record else None,
        )
        self._decisions.run(lambda: self._facade.pick(now, pending))
        if request.id in self._attempts.by_id:
            deadline = self.classes[request.cls].deadline
            answer_deadline = max(now, min(request.due, now + deadline)) + OVERDUE_ANSWER_S
            self._schedule.set_answer_deadline(self._attempts.by_id[request.id], answer_deadline)

    def caller_disconnected(self, id: str) -> None:
        """Note that a caller no longer waits: no answer is due."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None or not attempt.awaiting_response:
            return
        self._counters.add("callers.gone")
        self._attempts.withdraw(attempt)
        self._decisions.report(CallerDisconnected(id))

    def drain(self, stop: float, notice: float) -> None:
        """Drain the node: all that was read is answered by `stop`. `notice`: when it was told to leave."""
        self._drain.begin(notice)
        self._schedule.stop = stop
        if self.started:
            self._decisions.report(DrainNotice(stop, notice))

    def finish(self, stop: float) -> None:
        """Answer all by `stop` without a drain: a successor takes what comes."""
        self._schedule.stop = stop
        self._schedule.arm()

    # For the executor's link:

    def executor_started(self, cold: bool, born: float) -> None:
        """Note that the executor is up; only the first time begins the life of the decision module."""
        if self.started:
            return
        self.started = True
        self._decisions.run(lambda: self._facade.start(self._clock.now(), born, cold))
        self.on_started()
        notice = self._drain.notice
        if self._schedule.stop is not None and notice is not None:
            self._decisions.report(DrainNotice(self._schedule.stop, notice))

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        """Settle the end of a run."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None:
            self._counters.add("runs.unknown")
            return
        self._counters.add(f"runs.{end.value}")
        if attempt.phase is Phase.CALLING_DEPENDENCY:
            self._records.give_up(id)
        self._idempotent.finish_run(attempt, end, result)
        if end is End.OK:
            self._attempts.serve(attempt, result)
        elif end is End.ERROR:
            self._attempts.fail(attempt)
        # Reported before it is forgotten: after a cancelled run the module itself fails what still awaits a response.
        self._decisions.report(RunEnded(id, end, elapsed))
        self._attempts.forget(id)

    def call_wanted(self, id: str, notice: int, body: bytes) -> None:
        """Note that a run wants to call the records service."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None:
            self._counters.add("runs.unknown")
            return
        attempt.phase = Phase.CALL_WANTED
        attempt.call_notice = notice
        attempt.call_body = body
        self._decisions.report(CallNeeded(id))
        self._attempts.stop_if_unwatched(attempt)

    def command_not_carried_out(self, command: str, id: str) -> None:
        """Note that the executor did not carry out a command: a run that it never began has not run."""
        self._counters.add("executor.bad")
        self._log.event("executor.not_carried_out", command=command, id=id)
        attempt = self._attempts.by_id.get(id)
        # Also where the run was stopped meanwhile: else it would never end, and look like a hang.
        if command == "EXEC" and attempt is not None and attempt.phase in (Phase.RUNNING, Phase.STOPPED):
            self.run_ended(id, End.NEVER, 0.0, b"")

    def gauges_received(self, values: tuple[float, ...]) -> None:
        """Take fresh gauges, and deliver the timers that wait for them."""
        if len(values) == self._gauge_count:
            self._gauges = values
        self._deliver_timers()

    # For the records service:

    def call_ended(self, id: str, end: End, reply: bytes) -> None:
        """Settle the end of a call; after OK the run goes on with the reply, unchanged."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None or attempt.phase is not Phase.CALLING_DEPENDENCY:
            self._counters.add("calls.unknown")
            return
        self._counters.add(f"calls.{end.value}")
        attempt.phase = Phase.CALL_WANTED
        if end is End.OK:
            attempt.phase = Phase.RUNNING
            attempt.call_body = b""
            self._executor.give_back(id, reply)
        self._decisions.report(CallReturned(id, end, self._clock.now() - attempt.call_since))

    # Time:

    def tick(self) -> None:
        """Deliver the timers that have come due, with gauges no older than the wait for fresh ones."""
        now = self._clock.now()
        try:
            self._schedule.collect_due_timers(now, self._executor.meter)
            if self._schedule.are_timers_ready(now):
                self._deliver_timers()
            self._answer_overdue(now)
            if now >= self._next_sweep:
                self._next_sweep = now + SWEEP_INTERVAL_S
                self._sweep(now)
        finally:
            self._schedule.arm()  # guards against an error above stopping all time

    def _deliver_timers(self) -> None:
        for token in self._schedule.take_due_tokens():
            self._decisions.run(
                lambda token=token: self._facade.tick(  # type: ignore[misc]
                    self._clock.now(), token, self._gauges
                )
            )

    def _answer_overdue(self, now: float) -> None:
        """Guards the guarantee itself: what the decision module leaves past its due time or the stop is answered."""
        late_ids = self._schedule.pop_late_ids(now)
        is_past_stop = self._schedule.is_past_stop(now)
        if is_past_stop:
            late_ids += list(self._attempts.by_id)
        for id in late_ids:
            attempt = self._attempts.by_id.get(id)
            if attempt is None or (attempt.answer_deadline > now and not is_past_stop):
                continue
            if attempt.phase is Phase.REQUESTING_KEY:
                self._counters.add("keys.not_granted")
                self._attempts.reject(attempt)
            elif attempt.awaiting_response:
                self._counters.add("answers.overdue")
                self._attempts.fail(attempt)
                self._decisions.report(CallerDisconnected(id))

    def _sweep(self, now: float) -> None:
        """Settle runs in doubt, and remove records of keys whose window is over."""
        for id, attempt in self._attempts.by_id.items():
            if attempt.awaiting_response or attempt.phase not in (Phase.RUNNING, Phase.STOPPED):
                continue
            if attempt.request.watched:
                self._executor.resolve(id)
            elif attempt.request.due + UNWATCHED_RUN_LIMIT_S < now:
                self._executor.kill(id)
        self._idempotent.remove_expired(now)
        self._decisions.run()
