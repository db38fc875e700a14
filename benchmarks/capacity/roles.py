"""The roles of the fleet, each with the kept results of its cost, its limits and its current mechanism.

Every number is taken from `benchmarks.fleet_size` or from the code that enforces the limit."""

from __future__ import annotations

from collections.abc import Mapping

from benchmarks.fleet_size import ASSUMPTIONS, MEGABYTE, TARGET
from chutepin.cluster.frames import MAX_STREAM_FRAME_BYTES
from chutepin.consensus.key_value import MAX_KEYS
from chutepin.consensus.replicated_state import MAX_SNAPSHOT_BYTES
from chutepin.testbench.scale.traffic import WINDOW_S

from .bounds import max_members
from .model import Aspect, Bound, Condition, Demand, Limit, Load, Role
from .slopes import Model

ORDINARY, PEAK, BAD = Condition.ORDINARY, Condition.PEAK, Condition.BAD
PEAK_RESTART_FACTOR = ASSUMPTIONS.peak_restart_factor

CONTROL_CPU = Limit(TARGET.control_cpu_ms_per_s, "ms/s", "what a node may spend on control")
CONTROL_BYTES = Limit(TARGET.control_bytes_per_s, "B/s", "what a node may send for control")
CONTROL_MEMORY = Limit(TARGET.control_memory_bytes, "B", "what a node may hold for control")
NODE_CORE = Limit(ASSUMPTIONS.request_core_ms_per_s, "ms/s", "the core of a node's event loop")
NODE_MEMORY = Limit(ASSUMPTIONS.node_memory_mb * MEGABYTE, "B", "what a node may hold")
ADDED_LATENCY = Limit(TARGET.added_p99_ms, "ms", "the operators")
CONFIG_DELAY = Limit(TARGET.config_in_force_s, "s", "a change is in force everywhere")
CONFIG_DELAY_CPU = Limit(1000 * TARGET.config_in_force_s, "ms", "a change is in force everywhere")
LOG_STATE = Limit(MAX_SNAPSHOT_BYTES, "B", "chutepin.consensus.replicated_state.MAX_SNAPSHOT_BYTES")

REQUEST_LOADS = {
    PEAK: Load(TARGET.requests_per_node_per_s),
    BAD: Load(TARGET.requests_per_node_per_s_without_a_zone),
}
CONNECTIONS = ASSUMPTIONS.connections_per_caller * TARGET.callers
CONNECTION_LOADS = {
    ORDINARY: Load(CONNECTIONS / TARGET.nodes),
    PEAK: Load(CONNECTIONS / TARGET.nodes),
    BAD: Load(CONNECTIONS / TARGET.nodes_without_a_zone),
}
KEYS_PER_RATE = ASSUMPTIONS.keyed_share * ASSUMPTIONS.key_window_s  # keys retained for a rate of one request a second
KEY_LOADS = {
    PEAK: Load(TARGET.requests_per_node_per_s * KEYS_PER_RATE),
    BAD: Load(TARGET.requests_per_node_per_s_without_a_zone * KEYS_PER_RATE),
}

REQUEST = Role(
    "a node's way of a request",
    "one event loop, one Python process a node; the limit of `chutepin/decision/` refuses what is above it",
    (
        Demand(
            Aspect.PROCESSOR,
            "CPU of the node",
            "request.cpu_ms_per_s",
            NODE_CORE,
            REQUEST_LOADS,
            "a request path that takes less CPU, or several processes on a node's cores",
        ),
        Demand(
            Aspect.DELAY,
            "added p99",
            "request.added_p99_ms",
            ADDED_LATENCY,
            REQUEST_LOADS,
            "a request path that does not queue behind one loop at the peak",
            wall_time=True,
        ),
        Demand(
            Aspect.MEMORY,
            "callers' connections",
            "connections.memory_bytes",
            NODE_MEMORY,
            CONNECTION_LOADS,
            "connections that hold less while idle",
        ),
        Demand(
            Aspect.MEMORY,
            "remembered keys",
            "keys.memory_bytes",
            NODE_MEMORY,
            KEY_LOADS,
            "remembered results on the store (`keys/` on `store/`)",
        ),
    ),
    inapplicable={Aspect.STATE: "the keys, under memory", Aspect.MESSAGES: "no messages between nodes"},
    known_gaps=(
        "requests with keys, with calls below, over AMQP, or with large bodies",
        "the ordinary day: the operators state no rate for it",
        "a rate above what one core answers: how much of it is refused",
    ),
)

MEMBER_LOADS = {ORDINARY: Load(TARGET.nodes), PEAK: Load(TARGET.nodes)}
BAD_HOUR_LOADS = {BAD: Load(TARGET.nodes)}
WINDOWS = f"windows of {WINDOW_S:g} s"
SMALLER_MEMBERSHIP = "membership by zone, or more time for what a bad hour changes at once"


