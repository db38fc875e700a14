"""Runs whose EXEC is unconfirmed when the link is lost: a keyed request runs once, and nothing stays held."""

from __future__ import annotations

import random

import pytest

from chutepin.net.executor.commands import Command, PendingCommands

from .executor_world import DEADLINE_S, STEP_S, WINDOW_S, RunState, World

KEY_GRACE_S = 6.0  # past the window, within which the record of a key is removed
SEEDS = range(300)
STEPS = 80
MAX_ATTEMPTS = 40


def finish_runs(world: World) -> None:
    """Let all runs of the executor end on a link that stays up."""
    for _ in range(20):
        world.pass_time(STEP_S)
        world.answer_calls()
        for id in world.active_runs():
            world.run_completes(id)


def assert_key_ran_once_and_nothing_is_held(world: World) -> None:
    """Retry each key within its window, end all runs, and check the guarantees."""
    world.cores_stand_still = False
    world.pass_time(2.0)
    keys = sorted(set(world.keys.values()))
    for key in keys:
        world.submit(f"retry-{key}", key)
    finish_runs(world)
    if not world.keeps_work:
        world.pass_time(DEADLINE_S)  # a lost EXEC is found out only once its request is over
        finish_runs(world)
    assert all(count == 1 for count in world.starts.values()), f"runs by key: {world.starts}"
    for id, caller in world.callers.items():
        has_left = id in world.over or not world.broker.has_open_attempts
        assert len(caller.answers) == 1 or (has_left and not caller.answers)
    for key in keys:
        assert len(world.verdicts(f"retry-{key}")) == 1
    assert not world.broker.has_open_attempts, "an attempt is open without a run"
    assert world.broker.peer_exchange.usage[0] == 0, "the decision module counts a run that has ended"
    if world.executor_detects_end:
        assert not world.active_runs(), "a run holds memory at the executor"
    world.pass_time(WINDOW_S + KEY_GRACE_S + 2.0)
    assert not world.broker.keys.records, "a key is kept past its window"
    assert world.broker.peer_exchange.usage == (0, 0.0)
    world.submit("later", "other")
    world.exchange()
    assert "later" in world.runs, "the node admits nothing more"


# The crossings of one lost EXEC. Each step of the probe can meet the end of the request and another loss of the link.
LEAVES = ["never", "before the loss", "while down", "probe written", "stop read", "wake written", "due time"]
LOSSES = ["none", "stop lost", "notice lost", "wake lost", "unknown lost"]
WAKE_ANSWERED = {True: "wake of ended run answered", False: "wake of ended run ignored"}


@pytest.mark.parametrize("answers_wake", WAKE_ANSWERED, ids=lambda answered: WAKE_ANSWERED[answered])
@pytest.mark.parametrize("node_told", ["at once", "late"], ids=lambda told: f"node told {told}")
@pytest.mark.parametrize("second_loss", LOSSES)
@pytest.mark.parametrize("leaves", LEAVES)
@pytest.mark.parametrize("is_exec_read", [True, False], ids=["exec read", "exec lost"])
def test_key_runs_once_when_end_of_request_crosses_the_probe_of_its_run(
    is_exec_read: bool, leaves: str, second_loss: str, node_told: str, answers_wake: bool
) -> None:
    """The answer `unknown` to the WAKE of a run that a probe had ended released the key, whose next attempt ran."""
    world = World(answers_wake_of_ended=answers_wake)

    def at(step: str) -> None:
        if step == leaves:
            world.caller_leaves("first")
        if step == leaves and node_told == "at once":
            world.node_learns_of_leaving("first")

    def lose(what: str) -> None:
        if what == second_loss:
            world.lose_link()
            world.connect()
            world.exchange(2)

    world.submit("first", "key")
    if is_exec_read:
        world.executor_reads()
    at("before the loss")
    world.lose_link()
    at("while down")
    world.connect()
    world.exchange(2)  # WELCOME and the METERS after it, at which the node writes the probe
    at("probe written")
    lose("stop lost")
    world.executor_reads()
    at("stop read")
    lose("notice lost")
    world.node_reads()
    at("wake written")
    lose("wake lost")
    world.executor_reads()
    lose("unknown lost")
    world.node_reads()
    if leaves == "due time":
        world.pass_time(DEADLINE_S + 0.5)
    elif leaves != "never":
        world.node_learns_of_leaving("first")
    assert_key_ran_once_and_nothing_is_held(world)


