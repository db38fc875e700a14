"""The broker: requests, attempts and their outcomes, and exactly one final answer for each request.

The broker is independent of wire formats and streams and reaches the outside through its ports. The decision module,
behind `facade`, makes the decisions; the broker owns attempts, idempotency keys with kept results, timers and
counters."""

from .core import Broker
from .ports import Caller, Executor, Records, Timer
from .requests import Answer, Request, Verdict

__all__ = ["Answer", "Broker", "Caller", "Executor", "Records", "Request", "Timer", "Verdict"]
