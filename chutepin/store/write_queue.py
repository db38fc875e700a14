"""Records that were appended to the log and are not in their files yet."""

from __future__ import annotations

from .segment import WriteBatch


class WriteQueue:
    """Batches in log order, and the values in them, which can be read before they are written.

    A batch is first queued, then being written (`take_batches`), then in its file (`mark_written`)."""

    def __init__(self) -> None:
        self.bytes = 0  # appended and not durable yet
        self.values: dict[bytes, bytes] = {}  # last queued value of each key
        self._values_in_write: dict[bytes, bytes] = {}
        self._batches: list[WriteBatch] = []
        self._last: WriteBatch | None = None

    def __bool__(self) -> bool:
        """Whether any batch waits to be taken."""
        return bool(self._batches)

    def batch_for(self, segment: int, offset: int) -> WriteBatch:
        """The batch for a record at this offset: the last one, or a new one where another segment begins."""
        batch = self._last
        if batch is None or batch.segment != segment:
            batch = self._last = WriteBatch(segment, offset)
            self._batches.append(batch)
        return batch

    def take_batches(self) -> list[WriteBatch]:
        """Take all queued batches, to be written in this order. Their values stay readable until `mark_written`."""
        taken = self._batches
        self._batches = []
        self._last = None
        self._values_in_write.update(self.values)
        self.values = {}
        return taken

    def mark_written(self, batches: list[WriteBatch]) -> None:
        """Forget the batches that were taken: their records are read from the files from now on."""
        self._values_in_write = {}
        self.bytes -= sum(batch.size for batch in batches)

    def value(self, key: bytes) -> bytes | None:
        """The last value of a key whose record is not in its file yet."""
        if key in self.values:
            return self.values[key]
        return self._values_in_write.get(key)
