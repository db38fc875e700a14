"""The operators' commands about membership: `members`, `links`, `changes` and `view`."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .detector import Detector
from .membership_view import MembershipEvent
from .records import Record, Status

MAX_CHANGES = 512  # most recent events kept for `changes`
# The event fields shown in the answer to `changes`, in this order.
EVENT_FIELDS = ("by", "was", "source", "target", "holder", "hears", "known", "address")


class Change(NamedTuple):
    """A membership event with its number and its time on the monotonic clock."""

    number: int
    at: float
    event: MembershipEvent


class OperatorCommands:
    """The operators' commands of one member. Each command returns its complete answer."""

    def __init__(self, cluster: str, detector: Detector) -> None:
        self._cluster = cluster
        self._detector = detector
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._change_count = 0

    def handlers(self) -> dict[str, Callable[[], str]]:
        """Return the command handlers by name."""
        return {"members": self.members, "links": self.links, "changes": self.changes, "view": self.view}

    def record(self, event: MembershipEvent) -> None:
        """Record an event for the command `changes`."""
        self._change_count += 1
        self._changes.append(Change(self._change_count, time.monotonic(), event))

    def members(self) -> str:
        """Return a line `NAME STATE INCARNATION REGION ZONE ADDRESS` for each member."""
        view = self._detector.view
        if (holder := view.name_holder) is not None:
            return f"FAILURE refused: the name {view.me.name} is held by {holder.address}\n"
        records = self._records()
        alive = sum(record.status is Status.ALIVE for record in records)
        lines = [f"{r.name} {r.status.name.lower()} {r.incarnation} {r.region} {r.zone} {r.address}" for r in records]
        return _answer(f"total {len(records)} alive {alive}", lines)

    def links(self) -> str:
        """Return a line `FROM TO SECONDS` for each bad link."""
        now = time.monotonic()
        live = {record.name for record in self._records() if record.live}
        bad = sorted(self._detector.view.links.bad_links(live).items())
        return _answer("", [f"{source} {target} {max(0.0, now - since):.1f}" for (source, target), since in bad])

    def changes(self) -> str:
        """Return a line `NUMBER AGE-ms WHAT MEMBER INCARNATION FIELD=VALUE…` for each event, the oldest first."""
        now = time.monotonic()
        return _answer("", [_format_change(now, change) for change in self._changes])

    def view(self) -> str:
        """Return the state of this member, a line per field."""
        detector = self._detector
        view = detector.view
        return _answer(
            f"cluster {self._cluster} member {view.me.name}",
            [
                f"isolated {'yes' if detector.isolated else 'no'}",
                f"joined {'yes' if view.joined else 'no'}",
                f"health {detector.health.score}",
                f"accused {view.refutation_count}",
                f"digest {view.digest:014x}",
                f"refused {view.name_holder.address if view.name_holder is not None else 'no'}",
            ],
        )

    def _records(self) -> list[Record]:
        view = self._detector.view
        return sorted([view.me, *(member.record for member in view.table.members.values())])


def _format_change(now: float, change: Change) -> str:
    event = change.event
    fields = " ".join(
        f"{name}={event.fields[name]}" for name in EVENT_FIELDS if event.fields.get(name) not in (None, "")
    )
    age_ms = 1000 * (now - change.at)
    incarnation = event.fields.get("incarnation", 0)
    return f"{change.number} {age_ms:.0f} {event.kind} {event.member} {incarnation} {fields}".rstrip()


def _answer(head: str, lines: Iterable[str]) -> str:
    return "\n".join([f"SUCCESS {head}".rstrip(), *lines, "EOT"]) + "\n"
