"""Effect of tenant quotas on queue order and on the announced share."""

from __future__ import annotations

from dataclasses import replace

from chutepin import decision
from chutepin.decision import LoadSignal, Outcome, Tenant
from tests.decision_helper import PLAIN, ids_of, new_request, started


def test_requests_over_a_tenants_quota_do_not_lower_the_announced_share() -> None:
    tenants = (Tenant("greedy", 0.5, 0.01), Tenant("other", 0.5, 1.0))
    shares = []
    for over in (1.0, 0.0):
        policy = started(replace(PLAIN, signal=LoadSignal.WEIGHT, tenants=tenants, over_quota_weight=over))
        for at in range(100):
            policy.server.progress.last_progress_at = at / 10  # no hang
            policy.handle(at / 10, [new_request(f"r{at}-{i}", at / 10 + 4.0, tenant="greedy") for i in range(5)])
            policy.server.tenants.served[0] = 10.0  # most served requests belong to the tenant "greedy"
        shares.append(policy.server.announcement.share)
    assert shares[0] < shares[1] == 1.0


def test_requests_of_a_tenant_over_quota_run_after_those_of_others() -> None:
    tenants = (Tenant("greedy", 0.5, 0.01), Tenant("small", 0.5, 100.0))
    policy = started(replace(PLAIN, cores=1, tenants=tenants, over_quota_weight=0.1))
    assert ids_of(policy.handle(0.0, [new_request("a", tenant="greedy")]), decision.Run) == ["a"]
    policy.handle(0.0, [new_request("g", tenant="greedy"), new_request("s", tenant="small")])
    assert ids_of(policy.handle(0.3, [decision.Finished("a", Outcome.OK)]), decision.Run) == ["s"]
    assert ids_of(policy.handle(0.6, [decision.Finished("s", Outcome.OK)]), decision.Run) == ["g"]


def test_tenant_with_less_service_than_average_is_not_over_quota() -> None:
    tenants = (Tenant("big", 0.5, 1.0), Tenant("small", 0.5, 1.0))
    policy = started(replace(PLAIN, tenants=tenants))
    policy.server.tenants.buckets = [-1.0, -1.0]
    policy.server.tenants.served = [30.0, 10.0]
    policy.handle(
        0.0, [new_request("run"), new_request("run2"), new_request("b", tenant="big"), new_request("s", tenant="small")]
    )
    assert policy.server.tenants.is_over_quota(policy.server.requests.jobs["b"].tenant_index)
    assert not policy.server.tenants.is_over_quota(policy.server.requests.jobs["s"].tenant_index)
