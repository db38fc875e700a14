"""Builds the subsystems that the operator's file configures.

A subsystem's package is imported only if the file has its block: a node without the block loads none of its modules."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .admission import DescriptorBudget
    from .config import Config, Setup
    from .counters import Counters
    from .logs import Log
    from .store import Store
    from .subsystem import Subsystem


def build_subsystems(
    config: Config, setup: Setup, descriptors: DescriptorBudget, counters: Counters, log: Log, store: Store | None
) -> list[Subsystem]:
    """Build each subsystem that has a block in `setup`, in the order in which they start.

    The replicated log needs the cluster and a store; `config.load_setup` rejects a file that lacks either."""
    if setup.cluster is None:
        return []
    from .cluster.subsystem import Cluster

    cluster = Cluster(setup.cluster, config.name, config.seed, descriptors, counters, log, store)
    if setup.consensus is None or store is None:
        return [cluster]
    from .consensus.subsystem import ConsensusSubsystem

    return [cluster, ConsensusSubsystem(setup.consensus, config.name, cluster, store, descriptors, counters, log)]
