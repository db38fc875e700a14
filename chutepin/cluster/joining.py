"""Joining through seeds, and reconnecting to dead members so that the sides of a partition merge. Sans-I/O."""

from __future__ import annotations

import math

from .context import MemberContext
from .probe_state import ProbeReason
from .probing import Probing
from .records import Status
from .send_queue import SendQueue
from .state_exchange import StateExchange

CONTACTS_PER_SECOND = 12.0  # target rate, over all members, of contacts with one seed or one dead member
SEED_CONTACT_CHANCE = 0.25  # per attempt of a joined member, in a small cluster
MAX_RECONNECT_PROBES = 8  # per attempt, when dead members outnumber live ones
REFUSED_INTERVALS = 5  # times `join-every` between attempts while another process holds the name


class Joining:
    """The schedule by which one member contacts seeds and dead members."""

    def __init__(
        self,
        context: MemberContext,
        send_queue: SendQueue,
        state_exchange: StateExchange,
        probing: Probing,
        now: float,
    ) -> None:
        settings = context.settings
        self._context = context
        self._send_queue = send_queue
        self._state_exchange = state_exchange
        self._probing = probing
        self._seeds = [seed for seed in settings.seeds if seed[0] != context.me.name]
        self.next_attempt = now
        if not self._seeds:
            context.view.joined = True  # without seeds, this is the first member of the cluster

    def next_due(self) -> float:
        """Return when the next attempt is due."""
        return self.next_attempt if self._seeds or self.dead_count() else math.inf

    def dead_count(self) -> int:
        """Return the number of dead members, which are candidates for reconnect probes."""
        return self._context.view.table.count(Status.DEAD)

    def attempt(self, now: float) -> None:
        """Contact a seed that is not live in this view, and probe some dead members."""
        context = self._context
        self.next_attempt = now + context.settings.join_every * (0.75 + context.rng.random() / 2)
        self._contact_seed(now)
        self._probe_dead(now)

    def _contact_seed(self, now: float) -> None:
        context = self._context
        view = context.view
        missing_seeds = self._seeds
        if view.joined:
            missing_seeds = [seed for seed in self._seeds if not view.table.is_live(seed[0])]
        chance = SEED_CONTACT_CHANCE * min(1.0, CONTACTS_PER_SECOND / view.live_count)
        if missing_seeds and (not view.joined or context.rng.random() < chance):
            name, address = context.rng.choice(missing_seeds)
            self._state_exchange.exchange_state(now, name, self._send_queue.seed_address(name, address))
            if view.name_holder is not None:
                self.next_attempt = now + REFUSED_INTERVALS * context.settings.join_every

    def _probe_dead(self, now: float) -> None:
        context = self._context
        view = context.view
        dead = self.dead_count()
        if context.active and dead and context.rng.random() < CONTACTS_PER_SECOND * dead / view.live_count:
            # The smaller side of a partition probes several members per attempt, so that all members of the larger
            # side soon receive the records to refute.
            count = min(MAX_RECONNECT_PROBES, dead, 1 + dead // view.live_count)
            for name in context.rng.sample(view.table.with_status(Status.DEAD), count):
                self._probing.start(now, name, ProbeReason.RECONNECT)
