"""Malformed answers of the records service and the control plane end one connection and no task of the node."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from chutepin.config import Address
from chutepin.counters import Counters
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.net import control, records
from chutepin.net.control import Reporter
from chutepin.net.lines import line
from chutepin.net.records import RecordsService

from .helper import Hand
from .test_net import FakeConnection
from .test_reader_errors import FUZZ, ODD_NUMBERS, changed

# Each example runs an event loop, so that shrinking and explaining a failure would take minutes.
FUZZ_LOOPS = settings(FUZZ, phases=(Phase.explicit, Phase.generate))
REPLIES = [line("a", "DONE", body=b"row"), line("a", "WAIT"), line("b", "PAST"), line("a", "EMPTY")]
HTTP_ANSWERS = [
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
]


class FakeControlConnection(FakeConnection):
    """A connection to the control plane, whose writer can also be drained."""

    async def drain(self) -> None:
        """Return at once."""


async def call_records(answer: bytes) -> list[End]:
    """Make one call, answer it with these bytes and close; return how the call ended."""
    hand, counters, connection = Hand(), Counters(), FakeConnection()
    ends: list[End] = []

    class Listener:
        def call_ended(self, id: str, end: End, reply: bytes) -> None:
            assert id == "a"
            ends.append(end)

    async def connect(host: str, port: int, read_bytes: int) -> tuple[Any, Any]:
        return connection.reader, connection

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(records, "open_connection", connect)
        service = RecordsService(Address("h", 1), hand.clock, counters, Log(hand.clock), max_connections=1)
        service.listener = Listener()
        service.call("a", hand.time + 5, b"x", repeatable=False)
        await asyncio.sleep(0)
        connection.reader.feed_data(answer)
        connection.reader.feed_eof()
        await asyncio.gather(*service._tasks)  # raises any uncaught error
    return ends


@FUZZ_LOOPS
@given(data=st.data(), odd_number=ODD_NUMBERS)
def test_every_answer_of_the_records_service_ends_its_call_once(data: st.DataObject, odd_number: str) -> None:
    answer = b""
    for raw in data.draw(st.lists(st.sampled_from(REPLIES), min_size=1, max_size=3)):
        words = raw.split(b" ")
        words[data.draw(st.integers(0, len(words) - 1))] = odd_number.encode()
        answer += data.draw(st.sampled_from([raw, b" ".join(words), data.draw(changed(raw))]))
    assert len(asyncio.run(call_records(answer))) == 1


async def report(answer: bytes) -> Counters:
    """Report twice, with these bytes as each answer; return the counters."""
    counters = Counters()
    reported = asyncio.Event()

    async def connect(host: str, port: int, read_bytes: int) -> tuple[Any, Any]:
        connection = FakeControlConnection()
        connection.reader.feed_data(answer)
        connection.reader.feed_eof()
        return connection.reader, connection

    async def pause(seconds: float) -> None:
        """Stop the reporter after its second report."""
        if sum(counters.counts.values()) == 2:
            reported.set()
            await asyncio.get_running_loop().create_future()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(control, "open_connection", connect)
        patch.setattr(cast(Any, control).asyncio, "sleep", pause)
        reporter = Reporter(Address("h", 1), "n1", lambda: True, counters)
        running = asyncio.ensure_future(reporter.run())
        waiting = asyncio.ensure_future(reported.wait())
        await asyncio.wait((running, waiting), return_when=asyncio.FIRST_COMPLETED)
        if running.done():
            running.result()  # raises any uncaught error
        running.cancel()
    return counters


@FUZZ_LOOPS
@given(data=st.data(), answer=st.sampled_from(HTTP_ANSWERS), odd_number=ODD_NUMBERS)
def test_every_answer_of_the_control_plane_fails_at_most_one_report(
    data: st.DataObject, answer: bytes, odd_number: str
) -> None:
    words = answer.split(b" ")
    words[data.draw(st.integers(0, len(words) - 1))] = odd_number.encode()
    counters = asyncio.run(report(data.draw(st.sampled_from([answer, b" ".join(words), data.draw(changed(answer))]))))
    assert sum(counters.counts.values()) == 2


def test_valid_answers_of_the_control_plane_are_counted() -> None:
    """Otherwise the test above could pass with unreadable answers alone."""
    assert asyncio.run(report(HTTP_ANSWERS[0])).counts["control.reports"] >= 1
    assert asyncio.run(report(HTTP_ANSWERS[1])).counts["control.rejected"] >= 1