@pytest.mark.parametrize("keeps_work", [True, False], ids=["keeps work", "loses work"])
@pytest.mark.parametrize("detects_end", [True, False], ids=["balancer", "queue"])
@pytest.mark.parametrize("is_exec_read", [True, False], ids=["exec read", "exec lost"])
def test_run_in_doubt_ends_when_executor_reports_nothing(
    is_exec_read: bool, detects_end: bool, keeps_work: bool
) -> None:
    """An EXEC that was lost with its link left an attempt open as a run, and the node saw a hang without end.

    The executor cannot tell that a delivery of a queue is over: it would start the run of an EXEC that is repeated."""
    world = world_with_lost_link(is_exec_read, keeps_work=keeps_work, executor_detects_end=detects_end)
    world.connect()
    world.exchange(2)
    world.cores_stand_still = True
    world.pass_time(DEADLINE_S + 4.0)
    if not is_exec_read and not keeps_work:
        assert not world.runs
    assert_key_ran_once_and_nothing_is_held(world)


def world_with_lost_link(is_exec_read: bool = True, **options: bool) -> World:
    """Return a world whose link was lost before the EXEC of the attempt `first` was confirmed."""
    world = World(**options)
    world.submit("first", "key")
    if is_exec_read:
        world.executor_reads()
    world.lose_link()
    return world


def probe(world: World) -> None:
    """Let the node write the probe of its run on a new link."""
    world.connect()
    world.exchange(2)
    assert b"KILL first" in world.to_executor


def leave(world: World) -> None:
    """Let the caller of the attempt `first` leave, as the executor and the node learn."""
    world.caller_leaves("first")
    world.node_learns_of_leaving("first")


def test_retry_gets_the_result_of_a_run_in_doubt_whose_caller_left() -> None:
    """A probe would end the run of a request that is over."""
    world = world_with_lost_link()
    leave(world)
    world.pass_time(2.0)
    world.submit("retry", "key")
    world.run_completes("first")
    world.pass_time(STEP_S)
    assert world.verdicts("retry") == ["served"]


def test_retry_gets_the_result_of_a_resumed_run_that_has_called() -> None:
    """A call proves that the run goes on, so that the run is no longer in doubt."""
    world = world_with_lost_link()
    probe(world)
    world.exchange()
    world.run_calls("first")
    world.pass_time(STEP_S)
    world.answer_calls()
    world.pass_time(STEP_S)
    leave(world)
    world.pass_time(2.0)
    world.submit("retry", "key")
    world.run_completes("first")
    world.pass_time(STEP_S)
    assert world.verdicts("retry") == ["served"]


def test_probe_whose_caller_left_ends_the_run_without_a_wake() -> None:
    world = world_with_lost_link(answers_wake_of_ended=False)
    probe(world)
    leave(world)
    world.exchange(1)
    assert not world.broker.has_open_attempts
    assert b"WAKE" not in world.to_executor


def test_open_probe_is_not_crossed_by_the_exec_of_a_resolve() -> None:
    world = world_with_lost_link()
    probe(world)
    leave(world)
    world.hand.time += 2.0
    world.broker.tick()
    assert b"EXEC" not in world.to_executor


def test_probe_that_was_lost_with_its_link_is_written_again() -> None:
    """The METERS of the next link says nothing about a KILL that was lost with an earlier one."""
    world = world_with_lost_link()
    probe(world)
    world.lose_link()
    probe(world)
    assert b"EXEC" not in world.to_executor


