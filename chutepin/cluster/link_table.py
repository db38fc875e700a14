"""The table of bad links, each in one direction: those found by this member, and those reported by others. Pure."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from .records import MAX_LINKS, BadLink, LinkReport


@dataclass(slots=True)
class _PeerReport:
    process_incarnation: int
    version: int
    since: dict[tuple[str, str], float]  # by (source, target), on the local clock


@dataclass(slots=True)
class LinkTable:
    """Bad links by reporter, at most `MAX_LINKS` each. Own links beyond that are counted in `unreported`."""

    me: str
    process_incarnation: int
    own: dict[tuple[str, str], float] = field(default_factory=dict)
    version: int = 0
    unreported: int = 0
    digest: int = 0  # of all reports, the own one included
    _reports: dict[str, _PeerReport] = field(default_factory=dict)

    def _toggle_digest(self, reporter: str, process_incarnation: int, version: int) -> None:
        """Add a report to the digest, or remove it. Version 0 adds nothing: its reporter never had a bad link."""
        if version:
            self.digest ^= zlib.crc32(f"{reporter} {process_incarnation} {version}".encode())

    def record(self, now: float, source: str, target: str, bad: bool) -> bool:
        """Record that a link of this member is bad or good; return whether that is a change."""
        if bad == ((source, target) in self.own):
            return False
        if bad and len(self.own) >= MAX_LINKS:
            self.unreported += 1
            return False
        if bad:
            self.own[source, target] = now
        else:
            del self.own[source, target]
        self._advance_version()
        return True

    def _advance_version(self) -> None:
        self._toggle_digest(self.me, self.process_incarnation, self.version)
        self.version += 1
        self._toggle_digest(self.me, self.process_incarnation, self.version)

    def set_process_incarnation(self, process_incarnation: int) -> None:
        """Use a new process incarnation of this member in its reports."""
        self._toggle_digest(self.me, self.process_incarnation, self.version)
        self.process_incarnation = process_incarnation
        self._toggle_digest(self.me, self.process_incarnation, self.version)

    def report(self, now: float) -> LinkReport:
        """Return the report of this member's own bad links."""
        return LinkReport(
            self.me,
            self.process_incarnation,
            self.version,
            tuple(
                BadLink(source, target, max(0, int(1000 * (now - since))))
                for (source, target), since in self.own.items()
            ),
        )

    def merge(self, now: float, report: LinkReport) -> bool:
        """Merge another member's report; return whether it is newer than the known one."""
        known = self._reports.get(report.reporter)
        if report.reporter == self.me or (
            known and (report.process_incarnation, report.version) <= (known.process_incarnation, known.version)
        ):
            return False
        if known is not None:
            self._toggle_digest(report.reporter, known.process_incarnation, known.version)
        self._toggle_digest(report.reporter, report.process_incarnation, report.version)
        self._reports[report.reporter] = _PeerReport(
            report.process_incarnation,
            report.version,
            {(link.source, link.target): now - link.age / 1000 for link in report.bad},
        )
        return True

    def reports(self, now: float) -> list[LinkReport]:
        """Return the reports of all other members, for the full state."""
        return [
            LinkReport(
                name,
                report.process_incarnation,
                report.version,
                tuple(
                    BadLink(source, target, max(0, int(1000 * (now - since))))
                    for (source, target), since in report.since.items()
                ),
            )
            for name, report in self._reports.items()
        ]

    def forget(self, name: str) -> bool:
        """Remove a departed member's report and the own links with it; return whether the own report has changed."""
        if (known := self._reports.pop(name, None)) is not None:
            self._toggle_digest(name, known.process_incarnation, known.version)
        own_links = [link for link in self.own if name in link]
        for link in own_links:
            del self.own[link]
        if own_links:
            self._advance_version()
        return bool(own_links)

    def bad_links(self, live: set[str]) -> dict[tuple[str, str], float]:
        """Return the bad links between live members, each with the earliest time from which it is reported bad."""
        found: dict[tuple[str, str], float] = {}
        for since_by_link in [self.own, *(report.since for report in self._reports.values())]:
            for link, since in since_by_link.items():
                if link[0] in live and link[1] in live:
                    found[link] = min(since, found.get(link, since))
        return found
