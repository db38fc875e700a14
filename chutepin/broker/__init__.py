"""The broker: requests, attempts and their outcomes, and exactly one final answer for each request.

It knows no wire and no stream; what it needs of the outside are the ports. Decisions are the decision module's, behind
`facade`; the broker owns attempts, idempotency keys with kept results, timers and counts."""

from .core import Broker
from .ports import Caller, Executor, Records, Timer
from .requests import Answer, Request, Verdict

__all__ = ["Answer", "Broker", "Caller", "Executor", "Records", "Request", "Timer", "Verdict"]