def _member_costs(scenario: str, words: str, loads: Mapping[Condition, Load]) -> tuple[Demand, ...]:
    """Return the demands for bytes and CPU of a member in a scenario; `scenario` is the prefix of its series names."""
    costs = (
        (Aspect.MESSAGES, "bytes sent, mean", ("sent_datagram_bytes_per_s", "sent_stream_bytes_per_s"), CONTROL_BYTES),
        (Aspect.MESSAGES, f"bytes sent, 99 in 100 {WINDOWS}", ("sent_p99_bytes_per_s",), CONTROL_BYTES),
        (Aspect.PROCESSOR, "CPU, mean", ("cpu_ms_per_s",), CONTROL_CPU),
        (Aspect.PROCESSOR, f"CPU, 99 in 100 {WINDOWS}", ("cpu_p99_ms_per_s",), CONTROL_CPU),
    )
    return tuple(
        Demand(
            aspect,
            quantity + words,
            f"member.{scenario}{first}",
            limit,
            loads,
            SMALLER_MEMBERSHIP,
            # Datagram bytes hardly grow with the number of members, bytes of complete states grow with it. CPU is
            # fitted linearly, which gives the greater of the two estimates.
            model=Model.BETTER if aspect is Aspect.MESSAGES else Model.LINEAR,
            addends=tuple(f"member.{scenario}{other}" for other in others),
        )
        for aspect, quantity, (first, *others), limit in costs
    )


MEMBER = Role(
    "a member",
    "`cluster/`: SWIM with Lifeguard's changes; every member knows every other; repair by digests of buckets",
    (
        *_member_costs("", "", MEMBER_LOADS),
        *_member_costs("zone_lost_", ", a zone lost", BAD_HOUR_LOADS),
        *_member_costs("region_apart_", ", a region apart", BAD_HOUR_LOADS),
        *_member_costs("restart_wave_", ", a wave of restarts", BAD_HOUR_LOADS),
        Demand(
            Aspect.MEMORY,
            "the table of the others",
            "table.memory_bytes",
            CONTROL_MEMORY,
            {**MEMBER_LOADS, **BAD_HOUR_LOADS},
            SMALLER_MEMBERSHIP,
        ),
        Demand(
            Aspect.MEMORY,
            "the whole process",
            "member.memory_bytes",
            CONTROL_MEMORY,
            {**MEMBER_LOADS, **BAD_HOUR_LOADS},
            SMALLER_MEMBERSHIP,
        ),
        Demand(
            Aspect.DELAY,
            "a crash is known to all (p99)",
            "member.crash_known_p99_s",
            CONFIG_DELAY,
            MEMBER_LOADS,
            "faster spreading",
            Model.LOGARITHMIC,
        ),
        Demand(
            Aspect.DELAY,
            "a zone lost is known to all (p99)",
            "member.zone_lost_crash_known_p99_s",
            CONFIG_DELAY,
            BAD_HOUR_LOADS,
            "faster spreading",
            Model.LOGARITHMIC,
        ),
    ),
    (
        Bound(
            Aspect.STATE,
            "members' names, the dead of a day included",
            TARGET.nodes + TARGET.failures_per_day,
            Limit(max_members(), "names", "the most that the block `cluster` takes for `members`"),
            "a larger table of members, or membership by zone",
        ),
    ),
    known_gaps=(
        "bad hours one after the other, and more than one at once",
        "what an ordinary day's rate of restarts is at the peak: the same is taken",
    ),
)

PEAK_CHANGE_FACTOR = ASSUMPTIONS.peak_change_factor
OBSERVER_LOADS = {ORDINARY: Load(TARGET.nodes), PEAK: Load(TARGET.nodes)}
CHANGE_LOADS = {PEAK: Load(ASSUMPTIONS.change_bytes)}
LOG_ENTRIES = TARGET.tenants + TARGET.routes

VOTER = Role(
    "a voter and the leader of the log",
    "`consensus/`: one log, a leader among voters; one machine of names with values; observers feed each other",
    (
        Demand(
            Aspect.STATE,
            "state of the log: tenants and routes, one name each",
            "start.log_state_bytes",
            LOG_STATE,
            {condition: Load(LOG_ENTRIES) for condition in Condition},
            "state in parts: a log for each part of the tenants, snapshots by difference (`policy/`, `routes/`)",
        ),
        Demand(
            Aspect.MESSAGES,
            "bytes that the leader sends",
            "log.leader_bytes_per_s",
            CONTROL_BYTES,
            OBSERVER_LOADS,
            "a leader on a control machine, with a limit of its own",
        ),
        Demand(
            Aspect.MESSAGES,
            "bytes that the leader sends, by the size of a change",
            "changes.leader_bytes_per_s",
            CONTROL_BYTES,
            CHANGE_LOADS,
            "a leader on a control machine, with a limit of its own",
        ),
        Demand(
            Aspect.PROCESSOR,
            "CPU of the leader",
            "log.leader_cpu_ms_per_s",
            CONTROL_CPU,
            OBSERVER_LOADS,
            "a leader on a control machine, with a limit of its own",
        ),
    ),
    (
        Bound(
            Aspect.STATE,
            "names in the machine: tenants and routes",
            LOG_ENTRIES,
            Limit(MAX_KEYS, "names", "chutepin.consensus.key_value.MAX_KEYS"),
            "a machine of policies and routes on the log (`policy/`, `routes/`)",
        ),
    ),
    known_gaps=(
        "voters in several regions: all of it was measured within one place",
        "a leader that is lost while changes come at the peak",
    ),
)

