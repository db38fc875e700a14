"""Membership as pure text: records, frames, the detector in the simulator, and the errors that must be caught."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.cluster import Answer, Detector, Record, Send, Status
from chutepin.cluster.addresses import AddressError, parse_address
from chutepin.cluster.frames import (
    MAX_DATAGRAM_BYTES,
    MAX_STREAM_FRAME_BYTES,
    FrameError,
    StreamReader,
    cluster_id,
    decode,
    encode,
    stream_frame,
)
from chutepin.cluster.gossip import UpdateQueue, repeats
from chutepin.cluster.incarnation import Incarnations
from chutepin.cluster.member_table import MemberTable, ReplayWindow
from chutepin.cluster.messages import (
    Ack,
    BucketDigests,
    BucketRecords,
    Gossip,
    NameTaken,
    Packet,
    Ping,
    PingReq,
    ProbeResult,
    RecordRequest,
    Records,
    StaleProcess,
    Sync,
)
from chutepin.cluster.probe_state import suspicion_timeout
from chutepin.cluster.records import BadLink, LinkReport, MergeResult, ShortRecord, compare_records
from chutepin.config import Address, ConfigError, load_setup
from chutepin.config.cluster import ClusterSetup
from chutepin.store import Store
from chutepin.testbench.checks.history import History
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.schedule import Fault, Schedule, draw, load_schedule, smallest, split
from chutepin.testbench.simulators.membership import Simulator

from . import mutants
from .helper import ROOT, STEPS

NAMES = [f"n{number}" for number in range(1, 8)]
REST = [name for name in NAMES if name != "n5"]
FLEET = cluster_id("fleet")

# --- records ---

RECORDS = st.builds(
    Record,
    st.just("x"),
    st.sampled_from(["a:1", "b:1"]),
    st.just("r"),
    st.just("z"),
    st.integers(0, 3),
    st.sampled_from(Status),
    st.just("x"),
)


@STEPS
@given(RECORDS, RECORDS)
def test_of_two_records_at_most_one_holds_and_one_address_is_ordered(a: Record, b: Record) -> None:
    assert (compare_records(a, b), compare_records(b, a)) != (MergeResult.ACCEPTED, MergeResult.ACCEPTED)
    if a.address == b.address:
        newer = max(a, b, key=lambda record: (record.incarnation, record.status))
        older = a if newer is b else b
        same = (a.incarnation, a.status) == (b.incarnation, b.status)
        assert compare_records(newer, older) is (MergeResult.UNCHANGED if same else MergeResult.ACCEPTED)
    elif a.live and b.live:  # two processes of one name: the earlier holds it
        assert (compare_records(a, b) is MergeResult.ACCEPTED) == (a.incarnation < b.incarnation)


@STEPS
@given(st.lists(st.integers(0, 700), max_size=60))
def test_no_number_is_fresh_twice(numbers: list[int]) -> None:
    window, seen = ReplayWindow(), set()
    for number in numbers:
        if window.accept(number):
            assert number not in seen
            seen.add(number)
        else:
            assert number in seen or number <= max(seen) - 256


def test_the_table_is_bounded_and_forgets_the_gone_first() -> None:
    table = MemberTable(3, 100.0)
    for number, status in enumerate([Status.ALIVE, Status.DEAD, Status.LEFT]):
        assert table.put(float(number), Record(f"m{number}", "a:1", "r", "z", 1, status, "x")) is MergeResult.ACCEPTED
    digest = table.digest
    assert table.put(5.0, Record("m3", "a:1", "r", "z", 1, Status.ALIVE, "x")) is MergeResult.ACCEPTED
    assert sorted(table.members) == ["m0", "m2", "m3"] and table.digest != digest
    assert table.expired(102.5) == ["m2"] and table.expired(101.0) == []
    table.put(6.0, Record("m4", "a:1", "r", "z", 1, Status.ALIVE, "x"))
    assert (
        table.put(7.0, Record("m5", "a:1", "r", "z", 1, Status.ALIVE, "x")) is MergeResult.REJECTED
        and table.rejected == 1
    )


@STEPS
@given(st.lists(st.integers(0, 5), max_size=60), st.integers(1, 2000))
def test_an_update_is_told_a_bounded_number_of_times(order: list[int], room: int) -> None:
    queue, told = UpdateQueue(), dict.fromkeys(range(6), 0)
    for number in range(6):
        queue.add(Record(f"m{number}", "a:1", "r", "z", 1, Status.ALIVE, "x"))
    for _ in order:
        for update in queue.pick(room, 4):
            assert isinstance(update, Record)
            told[int(update.name[1:])] += 1
    assert max(told.values()) <= 4
    assert room < 500 or max(told.values()) - min(told.values()) <= 1  # the least told first


def test_times_of_suspicion_shrink_with_witnesses_and_grow_with_the_logarithm() -> None:
    for members in (3, 12, 1000):
        times = [suspicion_timeout(1.2, 6, members, others) for others in range(6)]
        assert times == sorted(times, reverse=True) and times[-1] == suspicion_timeout(1.2, 6, members, 99)
    assert suspicion_timeout(1.2, 6, 1000, 3) == pytest.approx(3 * suspicion_timeout(1.2, 6, 10, 3))
    assert repeats(1000) == 16 and repeats(9) == 4


# --- frames ---

WORDS = st.text(st.characters(codec="utf-8", categories=("L", "N")), min_size=1, max_size=64)
WHOLES = st.integers(0, 2**63 - 1)
AGES = st.integers(-1, 2**63 - 1)
ANY_RECORD = st.builds(Record, WORDS, WORDS, WORDS, WORDS, WHOLES, st.sampled_from(Status), WORDS)
LINKS = st.builds(
    LinkReport, WORDS, WHOLES, WHOLES, st.lists(st.builds(BadLink, WORDS, WORDS, WHOLES), max_size=16).map(tuple)
)
BODIES = st.one_of(
    st.builds(Ping, WHOLES, st.just("") | WORDS, WHOLES),
    st.builds(Ack, WHOLES, AGES),
    st.builds(PingReq, WHOLES, WORDS),
    st.builds(ProbeResult, WHOLES, WORDS, st.booleans(), AGES),
    st.just(Gossip()),
    st.builds(Sync, st.booleans(), st.booleans()),
    st.just(NameTaken()),
    st.builds(StaleProcess, WHOLES),
    st.builds(BucketDigests, st.binary(max_size=64), WHOLES),
    st.builds(BucketRecords, WHOLES, st.binary(max_size=64), WHOLES, WHOLES),
    st.builds(RecordRequest, st.lists(WORDS, max_size=3).map(tuple)),
    st.just(Records()),
)
ANY_SHORT = st.builds(
    ShortRecord, WORDS, WHOLES, st.sampled_from(Status), st.integers(0, 2**16 - 1), st.just("") | WORDS
)
STREAM_BODIES = (Sync, NameTaken, BucketDigests, BucketRecords, RecordRequest, Records)
PACKETS = st.builds(
    Packet,
    st.just("") | WORDS,
    ANY_RECORD | ANY_SHORT,
    WHOLES,
    WHOLES,
    st.integers(0, 2**56 - 1),
    BODIES,
    st.lists(ANY_RECORD | ANY_SHORT | LINKS, max_size=4).map(tuple),
)


@STEPS
@given(PACKETS, st.data())
def test_a_packet_survives_its_bytes_and_nothing_else_does(packet: Packet, data: st.DataObject) -> None:
    frame = encode(packet, FLEET)
    assert decode(frame, FLEET, True) == packet
    spot = data.draw(st.integers(0, len(frame) - 1))
    for spoilt in (frame[:spot], frame[:spot] + bytes([frame[spot] ^ 0x40]) + frame[spot + 1 :], frame + b"x"):
        with pytest.raises(FrameError):
            decode(spoilt, FLEET, True)
    if isinstance(packet.body, STREAM_BODIES) or len(frame) > MAX_DATAGRAM_BYTES:
        with pytest.raises(FrameError):
            decode(frame, FLEET, False)
    reader, whole = StreamReader(), stream_frame(packet, FLEET)
    assert reader.feed(whole[:spot]) is None or spot >= len(whole)
    assert reader.feed(whole[spot:]) == frame


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "garbage"),
        (b"GET / HTTP/1.1", "garbage"),
        (b"cp", "truncated"),
        (b"cp\x01" + bytes(20), "version"),
        (b"cp\x82" + bytes(20), "version"),  # compressed: over TCP only
        (b"cp\x02" + bytes(20), "cluster"),
        (b"cp\x02" + FLEET + bytes(20), "checksum"),
        (bytes(1201), "too_long"),
    ],
)
def test_what_is_no_packet_has_its_reason(data: bytes, reason: str) -> None:
    with pytest.raises(FrameError, match=reason):
        decode(data, FLEET, False)


@STEPS
@given(st.binary(max_size=300))
def test_hostile_contents_with_a_sound_checksum_are_dropped(content: bytes) -> None:
    import struct
    import zlib

    frame = b"cp\x02" + FLEET + struct.pack("!I", zlib.crc32(content)) + content
    with pytest.raises(FrameError, match=r"malformed|truncated"):
        decode(frame, FLEET, False)


def test_a_stream_says_its_length_or_is_dropped() -> None:
    with pytest.raises(FrameError, match="too_long"):
        StreamReader().feed((MAX_STREAM_FRAME_BYTES + 1).to_bytes(4) + b"x")
    with pytest.raises(FrameError, match="truncated"):
        StreamReader().feed(bytes(4))


# --- the operator's file ---

BLOCK = 'cluster { name "f"; region "r"; zone "a"; listen "127.0.0.1:7301"; %s }'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('cluster { name "f" }', "cluster.region: missing"),
        (BLOCK % 'seeds "n1"', "cluster.seeds: n1 is not of the form member=host:port"),
        (BLOCK % 'seeds "n1=elsewhere:1"', "cluster.seeds: elsewhere is not an IP address"),
        (BLOCK % 'seeds "n1=127.0.0.1:1" "n1=127.0.0.1:2"', "cluster.seeds: a member stands there twice"),
        (BLOCK % "probe-every 5", "cluster.probe-every: 5 states no unit"),
        (BLOCK % "probe-timeout (ms)400", "cluster.probe-timeout: more than half of cluster.probe-every"),
        (BLOCK % 'zone "b"', "cluster.zone: given twice"),
        (BLOCK % 'colour "red"', "cluster.colour: unknown; known are name"),
        (BLOCK.replace('"a"', '"a b"') % "", "cluster.zone: not a word"),
        (BLOCK.replace("127.0.0.1", "0.0.0.0") % "", "cluster.listen: 0.0.0.0 is no address that others could dial"),
    ],
)
def test_a_bad_block_is_one_line(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "node.kdl"
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_setup(str(path))
    assert str(error.value).startswith(f"{path}: {message}") and "\n" not in str(error.value)


# --- the detector in the simulator ---


def calm(seconds: float, *faults: Fault, members: int = 7) -> Schedule:
    return Schedule(members, seconds, faults)


SCHEDULES = {
    "crash": calm(45, Fault(10, "crash", ("n5",)), Fault(30, "restart", ("n5",))),
    "loss": calm(
        140, Fault(0, "loss", value=0.3), Fault(0, "duplicate", value=0.2), Fault(125, "loss"), Fault(125, "duplicate")
    ),
    "stop": calm(
        60,
        Fault(10, "stop", ("n5",)),
        Fault(20, "wake", ("n5",)),
        Fault(30, "stop", ("n2", "n3")),
        Fault(40, "wake", ("n2", "n3")),
    ),
    "stop all": calm(50, Fault(10, "stop", tuple(NAMES)), Fault(20, "wake", tuple(NAMES))),
    "split": calm(70, split(10, (NAMES[:4], NAMES[4:])), Fault(40, "heal")),
    "split in three": calm(70, split(10, (NAMES[:3], NAMES[3:6], NAMES[6:])), Fault(45, "heal")),
    "hears nobody": calm(80, *(Fault(10, "cut", (name, "n5")) for name in REST), Fault(60, "heal")),
    "is not heard": calm(80, Fault(10, "cut", ("n5", *REST)), Fault(60, "heal")),
    "one link": calm(
        80,
        Fault(10, "cut", ("n1", "n2")),
        Fault(30, "heal"),
        Fault(40, "cut", ("n1", "n2")),
        Fault(40, "cut", ("n2", "n1")),
        Fault(60, "heal"),
    ),
    "slow": calm(60, Fault(10, "slow", ("n4",), 0.9), Fault(40, "slow", ("n4",))),
    "clock set back": calm(
        60, Fault(10, "clock", ("n5",), -3600.0), Fault(11, "crash", ("n5",)), Fault(12, "restart", ("n5",))
    ),
    "wave of restarts": calm(
        60,
        *(
            fault
            for number, name in enumerate(REST)
            for fault in (Fault(10 + 0.7 * number, "crash", (name,)), Fault(10.5 + 0.7 * number, "restart", (name,)))
        ),
    ),
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_every_invariant_holds_under_faults(name: str) -> None:
    for seed in (1, 2, 3):
        assert not broken(Simulator(SCHEDULES[name], seed, delay=0.08, wire=seed == 1).run()), seed


@pytest.mark.parametrize("seed", range(24))
def test_every_invariant_holds_under_drawn_faults(seed: int) -> None:
    schedule = draw(seed, 4 + seed % 5, 90.0)
    assert load_schedule(schedule.as_json()) == schedule
    found = broken(Simulator(schedule, seed, wire=True).run())
    assert not found, f"seed {seed}: {found}"


def test_a_failing_schedule_shrinks_to_the_faults_that_matter() -> None:
    schedule = calm(
        70,
        Fault(2, "delay", value=0.01),
        split(10, (NAMES[:4], NAMES[4:])),
        Fault(12, "cut", ("n1", "n2")),
        Fault(40, "heal"),
    )

    def fails(schedule: Schedule) -> bool:
        found = broken(Simulator(schedule, 1, mutants.ForgetsTheDead).run())
        return any("dead" in line for line in found.get("views_agree_in_the_end", ()))

    assert [fault.what for fault in smallest(schedule, fails).faults] == ["split", "heal"]


def test_incarnations_rise_above_what_the_store_remembers(tmp_path: Path) -> None:
    with Store.open(tmp_path / "store") as store:
        first = Incarnations("n1", store).begin()
        Incarnations("n1", store).store(first + 10**9)  # the clock was that far ahead, and was set back since
        assert Incarnations("n2", store).begin() < first + 10**9
    with Store.open(tmp_path / "store") as store:
        assert Incarnations("n1", store).begin() == first + 10**9 + 1


def test_the_lab_plays_a_schedule_and_leaves_history_and_chart(tmp_path: Path) -> None:
    out = tmp_path / "out"
    asked = ("lab", "simulate", "draw", "--seed", "7", "--out", str(out), "--json")
    done = subprocess.run(
        [sys.executable, "-m", "chutepin", *asked], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert json.loads(done.stdout)["broken"] == {}
    assert load_schedule((out / "schedule.json").read_text()) == draw(7, 6, 90.0)
    assert (out / "alive.svg").stat().st_size > 1000 and (out / "history.jsonl").read_text().count("\n") > 100


def test_one_seed_gives_one_history_byte_for_byte() -> None:
    texts = {Simulator(SCHEDULES["loss"], seed).run().text() for seed in (5, 5, 6)}
    assert len(texts) == 2


def test_a_zone_stands_for_its_members_and_a_bad_schedule_says_what_is_wrong() -> None:
    text = '{"members": 5, "seconds": 9, "faults": %s}'
    schedule = load_schedule(text.replace("%s", '[{"at": 1, "what": "stop", "members": ["zone:a"]}]'))
    assert schedule.faults[0].members == ("n1", "n4")
    for faults, wrong in (
        ('[{"at": 1, "what": "burn"}]', "burn is not one of"),
        ('[{"at": 1, "what": "stop", "members": ["n9"]}]', "no such members: n9"),
    ):
        with pytest.raises(ValueError, match=wrong):
            load_schedule(text.replace("%s", faults))


CAUGHT: dict[type[Detector], tuple[str, str]] = {
    mutants.NoRefutation: ("stop", "views_agree_in_the_end"),
    mutants.IncarnationNotRaised: ("split", "views_agree_in_the_end"),
    mutants.NoHelpers: ("one link", "cut_links_are_told_and_no_others"),
    mutants.NoLocalHealth: ("stop all", "a_woken_member_suspects_nobody"),
    mutants.UnboundedRepeats: ("crash", "traffic_is_bounded"),
    mutants.NoTimeToRefute: ("loss", "no_live_member_is_declared_dead"),
    mutants.ForgetsTheDead: ("split", "views_agree_in_the_end"),
    mutants.EveryLinkIsWell: ("one link", "cut_links_are_told_and_no_others"),
    mutants.SlowToAccuse: ("crash", "every_crash_is_known"),
    mutants.TakesBackNews: ("loss", "incarnations_only_rise"),
}


@pytest.mark.parametrize("mutant", mutants.ALL)
def test_every_planted_error_is_caught(mutant: type[Detector]) -> None:
    schedule, invariant = CAUGHT[mutant]
    found: set[str] = set()
    for seed in range(1, 13):
        found |= set(broken(Simulator(SCHEDULES[schedule], seed, mutant, delay=0.08).run()))
        if invariant in found:
            return
    raise AssertionError(f"not caught, only {found}")


def states(history: History, at: float, member: str) -> dict[str, str]:
    """What a member showed at a time."""
    shown = next(shown for shown in history.shown if shown.member == member and shown.at >= at)
    return {name: state for name, state, _ in shown.states}


# Who hears whom: the table of docs/membership.md. The cuts, what others show of A (n5) after 30 s, what A shows.
TABLE = {
    "A hears nobody": ([(name, "n5") for name in REST], "dead", {"suspect", "dead"}),
    "nobody hears A": ([("n5", name) for name in REST], "dead", {"alive", "suspect", "dead"}),
    "A is cut off": ([(a, b) for name in REST for a, b in ((name, "n5"), ("n5", name))], "dead", {"suspect", "dead"}),
    "A is not heard by B": ([("n5", "n1")], "alive", {"alive"}),
    "A does not hear B": ([("n1", "n5")], "alive", {"alive"}),
    "A and B are cut": ([("n5", "n1"), ("n1", "n5")], "alive", {"alive"}),
    "A has one friend": ([(a, b) for name in REST[1:] for a, b in ((name, "n5"), ("n5", name))], "alive", {"alive"}),
}


@pytest.mark.parametrize("case", TABLE)
def test_the_table_of_who_hears_whom(case: str) -> None:
    cuts, of_a, of_others = TABLE[case]
    faults = [Fault(10.0, "cut", cut) for cut in cuts]
    for seed in (1, 2):
        history = Simulator(calm(75, *faults, Fault(60, "heal")), seed).run()
        for name in REST:
            assert states(history, 40, name)["n5"] == of_a, (case, name)
            if case == "A has one friend":
                # Where no helper may reach it, it is suspect until it is tested again, but never dead.
                looks = [shown.state("n5") for shown in history.shown if shown.member == name and 30 <= shown.at < 60]
                assert "dead" not in looks and looks.count(of_a) > 0.75 * len(looks), (case, name)
        assert set(states(history, 40, "n5").values()) - {"alive"} <= of_others, case
        assert all(states(history, 40, name)[other] == "alive" for name in REST for other in REST), case
        if of_a == "alive":
            links = next(shown for shown in history.shown if shown.at >= 40).links
            assert set(links) >= set(cuts[:16]) and set(links) <= set(cuts), case
        assert states(history, 74, "n1") == dict.fromkeys(NAMES, "alive")


def test_the_smaller_side_of_a_cut_says_that_it_is_isolated() -> None:
    history = Simulator(SCHEDULES["split"], 1).run()
    told = {(seen.member, seen.what) for seen in history.seen if seen.what in ("isolated", "in_touch")}
    assert told == {(name, what) for name in NAMES[4:] for what in ("isolated", "in_touch")}


def test_who_leaves_has_left_at_once_and_may_come_back() -> None:
    history = Simulator(calm(40, Fault(10, "leave", ("n5",)), Fault(25, "restart", ("n5",))), 1).run()
    left = {seen.member: seen.at for seen in history.seen if seen.what == "left"}
    assert set(left) == set(REST) and max(left.values()) < 10.5
    assert not [seen for seen in history.seen if seen.subject == "n5" and seen.what in ("suspect", "dead")]
    assert states(history, 39, "n1")["n5"] == "alive"


def test_a_clock_set_back_is_overruled_by_the_store_or_by_the_fleet() -> None:
    for kept in (True, False):
        history = Simulator(SCHEDULES["clock set back"], 1, kept=kept).run()
        numbers = [
            number
            for shown in history.shown
            if shown.member == "n1"
            for name, _, number in shown.states
            if name == "n5"
        ]
        assert numbers == sorted(numbers) and len(set(numbers)) > 1


def test_two_nodes_of_one_name_the_later_is_refused_until_the_name_is_free() -> None:
    simulator = Simulator(calm(30), 1)
    late = Detector(
        ClusterSetup("fleet", "r", "a", Address("10.9.9.9", 7301), (("n1", "10.0.0.1:7301"),)),
        "n5",
        1,
        15.0,
        random.Random(1),
    )  # with a clock far back: its incarnation claims to be the earlier
    simulator.run()
    holder, seed = simulator.hosts["n5"].detector, simulator.hosts["n1"].detector
    assert holder is not None and seed is not None

    def meet(now: float) -> None:
        late.tick(now)
        packets = [effect.packet for effect in late.drain_effects() if isinstance(effect, Send)]
        late.wake_at()
        for packet in packets:
            seed.receive(now, packet, True)
            for effect in seed.drain_effects():
                if isinstance(effect, Answer):
                    late.receive(now, effect.packet, True)
            seed.wake_at()

    meet(31.0)
    assert late.view.name_holder is not None and late.view.name_holder.address == "10.0.0.5:7301"
    assert seed.view.table.members["n5"].record.address == "10.0.0.5:7301"
    seed.view.merge(40.0, seed.view.table.members["n5"].record._replace(status=Status.DEAD, by="n2"))
    seed.drain_effects()
    for at in range(41, 53):
        meet(float(at))
    assert late.view.name_holder is None and late.view.joined
    assert seed.view.table.members["n5"].record.address == "10.9.9.9:7301"


def test_a_member_that_is_forgotten_in_the_middle_of_a_probe_does_no_harm() -> None:
    simulator = Simulator(calm(10.3, Fault(9.0, "cut", ("n1", *NAMES[1:]))), 1)
    simulator.run()
    detector = simulator.hosts["n1"].detector
    assert detector is not None and detector.probing.probes
    for name in list(detector.view.table.members):
        detector.view.table.remove(name)
    for step in range(100):
        detector.tick(10.3 + step / 10)
        detector.drain_effects()
        assert detector.wake_at() > 9.0
    assert not detector.probing.probes


@pytest.mark.parametrize("address", ["example.org:7301", "127.0.0.1", "127.0.0.1:x", ":7301"])
def test_a_told_address_that_is_no_number_is_not_looked_up(address: str) -> None:
    with pytest.raises(AddressError, match="is no IP address with a port"):
        parse_address(address)


def test_a_replayed_datagram_is_dropped() -> None:
    simulator = Simulator(calm(10), 1)
    kept: list[Packet] = []
    through = simulator._through
    simulator._through = lambda packet: kept.append(packet) or through(packet)  # type: ignore[method-assign, func-returns-value]
    simulator.run()
    detector = simulator.hosts["n1"].detector
    assert detector is not None
    before = detector.view.counts["drop.replayed"]
    mine = [packet for packet in kept if packet.to == "n1"][-20:]
    for packet in mine:
        detector.receive(10.0, packet)
    assert detector.view.counts["drop.replayed"] == before + len(mine)