def test_delivery_that_is_over_at_the_end_of_its_probe_is_not_run() -> None:
    world = world_with_lost_link(is_exec_read=False, executor_detects_end=False)
    probe(world)
    world.hand.time += DEADLINE_S + 1.0
    world.broker.tick()
    world.exchange()
    assert not world.runs
    assert_key_ran_once_and_nothing_is_held(world)


def test_stop_of_a_probe_that_is_reported_late_resumes_the_run() -> None:
    world = world_with_lost_link()
    probe(world)
    world.cores_stand_still = True
    world.exchange(1)  # no stop is reported before the METERS
    assert b"EXEC first" in world.to_executor
    world.session.meter()
    world.exchange(1)
    world.runs["first"] = RunState.PAUSED
    world.notify("EXIT", "first", "cancelled", 5)
    world.node_reads()
    assert b"WAKE first" in world.to_executor
    world.executor_reads()
    world.run_completes("first")
    world.exchange()
    assert world.verdicts("first") == ["served"]


def test_stopped_run_that_was_never_started_ends_with_the_confirmation_of_its_stop() -> None:
    world = world_with_lost_link(is_exec_read=False)
    leave(world)
    world.session.stop("first")
    world.connect()
    world.exchange(2)
    assert b"KILL first" in world.to_executor
    world.pass_time(STEP_S)
    assert not world.broker.has_open_attempts
    assert not world.runs


def test_run_that_was_ended_in_doubt_is_killed_at_its_next_call() -> None:
    """Its memory would stay in use, as the executor waits for a reply that never comes."""
    world = world_with_lost_link(keeps_work=False, executor_detects_end=False)
    world.cores_stand_still = True
    world.pass_time(DEADLINE_S + 4.0)
    assert not world.broker.has_open_attempts
    world.cores_stand_still = False
    world.run_calls("first")
    world.node_reads()
    assert b"KILL first" in world.to_executor


def test_unknown_after_a_call_releases_no_key() -> None:
    world = World()
    world.submit("first", "key")
    world.exchange()
    world.run_calls("first")
    world.notify("EXIT", "first", "unknown", 0)
    world.exchange()
    world.submit("retry", "key")
    world.exchange()
    assert world.verdicts("retry") == ["failed"]
    assert world.starts == {"key": 1}


def test_unknown_after_missed_notices_releases_no_key() -> None:
    """The executor keeps a limited number of notices; the end of a run can be among those that it dropped."""
    world = World()
    world.submit("first", "key")
    world.executor_reads()
    world.lose_link()
    world.run_completes("first")
    world.notify("LOG", "text", body=None)
    world.first_kept_notice = len(world.notices) - 1
    world.caller_leaves("first")
    world.node_learns_of_leaving("first")
    world.connect()
    world.exchange()
    assert world.counters.counts["executor.notices_missed"] == 1
    world.pass_time(2.0)
    assert not world.broker.has_open_attempts
    world.submit("second", "key")
    world.pass_time(2.0)
    assert world.verdicts("second") == ["failed"]
    assert world.starts == {"key": 1}


def test_run_whose_end_was_missed_ends_after_its_caller_has_left() -> None:
    """Its EXEC was confirmed; the attempt stayed open, and with no other run in progress the node saw a hang."""
    world = World()
    world.submit("first", "key")
    world.exchange()
    world.session.meter()
    world.exchange()
    world.lose_link()
    world.run_completes("first")
    world.notify("LOG", "text", body=None)
    world.first_kept_notice = len(world.notices) - 1
    leave(world)
    world.pass_time(4.0)
    assert not world.broker.has_open_attempts
    assert world.broker.peer_exchange.usage[0] == 0


def test_notice_before_welcome_is_handled_in_its_order() -> None:
    """A notice that was sent on a new link before WELCOME hid the ones before it, which then looked like repeats."""
    world = World()
    world.submit("first", "key")
    world.submit("second", "other")
    world.exchange()
    world.lose_link()
    world.run_completes("first")
    world.connect()
    world.run_completes("second")
    world.to_node += world.notices[-1]
    world.node_reads()
    world.exchange()
    assert world.counters.counts["executor.notices_early"] == 1
    assert world.verdicts("first") == world.verdicts("second") == ["served"]