OBSERVER = Role(
    "an observer, and those that feed others",
    "`consensus/observer.py`: each asks one member, which is asked by several",
    (
        Demand(
            Aspect.MESSAGES,
            "bytes sent, mean",
            "log.observer_bytes_per_s",
            CONTROL_BYTES,
            OBSERVER_LOADS,
            "longer waits for news, or fewer words for each entry",
        ),
        Demand(
            Aspect.MESSAGES,
            "bytes sent by the one that feeds most",
            "log.feeder_bytes_per_s",
            CONTROL_BYTES,
            OBSERVER_LOADS,
            "a tree with a bound on how many ask one",
        ),
        Demand(
            Aspect.MESSAGES,
            "bytes sent by the one that feeds most, by the size of a change",
            "changes.feeder_bytes_per_s",
            CONTROL_BYTES,
            CHANGE_LOADS,
            "a tree with a bound on how many ask one; changes sent to those alone that they concern",
        ),
        Demand(
            Aspect.PROCESSOR,
            "CPU, mean",
            "log.observer_cpu_ms_per_s",
            CONTROL_CPU,
            OBSERVER_LOADS,
            "longer waits for news",
        ),
        Demand(
            Aspect.DELAY,
            "an entry is applied by all (p99)",
            "log.spread_p99_s",
            CONFIG_DELAY,
            OBSERVER_LOADS,
            "a flatter tree",
        ),
    ),
    inapplicable={Aspect.STATE: "that of the log, under the voter"},
    known_gaps=("memory of an observer by the size of the log's state", "observers in several regions"),
)

# Starting nodes that one node serves, if all nodes share the work.
RESTARTS_PER_NODE_PER_S = TARGET.restarts_per_s / TARGET.nodes
ZONE_STARTS_PER_NODE_PER_S = TARGET.nodes_per_zone / TARGET.nodes_without_a_zone / TARGET.config_in_force_s


def _fetches(size: float) -> dict[Condition, Load]:
    return {
        ORDINARY: Load(size, RESTARTS_PER_NODE_PER_S),
        PEAK: Load(size, RESTARTS_PER_NODE_PER_S * PEAK_RESTART_FACTOR),
        BAD: Load(size, ZONE_STARTS_PER_NODE_PER_S),
    }


START = Role(
    "a starting node",
    "whole state of the membership over TCP from a seed; snapshot of the log from a member; settings from its own file",
    (
        Demand(
            Aspect.STATE,
            "one frame of the whole membership",
            "start.state_bytes",
            Limit(MAX_STREAM_FRAME_BYTES, "B", "chutepin.cluster.frames.MAX_STREAM_FRAME_BYTES"),
            {condition: Load(TARGET.nodes) for condition in Condition},
            "the state in several frames",
        ),
        Demand(
            Aspect.MESSAGES,
            "membership sent to those that start, by each node",
            "start.state_bytes",
            CONTROL_BYTES,
            _fetches(TARGET.nodes),
            "control machines that feed those that start",
        ),
        Demand(
            Aspect.MESSAGES,
            "state of the log sent to those that start, by each node",
            "start.log_state_bytes",
            CONTROL_BYTES,
            _fetches(LOG_ENTRIES),
            "a state kept over restarts and fetched by difference; a part of the tenants for each node",
        ),
        Demand(
            Aspect.PROCESSOR,
            "taking in the membership",
            "start.take_in_cpu_ms",
            CONFIG_DELAY_CPU,
            {condition: Load(TARGET.nodes) for condition in Condition},
            "a smaller state",
        ),
        Demand(
            Aspect.PROCESSOR,
            "taking in the state of the log",
            "start.log_take_in_cpu_ms",
            CONFIG_DELAY_CPU,
            {condition: Load(LOG_ENTRIES) for condition in Condition},
            "a state kept over restarts and fetched by difference",
        ),
    ),
    inapplicable={Aspect.DELAY: "no limit is stated; the time for a change is taken"},
    known_gaps=("a real process's start at this size, and its memory meanwhile", "a seed that many ask at once"),
)

