"""The queue of records that are appended to the log but not yet written to their files."""

from __future__ import annotations

from .segment import WriteBatch


class WriteQueue:
    """Batches in log order, and their values, which stay readable until they are written.

    A batch is queued, then in flight (`take_batches`), then written (`mark_written`)."""

    def __init__(self) -> None:
        self.bytes = 0  # appended but not yet durable
        self.values: dict[bytes, bytes] = {}  # last queued value of each key
        self._values_in_flight: dict[bytes, bytes] = {}
        self._batches: list[WriteBatch] = []
        self._last: WriteBatch | None = None

    def __bool__(self) -> bool:
        """Return whether any batch is queued."""
        return bool(self._batches)

    def batch_for(self, segment: int, offset: int) -> WriteBatch:
        """Return the batch for a record at this offset, adding a new one if the segment differs from the last."""
        batch = self._last
        if batch is None or batch.segment != segment:
            batch = self._last = WriteBatch(segment, offset)
            self._batches.append(batch)
        return batch

    def take_batches(self) -> list[WriteBatch]:
        """Remove and return all queued batches, in write order. Their values stay readable until `mark_written`."""
        taken = self._batches
        self._batches = []
        self._last = None
        self._values_in_flight.update(self.values)
        self.values = {}
        return taken

    def mark_written(self, batches: list[WriteBatch]) -> None:
        """Discard the values of written batches, whose records can now be read from the files."""
        self._values_in_flight = {}
        self.bytes -= sum(batch.size for batch in batches)

    def value(self, key: bytes) -> bytes | None:
        """Return the latest value of a key that is queued or in flight, or None."""
        if key in self.values:
            return self.values[key]
        return self._values_in_flight.get(key)
