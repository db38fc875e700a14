"""The table of idempotency keys: records, their windows, kept results and the bound on memory."""

from __future__ import annotations

from collections.abc import Callable

from ..facade import End
from .record import IdempotencyRecord

KEY_BYTES = 1024  # of one record without its result
KEY_SLACK_S = 0.1  # added to each window: a record may outlive its window, never the reverse
KEY_GRACE_S = 5.0  # a record stays this long after its window, for attempts that came in time but are read late


class IdempotencyTable:
    """All keys of one process, bounded by memory.

    Methods that end a run or remove a record return the attempts that waited for it; the caller answers them."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` bounds records and results together."""
        self._max_bytes = max_bytes
        self.result_bytes = 0
        self.records: dict[str, IdempotencyRecord] = {}
        # By run: records whose window is over while the run goes on and attempts wait for it.
        self._superseded: dict[str, IdempotencyRecord] = {}
        # Replicates a changed record, or the removal of a key (None), before anybody acts on the change. False where
        # the peer process can't be known to receive it.
        self.replicate: Callable[[str, IdempotencyRecord | None], bool] = lambda key, record: True

    @property
    def is_full(self) -> bool:
        """There is no room for another key."""
        return len(self.records) * KEY_BYTES + self.result_bytes >= self._max_bytes

    def find(self, key: str | None, arrived: float) -> IdempotencyRecord | None:
        """Return the record that an attempt repeats.

        Either the attempt arrived within the record's window, however late it was read, or the record has not run
        yet: its window begins with the arrival of the attempt that runs."""
        record = self.records.get(key or "")
        if record is None:
            return None
        return record if not record.has_run or arrived <= record.expires_at else None

    def reserve(self, key: str, attempt_id: str, arrived: float, expires_at: float, fingerprint: bytes) -> None:
        """Reserve a key for an attempt; a record that never ran passes to it from an older attempt."""
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
        """Mark a key as run by this attempt; false where it must not run. `expires_at`: the end of the run's window.

        Guards the guarantee itself: whatever the decision module decides, no second attempt of a key runs within the
        window, and none before the peer process is sure to learn of it."""
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
        """Record a run's outcome. Only proof that nothing was started frees the key for another attempt."""
        record = self.records.get(key)
        if record is None or record.run_id != attempt_id or record.owned_by_peer:
            return self._pop_superseded_waiters(attempt_id)
        if outcome is End.NEVER:
            return self.remove(record)
        return self._set_outcome(record, End.OK if outcome is End.OK else End.ERROR, result)

    def remove(self, record: IdempotencyRecord) -> list[str]:
        """Remove a record and replicate its removal."""
        waiting_ids = self.discard(record)
        self.replicate(record.key, None)
        return waiting_ids

    def discard(self, record: IdempotencyRecord) -> list[str]:
        """Remove a record here alone: the peer process removes its copy by itself."""
        del self.records[record.key]
        self.result_bytes -= len(record.result)
        return record.waiting_ids

    def expired(self, now: float, is_active: Callable[[str], bool]) -> list[IdempotencyRecord]:
        """Return the records whose window is over, unless their attempt is still active here."""

        def is_open(record: IdempotencyRecord) -> bool:
            return record.outcome is None and is_active(record.run_id or record.holder_id)

        return [
            record for record in self.records.values() if record.expires_at + KEY_GRACE_S < now and not is_open(record)
        ]

    def apply_from_peer(self, received: IdempotencyRecord, now: float) -> list[str]:
        """Apply a record as the peer process has it."""
        record = self.records.get(received.key)
        if record is not None and not record.owned_by_peer and record.has_run:
            if record.expires_at >= now or received.expires_at <= record.expires_at:
                # What ran here is known better here.
                return self._pop_superseded_waiters(received.run_id) if received.outcome is not None else []
            self._supersede(record)  # its window is over, and the peer's run is the key's next
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

    def remove_from_peer(self, key: str) -> list[str]:
        """Remove a key that the peer process has given up without a run."""
        record = self.records.get(key)
        if record is None or not record.owned_by_peer or record.outcome is not None:
            return []
        return self.discard(record)

    def peer_lost(self) -> list[str]:
        """Take over the peer's records: its unfinished runs are in doubt, and what it only reserved never ran."""
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
        """Another record takes the place of one whose window is over; its run may go on with attempts waiting."""
        if record is None:
            return
        self.result_bytes -= len(record.result)
        if record.waiting_ids and record.run_id is not None:
            self._superseded[record.run_id] = record

    def _pop_superseded_waiters(self, run_id: str | None) -> list[str]:
        """Return who waited for a run that has outlived its window and is over now."""
        record = self._superseded.pop(run_id or "", None)
        return record.waiting_ids if record is not None else []
