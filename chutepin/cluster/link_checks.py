"""Looks at single links: does a member that only helpers can reach hear this one, and does this one hear it? Pure."""

from __future__ import annotations

import random

from ..config.cluster import ClusterSetup
from .messages import PingReq
from .probe_state import LINK_RECHECK_PINGS, MAX_LINK_CHECKS, LinkCheck
from .state_exchange import StateExchange


class LinkWatch(StateExchange):
    """One member as it watches its links."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._looks: dict[str, LinkCheck] = {}
        self._look_nonces: dict[int, str] = {}
        self._look_again: dict[str, float] = {}

    def _helpers(self, subject: str) -> list[str]:
        """Whom to ask about a member: nobody over a link that is known to be bad, as long as there are others."""
        live, bad = self.view.table.live(), self.view.links.own
        if bad:
            cut = {name for link in bad for name in link}
            others = [name for name in live if name != subject and name not in cut]
        else:
            others = [name for name in live if name != subject]
        if not others:
            others = [name for name in live if name != subject]
        return self._rng.sample(others, min(self._setup.helpers, len(others)))

    def _look(self, now: float, subject: str, pings: int) -> None:
        """Begin to look at a link, unless that is under way."""
        if subject in self._looks or len(self._looks) >= MAX_LINK_CHECKS:
            return
        self._looks[subject] = LinkCheck(subject, now, now, pings)

    def _look_on(self, now: float, look: LinkCheck) -> None:
        """One more direct ping; then the helpers are asked what the other side has heard; then it is judged."""
        if not self.view.table.is_live(look.subject) or look.asking:
            self._judge_link(now, look)
            return
        nonce = self._number_anew()
        look.nonces.append(nonce)
        self._look_nonces[nonce] = look.subject
        if look.left > 0:
            look.left -= 1
            look.next = now + self._setup.probe_timeout * self.health.timeout_multiplier
            self._ping(now, look.subject, nonce)
            return
        look.asking = True
        look.next = now + self._setup.probe_every * self.health.timeout_multiplier
        for helper in self._helpers(look.subject):
            self._send(helper, PingReq(nonce, look.subject))

    def _judge_link(self, now: float, look: LinkCheck) -> None:
        """Nothing is told without evidence: what the other side has heard, or that it was heard here."""
        del self._looks[look.subject]
        for nonce in look.nonces:
            self._look_nonces.pop(nonce, None)
        member = self.view.table.members.get(look.subject)
        if member is None or not member.record.live:
            return
        if look.direct:
            self._links(now, look.subject, True, True)
        elif look.last_heard_ms is not None:
            reaches = 0 <= look.last_heard_ms <= 1000 * (now - look.began)
            hears = member.last_heard >= look.began
            # Where the own pings do not arrive there was nothing to be heard: no evidence but for what came.
            self._links(now, look.subject, reaches, hears if reaches or hears else None)

    def _links(self, now: float, subject: str, reaches: bool, hears: bool | None) -> None:
        """What was found out about the link to a member and that from it."""
        view, me = self.view, self.me.name
        view.record_link(now, me, subject, not reaches)
        if hears is not None:
            view.record_link(now, subject, me, not hears)
        if any(subject in link for link in view.links.own):
            self._look_again[subject] = now + self._setup.link_every
        else:
            self._look_again.pop(subject, None)

    def _look_at_bad_links(self, now: float) -> None:
        """Look again at links that are known to be bad, when it is time for that."""
        for subject, at in list(self._look_again.items()):
            if not self.view.table.is_live(subject):
                del self._look_again[subject]
            elif now >= at:
                self._look_again[subject] = now + self._setup.link_every
                self._look(now, subject, LINK_RECHECK_PINGS)
