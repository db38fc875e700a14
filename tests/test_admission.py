"""Connection admission: rules, rates, reputation, descriptors, deadlines, the PROXY header and accepting."""

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
    ProxyHeaderParser,
    RejectionReason,
    Rules,
)
from chutepin.admission.acceptor import RETRY_DELAY_S
from chutepin.admission.addresses import Networks, address_block, format_block, pack_address
from chutepin.admission.eviction import SETTLED_S
from chutepin.admission.proxy import encode_proxy_header
from chutepin.admission.rates import RateLimiter
from chutepin.admission.reputation import Reputation
from chutepin.clock import Clock
from chutepin.config import ConfigError, parse_setup
from chutepin.counters import Counters
from chutepin.lifecycle import Lifecycle
from chutepin.logs import Log
from chutepin.reload import build_rules
from chutepin.request_metrics import RequestMetrics
from chutepin.testbench.standins.platform import eventually, free_port

from .helper import ROOT, STEPS
from .test_setup import chutepin

UNTRUSTED, NEIGHBOUR, TRUSTED = pack_address("203.0.113.7"), pack_address("203.0.113.8"), pack_address("10.0.0.5")
LISTED = Networks(["10.0.0.0/24"])


class TableDriver:
    """Drives a connection table as the listener does: an evicted connection is closed first."""

    def __init__(self, rules: Rules, limit: int) -> None:
        self.table, self.now, self.keys = ConnectionTable(rules, limit), 100.0, 0

    def connect(self, address: bytes = UNTRUSTED) -> int | RejectionReason:
        result = self.table.admit(self.now, address)
        if result.rejection is not None:
            return result.rejection
        if result.evict is not None:
            self.table.closed(result.evict)
        self.keys += 1
        self.table.opened(self.keys, self.now, address)
        return self.keys

    def request(self, key: int, answered: bool = True) -> None:
        self.table.message_received(key, self.now, ConnectionUsage.REQUESTS, True)
        if answered:
            self.table.answered(key)


# --- addresses ---


