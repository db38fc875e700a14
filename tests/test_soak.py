"""The soak: its schedules, what its checks find in books made by hand, and a short play on real processes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import pytest

from chutepin.testbench.soak import Books, draw, make_report, play, violations
from chutepin.testbench.soak.books import (
    AnswerSeen,
    CloseCause,
    ConnectionSeen,
    Event,
    LagSeen,
    ProcessSeen,
    RequestSeen,
    RunSeen,
)
from chutepin.testbench.soak.schedule import SIGTERM, Ending

SHORT_S = 5.0
PLAYED = [(1, False), (2, False), (3, False), (4, True)]  # seed, whether there is a crowd


def sound_books() -> Books:
    """A process that served two keyed requests of one key on one connection, which it then closed."""
    connection = ConnectionSeen(1, 100.0, bye_at=109.0, closed_at=110.0, closed_by=CloseCause.NODE)
    books = Books(
        requests=[
            RequestSeen("a", "work-order", b"order", "k", connection, 101.0, 104.0),
            RequestSeen("b", "work-order", b"order", "k", connection, 102.0, 105.0),
        ],
        runs=[RunSeen("a", b"order", 101.1, "process 1")],
        processes=[
            ProcessSeen("process 1", 0, 98.0, 98.5, notice_at=109.0, ended_at=110.0, exit_code=0, log="leaving"),
            ProcessSeen("process 2", 0, 105.0, 105.5, notice_at=120.0, ended_at=121.0, exit_code=0, log="leaving"),
        ],
        events=[Event(121.0, "the end")],
    )
    books.requests[0].answers.append(AnswerSeen(101.2, "OK", b"done order"))
    books.requests[1].answers.append(AnswerSeen(102.1, "OK", b"done order"))
    return books


def answered_twice(books: Books) -> None:
    books.requests[0].answers.append(AnswerSeen(101.3, "FAILED", b""))


def answer_to_nothing(books: Books) -> None:
    books.unasked_answers = 1


def never_answered_on_an_open_connection(books: Books) -> None:
    books.requests[0].answers.clear()


def answered_too_late(books: Books) -> None:
    books.requests[0].answers[0].at = 104.5


def ran_and_dropped_at_the_close(books: Books) -> None:
    books.requests[0].answers.clear()
    books.requests[0].written_at, books.requests[0].due_at = 109.9, 113.0


def read_and_dropped_at_the_close(books: Books) -> None:
    books.requests[1].answers.clear()
    books.requests[1].written_at, books.requests[1].due_at = 108.5, 113.0


def key_ran_at_both_processes(books: Books) -> None:
    books.runs.append(RunSeen("b", b"order", 102.1, "process 2"))


def rejected_after_its_run(books: Books) -> None:
    books.requests[0].answers[0].word = "BUSY"


def rejected_after_its_key_ran(books: Books) -> None:
    books.requests[1].answers[0].word = "BUSY"


def result_of_another_request(books: Books) -> None:
    books.requests[0].answers[0].body = b"done other"


def slow_start(books: Books) -> None:
    books.processes[0].ready_at = 109.0


def crash(books: Books) -> None:
    books.processes[0].exit_code = -11
    books.processes[0].ended_at = 105.0


def ended_by_a_signal(books: Books) -> None:
    books.processes[0].exit_code = -15


def notice_not_heard(books: Books) -> None:
    books.processes[0].log = ""
    books.processes[0].killed_at = 110.0
    books.processes[0].exit_code = -9


def broken_invariant(books: Books) -> None:
    books.processes[0].log += " invariant.ledger=1"


def descriptors_left_open(books: Books) -> None:
    books.processes[1].descriptors_when_quiet = 12, 40


def memory_left(books: Books) -> None:
    books.processes[1].memory_kb_when_quiet = 30_000, 90_000


def requests_left(books: Books) -> None:
    books.processes[1].current_when_quiet = 2


PLANTED: dict[str, list[Callable[[Books], None]]] = {
    "one answer each": [answered_twice, answer_to_nothing],
    "none lost": [
        never_answered_on_an_open_connection,
        answered_too_late,
        ran_and_dropped_at_the_close,
        read_and_dropped_at_the_close,
    ],
    "keys run once": [key_ran_at_both_processes],
    "rejected never ran": [rejected_after_its_run],
    "keys not rejected": [rejected_after_its_key_ran],
    "results": [result_of_another_request],
    "ready": [slow_start],
    "crash": [crash],
    "exit code": [ended_by_a_signal],
    "notice": [notice_not_heard],
    "log": [broken_invariant],
    "descriptors": [descriptors_left_open],
    "memory": [memory_left],
    "in progress": [requests_left],
}


def test_sound_books_violate_nothing() -> None:
    assert violations(sound_books()) == []


@pytest.mark.parametrize(
    ("check", "plant"),
    [(check, plant) for check, plants in PLANTED.items() for plant in plants],
    ids=lambda value: value if isinstance(value, str) else value.__name__,
)
def test_each_planted_fault_is_found_by_its_check(check: str, plant: Callable[[Books], None]) -> None:
    books = sound_books()
    plant(books)
    assert check in {violation.check for violation in violations(books)}


def test_request_that_crosses_the_close_and_never_ran_is_not_lost() -> None:
    books = sound_books()
    books.requests[1].answers.clear()
    books.requests[1].written_at, books.requests[1].due_at = 109.98, 113.0
    assert violations(books) == []


def test_answer_that_the_rig_itself_read_late_is_not_late() -> None:
    books = sound_books()
    answered_too_late(books)
    books.lags.append(LagSeen(104.5, 0.4))
    assert violations(books) == []


def test_one_seed_gives_one_schedule_and_another_seed_another() -> None:
    assert draw(7, 20.0, False) == draw(7, 20.0, False) != draw(8, 20.0, False)


def test_schedules_have_clients_that_keep_their_connections_and_signals_in_series() -> None:
    schedules = [draw(seed, 20.0, False) for seed in range(50)]
    assert all(sum(not client.heeds_bye for client in schedule.clients) >= 2 for schedule in schedules)
    series = [[step.name for step in life.stop_signals] for schedule in schedules for life in schedule.lives]
    assert all(SIGTERM in names for names in series)
    assert any(names.count(SIGTERM) > 1 for names in series)
    assert any("SIGHUP" in names[names.index(SIGTERM) :] for names in series)
    endings = {life.ending for schedule in schedules for life in schedule.lives}
    assert endings == set(Ending)
    assert any(life.start_signals for schedule in schedules for life in schedule.lives)


# Guards against what only shows over several lives of a node: answers lost at a close, keys run again, signals unheard.
@pytest.mark.parametrize(("seed", "crowd"), PLAYED, ids=str)
def test_short_soak_violates_nothing(seed: int, crowd: bool) -> None:
    schedule = draw(seed, SHORT_S, crowd)
    books = asyncio.run(play(schedule))
    report = make_report(schedule, books)
    assert not report.has_failed, report.text
    assert report.counts["served"] > 50
    assert all(process.ready_at < math.inf for process in books.processes)
