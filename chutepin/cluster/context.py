"""The state that all parts of the failure detector share. Pure; time is an argument."""

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
    """One member: its settings, its random numbers, what it knows, and how far it trusts itself."""

    settings: ClusterSetup
    rng: random.Random
    view: MembershipView
    health: LocalHealth
    budget: ByteBudget  # of dissemination and anti-entropy
    last_active: float  # time of the last tick or packet
    leaving: bool = False  # it has announced that it leaves
    isolated: bool = False  # it hears less than half of the members it knows

    @property
    def me(self) -> Record:
        """The member's own record."""
        return self.view.me

    @property
    def active(self) -> bool:
        """Whether it takes part: some member has accepted it, and no other process holds its name."""
        return self.view.joined and self.view.name_holder is None

    def scaled(self, timeout: float) -> float:
        """A time-out in seconds, longer the worse this member's own health is (Lifeguard)."""
        return timeout * self.health.timeout_multiplier
