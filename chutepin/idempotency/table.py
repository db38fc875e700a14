"""The table of idempotency keys: records, windows, kept results and the memory limit."""

from __future__ import annotations

from collections.abc import Callable

from ..facade import End
from .record import IdempotencyRecord

RECORD_BYTES = 1024  # memory counted for one record without its result
KEY_SLACK_S = 0.1  # added to each window, so that no record expires before its window ends
KEY_GRACE_S = 5.0  # a record is kept this long past its window, for attempts that arrived in time but are read late


class IdempotencyTable:
    """All keys of one process, limited in memory.

    Methods that end a run or remove a record return the ids of the attempts that waited; the caller answers them."""

    def __init__(self, max_bytes: int) -> None:
        """Create an empty table. `max_bytes` limits records and results together."""
        self._max_bytes = max_bytes
        self.result_bytes = 0
        self.records: dict[str, IdempotencyRecord] = {}
        # By run id: records replaced after their window while attempts still wait for the run.
        self._superseded: dict[str, IdempotencyRecord] = {}
        # Sends a changed record, or the removal of a key (None), to the peer process, before any process acts on the
        # change. Returns false if delivery to the peer is uncertain.
        self.replicate: Callable[[str, IdempotencyRecord | None], bool] = lambda key, record: True

    @property
    def is_full(self) -> bool:
        """Return whether the memory limit leaves no room for another key."""
        return len(self.records) * RECORD_BYTES + self.result_bytes >= self._max_bytes

    def find(self, key: str | None, arrived: float) -> IdempotencyRecord | None:
        """Return the record that an attempt belongs to, or None for a new request.

        An attempt that arrived within the record's window belongs to the record, however late it was read. A record
        that has not run matches any attempt: its window begins with the arrival of the attempt that runs."""
        record = self.records.get(key or "")
        if record is None:
            return None
        return record if not record.has_run or arrived <= record.expires_at else None

    def reserve(self, key: str, attempt_id: str, arrived: float, expires_at: float, fingerprint: bytes) -> None:
        """Reserve a key for an attempt; take over the record of an older attempt that never ran."""
        record = self.records.get(key)
        if record is None or (record.has_run and arrived > record.expires_at):
            self._supersede(record)
            record = self.records[key] = IdempotencyRecord(key, attempt_id, expires_at + KEY_SLACK_S, b"")
        record.expires_at = max(record.expires_at, expires_at + KEY_SLACK_S)
        if not record.has_run:
            record.holder_id = attempt_id
            record.fingerprint = fingerprint
            record.owned_by_peer = False
        self.replicate(key, record)

    def start_run(self, key: str, attempt_id: str, expires_at: float) -> bool:
        """Mark a key as run by this attempt; return false if it must not run. `expires_at`: end of the run's window.

        This check enforces at most one run per window independently of the decision module. A run starts only if
        its claim is certain to reach the peer process."""
        record = self.records.get(key)
        if record is None or record.holder_id != attempt_id or record.has_run or record.owned_by_peer:
            return False
        record.run_id = attempt_id
        record.expires_at = max(record.expires_at, expires_at + KEY_SLACK_S)
        if self.replicate(key, record):
            return True
        record.run_id = None
        return False

    def finish_run(self, key: str, attempt_id: str, outcome: End, result: bytes) -> list[str]:
        """Record a run's outcome. Release the key only if the run certainly did not start (`End.NOT_STARTED`)."""
        record = self.records.get(key)
        if record is None or record.run_id != attempt_id or record.owned_by_peer:
            return self._pop_superseded_waiters(attempt_id)
        if outcome is End.NOT_STARTED:
            return self.remove(record)
        return self._set_outcome(record, End.OK if outcome is End.OK else End.ERROR, result)

    def remove(self, record: IdempotencyRecord) -> list[str]:
        """Remove a record, replicate the removal and return the ids of the waiting attempts."""
        waiting_ids = self.discard(record)
        self.replicate(record.key, None)
        return waiting_ids

    def discard(self, record: IdempotencyRecord) -> list[str]:
        """Remove a record without replication, since the peer process removes its own copy; return waiting attempts."""
        del self.records[record.key]
        self.result_bytes -= len(record.result)
        return record.waiting_ids

    def expired(self, now: float, is_active: Callable[[str], bool]) -> list[IdempotencyRecord]:
        """Return the records past their window and grace time, except those with an unfinished, active attempt."""

        def is_open(record: IdempotencyRecord) -> bool:
            return record.outcome is None and is_active(record.run_id or record.holder_id)

        return [
            record for record in self.records.values() if record.expires_at + KEY_GRACE_S < now and not is_open(record)
        ]

    def apply_from_peer(self, received: IdempotencyRecord, now: float) -> list[str]:
        """Apply a record of the peer process and return the ids of the attempts that its outcome answers."""
        record = self.records.get(received.key)
        if record is not None and not record.owned_by_peer and record.has_run:
            if record.expires_at >= now or received.expires_at <= record.expires_at:
                # This process owns the record of its own run, so the peer's copy is ignored.
                return self._pop_superseded_waiters(received.run_id) if received.outcome is not None else []
            self._supersede(record)  # its window is over, and the peer has started the next run of the key
            record = None
        if record is None:
            record = IdempotencyRecord(received.key, received.holder_id, received.expires_at, received.fingerprint)
            self.records[received.key] = record
        record.owned_by_peer = True
        record.holder_id = received.holder_id
        record.run_id = received.run_id
        record.fingerprint = received.fingerprint
        record.expires_at = max(record.expires_at, received.expires_at)
        if received.outcome is None or record.outcome is not None:
            return []
        return self._set_outcome(record, received.outcome, received.result)

    def is_awaited(self, key: str, run_id: str) -> bool:
        """Return whether attempts wait for a run of this key."""
        record = self.records.get(key)
        if record is None or record.run_id != run_id:
            record = self._superseded.get(run_id)
        return record is not None and bool(record.waiting_ids)

    def remove_waiter(self, key: str, attempt_id: str) -> None:
        """Remove an attempt that no longer waits for the run of a key."""
        record = self.records.get(key)
        records = list(self._superseded.values()) if record is None else [record, *self._superseded.values()]
        for waited_for in records:
            if attempt_id in waited_for.waiting_ids:
                waited_for.waiting_ids.remove(attempt_id)

    def remove_from_peer(self, key: str) -> list[str]:
        """Remove a key that the peer process released without a run; return the ids of the waiting attempts."""
        record = self.records.get(key)
        if record is None or not record.owned_by_peer or record.outcome is not None:
            return []
        return self.discard(record)

    def peer_lost(self) -> list[str]:
        """Take over the peer's records and return the ids of the waiting attempts.

        Unfinished runs of the peer are in doubt and recorded as errors; keys that it only reserved are removed."""
        waiting_ids: list[str] = []
        for run_id, record in list(self._superseded.items()):
            if record.owned_by_peer:
                waiting_ids += self._pop_superseded_waiters(run_id)
        for record in [record for record in self.records.values() if record.owned_by_peer]:
            if not record.has_run:
                waiting_ids += self.discard(record)
            elif record.outcome is None:
                waiting_ids += self._set_outcome(record, End.ERROR, b"")
            record.owned_by_peer = False
        return waiting_ids

    def _set_outcome(self, record: IdempotencyRecord, outcome: End, result: bytes) -> list[str]:
        record.outcome = outcome
        record.result = result if outcome is End.OK else b""
        self.result_bytes += len(record.result)
        if not record.owned_by_peer:
            self.replicate(record.key, record)
        waiting_ids = record.waiting_ids
        record.waiting_ids = []
        return waiting_ids

    def _supersede(self, record: IdempotencyRecord | None) -> None:
        """Prepare the replacement of a record past its window; keep it by run id if attempts wait for its run."""
        if record is None:
            return
        self.result_bytes -= len(record.result)
        if record.waiting_ids and record.run_id is not None:
            self._superseded[record.run_id] = record

    def _pop_superseded_waiters(self, run_id: str | None) -> list[str]:
        """Remove a superseded record whose run has ended and return the ids of its waiting attempts."""
        record = self._superseded.pop(run_id or "", None)
        return record.waiting_ids if record is not None else []
