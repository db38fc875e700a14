"""The members that are known, bounded. Pure; time is an argument.

It holds what was told and heard. What is to be made of it is decided in `view` and `detector`."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

from .records import MergeResult, Record, Status, compare_records

REPLAY_WINDOW_PACKETS = 256  # packets of one sender that may come out of their order


@dataclass(slots=True)
class ReplayWindow:
    """Which packets of one life of a sender have come: none is taken in twice."""

    highest: int = -1
    seen: int = 0  # a bit for each of the last numbers

    def accept(self, number: int) -> bool:
        """Take note of a number; false for one that came before or is too old to tell."""
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, REPLAY_WINDOW_PACKETS) | 1) & (
                (1 << REPLAY_WINDOW_PACKETS) - 1
            )
            self.highest = number
            return True
        back = self.highest - number
        if back >= REPLAY_WINDOW_PACKETS or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


@dataclass(slots=True)
class Member:
    """One other member."""

    record: Record
    changed_at: float  # when the record was taken in
    digest: int = 0  # what the record adds to the digest of a view; 0 while it is not live
    position: int = -1  # in the list of the live
    process_incarnation: int = 0  # the process that spoke last
    last_heard: float = -math.inf  # its last packet that came directly
    stale_notice_sent_at: float = -math.inf  # when it was last told that its life is over
    suspected_by: tuple[str, ...] = ()  # at this incarnation
    window: ReplayWindow | None = None  # none before its first datagram: most members are hardly ever heard directly

    def set_process_incarnation(self, process_incarnation: int) -> None:
        """Another process speaks in its name."""
        self.process_incarnation, self.window = process_incarnation, None

    def accept_sequence(self, number: int) -> bool:
        """Take note of a datagram's number; false for one that came before or is too old to tell."""
        if self.window is None:
            self.window = ReplayWindow()
        return self.window.accept(number)


def digest_of(record: Record) -> int:
    """What a live record adds to the digest of a view. A suspicion adds nothing: it comes and goes by itself."""
    text = f"{record.name} {record.address} {record.region} {record.zone} {record.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


LEFT_RETENTION_S = 300.0  # seconds for which those that left in order are known, at the most: restarts take less
_GROUPED = (Status.SUSPECT, Status.DEAD, Status.LEFT)


class MemberTable:
    """All other members by name. No operation takes longer for a longer table, but for those that give lists."""

    def __init__(self, max_names: int, remember: float) -> None:
        """`most`: names, the gone included. `remember`: seconds for which the dead are known."""
        self._max_names = max_names
        self._remembered = {Status.DEAD: remember, Status.LEFT: min(remember, LEFT_RETENTION_S)}
        self.members: dict[str, Member] = {}
        self.digest = 0  # of the live ones
        self.rejected = 0  # names for which there was no room
        # Those that are not alive, by state, in the order in which they came into it.
        self._groups: dict[Status, dict[str, None]] = {status: {} for status in _GROUPED}
        self._live: list[str] = []

    def live(self) -> list[str]:
        """Names of all that are alive or suspect. Not to be changed."""
        return self._live

    def is_live(self, name: str) -> bool:
        """Whether a member is alive or suspect."""
        member = self.members.get(name)
        return member is not None and member.position >= 0

    def with_status(self, status: Status) -> list[str]:
        """Names of those in this state."""
        if status is Status.ALIVE:
            return [name for name in self._live if name not in self._groups[Status.SUSPECT]]
        return list(self._groups[status])

    def count(self, status: Status) -> int:
        """How many are in this state."""
        if status is Status.ALIVE:
            return len(self._live) - len(self._groups[Status.SUSPECT])
        return len(self._groups[status])

    def put(self, now: float, record: Record) -> MergeResult:
        """Take in a record, if it holds against the known one; HELD also where there is no room."""
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
            if record.address != old.address:  # another process: nothing that was heard of the old one is its own
                member.set_process_incarnation(0)
                member.last_heard = -math.inf
            if (record.incarnation, record.address) != (old.incarnation, old.address) or not record.live:
                member.suspected_by = ()
            self.replace(member, record)
            member.changed_at = now
        return result

    def replace(self, member: Member, record: Record) -> None:
        """Give a member another record; keep groups, list and digest as the records are."""
        old = member.record
        if old.status in _GROUPED:
            del self._groups[old.status][old.name]
        member.record = record
        if member.position >= 0 and record.live and old[:5] == record[:5]:  # an accusation, or the end of one
            self._group(record)
            return
        self._leave(member)
        self._enter(member)

    def _group(self, record: Record) -> None:
        if record.status in _GROUPED:
            self._groups[record.status][record.name] = None

    def _enter(self, member: Member) -> None:
        """Count a record in."""
        record = member.record
        self._group(record)
        if record.live:
            member.position = len(self._live)
            self._live.append(record.name)
            member.digest = digest_of(record)
            self.digest ^= member.digest

    def _leave(self, member: Member) -> None:
        """Take a record out of the list of the live and of the digest; the last of the list takes its place."""
        if member.position < 0:
            return
        last = self._live.pop()
        if last != member.record.name:
            self._live[member.position] = last
            self.members[last].position = member.position
        self.digest ^= member.digest
        member.position, member.digest = -1, 0

    def _make_room(self) -> bool:
        """Whether a name fits, without the oldest of the gone if need be."""
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
        """The gone that have been remembered long enough."""
        found = []
        for status, remembered in self._remembered.items():
            for name in self._groups[status]:
                if now - self.members[name].changed_at <= remembered:
                    break  # those behind it are younger
                found.append(name)
        return found
