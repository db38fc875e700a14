"""The table of all other members, bounded, with their records and what was heard of them. Pure; time is an argument."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

from .records import MergeResult, Record, Status, compare_records

REPLAY_WINDOW_PACKETS = 256  # packets of one sender that may arrive out of order


@dataclass(slots=True)
class ReplayWindow:
    """Which packets of one process incarnation of a sender have arrived, so that none is processed twice."""

    highest: int = -1
    seen: int = 0  # a bit for each of the last sequence numbers

    def accept(self, sequence: int) -> bool:
        """Note a sequence number; false for one that came before, or is too old to tell."""
        if sequence > self.highest:
            self.seen = (self.seen << min(sequence - self.highest, REPLAY_WINDOW_PACKETS) | 1) & (
                (1 << REPLAY_WINDOW_PACKETS) - 1
            )
            self.highest = sequence
            return True
        age = self.highest - sequence
        if age >= REPLAY_WINDOW_PACKETS or self.seen >> age & 1:
            return False
        self.seen |= 1 << age
        return True


@dataclass(slots=True)
class Member:
    """One other member, and what was heard of it."""

    record: Record
    changed_at: float  # when the record was merged
    digest: int = 0  # of the record, in the digest of the view; 0 while it is not live
    position: int = -1  # in the list of live members; -1 while it is not live
    process_incarnation: int = 0  # of the process that was heard last
    last_heard: float = -math.inf  # when its last datagram came directly
    stale_notice_sent_at: float = -math.inf  # that a later process of its name is known
    suspected_by: tuple[str, ...] = ()  # members that suspect it at this incarnation
    window: ReplayWindow | None = None  # None before its first datagram: most members are rarely heard directly

    def set_process_incarnation(self, process_incarnation: int) -> None:
        """Note that another process uses its name, with its own sequence numbers."""
        self.process_incarnation = process_incarnation
        self.window = None

    def accept_sequence(self, sequence: int) -> bool:
        """Note a datagram's sequence number; false for one that came before, or is too old to tell."""
        if self.window is None:
            self.window = ReplayWindow()
        return self.window.accept(sequence)


def digest_of(record: Record) -> int:
    """Return what a live record adds to the digest of a view. A suspicion adds nothing, as it ends by itself."""
    text = f"{record.name} {record.address} {record.region} {record.zone} {record.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


LEFT_RETENTION_S = 300.0  # for which members that left are remembered, at the most: restarts take less
_GROUPED = (Status.SUSPECT, Status.DEAD, Status.LEFT)


class MemberTable:
    """All other members by name.

    The time of an operation does not grow with the table, but for those that return lists."""

    def __init__(self, max_names: int, remember: float) -> None:
        """`max_names`: departed members included. `remember`: seconds for which the dead are remembered."""
        self._max_names = max_names
        self._retention_s = {Status.DEAD: remember, Status.LEFT: min(remember, LEFT_RETENTION_S)}
        self.members: dict[str, Member] = {}
        self.digest = 0  # of the live members
        self.rejected = 0  # names that found no room
        # Members that are not alive, by status, in the order in which they got it.
        self._groups: dict[Status, dict[str, None]] = {status: {} for status in _GROUPED}
        self._live: list[str] = []

    def live(self) -> list[str]:
        """Return the names of all that are alive or suspect. Not to be changed."""
        return self._live

    def is_live(self, name: str) -> bool:
        """Whether a member is alive or suspect."""
        member = self.members.get(name)
        return member is not None and member.position >= 0

    def with_status(self, status: Status) -> list[str]:
        """Return the names of all with this status."""
        if status is Status.ALIVE:
            return [name for name in self._live if name not in self._groups[Status.SUSPECT]]
        return list(self._groups[status])

    def count(self, status: Status) -> int:
        """Return how many have this status."""
        if status is Status.ALIVE:
            return len(self._live) - len(self._groups[Status.SUSPECT])
        return len(self._groups[status])

    def put(self, now: float, record: Record) -> MergeResult:
        """Merge a record, if it takes precedence over the known one; REJECTED also where there is no room."""
        member = self.members.get(record.name)
        if member is None:
            if not self._make_room():
                self.rejected += 1
                return MergeResult.REJECTED
            self.members[record.name] = member = Member(record, now)
            self._enter(member)
            return MergeResult.ACCEPTED
        old = member.record
        result = compare_records(record, old)
        if result is MergeResult.ACCEPTED:
            if record.address != old.address:  # another process: what was heard of the old one does not count
                member.set_process_incarnation(0)
                member.last_heard = -math.inf
            if (record.incarnation, record.address) != (old.incarnation, old.address) or not record.live:
                member.suspected_by = ()
            self.replace(member, record)
            member.changed_at = now
        return result

    def replace(self, member: Member, record: Record) -> None:
        """Replace a member's record, and keep groups, list and digest consistent with it."""
        old = member.record
        if old.status in _GROUPED:
            del self._groups[old.status][old.name]
        member.record = record
        if member.position >= 0 and record.live and old[:5] == record[:5]:  # a suspicion, or the end of one
            self._group(record)
            return
        self._leave(member)
        self._enter(member)

    def _group(self, record: Record) -> None:
        if record.status in _GROUPED:
            self._groups[record.status][record.name] = None

    def _enter(self, member: Member) -> None:
        """Add a record to its group, and a live one to the list and the digest."""
        record = member.record
        self._group(record)
        if record.live:
            member.position = len(self._live)
            self._live.append(record.name)
            member.digest = digest_of(record)
            self.digest ^= member.digest

    def _leave(self, member: Member) -> None:
        """Remove a record from the list of live members and from the digest; the last of the list takes its place."""
        if member.position < 0:
            return
        last = self._live.pop()
        if last != member.record.name:
            self._live[member.position] = last
            self.members[last].position = member.position
        self.digest ^= member.digest
        member.position, member.digest = -1, 0

    def _make_room(self) -> bool:
        """Whether one more name fits, after forgetting the oldest departed member if need be."""
        if len(self.members) < self._max_names:
            return True
        oldest = [next(iter(self._groups[status])) for status in (Status.DEAD, Status.LEFT) if self._groups[status]]
        if not oldest:
            return False
        self.remove(min(oldest, key=lambda name: self.members[name].changed_at))
        return True

    def remove(self, name: str) -> None:
        """Forget a name."""
        member = self.members[name]
        self._groups.get(member.record.status, {}).pop(name, None)
        self._leave(member)
        del self.members[name]

    def expired(self, now: float) -> list[str]:
        """Return the departed members whose retention is over."""
        found = []
        for status, retention_s in self._retention_s.items():
            for name in self._groups[status]:
                if now - self.members[name].changed_at <= retention_s:
                    break  # the rest departed later
                found.append(name)
        return found
