"""Exchanges of states over TCP: whole ones for a member that joins, else what differs (anti-entropy). Pure."""

from __future__ import annotations

import math
import random

from ..config.cluster import ClusterSetup
from . import anti_entropy
from .anti_entropy import RepairPace
from .member_table import Member, digest_of
from .membership_view import MAX_STATE_BYTES, fit_updates
from .messages import BucketDigests, BucketRecords, Packet, RecordRequest, Records, Sync
from .records import LinkReport, MergeResult, Record, ShortRecord, Update, shorten
from .send_queue import INTRODUCTION_S, Outbox

SHORT_RECORD_BYTES = 24  # of a short record, for an estimate
MIN_REPAIR_BYTES = 2048  # bytes that a repair may move however little of the budget is left
DISSEMINATION_S = 2.0  # seconds, times log10 of the members, after which nearly all have heard an update
# From so many members on a seed refers those that join, lest full states be a few seeds' whole traffic.
REFERRAL_MIN_MEMBERS = 64
REFERRAL_COUNT = 8  # members that a seed names to one that joins


class StateExchange(Outbox):
    """One member as it joins, and as it compares its view with others'."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._pace = RepairPace(now, setup.sync_every)

    def _contact(self, now: float, to: str, address: str) -> None:
        """Exchange states: what differs, or all that the other one knows if this member knows nothing yet."""
        if self.view.joined:
            self._repair(now, to, address)
            return
        self._pace.began(now, self._rng.random())
        self.view.counts["syncs"] += 1
        self._exchange(to, address, Sync(True, False))

    def _synced(self, now: float, packet: Packet, believed: bool) -> None:
        """Whole states are exchanged."""
        if isinstance(packet.body, Sync) and packet.body.reply_requested:
            if self.view.name_holder is not None:
                return
            self.view.joined = True
            if packet.body.referred or self.view.live_count < REFERRAL_MIN_MEMBERS:
                self._reply(packet.sender.name, Sync(False, True), self.view.full_state(now))
            else:
                self._refer(packet.sender.name)
        elif isinstance(packet.body, Sync) and packet.body.referred:
            self._follow(packet)
        elif self.view.name_holder is not None:  # nobody holds the name any more
            self.view.name_holder = None
            self.view.set_process_incarnation(self.me.incarnation)
            self._number = 0
            self.view.record_event("accepted", self.me.name, by=packet.sender.name, incarnation=self.me.incarnation)
            self._taken_in(now)
        elif believed and not self.view.joined:
            self._taken_in(now)

    def _taken_in(self, now: float) -> None:
        """This member has joined; for some time its record may not be known everywhere."""
        self.view.joined = True
        self._introduced_at = now + INTRODUCTION_S

    def _refer(self, newcomer: str) -> None:
        """Name a few members that one that joins may ask for all, so that not the seeds alone carry whole states."""
        live = [name for name in self.view.table.live() if name != newcomer]
        some = self._rng.sample(live, min(REFERRAL_COUNT, len(live)))
        records = [self.view.table.members[name].record for name in some]
        self._reply(newcomer, Sync(False, True, referred=True), records)

    def _follow(self, packet: Packet) -> None:
        """Ask one of the members that a seed has named; if it does not answer, a seed is asked again."""
        named = [
            update
            for update in packet.updates
            if isinstance(update, Record) and update.live and update.name != self.me.name
        ]
        if named:
            chosen = self._rng.choice(named)
            self._exchange(chosen.name, self.address(chosen.name) or chosen.address, Sync(True, False, referred=True))

    def _dissemination_time(self) -> float:
        """Seconds after which an update that is still missing somewhere will not come by itself."""
        return DISSEMINATION_S * max(1.0, math.log10(self.view.live_count))

    def _compare(self, now: float, sender: str, digest: int) -> None:
        """A member told the digest of its view: repair, if that has differed for too long."""
        if not self._pace.compare(now, self.view.digest, digest, self._dissemination_time()):
            return
        address = self.address(sender)
        if address is not None and self._budget.available(now) > 0:
            self._repair(now, sender, address)

    def _digests(self, count: int) -> bytes:
        """The digests of this member's view by bucket, itself included."""
        members = self.view.table.members
        live = [(name, members[name].digest) for name in self.view.table.live()]
        if self.me.live:
            live.append((self.me.name, digest_of(self.me)))
        return anti_entropy.digests(live, count)

    def _repair(self, now: float, to: str, address: str) -> None:
        """Ask a member for what differs."""
        self._pace.began(now, self._rng.random())
        self.view.counts["repairs"] += 1
        digests = self._digests(anti_entropy.bucket_count(self.view.live_count))
        self._budget.spend(now, len(digests))
        self._exchange(to, address, BucketDigests(digests, self.view.links.digest))

    def _answer_digests(self, now: float, sender: str, body: BucketDigests) -> None:
        """Tell the records of the buckets that differ, as many as the budget allows."""
        count = anti_entropy.bucket_count_of(body.digests)
        if not count or self.view.name_holder is not None:
            return
        if not self.view.joined:  # nothing to compare yet; but here is somebody to join by
            self._reply(sender, Records())
            if now >= self._pace.due:
                self._contact(now, sender, self.address(sender) or "")
            return
        buckets = anti_entropy.differing(self._digests(count), body.digests)
        self._rng.shuffle(buckets)  # lest those beyond the budget be the same ones each time
        room = max(MIN_REPAIR_BYTES, self._budget.available(now))
        each = SHORT_RECORD_BYTES * max(1, self.view.live_count // count)
        chosen = set(buckets[: max(1, room // each)])
        settled, young = self._records_in(now, chosen, count)
        updates: list[Update] = [*settled, *young]
        self._budget.spend(now, SHORT_RECORD_BYTES * len(updates))
        if body.links != self.view.links.digest:
            updates += self.view.link_reports(now, room)
        answer = BucketRecords(count, anti_entropy.as_bits(chosen, count), len(settled), self.view.links.digest)
        self._reply(sender, answer, updates)

    def _records_in(self, now: float, buckets: set[int], count: int) -> tuple[list[ShortRecord], list[ShortRecord]]:
        """Short records of all whose names fall into these buckets: those that are settled, and those that are not."""
        settled: list[ShortRecord] = []
        young: list[ShortRecord] = []
        before = now - self._dissemination_time()
        for member in anti_entropy.in_buckets(self.view.table.members, buckets, count):
            (settled if member.changed_at <= before else young).append(shorten(member.record))
        if anti_entropy.bucket_of(self.me.name, count) in buckets:
            young.append(shorten(self.me))
        return settled, young

    def _take_buckets(
        self, now: float, sender: str, body: BucketRecords, updates: tuple[Update, ...], believed: bool
    ) -> None:
        """The records of the buckets that differ: take in what is newer there; ask for what is not known here, and
        tell what is newer here."""
        if not believed or not anti_entropy.is_bucket_count(body.bucket_count):
            return
        wanted: list[str] = []
        newer: list[Update] = []
        found, listed = 0, {sender, self.me.name}
        for position, update in enumerate(updates):
            if isinstance(update, LinkReport):
                self.view.merge_links(now, update)
                continue
            listed.add(update.name)
            learned = self._take_listed(now, update, wanted, newer)
            found += learned and position < body.settled
        missing = self._missing_there(body, listed)
        before = now - self._dissemination_time()
        found += sum(member.changed_at <= before for member in missing)
        newer += [member.record for member in missing]
        self.view.counts["repaired"] += found
        self._pace.found(now, found, self._rng.random())
        self._request(now, sender, wanted, newer, body.links)

    def _take_listed(self, now: float, update: Record | ShortRecord, wanted: list[str], newer: list[Update]) -> bool:
        """One record of a bucket that differs; whether it was news here."""
        view = self.view
        member = view.table.members.get(update.name)
        record = view.expand_record(update) if isinstance(update, ShortRecord) else update
        if record is None:
            if member is not None and update.name != self.me.name:
                newer.append(member.record)  # known here at another place: each side judges the other's whole record
            if update.live:
                wanted.append(update.name)
            return update.live
        claim = view.merge(now, record, True)
        if claim is MergeResult.STALE and member is not None:
            newer.append(shorten(member.record))
        return claim is MergeResult.ACCEPTED

    def _missing_there(self, body: BucketRecords, listed: set[str]) -> list[Member]:
        """Live members in the buckets that differ which the other side did not list."""
        buckets = anti_entropy.from_bits(body.buckets)
        members = anti_entropy.in_buckets(self.view.table.members, buckets, body.bucket_count)
        return [member for member in members if member.record.live and member.record.name not in listed]

    def _request(self, now: float, to: str, wanted: list[str], newer: list[Update], links: int) -> None:
        """Ask for whole records that are not known here; tell what is newer here."""
        room = max(MIN_REPAIR_BYTES, self._budget.available(now))
        if links != self.view.links.digest:
            newer += self.view.link_reports(now, room)
        address = self.address(to)
        if address is None or not (wanted or newer):
            return
        told, left = fit_updates(newer, room)
        self._budget.spend(now, room - left)
        self._exchange(to, address, RecordRequest(tuple(wanted[: room // SHORT_RECORD_BYTES])), told)

    def _answer_records(self, now: float, sender: str, body: RecordRequest) -> None:
        """Send the whole records that were asked for."""
        members = self.view.table.members
        asked = [members[name].record for name in body.names if name in members]
        if self.me.name in body.names:
            asked.append(self.me)
        told, left = fit_updates(asked, MAX_STATE_BYTES)
        self._budget.spend(now, MAX_STATE_BYTES - left)
        self._reply(sender, Records(), told)
