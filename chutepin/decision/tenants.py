"""Quotas of tenants, and how evenly tenants are served."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .settings import Tenant

SERVED_DECAY_S = 8.0
QUOTA_BURST_S = 5.0  # of its quota, which a tenant may use in one burst
UNEVEN_TRAFFIC_FACTOR = 1.25  # traffic is spread unevenly: a server grants this multiple of its even part
MIN_SERVED = 1e-3


class TenantQuotas:
    """A token bucket for each tenant, with this server's part of its quota, and what was served of late."""

    def __init__(self, tenants: Sequence[Tenant], servers: int) -> None:
        self.tenants = tenants
        self.servers = servers
        self.served = [MIN_SERVED] * len(tenants)  # requests answered within their objective, of late
        self.total_quota = sum(tenant.quota for tenant in tenants)
        self.buckets = [tenant.quota / servers * UNEVEN_TRAFFIC_FACTOR * QUOTA_BURST_S for tenant in tenants]

    def record_start(self, index: int) -> None:
        """Take a request's token."""
        self.buckets[index] -= 1

    def record_served(self, index: int) -> None:
        """Count a request answered within its objective."""
        self.served[index] += 1

    def is_over_quota(self, index: int) -> bool:
        """Whether a tenant has used up this server's part of its quota, and more of its quota than the others did.

        The second condition protects small tenants where traffic is uneven: a busy server sees more of every tenant
        than the even part. Where all tenants exceed their quotas alike, none is over quota."""
        if index < 0 or self.buckets[index] >= 1:
            return False
        quota = self.tenants[index].quota
        return quota > 0 and self.served[index] * self.total_quota > quota * sum(self.served)

    def advance(self, elapsed: float) -> None:
        """Refill the buckets and let what was served count for less."""
        retained = math.exp(-elapsed / SERVED_DECAY_S)
        self.served = [max(MIN_SERVED, served * retained) for served in self.served]
        for index, tenant in enumerate(self.tenants):
            rate = tenant.quota / self.servers * UNEVEN_TRAFFIC_FACTOR
            burst = rate * QUOTA_BURST_S
            self.buckets[index] = max(-rate * QUOTA_BURST_S, min(burst, self.buckets[index] + rate * elapsed))