def test_address_packing_blocks_and_networks() -> None:
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
def test_events_in_any_window_stay_within_rate_and_burst(gaps: list[float], burst: int, rate: float) -> None:
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
    driver = TableDriver(
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
        key = driver.connect(pack_address(f"198.{rng.randrange(64)}.{rng.randrange(256)}.{number % 256}"))
        if isinstance(key, int):
            if number % 3 == 0:
                driver.request(key)
            driver.table.closed(key)
        driver.now += 0.001
        most = max(most, driver.table.remembered)
    assert 0 < most <= 3 * 512
    driver.now += 7200
    for _ in range(100):
        driver.table.forget(driver.now)
    table = driver.table
    assert not (table.remembered or table.entries or table.by_address or table.by_block)


def test_trust_is_earned_over_time_lost_by_malformed_data_and_ages() -> None:
    reputation = Reputation(3, 10, 100, 8)
    assert not any(reputation.record_valid(now, b"a") for now in (0.0, 1.0, 2.0, 3.0))  # not over a long enough time
    assert reputation.record_valid(11.0, b"a") and reputation.is_earned(12.0, b"a")
    assert reputation.is_earned(111.0, b"a") and not reputation.is_earned(111.1, b"a")
    reputation.record_valid(50.0, b"a")
    for number in range(100):  # a flood of candidates does not displace a trusted address
        reputation.record_valid(60.0, b"%d" % number)
    assert reputation.is_earned(61.0, b"a") and len(reputation) <= 9
    assert reputation.record_malformed(62.0, b"a") and not reputation.is_earned(62.0, b"a")
    assert not any(reputation.record_valid(now, b"a") for now in range(63, 161, 10))  # barred
    assert [now for now in range(163, 200, 5) if reputation.record_valid(now, b"a")] == [173]
    reputation.forget(1000.0, 100)
    assert not len(reputation)


# --- the rules ---


def test_block_cap_bounds_many_addresses_below_their_own_cap() -> None:
    driver = TableDriver(Rules(per_address=3, per_block=40, known=LISTED), 400)
    results = [driver.connect(pack_address(f"203.0.113.{i}")) for i in range(200) for _ in range(3)]
    assert sum(isinstance(result, int) for result in results) == 40
    assert driver.table.rejections[RejectionReason.CAP_BLOCK] == 560
    assert [isinstance(driver.connect(pack_address("198.51.100.1")), int) for _ in range(4)] == [True] * 3 + [False]
    assert driver.table.rejections[RejectionReason.CAP_ADDRESS] == 1


def test_trusted_client_reconnects_at_limit_and_untrusted_stay_out_of_reserve() -> None:
    driver = TableDriver(Rules(reserve=0.25, known=LISTED), 40)
    held = driver.connect(TRUSTED)
    flood = [driver.connect(pack_address(f"203.0.{i}.1")) for i in range(100)]
    assert sum(isinstance(key, int) for key in flood) == 30 and isinstance(held, int)
    for _ in range(3):  # while no connection of the flood is evictable, as all are recent
        for _ in range(9):
            assert isinstance(driver.connect(TRUSTED), int)
        driver.now += SETTLED_S + 0.1
        # The table is full: a connection of the flood is evicted before any of the trusted client.
        assert isinstance(driver.connect(TRUSTED), int)
        assert len(driver.table.by_address[TRUSTED]) > 10
        for key in list(driver.table.by_address[TRUSTED])[1:]:
            driver.table.closed(key)


def test_single_valid_request_per_connection_earns_no_trust() -> None:
    driver = TableDriver(Rules(earn_requests=3, earn_over=1.0), 50)
    for _ in range(200):
        key = driver.connect()
        assert isinstance(key, int)
        driver.request(key)
        driver.table.closed(key)
        driver.now += 0.1
    assert driver.table.trust_of(driver.now, UNTRUSTED) is ClientTrust.UNTRUSTED
    key = driver.connect()
    assert isinstance(key, int)
    for _ in range(13):
        driver.request(key)
        driver.now += 0.1
    assert driver.table.trust_of(driver.now, UNTRUSTED) is ClientTrust.EARNED
    driver.table.malformed(key, driver.now)
    assert driver.table.trust_of(driver.now, UNTRUSTED) is ClientTrust.UNTRUSTED


def test_share_of_new_connections_is_bounded_and_oldest_is_evicted() -> None:
    driver = TableDriver(Rules(new_share=0.2), 50)
    keys = [driver.connect() for _ in range(12)]
    assert sum(isinstance(key, int) for key in keys) == 10 and keys[-1] is RejectionReason.NEW
    assert isinstance(keys[0], int) and isinstance(keys[1], int)
    driver.request(keys[0])
    assert isinstance(driver.connect(), int)  # one connection no longer counts as new
    driver.now += SETTLED_S + 0.1
    assert isinstance(driver.connect(), int) and keys[1] not in driver.table.entries


def test_new_rules_apply_to_open_connections_without_closing_any() -> None:
    driver = TableDriver(Rules(), 50)
    for address in (UNTRUSTED, NEIGHBOUR, TRUSTED):
        for _ in range(4):
            driver.connect(address)
    driver.table.apply(Rules(per_address=2, per_block=5, known=LISTED, reserve=0.5))
    assert len(driver.table.entries) == 12 and driver.table.by_block == {address_block(UNTRUSTED, 24, 64): 8}
    assert driver.connect() is RejectionReason.CAP_ADDRESS and isinstance(driver.connect(TRUSTED), int)
    driver.table.apply(Rules())
    assert isinstance(driver.connect(), int)


class AdmissionStateMachine(RuleBasedStateMachine):
    """Random operations of trusted and untrusted clients, with invariants checked after each."""

    @initialize(reserve=st.sampled_from([0.0, 0.3]), caps=st.booleans(), share=st.sampled_from([0.3, 1.0]))
    def begin(self, reserve: float, caps: bool, share: float) -> None:
        self.admission_rules = Rules(
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
        self.driver = TableDriver(self.admission_rules, 20)
        self.addresses = [pack_address(f"203.0.{i // 3}.{i}") for i in range(9)] + [TRUSTED]
        self.busy = set[int]()

    @rule(address_index=st.integers(0, 9))
    def connect(self, address_index: int) -> None:
        table, now, address = self.driver.table, self.driver.now, self.addresses[address_index]
        before = dict(table.entries)
        result = self.driver.connect(address)
        for key in set(before) - set(table.entries):
            entry = before[key]
            assert key not in self.busy and entry.last_active < now - SETTLED_S
            assert entry.trust <= table.trust_of(now, address)
        if address == TRUSTED and len(before) < table.limit:
            assert isinstance(result, int)  # a trusted client may use the reserve
        if isinstance(result, RejectionReason):
            assert before == table.entries

    @rule(data=st.data(), answered=st.booleans(), usage=st.sampled_from(ConnectionUsage))
    def send_message(self, data: st.DataObject, answered: bool, usage: ConnectionUsage) -> None:
        if not self.driver.table.entries:
            return
        key = data.draw(st.sampled_from(sorted(self.driver.table.entries)))
        busy = usage is ConnectionUsage.REQUESTS and not answered
        (self.busy.add if busy else self.busy.discard)(key)
        self.driver.table.message_received(key, self.driver.now, None if usage is ConnectionUsage.NEW else usage, busy)

    @rule(data=st.data(), malformed=st.booleans())
    def close(self, data: st.DataObject, malformed: bool) -> None:
        if not self.driver.table.entries:
            return
        key = data.draw(st.sampled_from(sorted(self.driver.table.entries)))
        if malformed:
            self.driver.table.malformed(key, self.driver.now)
        self.driver.table.closed(key)
        self.busy.discard(key)

    @rule()
    def answer_all(self) -> None:
        for key in sorted(self.busy):
            self.driver.table.answered(key)
        self.busy.clear()

    @rule(seconds=st.sampled_from([0.1, 0.6, 6.0]))
    def wait(self, seconds: float) -> None:
        self.driver.now += seconds
        self.driver.table.forget(self.driver.now)

    @rule(caps=st.booleans())
    def reload(self, caps: bool) -> None:
        self.driver.table.apply(Rules(per_block=9 * caps, reserve=self.admission_rules.reserve, known=LISTED))

    @invariant()
    def counts_are_consistent(self) -> None:
        if not hasattr(self, "driver"):
            return
        table = self.driver.table
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


# --- descriptors and deadlines ---


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
    for key, delay in steps:
        deadlines.set(key, now + delay)
        expected[key] = now + delay
        now += delay / 7 if delay < math.inf else 0.5
        for due in deadlines.due(now):
            assert expected.pop(due) <= now
        assert all(at > now - 0.2501 for at in expected.values())
    for key in expected:
        deadlines.cancel(key)
    assert not deadlines.due(1e9) and not len(deadlines)


# --- PROXY header ---


@given(st.integers(1, 9), st.booleans(), st.binary(max_size=20))
def test_fragmented_proxy_header_yields_client_address(size: int, v6: bool, rest: bytes) -> None:
    source, target = (pack_address("2001:db8::7"), pack_address("2001:db8::1")) if v6 else (UNTRUSTED, TRUSTED)
    data, parser = encode_proxy_header(source, target, 5000, 7000) + rest, ProxyHeaderParser()
    for at in range(0, len(data), size):
        if parser.done:
            parser.rest += data[at : at + size]
        else:
            parser.feed(data[at : at + size])
    assert parser.done and parser.address == source and parser.rest == rest


VALID_HEADER = encode_proxy_header(UNTRUSTED, TRUSTED, 1, 2)


@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$4\r\nPING\r\n",
        b"PROXY TCP4 203.0.113.7 10.0.0.5 1 2\r\n",
        VALID_HEADER[:12] + b"\x11" + VALID_HEADER[13:],
        VALID_HEADER[:12] + b"\x22" + VALID_HEADER[13:],
        VALID_HEADER[:13] + b"\x12" + VALID_HEADER[14:],
        VALID_HEADER[:14] + b"\x04\x00",
        VALID_HEADER[:14] + b"\x00\x04" + VALID_HEADER[16:20],
        b"\r\n\r\n\0\r\nQUIT\r",
    ],
)
def test_malformed_proxy_header_is_an_error(data: bytes) -> None:
    with pytest.raises(ProxyError):
        ProxyHeaderParser().feed(data)


