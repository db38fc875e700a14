"""The state that all components of the failure detector share. Pure; time is an argument."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..config.cluster import ClusterSetup
from .budget import ByteBudget
from .local_health import LocalHealth
from .membership_view import MembershipView
from .records import Record


@dataclass(slots=True)
class MemberContext:
    """The shared state of one member: settings, random generator, membership view, local health and byte budget."""

    settings: ClusterSetup
    rng: random.Random
    view: MembershipView
    health: LocalHealth
    budget: ByteBudget  # of dissemination and anti-entropy
    last_active: float  # time of the last tick or packet
    leaving: bool = False  # this member has announced that it leaves
    isolated: bool = False  # fewer than half of the known members are alive

    @property
    def me(self) -> Record:
        """The record of this member."""
        return self.view.me

    @property
    def active(self) -> bool:
        """Return whether this member takes part in the protocol: it has joined, and no other process holds its name."""
        return self.view.joined and self.view.name_holder is None

    def scaled(self, timeout: float) -> float:
        """Return the time-out in seconds, scaled by the local health of this member (Lifeguard)."""
        return timeout * self.health.timeout_multiplier
