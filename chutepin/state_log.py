"""Logs the counters and the state of a node's parts for an operator."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .admission import DescriptorBudget
from .counters import Counters
from .logs import Log
from .net.resp import RespListener
from .subsystem import Subsystem

if TYPE_CHECKING:
    from .net.amqp import Consumer
    from .store import Store

MAX_TOP_ADDRESSES = 10  # addresses, and as many blocks


class StateLog:
    """The log lines that SIGUSR1 and the end of a process write; the log's rate limit does not apply to them."""

    def __init__(
        self,
        log: Log,
        counters: Counters,
        front: RespListener,
        descriptors: DescriptorBudget,
        subsystems: Sequence[Subsystem],
        store: Store | None,
        consumer: Consumer | None,
    ) -> None:
        self._log = log
        self._counters = counters
        self._front = front
        self._descriptors = descriptors
        self._subsystems = subsystems
        self._store = store
        self._consumer = consumer

    def write_counters(self) -> None:
        """Log all counters."""
        dropped = {"log.dropped": self._log.dropped} if self._log.dropped else {}
        store_metrics = {} if self._store is None else self._store.metrics()
        store = {f"store.{name}": count for name, count in store_metrics.items()}
        subsystem_metrics = {
            name: count for subsystem in self._subsystems for name, count in subsystem.metrics().items()
        }
        self._log.always(
            "counters",
            **dict(sorted(self._counters.counts.items())),
            **self._front.metrics(),
            **store,
            **subsystem_metrics,
            **dropped,
        )

    def write_state(self) -> None:
        """Log the counters, the AMQP consumer's state, the addresses with most connections and the descriptors."""
        self.write_counters()
        if self._consumer is not None:
            self._log.always("amqp.state", **self._consumer.describe())
        addresses, blocks = self._front.table.top(MAX_TOP_ADDRESSES)
        self._log.always(
            "admission.top",
            addresses=" ".join(f"{name}={count}" for name, count in addresses),
            blocks=" ".join(f"{name}={count}" for name, count in blocks),
        )
        self._log.always("descriptors", **self._descriptors.metrics())
