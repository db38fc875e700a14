"""Which directed links are bad: what this member has found out itself, and what the others tell. Pure."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from .records import MAX_LINKS, BadLink, Links


@dataclass(slots=True)
class _Report:
    life: int
    version: int
    since: dict[tuple[str, str], float]  # by (source, target), on the local clock


@dataclass(slots=True)
class LinkTable:
    """Bounded: 16 links for each reporter, reporters are members. A link beyond that is counted in `unsaid`."""

    me: str
    life: int
    own: dict[tuple[str, str], float] = field(default_factory=dict)
    version: int = 0
    unsaid: int = 0
    digest: int = 0  # of what all tell, the own report included
    _told: dict[str, _Report] = field(default_factory=dict)

    def _account(self, reporter: str, life: int, version: int) -> None:
        """Put a report into the digest, or take it out. One without any link ever adds nothing."""
        if version:
            self.digest ^= zlib.crc32(f"{reporter} {life} {version}".encode())

    def find(self, now: float, source: str, target: str, bad: bool) -> bool:
        """This member has found a link bad, or good again; whether that is news."""
        if bad == ((source, target) in self.own):
            return False
        if bad and len(self.own) >= MAX_LINKS:
            self.unsaid += 1
            return False
        if bad:
            self.own[source, target] = now
        else:
            del self.own[source, target]
        self._next()
        return True

    def _next(self) -> None:
        self._account(self.me, self.life, self.version)
        self.version += 1
        self._account(self.me, self.life, self.version)

    def live_on(self, life: int) -> None:
        """This member tells in a new life."""
        self._account(self.me, self.life, self.version)
        self.life = life
        self._account(self.me, self.life, self.version)

    def report(self, now: float) -> Links:
        """What this member tells of links."""
        return Links(
            self.me,
            self.life,
            self.version,
            tuple(
                BadLink(source, target, max(0, int(1000 * (now - since))))
                for (source, target), since in self.own.items()
            ),
        )

    def hear(self, now: float, links: Links) -> bool:
        """Another member tells; whether that is newer than what was known."""
        known = self._told.get(links.reporter)
        if links.reporter == self.me or (known and (links.life, links.version) <= (known.life, known.version)):
            return False
        if known is not None:
            self._account(links.reporter, known.life, known.version)
        self._account(links.reporter, links.life, links.version)
        self._told[links.reporter] = _Report(
            links.life, links.version, {(link.source, link.target): now - link.age / 1000 for link in links.bad}
        )
        return True

    def told(self, now: float) -> list[Links]:
        """What the others told, to be told on in a whole state."""
        return [
            Links(
                name,
                report.life,
                report.version,
                tuple(
                    BadLink(source, target, max(0, int(1000 * (now - since))))
                    for (source, target), since in report.since.items()
                ),
            )
            for name, report in self._told.items()
        ]

    def forget(self, name: str) -> bool:
        """A member has gone: neither its reports nor links to it mean anything; whether an own report has changed."""
        if (known := self._told.pop(name, None)) is not None:
            self._account(name, known.life, known.version)
        mine = [link for link in self.own if name in link]
        for link in mine:
            del self.own[link]
        if mine:
            self._next()
        return bool(mine)

    def bad(self, live: set[str]) -> dict[tuple[str, str], float]:
        """All bad links between members that live, with the time since when, by whoever knew first."""
        found: dict[tuple[str, str], float] = {}
        for since_of in [self.own, *(report.since for report in self._told.values())]:
            for link, since in since_of.items():
                if link[0] in live and link[1] in live:
                    found[link] = min(since, found.get(link, since))
        return found
