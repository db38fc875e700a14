"""Checks of a packet's receiver and sender, before its content is processed.

They detect misdirected packets, stale processes, and conflicts between processes of the same name."""

from __future__ import annotations

from .context import MemberContext
from .member_table import Member
from .messages import NameTaken, Packet, Ping, StaleProcess, Sync
from .records import Record, ShortRecord, expand
from .send_queue import SendQueue

STALE_NOTICE_INTERVAL_S = 1.0  # between StaleProcess notices to one member


class SenderCheck:
    """The checks that drop and count packets which must not be processed, and send notices to their senders."""

    def __init__(self, context: MemberContext, send_queue: SendQueue) -> None:
        self._context = context
        self._send_queue = send_queue

    def should_process(self, packet: Packet) -> bool:
        """Return whether the packet's message is to be processed.

        A misdirected packet, one from a process of the same name and a NameTaken notice are handled here instead."""
        view = self._context.view
        if packet.to and packet.to != view.me.name:
            view.counts["drop.misdirected"] += 1
        elif packet.sender.name == view.me.name:
            self._handle_duplicate_name(packet)
        elif isinstance(packet.body, NameTaken):
            self._handle_name_taken(packet)
        elif view.name_holder is not None and not isinstance(packet.body, Sync):
            view.counts["drop.refused"] += 1
        else:
            return True
        return False

    def sender_record(self, packet: Packet) -> Record | None:
        """Return the sender's whole record; None for a short one of an unknown member or of another location."""
        if isinstance(packet.sender, Record):
            return packet.sender
        record = self._context.view.expand_record(packet.sender)
        if record is None:
            self._context.view.counts["drop.unknown"] += 1
        return record

    def is_stale_process(self, now: float, member: Member, record: Record, packet: Packet, stream: bool) -> bool:
        """Return whether a later process of the sender's name is known.

        The sender is notified, as it may be a restarted process whose clock was set back."""
        if record.address != member.record.address or packet.process_incarnation >= member.process_incarnation:
            return False
        self._context.view.counts["drop.stale_process"] += 1
        notice = StaleProcess(member.process_incarnation)
        if stream and packet.expects_answer:
            self._send_queue.answer(member.record.name, notice)
        elif isinstance(packet.body, Ping) and now >= member.stale_notice_sent_at + STALE_NOTICE_INTERVAL_S:
            member.stale_notice_sent_at = now
            self._send_queue.send(member.record.name, notice)
        return True

    def is_name_conflict(self, member: Member, record: Record, packet: Packet) -> bool:
        """Return whether a live process at another address holds the sender's name.

        Of two processes accepted on different sides of a partition, the one with the lower incarnation holds the name.
        A process that has not joined yet holds no name."""
        if not member.record.live or member.record.address == record.address:
            return False
        joined = not isinstance(packet.body, Sync) or packet.body.joined
        if joined and record.incarnation < member.record.incarnation:
            return False
        if packet.expects_answer:
            self._send_queue.answer(member.record.name, NameTaken(), [member.record])
        self._context.view.counts["drop.name_taken"] += 1
        return True

    def _handle_duplicate_name(self, packet: Packet) -> None:
        """Handle a packet whose sender has this member's name. At the same address it is an upgrade's other process."""
        me = self._context.me
        record = expand(packet.sender, me) if isinstance(packet.sender, ShortRecord) else packet.sender
        if record is not None and record.address == me.address:
            return
        self._context.view.counts["name_conflicts"] += 1
        if packet.expects_answer and self._context.active:
            self._send_queue.answer(packet.sender.name, NameTaken(), [me])

    def _handle_name_taken(self, packet: Packet) -> None:
        me = self._context.me
        holder = packet.updates[0] if packet.updates else None
        if isinstance(holder, Record) and holder.name == me.name and holder.address != me.address:
            self._context.view.reject_name(holder)
