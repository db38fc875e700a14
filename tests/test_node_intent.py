"""What the node was told, the table of the process's states, and its printout in docs/operation.md."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.clock import Clock
from chutepin.handover import IntentFile
from chutepin.lifecycle import BEHAVIOURS, TRANSITIONS, Event, Lifecycle, NewClients, Peer, State
from chutepin.logs import Log
from chutepin.node_intent import NodeIntent

from .helper import STEPS
from .test_handover_state_machine import page_table_rows

INTENTS = st.builds(NodeIntent, st.integers(0, 3), st.booleans(), st.none() | st.sampled_from([1.0, 2.0]))


def test_page_prints_every_transition_of_the_process() -> None:
    expected = [
        (state.value, event.value, next_state.value)
        for state, transitions in TRANSITIONS.items()
        for event, next_state in transitions.items()
    ]
    assert page_table_rows("| state | event | next state |") == expected


def test_page_prints_the_behaviour_in_every_state() -> None:
    expected = [
        (
            state.value,
            "good" if behaviour.is_healthy else "bad",
            behaviour.new_clients.value,
            behaviour.runs.value,
            behaviour.commands.value,
            "ends" if behaviour.is_ending else "stays",
        )
        for state, behaviour in BEHAVIOURS.items()
    ]
    header = "| state | health checks | new clients | what may run | `drain`, `resume` | this process |"
    assert page_table_rows(header) == expected


def test_tables_cover_every_state_and_every_event() -> None:
    assert list(TRANSITIONS) == list(BEHAVIOURS) == list(State)
    assert {event for transitions in TRANSITIONS.values() for event in transitions} == set(Event)


# Guards against a transition that forgets a drain, which only `resume` and the end of the node undo.
@pytest.mark.parametrize("state", [state for state in State if "drained" in state.value], ids=lambda state: state.name)
def test_no_event_but_resume_makes_a_drained_process_healthy(state: State) -> None:
    for event, next_state in TRANSITIONS[state].items():
        assert BEHAVIOURS[next_state].is_healthy is (event is Event.RESUME)


# Guards against a process that serves again after it, or the node, was told to leave.
@pytest.mark.parametrize("state", [s for s in State if BEHAVIOURS[s].is_ending], ids=lambda state: state.name)
def test_no_event_revives_a_process_that_ends(state: State) -> None:
    before = BEHAVIOURS[state]
    for next_state in TRANSITIONS[state].values():
        after = BEHAVIOURS[next_state]
        assert after.is_ending
        assert after.new_clients in (before.new_clients, NewClients.NOT_ACCEPTED)
        assert not (state.value.endswith("leaving") and after.is_healthy)


def test_process_told_nothing_serves_on_when_its_successor_is_lost() -> None:
    lifecycle = Lifecycle()
    for event in (Event.CAN_SERVE, Event.SUCCESSOR_SERVES, Event.SUCCESSOR_LOST, Event.CAN_SERVE):
        assert lifecycle.apply(event)
    assert lifecycle.can_serve and lifecycle.healthy


def test_serving_process_ignores_the_notice_to_its_predecessor_and_obeys_that_to_its_successor() -> None:
    lifecycle = Lifecycle()
    lifecycle.apply(Event.CAN_SERVE)
    lifecycle.merge(NodeIntent(left_at=5.0), Peer.PREDECESSOR, now=9.0)
    assert not lifecycle.is_leaving and lifecycle.intent.left_at is None
    lifecycle.merge(NodeIntent(left_at=5.0), Peer.SUCCESSOR, now=9.0)
    assert lifecycle.is_leaving and lifecycle.intent.left_at == 5.0


# Guards against a peer's time in the far future, with which the process would never end.
def test_notice_of_a_peer_does_not_lie_in_the_future() -> None:
    lifecycle = Lifecycle()
    lifecycle.apply(Event.CAN_SERVE)
    lifecycle.merge(NodeIntent(left_at=1e15), Peer.SUCCESSOR, now=7.0)
    assert lifecycle.is_leaving and lifecycle.intent.left_at == 7.0


def test_process_ignores_a_notice_from_before_its_start() -> None:
    lifecycle = Lifecycle(started_at=6.0)
    lifecycle.apply(Event.PREDECESSOR_FOUND)
    lifecycle.merge(NodeIntent(sequence=1, is_drained=True, left_at=5.0), Peer.PREDECESSOR, now=9.0)
    assert not lifecycle.healthy and not lifecycle.is_leaving and lifecycle.intent.left_at is None


@STEPS
@given(INTENTS, INTENTS, INTENTS)
def test_merge_of_intents_does_not_depend_on_order_or_repetition(a: NodeIntent, b: NodeIntent, c: NodeIntent) -> None:
    assert a.merged_with(b) == b.merged_with(a)
    assert a.merged_with(b).merged_with(c) == a.merged_with(b.merged_with(c))
    assert a.merged_with(b).merged_with(b) == a.merged_with(b)


def test_newer_command_wins_and_of_two_at_once_the_drain() -> None:
    drained = NodeIntent().drained()
    assert drained.merged_with(NodeIntent()) == drained
    assert drained.resumed().merged_with(drained) == drained.resumed()
    assert NodeIntent().resumed().merged_with(drained) == drained


def test_intent_file_keeps_the_newest_intent_and_ignores_malformed_contents(tmp_path: Path) -> None:
    file = IntentFile(str(tmp_path / "rendezvous"), Log(Clock()))
    assert file.load() == NodeIntent()
    drained = NodeIntent().drained()
    file.store(drained)
    file.store(NodeIntent())  # a stale copy
    assert file.load() == drained
    path = tmp_path / "rendezvous.intent"
    for contents in (b"", b"[1]", b"{}", b'{"sequence":-1,"drained":true,"left_at":null}', b"\xff", b"[" * 5000):
        path.write_bytes(contents)
        assert file.load() == NodeIntent()
    file.remove()
    file.remove()
    assert list(tmp_path.iterdir()) == []


def test_lifecycle_applies_a_peers_intent_only_if_it_is_newer() -> None:
    lifecycle = Lifecycle()
    lifecycle.apply(Event.CAN_SERVE)
    drained = NodeIntent().drained()
    lifecycle.merge(drained, Peer.PREDECESSOR, now=9.0)
    assert lifecycle.can_serve and not lifecycle.healthy
    assert lifecycle.resume(lambda intent: False) and lifecycle.healthy
    lifecycle.merge(drained, Peer.PREDECESSOR, now=9.0)
    assert lifecycle.healthy
