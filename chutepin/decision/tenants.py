"""Quotas of tenants, and the requests recently served by tenant."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .settings import Tenant

SERVED_DECAY_S = 8.0
QUOTA_BURST_S = 5.0  # a tenant may use this many seconds of its quota in one burst
# Traffic is spread unevenly over the servers, so each server grants this multiple of an equal part of a quota.
UNEVEN_TRAFFIC_FACTOR = 1.25
MIN_SERVED = 1e-3


class TenantQuotas:
    """Token bucket with this server's part of the quota, and count of recently served requests, for each tenant."""

    def __init__(self, tenants: Sequence[Tenant], servers: int) -> None:
        self.tenants = tenants
        self.servers = servers
        self.served = [MIN_SERVED] * len(tenants)  # decayed count of requests answered within their objective
        self.total_quota = sum(tenant.quota for tenant in tenants)
        self.buckets = [tenant.quota / servers * UNEVEN_TRAFFIC_FACTOR * QUOTA_BURST_S for tenant in tenants]

    def record_start(self, index: int) -> None:
        """Take one token from a tenant's bucket for a request that starts."""
        self.buckets[index] -= 1

    def record_served(self, index: int) -> None:
        """Count a request answered within its objective."""
        self.served[index] += 1

    def is_over_quota(self, index: int) -> bool:
        """Return whether a tenant has used up this server's part of its quota, and more of its quota than the average.

        The second condition protects small tenants where traffic is uneven: a busy server receives more than an equal
        part of every tenant's requests. Where all tenants exceed their quotas equally, none of them is over quota."""
        if index < 0 or self.buckets[index] >= 1:
            return False
        quota = self.tenants[index].quota
        return quota > 0 and self.served[index] * self.total_quota > quota * sum(self.served)

    def advance(self, elapsed: float) -> None:
        """Refill the buckets and decay the counts of served requests by the elapsed time."""
        retained = math.exp(-elapsed / SERVED_DECAY_S)
        self.served = [max(MIN_SERVED, served * retained) for served in self.served]
        for index, tenant in enumerate(self.tenants):
            rate = tenant.quota / self.servers * UNEVEN_TRAFFIC_FACTOR
            burst = rate * QUOTA_BURST_S
            self.buckets[index] = max(-rate * QUOTA_BURST_S, min(burst, self.buckets[index] + rate * elapsed))
