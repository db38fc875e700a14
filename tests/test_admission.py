"""Connection admission: rules, rates, reputation, descriptors, deadlines, the PROXY header, accepting."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import math
import os
import random
import socket
import threading
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chutepin.admin import CommandTable, OperatorListener
from chutepin.admission import (
    MAX_CLOSING,
    AcceptDecision,
    Acceptor,
    ClientTrust,
    ConnectionTable,
    ConnectionUsage,
    Deadlines,
    DescriptorBudget,
    ProxyError,
    ProxyHead,
    RejectionReason,
    Rules,
)
from chutepin.admission.acceptor import RETRY_DELAY_S
from chutepin.admission.addresses import Networks, address_block, format_block, pack_address
from chutepin.admission.eviction import SETTLED_S
from chutepin.admission.proxy import proxy_head
from chutepin.admission.rates import RateLimiter
from chutepin.admission.reputation import Reputation
from chutepin.clock import Clock
from chutepin.config import ConfigError, parse_setup
from chutepin.counters import Counters
from chutepin.lifecycle import Lifecycle
from chutepin.logs import Log
from chutepin.node import build_rules
from chutepin.request_metrics import RequestMetrics
from chutepin.testbench.standins.platform import eventually, free_port

from .helper import ROOT, STEPS
from .test_setup import chutepin

UNTRUSTED, NEIGHBOUR, TRUSTED = pack_address("203.0.113.7"), pack_address("203.0.113.8"), pack_address("10.0.0.5")
LISTED = Networks(["10.0.0.0/24"])


class Front:
    """A table driven as the front does: an eviction is a close."""

    def __init__(self, rules: Rules, limit: int) -> None:
        self.table, self.now, self.keys = ConnectionTable(rules, limit), 100.0, 0

    def connect(self, address: bytes = UNTRUSTED) -> int | RejectionReason:
        verdict = self.table.admit(self.now, address)
        if verdict.rejection is not None:
            return verdict.rejection
        if verdict.evict is not None:
            self.table.closed(verdict.evict)
        self.keys += 1
        self.table.opened(self.keys, self.now, address)
        return self.keys

    def request(self, key: int, answered: bool = True) -> None:
        self.table.message_received(key, self.now, ConnectionUsage.REQUESTS, True)
        if answered:
            self.table.answered(key)


# --- addresses ---


def test_addresses_blocks_and_networks() -> None:
    assert pack_address("::ffff:203.0.113.7") == UNTRUSTED
    assert pack_address("fe80::1%eth0") == pack_address("fe80::1")
    assert pack_address("@x") == b""
    assert (
        address_block(UNTRUSTED, 24, 64)
        == address_block(NEIGHBOUR, 24, 64)
        != address_block(pack_address("203.0.112.7"), 24, 64)
    )
    assert (
        address_block(UNTRUSTED, 31, 64)
        != address_block(NEIGHBOUR, 31, 64)
        == address_block(pack_address("203.0.113.9"), 31, 64)
    )
    assert address_block(pack_address("2001:db8::1"), 24, 64) == address_block(pack_address("2001:db8::ffff:1"), 24, 64)
    assert address_block(pack_address("2001:db8::1"), 24, 64) != address_block(pack_address("2001:db8:0:1::1"), 24, 64)
    assert format_block(address_block(UNTRUSTED, 24, 64), 24, 64) == "203.0.113.0/24"
    assert format_block(address_block(pack_address("2001:db8::1"), 24, 64), 24, 64) == "2001:db8::/64"
    known = Networks(["10.0.0.0/24", "192.0.2.1/32", "2001:db8::/61", "0.0.0.0/1"])
    assert all(pack_address(text) in known for text in ("10.0.0.255", "192.0.2.1", "2001:db8:0:7::9", "127.0.0.1"))
    assert not any(pack_address(text) in known for text in ("192.0.2.2", "2001:db8:0:8::", "203.0.113.7"))


# --- rates and reputation ---


@given(st.lists(st.floats(0, 2), max_size=40), st.integers(1, 6), st.sampled_from([0.5, 1.0, 7.0]))
def test_no_window_has_more_events_than_rate_and_burst_allow(gaps: list[float], burst: int, rate: float) -> None:
    limit, now, taken = RateLimiter(rate, burst, 10), 0.0, list[float]()
    for gap in gaps:
        now += gap
        if limit.wait(now, b"a") <= 1e-9:
            limit.take(now, b"a")
            taken.append(now)
        else:
            later = now + limit.wait(now, b"a")
            assert limit.wait(later + 1e-6, b"a") == 0
    for i, start in enumerate(taken):
        for j in range(i, len(taken)):
            assert j - i + 1 <= burst + rate * (taken[j] - start) + 1e-6


def test_connection_churn_leaves_no_state() -> None:
    front = Front(
        Rules(
            per_address=5,
            per_block=50,
            rate_address=10,
            rate_block=100,
            reserve=0.2,
            known=LISTED,
            earn_requests=3,
            remembered=512,
        ),
        64,
    )
    rng = random.Random(1)
    most = 0
    for number in range(10_000):
        key = front.connect(pack_address(f"198.{rng.randrange(64)}.{rng.randrange(256)}.{number % 256}"))
        if isinstance(key, int):
            if number % 3 == 0:
                front.request(key)
            front.table.closed(key)
        front.now += 0.001
        most = max(most, front.table.remembered)
    assert 0 < most <= 3 * 512
    front.now += 7200
    for _ in range(100):
        front.table.forget(front.now)
    table = front.table
    assert not (table.remembered or table.entries or table.by_address or table.by_block)


def test_trust_is_earned_over_time_lost_by_malformed_data_and_ages() -> None:
    reputation = Reputation(3, 10, 100, 8)
    assert not any(reputation.record_valid(now, b"a") for now in (0.0, 1.0, 2.0, 3.0))  # too soon
    assert reputation.record_valid(11.0, b"a") and reputation.is_earned(12.0, b"a")
    assert reputation.is_earned(111.0, b"a") and not reputation.is_earned(111.1, b"a")
    reputation.record_valid(50.0, b"a")
    for number in range(100):  # a flood of candidates takes nothing from who has it
        reputation.record_valid(60.0, b"%d" % number)
    assert reputation.is_earned(61.0, b"a") and len(reputation) <= 9
    assert reputation.record_malformed(62.0, b"a") and not reputation.is_earned(62.0, b"a")
    assert not any(reputation.record_valid(now, b"a") for now in range(63, 161, 10))  # barred
    assert [now for now in range(163, 200, 5) if reputation.record_valid(now, b"a")] == [173]
    reputation.forget(1000.0, 100)
    assert not len(reputation)


# --- the rules ---


def test_block_cap_bounds_many_addresses_below_their_own_cap() -> None:
    front = Front(Rules(per_address=3, per_block=40, known=LISTED), 400)
    results = [front.connect(pack_address(f"203.0.113.{i}")) for i in range(200) for _ in range(3)]
    assert sum(isinstance(result, int) for result in results) == 40
    assert front.table.rejections[RejectionReason.CAP_BLOCK] == 560
    assert [isinstance(front.connect(pack_address("198.51.100.1")), int) for _ in range(4)] == [True] * 3 + [False]
    assert front.table.rejections[RejectionReason.CAP_ADDRESS] == 1


def test_trusted_client_reconnects_at_limit_and_untrusted_stay_out_of_reserve() -> None:
    front = Front(Rules(reserve=0.25, known=LISTED), 40)
    held = front.connect(TRUSTED)
    flood = [front.connect(pack_address(f"203.0.{i}.1")) for i in range(100)]
    assert sum(isinstance(key, int) for key in flood) == 30 and isinstance(held, int)
    for _ in range(3):  # while none of the flood may be closed, as all came just now
        for _ in range(9):
            assert isinstance(front.connect(TRUSTED), int)
        front.now += SETTLED_S + 0.1
        # Full: now the flood's makes room, before any of the known client's.
        assert isinstance(front.connect(TRUSTED), int)
        assert len(front.table.by_address[TRUSTED]) > 10
        for key in list(front.table.by_address[TRUSTED])[1:]:
            front.table.closed(key)


def test_one_valid_request_a_connection_earns_no_trust() -> None:
    front = Front(Rules(earn_requests=3, earn_over=1.0), 50)
    for _ in range(200):
        key = front.connect()
        assert isinstance(key, int)
        front.request(key)
        front.table.closed(key)
        front.now += 0.1
    assert front.table.trust_of(front.now, UNTRUSTED) is ClientTrust.UNTRUSTED
    key = front.connect()
    assert isinstance(key, int)
    for _ in range(13):
        front.request(key)
        front.now += 0.1
    assert front.table.trust_of(front.now, UNTRUSTED) is ClientTrust.EARNED
    front.table.malformed(key, front.now)
    assert front.table.trust_of(front.now, UNTRUSTED) is ClientTrust.UNTRUSTED


def test_share_of_new_connections_is_bounded_and_oldest_is_evicted() -> None:
    front = Front(Rules(new_share=0.2), 50)
    keys = [front.connect() for _ in range(12)]
    assert sum(isinstance(key, int) for key in keys) == 10 and keys[-1] is RejectionReason.NEW
    assert isinstance(keys[0], int) and isinstance(keys[1], int)
    front.request(keys[0])
    assert isinstance(front.connect(), int)  # one of them is new no more
    front.now += SETTLED_S + 0.1
    assert isinstance(front.connect(), int) and keys[1] not in front.table.entries


def test_new_rules_apply_to_open_connections_without_closing_any() -> None:
    front = Front(Rules(), 50)
    for address in (UNTRUSTED, NEIGHBOUR, TRUSTED):
        for _ in range(4):
            front.connect(address)
    front.table.apply(Rules(per_address=2, per_block=5, known=LISTED, reserve=0.5))
    assert len(front.table.entries) == 12 and front.table.by_block == {address_block(UNTRUSTED, 24, 64): 8}
    assert front.connect() is RejectionReason.CAP_ADDRESS and isinstance(front.connect(TRUSTED), int)
    front.table.apply(Rules())
    assert isinstance(front.connect(), int)


class AdmissionStateMachine(RuleBasedStateMachine):
    """Connections of everybody doing everything: what must hold whatever comes."""

    @initialize(reserve=st.sampled_from([0.0, 0.3]), caps=st.booleans(), share=st.sampled_from([0.3, 1.0]))
    def begin(self, reserve: float, caps: bool, share: float) -> None:
        self.chosen = Rules(
            per_address=4 * caps,
            per_block=9 * caps,
            rate_address=3.0 * caps,
            new_share=share,
            reserve=reserve,
            known=LISTED,
            earn_requests=4,
            earn_over=1.0,
            earned_age=5.0,
            remembered=16,
        )
        self.front = Front(self.chosen, 20)
        self.addresses = [pack_address(f"203.0.{i // 3}.{i}") for i in range(9)] + [TRUSTED]
        self.busy = set[int]()

    @rule(who=st.integers(0, 9))
    def connect(self, who: int) -> None:
        table, now, address = self.front.table, self.front.now, self.addresses[who]
        before = dict(table.entries)
        result = self.front.connect(address)
        for key in set(before) - set(table.entries):
            entry = before[key]
            assert key not in self.busy and entry.last_active < now - SETTLED_S
            assert entry.trust <= table.trust_of(now, address)
        if address == TRUSTED and len(before) < table.limit:
            assert isinstance(result, int)  # the reserve is open to it
        if isinstance(result, RejectionReason):
            assert before == table.entries

    @rule(data=st.data(), answered=st.booleans(), use=st.sampled_from(ConnectionUsage))
    def speak(self, data: st.DataObject, answered: bool, use: ConnectionUsage) -> None:
        if not self.front.table.entries:
            return
        key = data.draw(st.sampled_from(sorted(self.front.table.entries)))
        busy = use is ConnectionUsage.REQUESTS and not answered
        (self.busy.add if busy else self.busy.discard)(key)
        self.front.table.message_received(key, self.front.now, None if use is ConnectionUsage.NEW else use, busy)

    @rule(data=st.data(), malformed=st.booleans())
    def close(self, data: st.DataObject, malformed: bool) -> None:
        if not self.front.table.entries:
            return
        key = data.draw(st.sampled_from(sorted(self.front.table.entries)))
        if malformed:
            self.front.table.malformed(key, self.front.now)
        self.front.table.closed(key)
        self.busy.discard(key)

    @rule()
    def answer_all(self) -> None:
        for key in sorted(self.busy):
            self.front.table.answered(key)
        self.busy.clear()

    @rule(seconds=st.sampled_from([0.1, 0.6, 6.0]))
    def wait(self, seconds: float) -> None:
        self.front.now += seconds
        self.front.table.forget(self.front.now)

    @rule(caps=st.booleans())
    def reload(self, caps: bool) -> None:
        self.front.table.apply(Rules(per_block=9 * caps, reserve=self.chosen.reserve, known=LISTED))

    @invariant()
    def counts_are_right(self) -> None:
        if not hasattr(self, "front"):
            return
        table = self.front.table
        untrusted = [entry for entry in table.entries.values() if entry.trust is ClientTrust.UNTRUSTED]
        assert len(table.entries) <= table.limit
        assert table.untrusted_count == len(untrusted)
        assert table.new_count == sum(entry.usage is ConnectionUsage.NEW for entry in untrusted)
        assert sum(table.by_block.values()) == len(untrusted)
        assert sum(map(len, table.by_address.values())) == len(table.entries)
        assert table.eviction_queues.keys() == set(table.entries) - self.busy
        assert table.remembered <= 5 * 16


AdmissionStateMachine.TestCase.settings = STEPS
TestAdmission = AdmissionStateMachine.TestCase


# --- the descriptors and deadlines ---


@given(
    st.lists(st.tuples(st.sampled_from(["front", "records", "executor"]), st.booleans()), max_size=120),
    st.integers(0, 30),
)
def test_no_part_acquires_descriptors_reserved_for_another(steps: list[tuple[str, bool]], other: int) -> None:
    descriptors = DescriptorBudget(64, {"front": (0, 32), "records": (6, 20), "executor": (2, 2)}, other)
    for name, take in steps:
        part = descriptors.parts[name]
        if not take:
            if part.in_use:
                descriptors.release(name)
            continue
        wanted = part.in_use < part.reserved and other + descriptors.in_use < 64 - 4 - 8
        assert descriptors.acquire(name) or not wanted
        assert descriptors.in_use + other <= 60 and part.in_use <= part.maximum
        for key, least in (("records", 6), ("executor", 2)):
            assert descriptors.available(key) >= min(
                least - descriptors.parts[key].in_use, 60 - other - descriptors.in_use
            )
    assert descriptors.reconcile(other + descriptors.in_use + 5) == 0 and descriptors.unattributed == other + 5
    assert descriptors.reconcile(0) == descriptors.in_use


@given(st.lists(st.tuples(st.integers(0, 5), st.floats(0, 30) | st.just(math.inf)), max_size=60))
def test_deadline_is_due_once_in_time_and_never_early(steps: list[tuple[int, float]]) -> None:
    deadlines, expected, now = Deadlines(), dict[int, float](), 0.0
    for key, ahead in steps:
        deadlines.set(key, now + ahead)
        expected[key] = now + ahead
        now += ahead / 7 if ahead < math.inf else 0.5
        for due in deadlines.due(now):
            assert expected.pop(due) <= now
        assert all(at > now - 0.2501 for at in expected.values())
    for key in expected:
        deadlines.cancel(key)
    assert not deadlines.due(1e9) and not len(deadlines)


# --- the PROXY head ---


@given(st.integers(1, 9), st.booleans(), st.binary(max_size=20))
def test_fragmented_proxy_header_yields_client_address(size: int, v6: bool, rest: bytes) -> None:
    source, target = (pack_address("2001:db8::7"), pack_address("2001:db8::1")) if v6 else (UNTRUSTED, TRUSTED)
    data, head = proxy_head(source, target, 5000, 7000) + rest, ProxyHead()
    for at in range(0, len(data), size):
        if head.done:
            head.rest += data[at : at + size]
        else:
            head.feed(data[at : at + size])
    assert head.done and head.address == source and head.rest == rest


GOOD = proxy_head(UNTRUSTED, TRUSTED, 1, 2)


@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$4\r\nPING\r\n",
        b"PROXY TCP4 203.0.113.7 10.0.0.5 1 2\r\n",
        GOOD[:12] + b"\x11" + GOOD[13:],
        GOOD[:12] + b"\x22" + GOOD[13:],
        GOOD[:13] + b"\x12" + GOOD[14:],
        GOOD[:14] + b"\x04\x00",
        GOOD[:14] + b"\x00\x04" + GOOD[16:20],
        b"\r\n\r\n\0\r\nQUIT\r",
    ],
)
def test_malformed_proxy_header_is_an_error(data: bytes) -> None:
    with pytest.raises(ProxyError):
        ProxyHead().feed(data)


def test_proxy_header_of_the_relay_itself_has_no_address() -> None:
    head = ProxyHead()
    head.feed(GOOD[:12] + b"\x20\x00\x00\x00rest")
    assert head.done and head.address is None and head.rest == b"rest"


# --- accepting ---


class Gate:
    """Admits everybody, or only short of descriptors nobody."""

    def __init__(self) -> None:
        self.served: list[socket.socket] = []

    def decide(self, address: bytes, short: bool) -> AcceptDecision:
        return AcceptDecision.SERVE if not short and address == pack_address("127.0.0.1") else AcceptDecision.REJECT

    def serve(self, sock: socket.socket, address: bytes) -> None:
        self.served.append(sock)


def accepting(test: Callable[[Acceptor, Gate, Counters], object]) -> None:
    async def run() -> None:
        counters, gate = Counters(), Gate()
        acceptor = Acceptor(gate, b"BYE", counters, Log(Clock()))
        await acceptor.listen("127.0.0.1", 0)
        try:
            await test(acceptor, gate, counters)  # type: ignore[misc]
        finally:
            acceptor.close()
            for sock in gate.served:
                sock.close()

    asyncio.run(run())


async def heard(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(20):
        return await reader.read()


def test_listening_at_a_numeric_address_starts_no_thread() -> None:
    """At two starts on a busy machine the loop was seen to stand still while a second thread ran: the look-up."""

    async def run() -> int:
        before = threading.active_count()
        acceptor = Acceptor(Gate(), b"", Counters(), Log(Clock()))
        await acceptor.listen("127.0.0.1", 0)
        acceptor.close()
        return threading.active_count() - before

    assert asyncio.run(run()) == 0


def test_host_name_is_resolved() -> None:
    async def run() -> None:
        acceptor = Acceptor(Gate(), b"", Counters(), Log(Clock()))
        await acceptor.listen("localhost", 0)
        assert acceptor.port
        acceptor.close()

    asyncio.run(run())


def crowd(port: int) -> list[socket.socket]:
    """Peers that have connected while the loop had no turn: all wait to be accepted at once."""
    return [socket.create_connection(("127.0.0.1", port)) for _ in range(50)]


def test_dropped_connections_hold_few_descriptors_at_a_time_and_are_all_closed() -> None:
    class Dropping(Gate):
        def decide(self, address: bytes, short: bool) -> AcceptDecision:
            held.append(acceptor._dropped + 1)
            return AcceptDecision.DROP

    held: list[int] = []
    counters = Counters()
    acceptor = Acceptor(Dropping(), b"BYE", counters, Log(Clock()))

    async def run() -> None:
        await acceptor.listen("127.0.0.1", 0)
        peers = crowd(acceptor.port)
        await eventually(lambda: len(held) == len(peers) and not acceptor._dropped)
        acceptor.close()
        for peer in peers:
            assert peer.recv(1) == b""
            peer.close()

    asyncio.run(run())
    assert max(held) <= MAX_CLOSING and counters.counts["admission.waits"]


def test_silent_operators_callers_hold_few_descriptors_beyond_their_share() -> None:
    most, held = 4, list[int]()
    descriptors = DescriptorBudget(64, {"ops": (most, most)})

    class Watched(OperatorListener):
        def serve(self, sock: socket.socket, address: bytes) -> None:
            super().serve(sock, address)
            held.append(descriptors.parts["ops"].in_use)

    async def run() -> None:
        listener = Watched(CommandTable(Lifecycle(), RequestMetrics(())), descriptors, Counters(), Log(Clock()))
        port = await free_port()
        await listener.listen("127.0.0.1", port)
        peers = crowd(port)
        await eventually(lambda: len(held) == len(peers))
        listener.close()
        for peer in peers:
            peer.close()
        await eventually(lambda: not descriptors.parts["ops"].in_use)

    asyncio.run(run())
    assert max(held) <= most + MAX_CLOSING


def test_connections_without_descriptor_hear_farewell_and_service_resumes(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process has none left but the spare one: modelled by an accept that fails while the spare is held."""

    async def test(acceptor: Acceptor, gate: Gate, counters: Counters) -> None:
        whole, short = socket.socket.accept, [True]

        def accept(self: socket.socket) -> tuple[socket.socket, object]:
            if short[0] and acceptor._spare >= 0:
                raise OSError(errno.EMFILE, "Too many open files")
            return whole(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        for _ in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
            assert await heard(reader) == b"BYE"
            writer.close()
        assert not gate.served and counters.counts["admission.no_descriptor"] >= 5
        short[0] = False
        reader, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        while not gate.served:
            await asyncio.sleep(0.005)
        writer.close()

    accepting(test)


def test_accepting_pauses_without_spare_descriptor_and_resumes_when_one_is_freed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(acceptor: Acceptor, gate: Gate, counters: Counters) -> None:
        whole, opened, short, tries = socket.socket.accept, os.open, [True], [0]

        def accept(self: socket.socket) -> tuple[socket.socket, object]:
            tries[0] += 1
            if short[0]:
                raise OSError(errno.EMFILE, "Too many open files")
            return whole(self)

        def no_open(path: str, flags: int) -> int:
            if short[0]:
                raise OSError(errno.EMFILE, "Too many open files")
            return opened(path, flags)

        monkeypatch.setattr(socket.socket, "accept", accept)
        monkeypatch.setattr(os, "open", no_open)
        _, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        await asyncio.sleep(8 * RETRY_DELAY_S)
        assert counters.counts["admission.rests"] and tries[0] < 60  # no spinning
        short[0] = False
        acceptor.descriptor_freed()
        await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        assert len(gate.served) == 1  # at once, not after the rest
        writer.close()

    accepting(test)


def test_connection_at_full_table_is_dropped_without_farewell(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(acceptor: Acceptor, gate: Gate, counters: Counters) -> None:
        monkeypatch.setattr(gate, "decide", lambda address, short: AcceptDecision.DROP)
        reader, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        with contextlib.suppress(ConnectionResetError):
            assert await heard(reader) == b""
        writer.close()
        assert not gate.served

    accepting(test)


@pytest.mark.parametrize(
    ("number", "counter"),
    [
        (errno.ECONNABORTED, "admission.aborted"),
        (errno.ENOBUFS, "admission.no_memory"),
        (errno.ENOMEM, "admission.no_memory"),
    ],
)
def test_other_accept_error_affects_only_its_connection(
    number: int, counter: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(acceptor: Acceptor, gate: Gate, counters: Counters) -> None:
        whole, times = socket.socket.accept, [3]

        def accept(self: socket.socket) -> tuple[socket.socket, object]:
            if times[0]:
                times[0] -= 1
                raise OSError(number, "made up")
            return whole(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        _, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        while not gate.served:
            await asyncio.sleep(0.005)
        assert counters.counts[counter] == 3
        writer.close()

    accepting(test)


# --- the operator's side ---


def test_example_block_is_valid_and_explained(tmp_path: object) -> None:
    text = (ROOT / "deploy" / "node.kdl").read_text().replace("/-admission", "admission")
    rules = build_rules(parse_setup(text).admission)
    assert rules.reserve == 0.25 and rules.rate_address == 10.0 and rules.earned_age == 3600
    path = ROOT / ".pytest_cache" / f"explain-{os.getpid()}.kdl"
    path.parent.mkdir(exist_ok=True)
    path.write_text(text)
    try:
        for address, rank, cap in (
            ("10.20.3.4", "listed by the operator", "does not apply to it"),
            ("203.0.113.7", "stranger", "32 connections"),
        ):
            told = json.loads(chutepin("admission", "explain", str(path), address).stdout)
            assert told["rank"] == rank and told["cap of its address"] == cap
        bad = chutepin("admission", "explain", str(path), "depot")
        assert bad.returncode == 2 and bad.stderr == "chutepin: ADDRESS: depot is no address\n"
    finally:
        path.unlink()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("per-address 5", "admission.per-address: 5 states no unit; write (connections)5"),
        ("per-address (connections)1.5", "admission.per-address: (connections)1.5 is no whole number"),
        ("rate-address (s)5", "admission.rate-address: unknown unit s; known are per-s, per-min"),
        ("reserve (%)96", "admission.reserve: (%)96 is out of range"),
        ('known "10.0.0.1/8"', "admission.known: 10.0.0.1/8 has host bits set"),
        ('known "depot"', "admission.known: 'depot' does not appear to be"),
        ("known", "admission.known: takes one value to 1024"),
        ("reserve (%)60; new-share (%)50", "admission.new-share: with admission.reserve more than 100 %"),
    ],
)
def test_invalid_block_is_reported_in_one_line(text: str, message: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse_setup(f"admission {{ {text} }}")
    assert str(error.value).startswith(message) and "\n" not in str(error.value)
