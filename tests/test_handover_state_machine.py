"""The hand-over state machine, and its tables in docs/operation.md."""

from __future__ import annotations

from pathlib import Path

import pytest

from chutepin.handover import HandoverStateMachine, Stage
from chutepin.handover.state_machine import OWNERSHIP, TRANSITIONS, Event
from chutepin.idempotency import KeyOwnership

PAGE = Path(__file__).parent.parent / "docs" / "operation.md"


def page_table_rows(header: str) -> list[tuple[str, ...]]:
    """Return the cells of the table with this header in docs/operation.md."""
    table = PAGE.read_text().partition(f"{header}\n")[2].partition("\n\n")[0]
    return [tuple(cell.strip() for cell in row.strip("|").split("|")) for row in table.splitlines()[1:]]


def test_page_prints_every_transition() -> None:
    expected = [
        (stage.value, event.value, transition.stage.value, "in doubt" if transition.puts_keys_in_doubt else "")
        for stage, transitions in TRANSITIONS.items()
        for event, transition in transitions.items()
    ]
    assert page_table_rows("| stage | event | next stage | unknown keys for one window |") == expected


def test_page_prints_the_ownership_of_every_stage() -> None:
    expected = [(stage.value, OWNERSHIP[stage].name.lower().replace("_", " ")) for stage in Stage]
    assert page_table_rows("| stage | unknown keys |") == expected


def test_tables_cover_every_stage_and_every_event() -> None:
    assert set(TRANSITIONS) == set(OWNERSHIP) == set(Stage)
    assert {event for transitions in TRANSITIONS.values() for event in transitions} == set(Event)


@pytest.mark.parametrize("stage", Stage, ids=lambda stage: stage.name)
def test_event_without_a_transition_changes_nothing(stage: Stage) -> None:
    for event in set(Event) - set(TRANSITIONS[stage]):
        machine = machine_at(stage)
        assert not machine.apply(event, 100.0)
        assert machine.stage is stage
        assert machine.ownership(100.0) is OWNERSHIP[stage]


def machine_at(stage: Stage) -> HandoverStateMachine:
    machine = HandoverStateMachine(44.0)
    machine.stage = stage
    return machine


def test_process_owns_unknown_keys_in_three_stages_and_requests_them_in_one() -> None:
    ownership = {stage: machine_at(stage).ownership(0.0) for stage in Stage}
    assert {s for s, o in ownership.items() if o is KeyOwnership.OWNED} == {
        Stage.ALONE,
        Stage.TAKEN_OVER,
        Stage.SENDING_KEYS,
    }
    assert [s for s, o in ownership.items() if o is KeyOwnership.ASK_PEER] == [Stage.YIELDED]


@pytest.mark.parametrize(
    ("stage", "is_alive", "next_stage", "in_doubt"),
    [
        (Stage.HELLO_SENT, True, Stage.UNCOORDINATED, False),
        (Stage.HELLO_SENT, False, Stage.ALONE, True),
        (Stage.RECEIVING_KEYS, False, Stage.ALONE, True),
        (Stage.SYNCED, False, Stage.ALONE, False),
        (Stage.TAKEOVER_REQUESTED, True, Stage.UNCOORDINATED, False),
        (Stage.TAKEOVER_REQUESTED, False, Stage.ALONE, False),
        (Stage.TAKEN_OVER, True, Stage.ALONE, False),
        (Stage.TAKEN_OVER, False, Stage.ALONE, False),
    ],
)
def test_loss_of_the_predecessor(stage: Stage, is_alive: bool, next_stage: Stage, in_doubt: bool) -> None:
    machine = machine_at(stage)
    machine.predecessor_lost(100.0, is_alive)
    assert machine.stage is next_stage and (machine.in_doubt_until == 144.0) is in_doubt


@pytest.mark.parametrize(
    ("stage", "is_alive", "loop_stalled_s", "next_stage", "in_doubt"),
    [
        (Stage.SENDING_KEYS, False, 9.0, Stage.ALONE, False),
        (Stage.YIELDED, True, 0.0, Stage.DISCONNECTED, False),
        (Stage.YIELDED, False, 0.0, Stage.ALONE, False),
        (Stage.YIELDED, False, 9.0, Stage.ALONE, True),
    ],
)
def test_loss_of_the_successor(
    stage: Stage, is_alive: bool, loop_stalled_s: float, next_stage: Stage, in_doubt: bool
) -> None:
    machine = machine_at(stage)
    machine.successor_lost(100.0, is_alive, loop_stalled_s)
    assert machine.stage is next_stage and (machine.in_doubt_until == 144.0) is in_doubt
    if next_stage is Stage.DISCONNECTED:
        machine.apply(Event.PEER_ENDED, 110.0)
        assert machine.ownership(120.0) is KeyOwnership.IN_DOUBT and machine.ownership(155.0) is KeyOwnership.OWNED