@pytest.mark.parametrize("is_repeated", [False, True], ids=["first EXEC", "repeated EXEC"])
def test_rejected_exec_releases_the_key_only_if_it_was_the_first(is_repeated: bool) -> None:
    """`BAD` says that this EXEC started nothing. An earlier EXEC of the same run may have been carried out."""
    world = World()
    world.submit("first", "key")
    if is_repeated:
        world.lose_link()
        world.connect()
        world.exchange(3)  # the probe finds no run, and the node writes the EXEC again
    assert b"EXEC first" in world.to_executor
    world.to_executor.clear()
    world.to_node += b"BAD EXEC first\r\n"
    world.node_reads()
    assert world.verdicts("first") == ["failed"]
    assert not world.broker.has_open_attempts
    assert ("key" in world.broker.keys.records) == is_repeated
    world.lose_link()
    world.pass_time(2.0)
    assert not world.notices, "the executor has answered an EXEC of an attempt that was over"


def test_rejected_exec_is_not_unconfirmed_after_the_loss_of_its_link() -> None:
    commands = PendingCommands()
    commands.add(Command("a", b"EXEC a", repeatable=False, written=True))
    commands.add(Command("b", b"EXEC b", repeatable=False, written=True))
    commands.remove_execs("a")
    assert commands.link_lost() == {"b": b"EXEC b"}


class RandomSteps:
    """Random steps of one world; a step that cannot be taken does nothing."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        steps = (self._submit, world.executor_reads, world.node_reads, self._synchronize, world.lose_link)
        rare_steps = (
            world.connect,
            self._leave,
            self._notify_node,
            self._end_run,
            self._call,
            self._pass_time,
            self._stall,
        )
        self._steps = (*steps, *steps, *rare_steps)

    def take(self) -> None:
        """Take one step."""
        self._rng.choice(self._steps)()

    def _submit(self) -> None:
        number = len(self._world.callers)
        if number < MAX_ATTEMPTS:
            self._world.submit(f"a{number}", f"key{number // 2}")

    def _synchronize(self) -> None:
        self._world.connect()
        self._world.exchange(2)

    def _leave(self) -> None:
        if recent_ids := list(self._world.callers)[-3:]:
            self._world.caller_leaves(self._rng.choice(recent_ids))

    def _notify_node(self) -> None:
        for id in sorted(self._world.over):
            self._world.node_learns_of_leaving(id)

    def _end_run(self) -> None:
        if self._world.runs:
            self._world.run_completes(self._rng.choice(list(self._world.runs)))

    def _call(self) -> None:
        if self._world.runs:
            self._world.run_calls(self._rng.choice(list(self._world.runs)))

    def _pass_time(self) -> None:
        self._world.answers_read()
        self._world.answer_calls()
        self._world.hand.time += self._rng.choice((0.01, 0.1, 1.1))
        self._world.broker.tick()

    def _stall(self) -> None:
        self._world.cores_stand_still = not self._world.cores_stand_still


@pytest.mark.parametrize("kind", ["balancer", "balancer, wake ignored", "balancer, work lost", "queue"])
def test_key_runs_once_in_random_orders_of_commands_and_losses(kind: str) -> None:
    for seed in SEEDS:
        rng = random.Random(seed)
        world = World(
            keeps_work="lost" not in kind,
            answers_wake_of_ended="ignored" not in kind,
            executor_detects_end=kind != "queue",
        )
        steps = RandomSteps(world, rng)
        for _ in range(STEPS):
            steps.take()
        world.connect()
        for id in sorted(world.over):
            world.node_learns_of_leaving(id)
        try:
            assert_key_ran_once_and_nothing_is_held(world)
        except AssertionError as error:
            raise AssertionError(f"{kind}, seed {seed}: {error}") from error