def test_local_proxy_header_has_no_address() -> None:
    parser = ProxyHeaderParser()
    parser.feed(VALID_HEADER[:12] + b"\x20\x00\x00\x00rest")
    assert parser.done and parser.address is None and parser.rest == b"rest"


# --- accepting ---


class RecordingHandler:
    """Connection handler that admits local connections, but none if only the spare descriptor is left."""

    def __init__(self) -> None:
        self.served: list[socket.socket] = []

    def decide(self, address: bytes, only_spare_left: bool) -> AcceptDecision:
        return (
            AcceptDecision.SERVE
            if not only_spare_left and address == pack_address("127.0.0.1")
            else AcceptDecision.REJECT
        )

    def serve(self, sock: socket.socket, address: bytes) -> None:
        self.served.append(sock)


def run_with_acceptor(test: Callable[[Acceptor, RecordingHandler, Counters], object]) -> None:
    async def run() -> None:
        counters, handler = Counters(), RecordingHandler()
        acceptor = Acceptor(handler, b"BYE", counters, Log(Clock()))
        await acceptor.listen("127.0.0.1", 0)
        try:
            await test(acceptor, handler, counters)  # type: ignore[misc]
        finally:
            acceptor.close()
            for sock in handler.served:
                sock.close()

    asyncio.run(run())


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(20):
        return await reader.read()


