"""The broker of one node: admission of requests, progress of their runs and calls, deadlines and sweeps."""

from __future__ import annotations

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
from .attempts import NOT_STARTED, Attempt, NodeStatus, OpenAttempts, Phase
from .decisions import DecisionQueue
from .drain import DrainPlan
from .idempotent import IdempotentRequests
from .intake import KEY_IN_DOUBT, MALFORMED, MAX_CLOCK_LEAD_S, REPEATED, Intake, Refusal
from .peer_exchange import PeerExchange
from .ports import Caller, Environment, Executor, Records, Timer
from .recent_runs import RecentRuns
from .requests import Answer, Request, fingerprint
from .schedule import ANSWER_GRACE_S, Schedule
from .supervision import Supervision

KEY_REQUEST_TIMEOUT_S = 0.5  # timeout of the peer process's answer to a key request
SWEEP_INTERVAL_S = 1.0


class Broker:
    """The broker of one node; gives each request exactly one final answer.

    Listeners call `submit` and `caller_disconnected`; the links to the executor and to the records service report
    events of runs and calls; the timer calls `tick`."""

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
        key_memory: int,
        request_memory: int,
        run_memory: int,
    ) -> None:
        """Create a broker that waits for its executor.

        `key_memory`, `request_memory`, `run_memory`: bytes that idempotency keys, open requests and the ids of recent
        runs may use."""
        self.classes: dict[str, RequestClass] = {cls.name: cls for cls in settings.classes}
        self.metrics = RequestMetrics(self.classes)
        self.status = NodeStatus(settings.max_idle_time)
        self.load_signal = settings.signal  # how callers interpret the announced value
        self.keys = IdempotencyTable(key_memory)
        self.started = False  # whether the executor has started
        self.on_started: Callable[[], None] = lambda: None  # called when the executor starts for the first time
        self.peer: PeerProcess = NoPeerProcess()
        self._clock = clock
        self._counters = counters
        self._log = log
        self._executor = executor
        self._records = records
        self._gauge_count = len(settings.gauges)
        self._gauges: tuple[float, ...] = ()
        self._next_sweep = 0.0
        self._drain = DrainPlan(settings.drain_grace)
        reports: deque[Report] = deque()
        # A client that repeats what it sent repeats its times too: past the deadline a request is answered as late.
        longest_deadline_s = max(cls.deadline for cls in settings.classes)
        self.recent_runs = RecentRuns(longest_deadline_s + MAX_CLOCK_LEAD_S, run_memory)
        self._attempts = OpenAttempts(executor, counters, self.metrics, self.status)
        self._schedule = Schedule(clock, timer, self._attempts.by_id)
        self._idempotent = IdempotentRequests(self.keys, self._attempts, reports, self.classes, counters)
        self._attempts.on_keyed_attempt_removed = self._idempotent.attempt_removed
        self.actions = DecisionActions(
            self._attempts,
            self._idempotent,
            self._schedule,
            self._drain,
            self.status,
            reports,
            self.recent_runs,
            Environment(clock, counters, log, executor, records, timer),
            announces_value=settings.signal is not decision.LoadSignal.NONE,
        )
        self._facade = Facade(settings, seed, self.actions)
        self._decisions = DecisionQueue(self._facade, reports, self._attempts, clock)
        self._intake = Intake(settings, self._attempts, request_memory, self.keys, self._idempotent, self._schedule)
        self._supervision = Supervision(self._attempts, self._schedule, self._decisions, executor, counters)
        self.peer_exchange = PeerExchange(
            self.keys,
            self._idempotent,
            self._attempts,
            self._decisions,
            self.recent_runs,
            clock,
            counters,
            self._request_admission,
        )

    # Called by listeners and the node:

    @property
    def value(self) -> float | None:
        """Return the load signal value that is sent with every answer; None if the site uses no load signal."""
        return self.status.value

    @property
    def awaiting_response_count(self) -> int:
        """Return the number of requests whose callers await a response."""
        return self.metrics.current

    @property
    def has_open_attempts(self) -> bool:
        """Return whether any caller awaits a response or any run is in progress."""
        return bool(self._attempts.by_id)

    def are_unknown_keys_in_doubt(self, key_lifetime_s: float) -> bool:
        """Return whether a request fails whose key is not in the table: the key may have run at another process."""
        return self.peer.ownership(self._clock.now(), key_lifetime_s) is KeyOwnership.IN_DOUBT

    @property
    def last_arrival(self) -> float | None:
        """Return the arrival time after which a request is not run; None before a drain."""
        return self._drain.last_arrival

    def submit(self, request: Request, caller: Caller) -> None:
        """Submit a request. Its caller gets exactly one answer, unless the caller disconnects first."""
        self._counters.add("requests")
        self.metrics.request_received(request.cls)
        now = self._clock.now()
        cls = self.classes.get(request.cls)
        if cls is None or not self._intake.is_well_formed(request, cls, now):
            self._answer_without_attempt(request, caller, MALFORMED)
            return
        is_keyed = cls.idempotency is Idempotency.KEYED or request.is_deduplicated
        record = self.keys.find(request.key, request.arrived) if is_keyed else None
        if record is None and request.id in self.recent_runs:
            self._answer_without_attempt(request, caller, REPEATED)
            return
        refusal = self._intake.refusal(request, record, is_keyed, now, self.started)
        if refusal is not None:
            self._answer_without_attempt(request, caller, refusal)
            return
        key_lifetime_s = max(cls.window, request.min_key_lifetime_s)
        is_new_key = is_keyed and record is None
        ownership = self.peer.ownership(now, key_lifetime_s) if is_new_key else KeyOwnership.OWNED
        if ownership is KeyOwnership.IN_DOUBT:
            self._answer_without_attempt(request, caller, KEY_IN_DOUBT)
            return
        # Impossible arrival times would distort the learned waiting times and the windows of keys.
        request.arrived = max(now - cls.deadline, min(now, request.arrived))
        attempt = Attempt(request, caller, cls.idempotency)
        self._attempts.add(attempt)
        if ownership is KeyOwnership.ASK_PEER:
            self._request_key(attempt, now, key_lifetime_s)
            return
        self._request_admission(attempt, record)

    def reject(self, request: Request, caller: Caller) -> None:
        """Answer a request that its listener does not submit; it does not run."""
        self.metrics.request_received(request.cls)
        self._answer_without_attempt(request, caller, self._intake.not_run(request, "requests.not_submitted"))

    def is_open(self, id: str) -> bool:
        """Return whether the attempt with this id awaits a response or its run is in progress."""
        return id in self._attempts.by_id

    def _answer_without_attempt(self, request: Request, caller: Caller, refusal: Refusal) -> None:
        """Count and answer a request that does not become an attempt."""
        self._counters.add(refusal.counter)
        self._attempts.send_answer(request.cls, caller, Answer(refusal.verdict, value=self.status.value))

    def _request_key(self, attempt: Attempt, now: float, key_lifetime_s: float) -> None:
        """Request an attempt's key from the peer process."""
        request = attempt.request
        attempt.phase = Phase.REQUESTING_KEY
        self._schedule.set_answer_deadline(attempt, min(request.due, now + KEY_REQUEST_TIMEOUT_S))
        expires_at = request.arrived + key_lifetime_s
        self.peer.request_key(KeyRequest(request.id, request.key or "", fingerprint(request), expires_at))

    def _request_admission(self, attempt: Attempt, record: IdempotencyRecord | None) -> None:
        """Pass a request to the decision module and set its answer deadline.

        A deduplicated repeat does not reach the module, which knows no keys of its class."""
        request = attempt.request
        now = self._clock.now()
        if request.is_deduplicated and record is not None:
            self._decisions.run(lambda: self._idempotent.share_result(attempt))
        else:
            self._pick(attempt, record, now)
        if request.id in self._attempts.by_id:
            deadline = self.classes[request.cls].deadline
            answer_deadline = max(now, min(request.due, now + deadline)) + ANSWER_GRACE_S
            self._schedule.set_answer_deadline(self._attempts.by_id[request.id], answer_deadline)

    def _pick(self, attempt: Attempt, record: IdempotencyRecord | None, now: float) -> None:
        """Pass a request to the decision module, with the request that it repeats if its key is known."""
        request = attempt.request
        if request.is_deduplicated:
            self._idempotent.reserve(attempt, request.arrived + request.min_key_lifetime_s)
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

    def caller_disconnected(self, id: str) -> None:
        """Record that a caller has disconnected and no answer is due."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None or not attempt.awaiting_response:
            return
        self._counters.add("callers.gone")
        self._attempts.withdraw(attempt)
        self._decisions.report(CallerDisconnected(id))

    def drain(self, stop_at: float, notified_at: float) -> None:
        """Drain the node: answer every received request by `stop_at`. `notified_at`: when the drain was requested."""
        self._drain.begin(notified_at)
        self._schedule.stop_at = stop_at
        if self.started:
            self._decisions.report(DrainNotice(stop_at, notified_at))

    def finish(self, stop_at: float) -> None:
        """Answer every request by `stop_at` without a drain, since a successor accepts new requests."""
        self._schedule.stop_at = stop_at
        self._schedule.arm()

    # Called by the link to the executor:

    def executor_started(self, is_warming_up: bool, started_at: float) -> None:
        """Start the decision module when the executor starts for the first time; ignore later starts.

        `is_warming_up`: the executor is still warming up. `started_at`: when the executor started."""
        if self.started:
            return
        self.started = True
        self._decisions.run(lambda: self._facade.start(self._clock.now(), started_at, is_warming_up))
        self.on_started()
        notified_at = self._drain.notified_at
        if self._schedule.stop_at is not None and notified_at is not None:
            self._decisions.report(DrainNotice(self._schedule.stop_at, notified_at))

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        """Answer and remove the attempt of a run that has ended."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None:
            self._counters.add("runs.unknown")
            return
        if end is End.NOT_STARTED and (attempt.is_in_doubt or attempt.has_called):
            self._counters.add("runs.ended_in_doubt")
            end = End.CANCELLED  # the key is kept until its window ends
        if end is End.NOT_STARTED:
            self.recent_runs.not_started(id)
        self._counters.add(f"runs.{end.value}")
        if attempt.phase is Phase.CALLING_DEPENDENCY:
            self._records.cancel_call(id)
        self._idempotent.finish_run(attempt, end, result)
        if end is End.OK:
            self._attempts.serve(attempt, result)
        elif end is End.ERROR:
            self._attempts.fail(attempt)
        # Reported before the attempt is removed: after a cancelled run the decision module fails a waiting request.
        self._decisions.report(RunEnded(id, end, elapsed))
        self._attempts.remove(id)

    def run_may_have_begun(self, id: str) -> None:
        """Record that a run began or may have begun: its key must not run again within the window."""
        if (attempt := self._attempts.by_id.get(id)) is not None:
            attempt.is_in_doubt = True

    def notices_missed(self) -> None:
        """Record that any run in progress may have ended without a notice."""
        for attempt in self._attempts.by_id.values():
            attempt.is_in_doubt |= attempt.phase not in NOT_STARTED

    def is_response_awaited(self, id: str) -> bool:
        """Return whether the caller of a request still awaits the response."""
        attempt = self._attempts.by_id.get(id)
        return attempt is not None and attempt.awaiting_response

    def is_run_wanted(self, id: str) -> bool:
        """Return whether a run's result is awaited: by its own caller, or by another attempt of its key."""
        attempt = self._attempts.by_id.get(id)
        return attempt is not None and (attempt.awaiting_response or self._idempotent.is_awaited(attempt))

    def call_wanted(self, id: str, notice: int, body: bytes) -> None:
        """Report to the decision module that a run waits for a call to the records service."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None:
            self._counters.add("runs.unknown")
            self._executor.kill(id)  # a run that was ended in doubt; at its call it would keep its memory
            return
        attempt.phase = Phase.CALL_WANTED
        attempt.is_in_doubt = False  # the executor reports the end of this run, at its call at the latest
        attempt.call_notice = notice
        attempt.call_body = body
        self._decisions.report(CallNeeded(id))
        self._attempts.kill_orphaned_run(attempt)

    def command_not_carried_out(self, command: str, id: str) -> None:
        """Record that the executor did not carry out a command; end a run that was never started."""
        self._counters.add("executor.bad")
        self._log.event("executor.not_carried_out", command=command, id=id)
        attempt = self._attempts.by_id.get(id)
        # A run that was stopped meanwhile is ended too; its attempt would otherwise never end and look like a hang.
        if command == "EXEC" and attempt is not None and attempt.phase in (Phase.RUNNING, Phase.STOPPED):
            self.run_ended(id, End.NOT_STARTED, 0.0, b"")

    def gauges_received(self, values: tuple[float, ...]) -> None:
        """Store the gauges and deliver the timers that wait for them."""
        if len(values) == self._gauge_count:
            self._gauges = values
        self._deliver_timers()

    # Called by the link to the records service:

    def call_ended(self, id: str, end: End, reply: bytes) -> None:
        """Process the end of a call; after OK resume the run with the unchanged reply."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None or attempt.phase is not Phase.CALLING_DEPENDENCY:
            self._counters.add("calls.unknown")
            return
        self._counters.add(f"calls.{end.value}")
        attempt.phase = Phase.CALL_WANTED
        if end is End.OK:
            attempt.phase = Phase.RUNNING
            attempt.call_body = b""
            self._executor.return_reply(id, reply)
        self._decisions.report(CallReturned(id, end, self._clock.now() - attempt.call_started_at))

    # Timer:

    def tick(self) -> None:
        """Deliver due timers, answer overdue attempts and sweep.

        A timer waits up to GAUGE_TIMEOUT_S for fresh gauges."""
        now = self._clock.now()
        try:
            self._schedule.collect_due_timers(now, self._executor.meter)
            if self._schedule.are_timers_ready(now):
                self._deliver_timers()
            self._supervision.answer_overdue_attempts(now)
            if now >= self._next_sweep:
                self._next_sweep = now + SWEEP_INTERVAL_S
                self._supervision.end_abandoned_runs(now)
                self._idempotent.remove_expired(now)
                self._decisions.run()
        finally:
            self._schedule.arm()  # also after an error above, which would otherwise leave the broker without a timer

    def _deliver_timers(self) -> None:
        for token in self._schedule.take_due_tokens():
            self._decisions.run(
                lambda token=token: self._facade.tick(  # type: ignore[misc]
                    self._clock.now(), token, self._gauges
                )
            )
