"""What the node was told, the table of the process's states, and its printout in docs/operation.md."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.clock import Clock
from chutepin.handover import IntentFile
from chutepin.lifecycle import BEHAVIOURS, TRANSITIONS, Event, Lifecycle, State
from chutepin.logs import Log
from chutepin.node_intent import NodeIntent

from .helper import STEPS
from .test_handover_state_machine import page_table_rows

INTENTS = st.builds(NodeIntent, st.integers(0, 3), st.booleans())


def test_page_prints_every_transition_of_the_process() -> None:
    expected = [
        (state.value, event.value, next_state.value)
        for state, transitions in TRANSITIONS.items()
        for event, next_state in transitions.items()
    ]
    assert page_table_rows("| state | event | next state |") == expected


def test_page_prints_the_behaviour_in_every_state() -> None:
    expected = [
        (state.value, "good" if is_healthy else "bad", new_clients.value, commands.value)
        for state, (is_healthy, new_clients, commands) in BEHAVIOURS.items()
    ]
    assert page_table_rows("| state | health checks | new clients | `drain`, `resume` |") == expected


def test_tables_cover_every_state_and_every_event() -> None:
    assert list(TRANSITIONS) == list(BEHAVIOURS) == list(State)
    assert {event for transitions in TRANSITIONS.values() for event in transitions} == set(Event)


# Guards against a transition that forgets a drain, which only `resume` and the end of the node undo.
@pytest.mark.parametrize("state", [state for state in State if "drained" in state.value], ids=lambda state: state.name)
def test_no_event_but_resume_makes_a_drained_process_healthy(state: State) -> None:
    for event, next_state in TRANSITIONS[state].items():
        assert BEHAVIOURS[next_state].is_healthy is (event is Event.RESUME)


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
    for contents in (b"", b"[1]", b"{}", b'{"sequence":-1,"drained":true}', b"\xff", b"[" * 5000):
        path.write_bytes(contents)
        assert file.load() == NodeIntent()
    file.remove()
    file.remove()
    assert list(tmp_path.iterdir()) == []


def test_lifecycle_applies_a_peers_intent_only_if_it_is_newer() -> None:
    lifecycle = Lifecycle()
    lifecycle.apply(Event.CAN_SERVE)
    drained = NodeIntent().drained()
    lifecycle.merge(drained)
    assert lifecycle.can_serve and not lifecycle.healthy
    assert lifecycle.resume(lambda intent: False) and lifecycle.healthy
    lifecycle.merge(drained)
    assert lifecycle.healthy