def test_listening_on_numeric_address_starts_no_thread() -> None:
    """Guards against a look-up in a thread, which twice blocked the event loop at startup on a busy machine."""

    async def run() -> int:
        before = threading.active_count()
        acceptor = Acceptor(RecordingHandler(), b"", Counters(), Log(Clock()))
        await acceptor.listen("127.0.0.1", 0)
        acceptor.close()
        return threading.active_count() - before

    assert asyncio.run(run()) == 0


def test_host_name_is_resolved() -> None:
    async def run() -> None:
        acceptor = Acceptor(RecordingHandler(), b"", Counters(), Log(Clock()))
        await acceptor.listen("localhost", 0)
        assert acceptor.port
        acceptor.close()

    asyncio.run(run())


def connect_peers(port: int) -> list[socket.socket]:
    """Open 50 connections without yielding to the event loop, so that all wait in the backlog."""
    return [socket.create_connection(("127.0.0.1", port)) for _ in range(50)]


def test_dropped_connections_hold_few_descriptors_at_a_time_and_are_all_closed() -> None:
    class DroppingHandler(RecordingHandler):
        def decide(self, address: bytes, only_spare_left: bool) -> AcceptDecision:
            held.append(acceptor._dropped + 1)
            return AcceptDecision.DROP

    held: list[int] = []
    counters = Counters()
    acceptor = Acceptor(DroppingHandler(), b"BYE", counters, Log(Clock()))

    async def run() -> None:
        await acceptor.listen("127.0.0.1", 0)
        peers = connect_peers(acceptor.port)
        await eventually(lambda: len(held) == len(peers) and not acceptor._dropped)
        acceptor.close()
        for peer in peers:
            assert peer.recv(1) == b""
            peer.close()

    asyncio.run(run())
    assert max(held) <= MAX_CLOSING and counters.counts["admission.waits"]


