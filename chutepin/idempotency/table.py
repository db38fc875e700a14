"""Entries, windows, results and bounds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..facade import End

KEY_BYTES = 1024  # that an entry takes, its result apart
KEY_SLACK_S = 0.1  # seconds that a window is stretched by: an entry may outlive its window, never the reverse
KEY_GRACE_S = 5.0  # an entry stays this long after its window, for tries that came in time but are read late


@dataclass(slots=True)
class IdempotencyRecord:
    """One key: which try has it, which one ran, and what came of that."""

    key: str
    holder: str
    until: float
    contents: bytes  # digest of what all its tries carry
    ran: str | None = None
    end: End | None = None
    result: bytes = b""
    waiting: list[str] = field(default_factory=list)
    foreign: bool = False  # its holder is in the hands of the node's other process


class IdempotencyTable:
    """All keys of one process, bounded by the memory that it is given."""

    def __init__(self, room: int) -> None:
        """`room`: bytes that entries and results may take together."""
        self._room = room
        self.results = 0  # bytes of kept results
        self.entries: dict[str, IdempotencyRecord] = {}
        self._outlived: dict[str, IdempotencyRecord] = {}  # by run that goes on past its window, while some wait for it
        # Told of an entry that has changed, before anybody acts on the change; false where the other process can't be
        # known to hear of it. Of an entry that is gone, `None` stands in its place.
        self.told: Callable[[str, IdempotencyRecord | None], bool] = lambda key, entry: True

    @property
    def full(self) -> bool:
        """No room for another key."""
        return len(self.entries) * KEY_BYTES + self.results >= self._room

    def find(self, key: str | None, arrived: float) -> IdempotencyRecord | None:
        """The entry that a try repeats: one whose window it arrived in, however late it was read, or one that has not
        run yet, however long it has been held: its window will count from its run's arrival."""
        entry = self.entries.get(key or "")
        return entry if entry is not None and (entry.ran is None or arrived <= entry.until) else None

    def keep(self, key: str, holder: str, arrived: float, until: float, contents: bytes) -> None:
        """Enter a try, or hand an entry that never ran over to a newer try."""
        entry = self.entries.get(key)
        if entry is None or (entry.ran is not None and arrived > entry.until):
            self._outlive(entry)
            entry = self.entries[key] = IdempotencyRecord(key, holder, until + KEY_SLACK_S, b"")
        entry.until = max(entry.until, until + KEY_SLACK_S)
        if entry.ran is None:
            entry.holder, entry.contents, entry.foreign = holder, contents, False
        self.told(key, entry)

    def _outlive(self, entry: IdempotencyRecord | None) -> None:
        """Another entry takes the place of one whose window is over. Its run may go on, and some may wait for it."""
        if entry is not None:
            self.results -= len(entry.result)
            if entry.waiting and entry.ran is not None:
                self._outlived[entry.ran] = entry

    def _late(self, run: str | None) -> list[str]:
        """Who waited for a run that has outlived its window and is over now."""
        entry = self._outlived.pop(run or "", None)
        return entry.waiting if entry is not None else []

    def run(self, key: str, holder: str, until: float) -> bool:
        """A try is about to run; false where it may not. `until`: the end of the window that the run opens.

        Guards the rule itself: whatever the module decides, no second try of a key runs in the window."""
        entry = self.entries.get(key)
        if entry is None or entry.holder != holder or entry.ran is not None or entry.foreign:
            return False
        entry.ran, entry.until = holder, max(entry.until, until + KEY_SLACK_S)
        if self.told(key, entry):
            return True
        entry.ran = None  # the other process may not hear of it: it must not run
        return False

    def ended(self, key: str, holder: str, end: End, result: bytes) -> list[str]:
        """A run is over; who waited for it and is to be told now. Without proof that it never began, it stays."""
        entry = self.entries.get(key)
        if entry is None or entry.ran != holder or entry.foreign:
            return self._late(holder)
        if end is End.NEVER:  # proof that nothing was started: a further try may run
            return self.drop(entry)
        return self._over(entry, End.OK if end is End.OK else End.ERROR, result)

    def _over(self, entry: IdempotencyRecord, end: End, result: bytes) -> list[str]:
        entry.end, entry.result = end, result if end is End.OK else b""
        self.results += len(entry.result)
        if not entry.foreign:
            self.told(entry.key, entry)
        waiting, entry.waiting = entry.waiting, []
        return waiting

    def drop(self, entry: IdempotencyRecord, tell: bool = True) -> list[str]:
        """Take an entry out; who waited for it."""
        del self.entries[entry.key]
        self.results -= len(entry.result)
        if tell:
            self.told(entry.key, None)
        return entry.waiting

    def stale(self, now: float, alive: Callable[[str], bool]) -> list[IdempotencyRecord]:
        """Entries whose window is over, unless their try is still in hand here."""

        def open_here(entry: IdempotencyRecord) -> bool:
            return entry.end is None and alive(entry.ran or entry.holder)

        return [e for e in self.entries.values() if e.until + KEY_GRACE_S < now and not open_here(e)]

    # --- the node's other process ---

    def learn(self, heard: IdempotencyRecord, now: float) -> list[str]:
        """The other process tells of an entry of its own; who waited for it and is to be told now."""
        entry = self.entries.get(heard.key)
        if entry is not None and not entry.foreign and entry.ran is not None:
            if entry.until >= now or heard.until <= entry.until:
                return self._late(heard.ran) if heard.end is not None else []  # what ran here is known here
            self._outlive(entry)  # but that was in a window which is over, and this is the key's next
            entry = None
        if entry is None:
            entry = self.entries[heard.key] = IdempotencyRecord(heard.key, heard.holder, heard.until, heard.contents)
        entry.foreign, entry.holder, entry.ran, entry.contents = True, heard.holder, heard.ran, heard.contents
        entry.until = max(entry.until, heard.until)
        return self._over(entry, heard.end, heard.result) if heard.end is not None and entry.end is None else []

    def unlearn(self, key: str) -> list[str]:
        """The other process has given up a key that never ran; who waited for it."""
        entry = self.entries.get(key)
        return self.drop(entry, tell=False) if entry is not None and entry.foreign and entry.end is None else []

    def orphan(self) -> list[str]:
        """The other process has gone: what it ran without an end is in doubt, what it held never ran. Who waited."""
        waiting = [id for run, entry in list(self._outlived.items()) if entry.foreign for id in self._late(run)]
        for entry in [e for e in self.entries.values() if e.foreign]:
            if entry.ran is None:
                waiting += self.drop(entry, tell=False)
            elif entry.end is None:
                waiting += self._over(entry, End.ERROR, b"")
            entry.foreign = False
        return waiting
