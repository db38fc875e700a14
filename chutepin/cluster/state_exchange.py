"""State exchanges over TCP: the full state for a joining member, else only differences (anti-entropy). Sans-I/O."""

from __future__ import annotations

import math

from . import anti_entropy
from .anti_entropy import RepairSchedule
from .context import MemberContext
from .member_table import Member, digest_of
from .membership_view import MAX_STATE_BYTES, fit_updates
from .messages import BucketDigests, BucketRecords, Packet, RecordRequest, Records, Sync
from .records import LinkReport, MergeResult, Record, ShortRecord, Update, shorten
from .send_queue import SendQueue

SHORT_RECORD_BYTES = 24  # estimated size of an encoded short record
MIN_REPAIR_BYTES = 2048  # transferred by a repair even if less is left of the byte budget
DISSEMINATION_S = 2.0  # times log10 of the member count: by then nearly all members have received an update
# From this cluster size on, a seed refers joining members to others, so that sending full states does not saturate the
# few seeds.
REFERRAL_MIN_MEMBERS = 64
REFERRAL_COUNT = 8  # members in a referral


class StateExchange:
    """The join and anti-entropy exchanges of one member."""

    def __init__(self, context: MemberContext, send_queue: SendQueue, now: float) -> None:
        self._context = context
        self._send_queue = send_queue
        self.repair_schedule = RepairSchedule(now, context.settings.sync_every)

    def exchange_state(self, now: float, to: str, address: str) -> None:
        """Start a state exchange with a member: a repair, or a request for the full state if not yet joined."""
        context = self._context
        if context.view.joined:
            self.repair(now, to, address)
            return
        self.repair_schedule.begin(now, context.rng.random())
        context.view.counts["full_syncs"] += 1
        self._send_queue.request(to, address, Sync(True, False))

    def handle_sync(self, now: float, packet: Packet, body: Sync, sender_live: bool) -> None:
        """Answer a request for the full state, or process the answer to this member's own request."""
        view = self._context.view
        if body.reply_requested:
            if view.name_holder is not None:
                return
            view.joined = True
            if body.referred or view.live_count < REFERRAL_MIN_MEMBERS:
                self._send_queue.answer(packet.sender.name, Sync(False, True), view.full_state(now))
            else:
                self._refer(packet.sender.name)
        elif body.referred:
            self._follow_referral(packet)
        elif view.name_holder is not None:  # a full-state answer means that the name is free again
            view.name_holder = None
            view.start_process_incarnation(view.me.incarnation)
            self._send_queue.reset_sequence()
            view.record_event("accepted", view.me.name, by=packet.sender.name, incarnation=view.me.incarnation)
            self._complete_join(now)
        elif sender_live and not view.joined:
            self._complete_join(now)

    def _complete_join(self, now: float) -> None:
        self._context.view.joined = True
        self._send_queue.start_whole_record_period(now)

    def _refer(self, joining: str) -> None:
        """Refer a joining member to a few random members for the full state, to take that load off the seeds."""
        context = self._context
        live = [name for name in context.view.table.live() if name != joining]
        chosen = context.rng.sample(live, min(REFERRAL_COUNT, len(live)))
        records = [context.view.table.members[name].record for name in chosen]
        self._send_queue.answer(joining, Sync(False, True, referred=True), records)

    def _follow_referral(self, packet: Packet) -> None:
        """Request the full state from a member of a seed's referral.

        If that member does not answer, the next join attempt asks a seed again."""
        context = self._context
        named = [
            update
            for update in packet.updates
            if isinstance(update, Record) and update.live and update.name != context.me.name
        ]
        if named:
            chosen = context.rng.choice(named)
            address = self._send_queue.address(chosen.name) or chosen.address
            self._send_queue.request(chosen.name, address, Sync(True, False, referred=True))

    def dissemination_time(self) -> float:
        """Return the seconds after which gossip has delivered an update to nearly all members."""
        return DISSEMINATION_S * max(1.0, math.log10(self._context.view.live_count))

    def compare_digest(self, now: float, sender: str, digest: int) -> None:
        """Compare a peer's view digest with the own one; start a repair if they have differed for too long."""
        context = self._context
        if not self.repair_schedule.compare(now, context.view.digest, digest, self.dissemination_time()):
            return
        address = self._send_queue.address(sender)
        if address is not None and context.budget.available(now) > 0:
            self.repair(now, sender, address)

    def bucket_digests(self, count: int) -> bytes:
        """Return the digests of this member's view by bucket, its own record included."""
        view = self._context.view
        members = view.table.members
        live = [(name, members[name].digest) for name in view.table.live()]
        if view.me.live:
            live.append((view.me.name, digest_of(view.me)))
        return anti_entropy.bucket_digests(live, count)

    def repair(self, now: float, to: str, address: str) -> None:
        """Start an anti-entropy exchange: send digests by bucket and request the records of differing buckets."""
        context = self._context
        self.repair_schedule.begin(now, context.rng.random())
        context.view.counts["repairs"] += 1
        bucket_digests = self.bucket_digests(anti_entropy.bucket_count(context.view.live_count))
        context.budget.spend(now, len(bucket_digests))
        self._send_queue.request(to, address, BucketDigests(bucket_digests, context.view.links.digest))

    def handle_digests(self, now: float, sender: str, body: BucketDigests) -> None:
        """Answer with the records of the buckets that differ, as many as the byte budget allows."""
        context = self._context
        view = context.view
        count = anti_entropy.received_bucket_count(body.digests)
        if not count or view.name_holder is not None:
            return
        if not view.joined:  # nothing to compare yet, but the sender can provide the full state
            self._send_queue.answer(sender, Records())
            if now >= self.repair_schedule.due:
                self.exchange_state(now, sender, self._send_queue.address(sender) or "")
            return
        buckets = anti_entropy.differing_buckets(self.bucket_digests(count), body.digests)
        context.rng.shuffle(buckets)  # so that the buckets beyond the budget differ from exchange to exchange
        room = max(MIN_REPAIR_BYTES, context.budget.available(now))
        bucket_bytes = SHORT_RECORD_BYTES * max(1, view.live_count // count)
        chosen = set(buckets[: max(1, room // bucket_bytes)])
        settled, recent = self._records_in(now, chosen, count)
        updates: list[Update] = [*settled, *recent]
        context.budget.spend(now, SHORT_RECORD_BYTES * len(updates))
        if body.links != view.links.digest:
            updates += view.link_reports(now, room)
        answer = BucketRecords(count, anti_entropy.encode_bucket_set(chosen, count), len(settled), view.links.digest)
        self._send_queue.answer(sender, answer, updates)

    def _records_in(self, now: float, buckets: set[int], count: int) -> tuple[list[ShortRecord], list[ShortRecord]]:
        """Return the short records of all names in these buckets: those older than dissemination time, and the rest."""
        settled: list[ShortRecord] = []
        recent: list[ShortRecord] = []
        settled_before = now - self.dissemination_time()
        for member in anti_entropy.members_in_buckets(self._context.view.table.members, buckets, count):
            record = shorten(member.record)
            if member.changed_at <= settled_before:
                settled.append(record)
            else:
                recent.append(record)
        if anti_entropy.bucket_of(self._context.me.name, count) in buckets:
            recent.append(shorten(self._context.me))
        return settled, recent

    def handle_bucket_records(
        self, now: float, sender: str, body: BucketRecords, updates: tuple[Update, ...], sender_live: bool
    ) -> None:
        """Merge the records of differing buckets, request the unknown ones, and send back the newer local ones."""
        context = self._context
        if not sender_live or not anti_entropy.is_valid_bucket_count(body.bucket_count):
            return
        unknown_names: list[str] = []
        newer: list[Update] = []
        differences = 0
        listed_names = {sender, context.me.name}
        for position, update in enumerate(updates):
            if isinstance(update, LinkReport):
                context.view.merge_link_report(now, update)
                continue
            listed_names.add(update.name)
            accepted = self._merge_peer_record(now, update, unknown_names, newer)
            differences += accepted and position < body.settled
        missing = self._missing_at_peer(body, listed_names)
        settled_before = now - self.dissemination_time()
        differences += sum(member.changed_at <= settled_before for member in missing)
        newer += [member.record for member in missing]
        context.view.counts["differences_repaired"] += differences
        self.repair_schedule.finish(now, differences, context.rng.random())
        self._request_records(now, sender, unknown_names, newer, body.links)

    def _merge_peer_record(
        self, now: float, update: Record | ShortRecord, unknown_names: list[str], newer: list[Update]
    ) -> bool:
        """Merge one record of a differing bucket; return whether it was new to this member."""
        view = self._context.view
        member = view.table.members.get(update.name)
        record = view.expand_record(update) if isinstance(update, ShortRecord) else update
        if record is None:
            if member is not None and update.name != view.me.name:
                newer.append(member.record)  # the location differs: whole records are exchanged both ways
            if update.live:
                unknown_names.append(update.name)
            return update.live
        result = view.merge(now, record, True)
        if result is MergeResult.STALE and member is not None:
            newer.append(shorten(member.record))
        return result is MergeResult.ACCEPTED

    def _missing_at_peer(self, body: BucketRecords, listed_names: set[str]) -> list[Member]:
        """Return the live members of the differing buckets that the peer did not list."""
        buckets = anti_entropy.decode_bucket_set(body.buckets)
        members = anti_entropy.members_in_buckets(self._context.view.table.members, buckets, body.bucket_count)
        return [member for member in members if member.record.live and member.record.name not in listed_names]

    def _request_records(self, now: float, to: str, unknown_names: list[str], newer: list[Update], links: int) -> None:
        """Request the whole records of unknown names, and send the newer local records along."""
        context = self._context
        room = max(MIN_REPAIR_BYTES, context.budget.available(now))
        if links != context.view.links.digest:
            newer += context.view.link_reports(now, room)
        address = self._send_queue.address(to)
        if address is None or not (unknown_names or newer):
            return
        chosen, remaining = fit_updates(newer, room)
        context.budget.spend(now, room - remaining)
        request = RecordRequest(tuple(unknown_names[: room // SHORT_RECORD_BYTES]))
        self._send_queue.request(to, address, request, chosen)

    def handle_record_request(self, now: float, sender: str, body: RecordRequest) -> None:
        """Answer with the whole records of the requested names."""
        context = self._context
        members = context.view.table.members
        records = [members[name].record for name in body.names if name in members]
        if context.me.name in body.names:
            records.append(context.me)
        chosen, remaining = fit_updates(records, MAX_STATE_BYTES)
        context.budget.spend(now, MAX_STATE_BYTES - remaining)
        self._send_queue.answer(sender, Records(), chosen)