def test_silent_operator_connections_hold_few_descriptors_beyond_their_share() -> None:
    most, held = 4, list[int]()
    descriptors = DescriptorBudget(64, {"ops": (most, most)})

    class RecordingListener(OperatorListener):
        def serve(self, sock: socket.socket, address: bytes) -> None:
            super().serve(sock, address)
            held.append(descriptors.parts["ops"].in_use)

    async def run() -> None:
        listener = RecordingListener(
            CommandTable(Lifecycle(), RequestMetrics(())), descriptors, Counters(), Log(Clock())
        )
        port = await free_port()
        await listener.listen("127.0.0.1", port)
        peers = connect_peers(port)
        await eventually(lambda: len(held) == len(peers))
        listener.close()
        for peer in peers:
            peer.close()
        await eventually(lambda: not descriptors.parts["ops"].in_use)

    asyncio.run(run())
    assert max(held) <= most + MAX_CLOSING


def test_connections_without_descriptor_are_rejected_and_service_resumes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the spare descriptor is left: modelled by an accept that fails while the spare is open."""

    async def test(acceptor: Acceptor, handler: RecordingHandler, counters: Counters) -> None:
        original_accept, short = socket.socket.accept, [True]

        def accept(self: socket.socket) -> tuple[socket.socket, object]:
            if short[0] and acceptor._spare >= 0:
                raise OSError(errno.EMFILE, "Too many open files")
            return original_accept(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        for _ in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
            assert await read_to_end(reader) == b"BYE"
            writer.close()
        assert not handler.served and counters.counts["admission.no_descriptor"] >= 5
        short[0] = False
        reader, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        while not handler.served:
            await asyncio.sleep(0.005)
        writer.close()

    run_with_acceptor(test)


def test_accepting_pauses_without_spare_descriptor_and_resumes_when_one_is_freed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(acceptor: Acceptor, handler: RecordingHandler, counters: Counters) -> None:
        original_accept, opened, short, attempts = socket.socket.accept, os.open, [True], [0]

        def accept(self: socket.socket) -> tuple[socket.socket, object]:
            attempts[0] += 1
            if short[0]:
                raise OSError(errno.EMFILE, "Too many open files")
            return original_accept(self)

        def failing_open(path: str, flags: int) -> int:
            if short[0]:
                raise OSError(errno.EMFILE, "Too many open files")
            return opened(path, flags)

        monkeypatch.setattr(socket.socket, "accept", accept)
        monkeypatch.setattr(os, "open", failing_open)
        _, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        await asyncio.sleep(8 * RETRY_DELAY_S)
        assert counters.counts["admission.rests"] and attempts[0] < 60  # the event loop does not spin
        short[0] = False
        acceptor.descriptor_freed()
        await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        assert len(handler.served) == 1  # immediately, not after the retry delay
        writer.close()

    run_with_acceptor(test)


def test_connection_at_full_table_is_dropped_without_rejection_message(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(acceptor: Acceptor, handler: RecordingHandler, counters: Counters) -> None:
        monkeypatch.setattr(handler, "decide", lambda address, only_spare_left: AcceptDecision.DROP)
        reader, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        with contextlib.suppress(ConnectionResetError):
            assert await read_to_end(reader) == b""
        writer.close()
        assert not handler.served

    run_with_acceptor(test)


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
    async def test(acceptor: Acceptor, handler: RecordingHandler, counters: Counters) -> None:
        original_accept, times = socket.socket.accept, [3]

        def accept(self: socket.socket) -> tuple[socket.socket, object]:
            if times[0]:
                times[0] -= 1
                raise OSError(number, "made up")
            return original_accept(self)

        monkeypatch.setattr(socket.socket, "accept", accept)
        _, writer = await asyncio.open_connection("127.0.0.1", acceptor.port)
        while not handler.served:
            await asyncio.sleep(0.005)
        assert counters.counts[counter] == 3
        writer.close()

    run_with_acceptor(test)


# --- operator interface ---


def test_example_admission_block_is_valid_and_explained(tmp_path: object) -> None:
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
            explanation = json.loads(chutepin("admission", "explain", str(path), address).stdout)
            assert explanation["rank"] == rank and explanation["cap of its address"] == cap
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
def test_invalid_admission_block_is_reported_in_one_line(text: str, message: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse_setup(f"admission {{ {text} }}")
    assert str(error.value).startswith(message) and "\n" not in str(error.value)
