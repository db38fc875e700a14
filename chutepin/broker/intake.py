"""The checks that a request passes before it becomes an attempt."""

from __future__ import annotations

import math
from typing import NamedTuple

from .. import decision
from ..decision import RequestClass
from ..idempotency import IdempotencyRecord, IdempotencyTable
from .attempts import OpenAttempts
from .idempotent import IdempotentRequests
from .requests import Request, Verdict, fingerprint
from .schedule import Schedule

MAX_REQUESTS = 2048  # maximum number of open requests; each holds a body of up to 2 KiB
MAX_CLOCK_LEAD_S = 1.0  # maximum by which a caller's times may exceed the node's clock and the class's deadline


class Refusal(NamedTuple):
    """The answer to a request that does not become an attempt, and the counter of its reason."""

    verdict: Verdict
    counter: str


MALFORMED = Refusal(Verdict.FAILED, "requests.malformed")
REPEATED = Refusal(Verdict.FAILED, "requests.repeated")  # its id has run
KEY_IN_DOUBT = Refusal(Verdict.FAILED, "keys.in_doubt")


class Intake:
    """The checks of one broker, by its settings, its table of keys and its open attempts."""

    def __init__(
        self,
        settings: decision.Settings,
        attempts: OpenAttempts,
        request_memory: int,
        keys: IdempotencyTable,
        idempotent: IdempotentRequests,
        schedule: Schedule,
    ) -> None:
        self._tenants = {None, *(tenant.name for tenant in settings.tenants)} if settings.tenants else None
        self._callers_pass_deadline = settings.passes_deadline
        self._attempts = attempts
        self._request_memory = request_memory
        self._keys = keys
        self._idempotent = idempotent
        self._schedule = schedule

    def is_well_formed(self, request: Request, cls: RequestClass, now: float) -> bool:
        """Return whether the request's tenant, times and id are valid; a late request is valid and answered as late.

        Fill in the due time if the caller did not pass one."""
        if request.due == math.inf or (not self._callers_pass_deadline and request.due == request.arrived):
            request.due = request.arrived + cls.deadline
        if self._tenants and request.tenant not in self._tenants:
            return False
        if request.arrived >= now + MAX_CLOCK_LEAD_S:
            return False
        if not 0 < request.due - request.arrived < cls.deadline + MAX_CLOCK_LEAD_S:
            return False
        return request.id not in self._attempts.by_id

    def refusal(
        self, request: Request, record: IdempotencyRecord | None, is_keyed: bool, now: float, is_started: bool
    ) -> Refusal | None:
        """Return why a well-formed request does not become an attempt, or None.

        `record`: the record that the request belongs to. `is_started`: the executor has started."""
        if record is not None and record.fingerprint != fingerprint(request):
            # A different request under the same key must not get a result that was computed for another body.
            return MALFORMED
        is_new_key = is_keyed and record is None
        if self._is_full or (is_new_key and self._keys.is_full):
            # A full table could not prevent a second run of the key.
            return self.not_run(request, "requests.full")
        if not is_started or (is_keyed and request.key is None):
            # A keyed request without a key cannot be recognised as a retry.
            return self.not_run(request, "requests.not_taken")
        if self._schedule.stop_at is not None and now >= self._schedule.stop_at:
            # A run started now could outlive the process.
            return self.not_run(request, "requests.past_stop")
        return None

    @property
    def _is_full(self) -> bool:
        return len(self._attempts.by_id) >= MAX_REQUESTS or self._attempts.held_bytes >= self._request_memory

    def not_run(self, request: Request, counter: str) -> Refusal:
        """Return a rejection, or a failure if the request's key has run."""
        return Refusal(Verdict.FAILED if self._idempotent.has_run(request) else Verdict.REJECTED, counter)
