"""The core: requests, attempts and outcomes, and who is owed an answer. It knows no wire and no stream.

It owns what the decision module leaves to the program: exactly one final answer for each request, the table
of keys with kept results, timers and counters. What it needs of the outside are the ports below.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable

from .. import decision, facade
from ..clock import Clock
from ..counters import Counters
from ..decision import Idempotency
from ..facade import CallEnded, CallWanted, Drain, End, Facade, Left, Offer, RunEnded
from ..idempotency import IdempotencyRecord, IdempotencyTable, KeyOwnership, KeyRequest, NoPeerProcess, PeerProcess
from ..logs import Log
from ..request_metrics import RequestMetrics
from .attempts import NOT_STARTED, Attempt, Phase
from .ports import Caller, Executor, Records, Timer
from .requests import Answer, Request, Verdict, fingerprint

MAX_REQUESTS = 2048  # requests in hand; each holds a body of up to 2 KiB
KEY_MEMORY_SHARE = 1 / 3  # of the node's own memory that the table of keys may take
UNWATCHED_RUN_LIMIT_S = 60.0  # seconds that a run nobody waits for may go on where the executor cannot see that
OVERDUE_ANSWER_S = 0.06  # seconds past its due time at which the core itself answers what the module did not
MAX_CLOCK_LEAD_S = 1.0  # seconds by which a caller's times may be beyond what its contract and our clock allow
KEY_REQUEST_TIMEOUT_S = 0.5  # seconds in which the node's other process must say whether a key may be taken
GAUGE_TIMEOUT_S = 0.015  # seconds that a timer waits for fresh gauges

_COLUMNS = {Verdict.SERVED: "answered", Verdict.REJECTED: "deferred", Verdict.FAILED: "errored"}  # of the figures


class Broker:
    """One node. The fronts call `pick` and `gone`, the links the methods below them, the alarm `tick`."""

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
        self.keys = IdempotencyTable(int(memory * KEY_MEMORY_SHARE))
        self._clock, self._counters, self._log = clock, counters, log
        self._executor, self._records, self._timer = executor, records, timer
        self._classes = {cls.name: cls for cls in settings.classes}
        self._tenants = {None, *(tenant.name for tenant in settings.tenants)} if settings.tenants else None
        self._gauge_count = len(settings.gauges)
        self._grace = settings.drain_grace
        self._dues_told = settings.passes_deadline
        self._says = settings.signal is not decision.LoadSignal.NONE
        self._facade = Facade(settings, seed, self)
        self.metrics = RequestMetrics(self._classes)
        self._started = False
        self.on_started: Callable[[], None] = lambda: None  # told once the executor is up
        self.peer: PeerProcess = NoPeerProcess()
        self._attempts: dict[str, Attempt] = {}
        self._reports: deque[facade.Report] = deque()
        self._reporting = False
        self._timers: list[tuple[float, int]] = []
        self._dues: list[tuple[float, str]] = []
        self._metered: list[int] = []  # timers that have come due and wait for gauges
        self._meter_until = 0.0
        self._gauges: tuple[float, ...] = ()
        self._sweep_at = 0.0
        self._last_arrival: float | None = None
        self._value: float | None = None
        self.good = True
        self.idle_after = settings.max_idle_time
        self._drain_stop: float | None = None

    # --- for the fronts ---

    @property
    def value(self) -> float | None:
        """The free value that goes out with every answer; None where the site uses none."""
        return self._value

    @property
    def started(self) -> bool:
        """The executor has come up."""
        return self._started

    @property
    def awaiting_response_count(self) -> int:
        """Requests that are owed an answer."""
        return self.metrics.current

    @property
    def has_open_attempts(self) -> bool:
        """A request is owed an answer, or a run goes on."""
        return bool(self._attempts)

    @property
    def classes(self) -> dict[str, decision.RequestClass]:
        """The contracts by class."""
        return self._classes

    def pick(self, request: Request, caller: Caller) -> None:
        """A request came in; its caller gets exactly one answer, unless it goes first."""
        self._counters.add("requests")
        self.metrics.request_received(request.cls)
        cls = self._classes.get(request.cls)
        now = self._clock.now()
        known = cls is not None and (not self._tenants or request.tenant in self._tenants)
        if cls is not None and (request.due == math.inf or (not self._dues_told and request.due == request.arrived)):
            request.due = request.arrived + cls.deadline
        # Times that no caller can mean; what is only late passes, and is answered as late.
        sane = (
            cls is not None
            and request.arrived < now + MAX_CLOCK_LEAD_S
            and (0 < request.due - request.arrived < cls.deadline + MAX_CLOCK_LEAD_S)
        )
        if cls is None or not known or not sane or request.id in self._attempts:
            # The module takes no class that it was not told of and no id twice; neither is a caller's right.
            self._counters.add("requests.malformed")
            self._answer_now(request.cls, caller, Answer(Verdict.FAILED, value=self._value))
            return
        record = self.keys.find(request.key, request.arrived) if cls.idempotency is Idempotency.KEYED else None
        if record is not None and record.fingerprint != fingerprint(request):
            # Another request under a key that is taken: it must not get a result that no run made for it.
            self._counters.add("requests.malformed")
            self._answer_now(request.cls, caller, Answer(Verdict.FAILED, value=self._value))
            return
        full = len(self._attempts) >= MAX_REQUESTS or (
            cls.idempotency is Idempotency.KEYED and record is None and self.keys.is_full
        )
        if not self._started or full or (cls.idempotency is Idempotency.KEYED and request.key is None):
            # Before the executor is up nothing can run; a full table could not keep a run from being
            # repeated; without a key nothing tells a repeat.
            self._counters.add("requests.full" if full else "requests.not_taken")
            verdict = Verdict.FAILED if self._key_ran(request) else Verdict.REJECTED
            self._answer_now(request.cls, caller, Answer(verdict, value=self._value))
            return
        ownership = (
            self.peer.ownership(now) if cls.idempotency is Idempotency.KEYED and record is None else KeyOwnership.OWNED
        )
        if ownership is KeyOwnership.IN_DOUBT:  # it may have run in a process that can't be asked
            self._counters.add("keys.in_doubt")
            self._answer_now(request.cls, caller, Answer(Verdict.FAILED, value=self._value))
            return
        # Guards what the module learns from the wait, and the windows of keys, against times that cannot be.
        request.arrived = max(now - cls.deadline, min(now, request.arrived))
        attempt = self._attempts[request.id] = Attempt(request, caller, cls.idempotency)
        if ownership is KeyOwnership.ASK_PEER:
            attempt.phase = Phase.REQUESTING_KEY
            self._due_at(request.id, min(request.due, now + KEY_REQUEST_TIMEOUT_S))
            self.peer.request_key(
                KeyRequest(request.id, request.key or "", fingerprint(request), request.arrived + cls.window)
            )
            return
        self._offer(attempt, record)

    def _offer(self, attempt: Attempt, record: IdempotencyRecord | None) -> None:
        """Let the module decide about a request."""
        request, now = attempt.request, self._clock.now()
        offer = Offer(
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
        self._settle(lambda: self._facade.pick(now, offer))
        if request.id in self._attempts:
            deadline = self._classes[request.cls].deadline
            self._due_at(request.id, max(now, min(request.due, now + deadline)) + OVERDUE_ANSWER_S)

    def _due_at(self, id: str, at: float) -> None:
        """Look then whether a request still lacks its answer."""
        self._attempts[id].answer_deadline = at
        heapq.heappush(self._dues, (at, id))
        if len(self._dues) > 2 * len(self._attempts) + MAX_REQUESTS:  # most are answered long before
            self._dues = [due for due in self._dues if due[1] in self._attempts]
            heapq.heapify(self._dues)
        self._arm()

    def caller_disconnected(self, id: str) -> None:
        """The caller no longer waits: no answer is owed."""
        attempt = self._attempts.get(id)
        if attempt is None or not attempt.awaiting_response:
            return
        self._counters.add("callers.gone")
        attempt.awaiting_response = False
        self.metrics.request_ended(attempt.request.cls, "withdrawn")
        self._end_unwatched(attempt)
        self._report(Left(id))

    def drain(self, stop: float, notice: float) -> None:
        """Leave: all that was read is answered by `stop`. The grace counts from the notice, which may be heard late."""
        if self._last_arrival is None:
            self._last_arrival = notice + self._grace
        self._drain_stop = stop
        if self._started:
            self._report(Drain(stop, notice))

    def finish(self, stop: float) -> None:
        """All is answered by `stop`, and nothing else changes: a successor takes what comes."""
        self._drain_stop = stop
        self._arm()

    @property
    def last_arrival(self) -> float | None:
        """What arrives later than this is not run; None while no drain was asked for."""
        return self._last_arrival

    # --- for the node's other process ---

    @property
    def usage(self) -> tuple[int, float]:
        """Runs that are, or may at once be, on the cores; memory of all requests in KB. Both by the module's count."""
        return self._facade.use

    def set_peer_usage(self, running: int, memory: float) -> None:
        """The other process's use: room that the module does not have."""
        self._settle(lambda: self._facade.elsewhere(self._clock.now(), running, memory))

    def learned(self) -> dict[str, object]:
        """What the module's experience taught it, as JSON knows it."""
        return self._facade.learned()

    def adopt(self, learned: dict[str, object]) -> None:
        """Begin with what another process's module had learned. What makes no sense is counted and left."""
        self._counters.check_invariant(self._facade.adopt(learned), "adopts what was learned")

    def key_replied(self, id: str, key: str, is_granted: bool) -> None:
        """Apply the answer to `PeerProcess.request_key`: the key may be taken, or its record came before."""
        attempt = self._attempts.get(id)
        if attempt is None or attempt.phase is not Phase.REQUESTING_KEY:
            if is_granted and self.keys.find(key, 0.0) is None:
                self.keys.replicate(key, None)  # nobody wants it any more
            return
        if not is_granted:
            self._counters.add("keys.not_granted")
            self._answer(attempt, Answer(Verdict.REJECTED, value=self._value))
            return
        attempt.phase = Phase.QUEUED
        record = self.keys.find(key, attempt.request.arrived)
        if record is not None and record.fingerprint != fingerprint(attempt.request):
            self._counters.add("requests.malformed")
            self._answer(attempt, Answer(Verdict.FAILED, value=self._value))
            return
        self._offer(attempt, record)
        if key not in self.keys.records:
            self.keys.replicate(key, None)  # the module turned it away

    def peer_requests_key(self, request: KeyRequest) -> bool:
        """The other process wants a key. Unless it is known here, it is that process's from now on; false where there
        is no room for it."""
        if self.keys.find(request.key, self._clock.now()) is None:
            if (
                self.keys.is_full or request.key in self.keys.records
            ):  # its window is over, but some may have come within it
                return False
            record = IdempotencyRecord(request.key, request.request_id, request.expires_at, request.fingerprint)
            self.keys.apply_from_peer(record, self._clock.now())
        return True

    def peer_record_changed(self, record: IdempotencyRecord) -> None:
        """The other process tells what became of a key."""
        self._waited(self.keys.apply_from_peer(record, self._clock.now()), record.outcome or End.ERROR, record.result)
        self._settle()

    def peer_key_removed(self, key: str) -> None:
        """The other process has given a key up."""
        self._waited(self.keys.remove_from_peer(key), End.ERROR, b"")
        self._settle()

    def peer_lost(self) -> None:
        """The other process has gone: its room is free; what it ran stays in doubt; what asks it is turned away."""
        self._waited(self.keys.peer_lost(), End.ERROR, b"")
        for attempt in [a for a in self._attempts.values() if a.phase is Phase.REQUESTING_KEY]:
            self._answer(attempt, Answer(Verdict.REJECTED, value=self._value))
        self.set_peer_usage(0, 0.0)

    # --- for the executor's link ---

    def welcome(self, cold: bool, born: float) -> None:
        """The executor is up; only the first welcome of a life begins it."""
        if self._started:
            return
        self._started = True
        self._settle(lambda: self._facade.start(self._clock.now(), born, cold))
        self.on_started()
        if self._drain_stop is not None and self._last_arrival is not None:
            self._report(Drain(self._drain_stop, self._last_arrival - self._grace))

    def ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        """A run is over."""
        attempt = self._attempts.get(id)
        if attempt is None:
            self._counters.add("runs.unknown")
            return
        self._counters.add(f"runs.{end.value}")
        if attempt.phase is Phase.CALLING_DEPENDENCY:
            self._records.give_up(id)
        self._key_ended(attempt, end, result)
        if end in (End.OK, End.ERROR):
            self._answer(
                attempt,
                Answer(
                    Verdict.SERVED if end is End.OK else Verdict.FAILED,
                    result if end is End.OK else b"",
                    value=self._value,
                ),
            )
        # Reported before it is forgotten: after a cancelled run the module itself fails what is still owed.
        self._report(RunEnded(id, end, elapsed))
        self._forget(id)

    def wants_call(self, id: str, notice: int, body: bytes) -> None:
        """A run stands at a call."""
        attempt = self._attempts.get(id)
        if attempt is None:
            self._counters.add("runs.unknown")
            return
        attempt.phase, attempt.call_notice, attempt.call_body = Phase.CALL_WANTED, notice, body
        self._report(CallWanted(id))
        self._end_unwatched(attempt)

    def not_carried_out(self, command: str, id: str) -> None:
        """The executor did not carry out a command: a run that it never began has not run."""
        self._counters.add("executor.bad")
        self._log.event("executor.not_carried_out", command=command, id=id)
        attempt = self._attempts.get(id)
        # Also where the run was stopped meanwhile: else it would never end, and look like a hang.
        if command == "EXEC" and attempt is not None and attempt.phase in (Phase.RUNNING, Phase.STOPPED):
            self.ended(id, End.NEVER, 0.0, b"")

    def metered(self, values: tuple[float, ...]) -> None:
        """Fresh gauges."""
        if len(values) == self._gauge_count:
            self._gauges = values
        self._fire()

    # --- for the records connection ---

    def called(self, id: str, end: End, reply: bytes) -> None:
        """A call is over; after OK the run goes on with the reply, unchanged."""
        attempt = self._attempts.get(id)
        if attempt is None or attempt.phase is not Phase.CALLING_DEPENDENCY:
            self._counters.add("calls.unknown")
            return
        self._counters.add(f"calls.{end.value}")
        attempt.phase = Phase.CALL_WANTED
        if end is End.OK:
            attempt.phase, attempt.call_body = Phase.RUNNING, b""
            self._executor.give_back(id, reply)
        self._report(CallEnded(id, end, self._clock.now() - attempt.call_since))

    # --- time ---

    def tick(self) -> None:
        """Deliver the timers that have come due, with gauges no older than the wait for fresh ones."""
        now = self._clock.now()
        try:
            while self._timers and self._timers[0][0] <= now:
                self._metered.append(heapq.heappop(self._timers)[1])
                if len(self._metered) == 1:
                    self._meter_until = now + GAUGE_TIMEOUT_S if self._executor.meter() else now
            if self._metered and now >= self._meter_until:
                self._fire()
            self._answer_overdue(now)
            if now >= self._sweep_at:
                self._sweep_at = now + 1.0
                self._sweep(now)
        finally:
            self._arm()  # guards against an error above stopping all time

    def _answer_overdue(self, now: float) -> None:
        """Guards the promise itself: should the module miss a due time or the stop, the core answers."""
        late = []
        while self._dues and self._dues[0][0] <= now:
            late.append(heapq.heappop(self._dues)[1])
        stopping = self._drain_stop is not None and now >= self._drain_stop + OVERDUE_ANSWER_S / 2
        if stopping:
            late += list(self._attempts)
        for id in late:
            attempt = self._attempts.get(id)
            if attempt is not None and attempt.answer_deadline > now and not stopping:
                continue
            if attempt is not None and attempt.phase is Phase.REQUESTING_KEY:
                self._counters.add("keys.not_granted")
                self._answer(attempt, Answer(Verdict.REJECTED, value=self._value))
            elif attempt is not None and attempt.awaiting_response:
                self._counters.add("answers.overdue")
                self._answer(attempt, Answer(Verdict.FAILED, value=self._value))
                self._report(Left(id))

    def _fire(self) -> None:
        due, self._metered = self._metered, []
        for token in due:
            self._settle(
                lambda token=token: self._facade.tick(  # type: ignore[misc]
                    self._clock.now(), token, self._gauges
                )
            )

    def _arm(self) -> None:
        at = min(
            self._timers[0][0] if self._timers else math.inf,
            self._clock.now() + 1.0,
            self._dues[0][0] if self._dues else math.inf,
        )
        if self._drain_stop is not None and self._attempts:
            at = min(at, max(self._clock.now() + 0.01, self._drain_stop + OVERDUE_ANSWER_S / 2))
        self._timer.set(min(at, self._meter_until) if self._metered else at)

    # --- what the module has done (facade.Core) ---

    def run(self, id: str) -> None:
        """Start a held request; a key runs at most once within its window."""
        attempt = self._attempts[id]
        request = attempt.request
        late = self._last_arrival is not None and request.arrived > self._last_arrival
        if not self._counters.check_invariant(not late, "no run after the grace") or not self._key_runs(attempt):
            self._reports.append(RunEnded(id, End.NEVER))
            return
        attempt.phase = Phase.RUNNING
        self._counters.add("runs")
        self.metrics.runs_sent += 1
        self._executor.exec(id, request.cls, request.body, attempt.idempotency is Idempotency.IDEMPOTENT)

    def stop(self, id: str) -> None:
        """Stop a run."""
        attempt = self._attempts.get(id)
        if attempt is not None and attempt.phase is Phase.RUNNING:
            attempt.phase = Phase.STOPPED
            self._executor.kill(id)

    def refuse(self, id: str, hold_off: float, terminal: bool) -> None:
        """Turn away. BUSY promises that the try never ran: what ran is failed instead."""
        attempt = self._attempts.get(id)
        if attempt is None:  # answered when it was overdue
            return
        never = attempt.phase is Phase.QUEUED and not self._key_ran(attempt.request)
        verdict = Verdict.REJECTED if never else Verdict.FAILED
        self._answer(attempt, Answer(verdict, b"", hold_off, terminal, self._value))

    def fail(self, id: str) -> None:
        """Answer with an error; what still runs stays in hand until it ends."""
        if (attempt := self._attempts.get(id)) is not None:
            self._answer(attempt, Answer(Verdict.FAILED, value=self._value))

    def call(self, id: str, deadline: float) -> None:
        """Make the call that a run stands at."""
        attempt = self._attempts[id]
        if self._counters.check_invariant(attempt.phase is Phase.CALL_WANTED, "call only at a call"):
            attempt.phase, attempt.call_since = Phase.CALLING_DEPENDENCY, self._clock.now()
            self._counters.add("calls")
            self._records.call(id, deadline, attempt.call_body, attempt.idempotency is Idempotency.IDEMPOTENT)

    def skip_call(self, id: str) -> None:
        """Go on without the call."""
        attempt = self._attempts[id]
        if self._counters.check_invariant(attempt.phase is Phase.CALL_WANTED, "skip only at a call"):
            attempt.phase = Phase.RUNNING
            self._counters.add("calls.skipped")
            self._executor.bypass(id, attempt.call_notice)

    def share(self, id: str) -> None:
        """Answer with the result of the try that ran, now or once it ends."""
        attempt = self._attempts[id]
        attempt.phase = Phase.SHARING_RESULT
        record = self.keys.records.get(attempt.request.key or "")
        if record is None:
            self._share_ends(id, End.ERROR, b"")
        elif record.outcome is not None:
            self._share_ends(id, record.outcome, record.result)
        else:
            record.waiting_ids.append(id)

    def set_health(self, good: bool) -> None:
        """How health checks are answered from now on."""
        self.good = good

    def announce(self, value: float) -> None:
        """The free value from now on."""
        self._value = value if self._says else None

    def set_idle(self, after: float) -> None:
        """Close connections that were idle this long."""
        self.idle_after = after

    def set_timer(self, token: int, at: float) -> None:
        """Tick at this time."""
        heapq.heappush(self._timers, (at, token))
        self._arm()

    def remark(self, text: str) -> None:
        """A line of the module for the log."""
        self._log.event("module", text=text)

    # --- answers ---

    def _answer(self, attempt: Attempt, answer: Answer) -> None:
        """The one place where a request in hand is answered; a second answer is dropped."""
        if not attempt.awaiting_response:
            return
        attempt.awaiting_response = False
        self._answer_now(attempt.request.cls, attempt.caller, answer)
        self._end_unwatched(attempt)
        if attempt.phase in NOT_STARTED:
            self._forget(attempt.request.id)

    def _end_unwatched(self, attempt: Attempt) -> None:
        """A run at a call ends once its request is over. Where the executor cannot see that (its callers are
        not on its machine), it is told; else the run would keep its memory and the module its count."""
        at_call = attempt.phase in (Phase.CALL_WANTED, Phase.CALLING_DEPENDENCY)
        if at_call and not attempt.awaiting_response and not attempt.request.watched:
            self._executor.kill(attempt.request.id)

    def _answer_now(self, cls: str, caller: Caller, answer: Answer) -> None:
        self.metrics.request_ended(cls, _COLUMNS[answer.verdict])
        self._counters.add(f"answers.{answer.verdict.value}")
        caller.answer(answer)

    def _forget(self, id: str) -> None:
        attempt = self._attempts.pop(id, None)
        if attempt is not None and attempt.idempotency is Idempotency.KEYED:
            self._key_unused(attempt.request)  # also of one that the module has yet to hear about
        if attempt is not None and not self._counters.check_invariant(
            not attempt.awaiting_response, "answered before forgotten"
        ):
            self._answer_now(attempt.request.cls, attempt.caller, Answer(Verdict.FAILED, value=self._value))

    def _report(self, what: facade.Report) -> None:
        self._reports.append(what)
        self._settle()

    def _settle(self, step: Callable[[], None] = lambda: None) -> None:
        """Let the module act, then hand over what its own actions brought about, one after the other.

        The module is never entered while it acts: what a port reports from inside waits its turn here."""
        if self._reporting:
            return
        self._reporting = True
        try:
            step()
            while self._reports:
                what = self._reports.popleft()
                self._facade.report(self._clock.now(), what)
                if isinstance(what, RunEnded):
                    self._forget(what.id)
                elif isinstance(what, Left):
                    attempt = self._attempts.get(what.id)
                    if attempt is not None and attempt.phase in NOT_STARTED:
                        self._forget(what.id)
        finally:
            self._reporting = False

    # --- the table of keys ---

    def _key_ran(self, request: Request) -> bool:
        """Some try of this request ran: then no try of it is turned away as if none had."""
        record = self.keys.find(request.key, request.arrived)
        return record is not None and record.has_run

    def keep_key(self, id: str, until: float) -> None:
        """Enter a try into the table, or hand an record that never ran over to a newer try."""
        request = self._attempts[id].request
        self.keys.reserve(request.key or "", id, request.arrived, until, fingerprint(request))

    def forget_key(self, id: str) -> None:
        """Take an record out whose try never ran."""
        if (attempt := self._attempts.get(id)) is not None:
            self._key_unused(attempt.request)

    def _key_unused(self, request: Request) -> None:
        """A try is over: where it holds an record and never ran, the record goes, and a further try is new."""
        record = self.keys.records.get(request.key or "")
        if record is not None and record.holder_id == request.id and not record.has_run and not record.owned_by_peer:
            self._waited(self.keys.remove(record), End.ERROR, b"")

    def _key_runs(self, attempt: Attempt) -> bool:
        """A key runs at most once within its window, and not before the node's other process knows."""
        if attempt.idempotency is not Idempotency.KEYED:
            return True
        request = attempt.request
        record = self.keys.records.get(request.key or "")
        fresh = record is not None and record.holder_id == request.id and not record.has_run
        if not self._counters.check_invariant(fresh, "one run a key"):
            return False
        window = max(self._classes[request.cls].window, request.remembered)
        if self.keys.start_run(request.key or "", request.id, request.arrived + window):
            return True
        # It never ran and must not: the other process may not hear of it. A further try is new.
        self._counters.add("keys.peer_not_notified")
        if (record := self.keys.records.get(request.key or "")) is not None:
            self._waited(self.keys.remove(record), End.ERROR, b"")
        self._answer(attempt, Answer(Verdict.REJECTED, value=self._value))
        return False

    def _key_ended(self, attempt: Attempt, end: End, result: bytes) -> None:
        if attempt.idempotency is Idempotency.KEYED:
            record = self.keys.records.get(attempt.request.key or "")
            waiting = self.keys.finish_run(attempt.request.key or "", attempt.request.id, end, result)
            ok = end is End.OK and record is not None
            self._waited(waiting, End.OK if ok else End.ERROR, result if ok else b"")

    def _waited(self, waiting: list[str], end: End, result: bytes) -> None:
        for id in waiting:
            self._share_ends(id, end, result)

    def _share_ends(self, id: str, end: End, result: bytes) -> None:
        attempt = self._attempts.get(id)
        if attempt is None or not attempt.awaiting_response:
            return
        self._counters.add("answers.shared")
        self._answer(attempt, Answer(Verdict.SERVED if end is End.OK else Verdict.FAILED, result, value=self._value))
        self._reports.append(RunEnded(id, end))

    def _sweep(self, now: float) -> None:
        """Drop entries whose window is over, unless their run still goes on; settle runs in doubt."""
        for id, attempt in self._attempts.items():
            if not attempt.awaiting_response and attempt.phase in (Phase.RUNNING, Phase.STOPPED):
                if attempt.request.watched:
                    self._executor.resolve(id)
                elif attempt.request.due + UNWATCHED_RUN_LIMIT_S < now:
                    self._executor.kill(id)
        for record in self.keys.expired(now, self._attempts.__contains__):
            self._waited(self.keys.discard(record), End.ERROR, b"")  # the other process sweeps for itself
        self._settle()
