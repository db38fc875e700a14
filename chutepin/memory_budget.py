"""Divides the memory that a node may use among the parts that hold what others send.

No I/O. What a part holds is bounded for each connection where it arrives, and for all together by its share. The
shares, the connections and the process itself fit the limit from `MIN_MEMORY_BYTES` on."""

from __future__ import annotations

from dataclasses import dataclass

MIB = 2**20
MIN_MEMORY_BYTES = 32 * MIB  # the smallest limit that the platform gives
DEFAULT_MEMORY_BYTES = 192 * MIB
BASE_BYTES = 18 * MIB  # of a process without connections: interpreter, modules, tables at rest, free blocks
CONNECTION_BYTES = 10 * 1024  # of an open connection without input or output: socket, stream, task, state
MIN_DIVIDED_BYTES = 4 * MIB
MAX_KEY_SHARE = 1 / 3  # of the whole limit


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The bytes that each part may hold."""

    keys: int  # idempotency records and results
    requests: int  # open requests, with their bodies and the commands to the executor
    received: int  # input of balancers that is not processed yet
    unsent: int  # output that balancers have not read
    executor: int  # commands that the executor has not read
    runs: int  # ids of recent runs
    records: int  # partly received replies and unsent calls of all connections to the records service


def divide_memory(limit_bytes: int, max_connections: int) -> MemoryBudget:
    """Return the shares under a limit. `max_connections`: to balancers and to the records service together."""
    divided = max(MIN_DIVIDED_BYTES, limit_bytes - BASE_BYTES - max_connections * CONNECTION_BYTES)
    return MemoryBudget(
        keys=int(min(limit_bytes * MAX_KEY_SHARE, divided * 0.42)),
        requests=int(min(16 * MIB, divided * 0.2)),
        received=int(min(8 * MIB, divided * 0.1)),
        unsent=int(min(24 * MIB, divided * 0.1)),
        executor=int(min(8 * MIB, divided * 0.05)),
        runs=int(min(4 * MIB, divided * 0.05)),
        records=int(min(8 * MIB, divided * 0.05)),
    )


DEFAULT_BUDGET = divide_memory(DEFAULT_MEMORY_BYTES, 0)