TABLES = Role(
    "routes and tenants in memory",
    "settings in the node's own JSON file, all tenants on every node; read at the start only; no routes",
    (
        Demand(
            Aspect.MEMORY,
            "tenants",
            "tenants.memory_bytes",
            CONTROL_MEMORY,
            {condition: Load(TARGET.tenants) for condition in Condition},
            "a compact table of tenants, or tenants confined to a part of the fleet (cells)",
        ),
        Demand(
            Aspect.MEMORY,
            "classes, one for each service",
            "classes.memory_bytes",
            CONTROL_MEMORY,
            {condition: Load(TARGET.services) for condition in Condition},
            "a compact table of classes",
        ),
        Demand(
            Aspect.PROCESSOR,
            "the module's look at the backlog, over all tenants",
            "tenants.control_cpu_ms_per_s",
            NODE_CORE,
            {condition: Load(TARGET.tenants) for condition in Condition},
            "budgets that are counted when a tenant asks, not in every look for all",
        ),
        Demand(
            Aspect.PROCESSOR,
            "reading all tenants, at a start",
            "tenants.build_cpu_ms",
            CONFIG_DELAY_CPU,
            {condition: Load(TARGET.tenants) for condition in Condition},
            "settings kept in a form that needs no reading as a whole",
        ),
        Demand(
            Aspect.PROCESSOR,
            "reading all tenants again for each change, as a restart does",
            "tenants.build_cpu_ms",
            CONTROL_CPU,
            {
                ORDINARY: Load(TARGET.tenants, TARGET.config_changes_per_s),
                PEAK: Load(TARGET.tenants, TARGET.config_changes_per_s * PEAK_CHANGE_FACTOR),
            },
            "changes taken in one by one (`policy/`)",
        ),
    ),
    inapplicable={Aspect.STATE: "under memory", Aspect.DELAY: "under processor time"},
    known_gaps=("routes: the program has none", "how a change reaches a node: the file is read at the start only"),
)

CONTROL = Role(
    f"the {TARGET.control_machines} control machines",
    "none: no part of the program is placed on them",
    known_gaps=(
        f"what runs on the {TARGET.control_machines}, each one's load, and that of the others with "
        f"{TARGET.control_machines_lost} lost",
    ),
)

SCRAPES_PER_S = 1 / ASSUMPTIONS.scrape_every_s
MEMBERS_CALLS_PER_S = 1 / ASSUMPTIONS.members_call_every_s

OPERATORS = Role(
    "operators' calls and scrapes",
    "`admin/`: one line, one answer, made whole on the node's event loop",
    (
        Demand(
            Aspect.PROCESSOR,
            "`show-stat`, one row for each service",
            "operators.show_stat_cpu_ms",
            CONTROL_CPU,
            {condition: Load(TARGET.services, SCRAPES_PER_S) for condition in Condition},
            "an answer in pieces, or only what has changed",
        ),
        Demand(
            Aspect.PROCESSOR,
            "`members`",
            "operators.members_cpu_ms",
            CONTROL_CPU,
            {condition: Load(TARGET.nodes, MEMBERS_CALLS_PER_S) for condition in Condition},
            "an answer for one zone",
        ),
        Demand(
            Aspect.MESSAGES,
            "`show-stat`, bytes of answers",
            "operators.show_stat_bytes",
            CONTROL_BYTES,
            {condition: Load(TARGET.services, SCRAPES_PER_S) for condition in Condition},
            "counts of those classes alone that a node has served, or sums made by the control machines",
        ),
        Demand(
            Aspect.MESSAGES,
            "`members`, bytes of answers",
            "operators.members_bytes",
            CONTROL_BYTES,
            {condition: Load(TARGET.nodes, MEMBERS_CALLS_PER_S) for condition in Condition},
            "an answer for one zone",
        ),
        Demand(
            Aspect.DELAY,
            "what a request waits behind one `show-stat`",
            "operators.show_stat_cpu_ms",
            ADDED_LATENCY,
            {condition: Load(TARGET.services) for condition in Condition},
            "an answer made in pieces, between which requests go on",
        ),
        Demand(
            Aspect.DELAY,
            "what a request waits behind one `members`",
            "operators.members_cpu_ms",
            ADDED_LATENCY,
            {condition: Load(TARGET.nodes) for condition in Condition},
            "an answer made in pieces, between which requests go on",
        ),
    ),
    inapplicable={Aspect.STATE: "none of its own", Aspect.MEMORY: "an answer is let go when it is sent"},
    known_gaps=("one operator's view of the whole fleet: there is no call for that",),
)

ROLES = (REQUEST, MEMBER, VOTER, OBSERVER, START, TABLES, CONTROL, OPERATORS)
