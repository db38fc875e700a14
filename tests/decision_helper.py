"""Settings, requests and a policy whose timers fire on time, for the tests of the decision package."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from chutepin import decision
from chutepin.decision import Idempotency, RequestClass, Settings
from chutepin.decision.policy import Policy

VIEW = RequestClass("view", Idempotency.IDEMPOTENT, 1.0, 1.0, 4.0)
PAY = RequestClass("pay", Idempotency.KEYED, 1.0, 1.0, 4.0, window=5.0)
CALLING = replace(VIEW, name="calling", makes_calls=True)
PLAIN = Settings(
    classes=(VIEW, PAY), cores=2, memory=100_000.0, cancellation=decision.Cancellation.DISCARDS_WORK, answer_slack=0.05
)


class PunctualPolicy(Policy):
    """Policy whose timers fire on time, before any later event is handled."""

    def handle(self, now: float, events: Sequence[decision.Event]) -> list[decision.Action]:
        actions: list[decision.Action] = []
        while self.server.timers.armed_for < now:
            actions += super().handle(self.server.timers.armed_for, [decision.TimerFired(self.server.timers.token)])
        return actions + super().handle(now, events)


def started(settings: Settings = PLAIN, now: float = 0.0) -> Policy:
    policy = PunctualPolicy(settings, 1)
    policy.start(now)
    return policy


def new_request(
    name: str,
    due: float = 4.0,
    cls: str = "view",
    hint: float | None = 0.2,
    unread: float = 0.0,
    repeats: str | None = None,
    tenant: str | None = None,
    caller: int = 0,
) -> decision.Request:
    return decision.Request(name, cls, unread, 10.0, tenant, None, due, hint, 0.5, caller, repeats)


def ids_of(actions: list[decision.Action], kind: type) -> list[str]:
    return [str(getattr(action, "id", "")) for action in actions if isinstance(action, kind)]
