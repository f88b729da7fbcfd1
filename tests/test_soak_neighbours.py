"""Tests that the soak judges gateways whose neighbours take much of them."""

import random
import signal
import socket
from dataclasses import replace
from pathlib import Path

import trio
from nose2.tools import params
from trio.testing import memory_stream_pair

from scaleloom_fleet.http1.links import BodyDelimiter
from soak import faults, silences
from soak.callers import CallerResult, Observations
from soak.endless_answers import EndlessForm, send_endless_answer
from soak.fast_senders import send_fast
from soak.long_answer_checks import find_long_problem
from soak.long_answers import LongAnswers, answer_part
from soak.neighbour_checks import (
    check_beside_endless,
    check_memory,
    check_readiness,
    check_starts,
    check_stops_in_time,
)
from soak.neighbour_faults import NEIGHBOUR_FAULTS
from soak.neighbours import (
    EndlessPeriod,
    MemoryPeak,
    NeighbourRecord,
    ReadinessProbe,
    StartTrouble,
)
from soak.peer_faults import PEER_FAULTS
from soak.processes import GRACE_S, GatewayProcess, ProcessEnd
from soak.promise_checks import check_exits
from soak.repeated_streams import begin_streams_again
from soak.site import SoakSite
from soak.version_faults import VERSION_FAULTS
from tests.fixtures.cut_answers import EVENT_END
from tests.fixtures.gateways import Answer
from tests.fixtures.platform_store import StoreStandin
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import StubTarget

AT_S = 100.0
ID = "long-safe-1-1"
PERIOD = EndlessPeriod("bytes of 1 targets", AT_S, AT_S + 4.0)
SERVED = Answer(200, {}, b"", True)
REFUSED = Answer(503, {}, b"", True)
NOTHING = Answer(None)
PART_COUNT = 3


def _gateway(**fields: object) -> GatewayProcess:
    """Return a gateway that doesn't run."""
    ports = {"front_port": 3, "ready_port": 4, "memory_mb": 120}
    return GatewayProcess("g-1", "127.0.0.1", 1, 2, None, **{**ports, **fields})


def _site(gateway: GatewayProcess, **fields: object) -> SoakSite:
    """Return a site with one gateway, and `fields` of its record of neighbours."""
    site = SoakSite(random.Random(1), None, None, 0, gateways=[gateway])
    site.neighbours = NeighbourRecord(**fields)
    return site


def _results(gateway: GatewayProcess, answer: Answer, from_s: float, count: int = 12):
    """Return results of requests that were sent from `from_s` on."""
    is_given_up = answer.status is None
    return [
        CallerResult(
            "safe",
            f"safe-1-{number}",
            gateway,
            1,
            from_s,
            from_s + 0.1,
            answer,
            False,
            is_given_up,
            sent_s=from_s,
        )
        for number in range(count)
    ]


@params(
    (SERVED, 12, {}, 0),
    (REFUSED, 12, {}, 1),
    (NOTHING, 12, {}, 2),
    (REFUSED, 9, {}, 0),
    (REFUSED, 12, {"disturbances_s": [AT_S]}, 0),
    (REFUSED, 12, {"stopping_s": [AT_S]}, 0),
)
def test_callers_are_served_as_before_beside_endless_senders(
    answer, count, fields, broken_count
):
    gateway = _gateway(**fields)
    site = _site(gateway, endless_periods=[PERIOD])
    results = _results(gateway, SERVED, AT_S - 10.0)
    results += _results(gateway, answer, AT_S + 1.0, count)
    broken = check_beside_endless(site, Observations(results))
    assert len(broken) == broken_count, broken


def test_few_requests_without_an_answer_beside_endless_senders_are_broken_too():
    gateway = _gateway()
    site = _site(gateway, endless_periods=[PERIOD])
    results = _results(gateway, SERVED, AT_S - 10.0)
    results += _results(gateway, SERVED, AT_S + 1.0, 50)
    results += _results(gateway, NOTHING, AT_S + 1.0, 1)
    (broken,) = check_beside_endless(site, Observations(results))
    assert "1 of 51 without an answer" in broken


@params(
    ({}, True, 1),
    ({}, False, 0),
    ({"disturbances_s": [AT_S - 1.0]}, True, 0),
    ({"stopping_s": [AT_S + 0.5]}, True, 0),
    ({"disturbances_s": [AT_S - 4.0]}, True, 1),
)
def test_readiness_that_is_given_up_is_broken(fields, is_given_up, broken_count):
    gateway = _gateway(**fields)
    probe = ReadinessProbe(gateway, AT_S, 1.0, None, is_given_up)
    site = _site(gateway, probes=[probe])
    assert len(check_readiness(site, Observations())) == broken_count


def _ended(stop_s: float | None, ended_s: float, code: int = 0) -> ProcessEnd:
    """Return the end of a process."""
    return ProcessEnd(1, code, stop_s, ended_s, True, "")


@params(
    (GRACE_S + 0.9, [], 0),
    (GRACE_S + 1.5, [], 1),
    (GRACE_S + 1.5, [AT_S + 2.0], 0),
    (GRACE_S + 1.5, [AT_S - 1.0], 0),
    (GRACE_S + 1.5, [AT_S + GRACE_S + 1.4], 1),
)
def test_a_stop_that_lasts_longer_than_its_grace_is_broken(length_s, strikes_s, count):
    end = _ended(AT_S, AT_S + length_s)
    gateway = _gateway(ends=[end], disturbances_s=strikes_s)
    assert len(check_stops_in_time(_site(gateway), Observations())) == count


def test_an_end_without_a_stop_is_no_late_stop():
    gateway = _gateway(ends=[_ended(None, AT_S + 60.0)])
    assert check_stops_in_time(_site(gateway), Observations()) == []


def test_a_stop_that_has_not_ended_at_the_end_of_the_soak_is_broken():
    gateway = _gateway(stop_s=AT_S)
    gateway._popen = _Running()
    site = _site(gateway)
    site.judged_until_s = AT_S + GRACE_S + 0.5
    assert check_stops_in_time(site, Observations()) == []
    site.judged_until_s = AT_S + GRACE_S + 1.5
    assert len(check_stops_in_time(site, Observations())) == 1


class _Running:
    """A process that runs, and notes the signals that it gets."""

    returncode = None

    def __init__(self) -> None:
        self.signals: list[int] = []

    def poll(self) -> None:
        """Return None, as the process has not ended."""

    def send_signal(self, number: int) -> None:
        """Note a signal."""
        self.signals.append(number)


@params(
    (True, signal.SIGTERM, 0, True),
    (True, signal.SIGTERM, -15, False),
    (False, signal.SIGTERM, -15, True),
    (True, signal.SIGKILL, -9, True),
    (True, signal.SIGHUP, -1, False),
    (True, signal.SIGSTOP, 1, False),
)
def test_a_signal_accounts_for_its_own_end_only(has_begun, number, code, is_expected):
    gateway = _gateway()
    gateway._popen = _Running()
    gateway._handles_stops = lambda: has_begun

    async def send():
        gateway.send_signal(number)

    trio.run(send)
    assert gateway._is_exit_expected(code) is is_expected
    assert gateway._popen.signals == [number]


def test_an_end_by_spoiled_settings_counts_only_for_a_start_beside_them():
    gateway = _gateway(started_s=AT_S, settings_restored_s=AT_S + 1.0)
    assert gateway._is_exit_expected(78) and not gateway._is_exit_expected(1)
    gateway.started_s = AT_S + 2.0
    assert not gateway._is_exit_expected(78)


def test_an_unexpected_end_is_told_with_its_code_and_the_end_of_the_log():
    end = replace(_ended(None, AT_S, 1), is_expected=False, last_line="in use")
    gateway = _gateway(ends=[_ended(AT_S, AT_S), end])
    gateway.directory = Path("without-logs")
    (broken,) = check_exits(_site(gateway), Observations())
    assert broken == "g-1 exited with 1 at 100.00, after 'in use'"


def test_a_process_with_more_memory_than_allowed_is_broken():
    peaks = {("g-1", 1): MemoryPeak(119.0, AT_S), ("g-1", 2): MemoryPeak(121.0, AT_S)}
    (broken,) = check_memory(_site(_gateway(), memory_peaks=peaks), Observations())
    assert broken.startswith("g-1 run 2: 121 MB")


@params(
    (200, 1.0, {}, 0),
    (503, 1.0, {}, 1),
    (200, 4.5, {}, 1),
    (503, 1.0, {"stops_s": [AT_S - 1.0]}, 0),
    (503, 1.0, {"disturbances_s": [AT_S + 1.0]}, 0),
)
def test_a_start_must_succeed_soon_after_its_trouble(status, after_s, fields, count):
    gateway = _gateway(**fields)
    trouble = StartTrouble("front taken", gateway, AT_S)
    probe = ReadinessProbe(gateway, AT_S + after_s, 0.01, status, False)
    site = _site(gateway, start_troubles=[trouble], probes=[probe])
    assert len(check_starts(site, Observations())) == count
    site.judged_until_s = AT_S + 2.0
    assert check_starts(site, Observations()) == []


def _body(*runs_and_numbers: tuple[str, int], asked_id: str = ID) -> bytes:
    """Return parts of long answers."""
    parts = (answer_part(asked_id, r, n, PART_COUNT) for r, n in runs_and_numbers)
    return b"".join(parts)


WHOLE = _body(("i-1.1", 1), ("i-1.1", 2), ("i-1.1", 3))
BEGUN = WHOLE[:-400]
JOINED = WHOLE[:-1000] + _body(("i-2.1", 3))


@params(
    (WHOLE, BodyDelimiter.CHUNKS, None),
    (BEGUN, None, None),
    (BEGUN, BodyDelimiter.CONNECTION, None),
    (BEGUN, BodyDelimiter.CHUNKS, "framed as complete"),
    (WHOLE[:-1000], BodyDelimiter.LENGTH, "framed as complete"),
    (JOINED, BodyDelimiter.LENGTH, "runs i-1.1, i-2.1"),
    (BEGUN + WHOLE.replace(b"i-1.1", b"i-2.1"), None, "runs i-1.1, , i-2.1"),
    (BEGUN + b"data: x" * 10 + EVENT_END, None, "runs i-1.1, "),
    (BEGUN + b"data: x" * 10, None, "no part"),
    (WHOLE[:1000] + WHOLE[2000:], None, "out of order"),
    (_body(("i-1.1", 1), asked_id="other"), None, "another answer"),
    (b"a" * 5000, None, None),
    (b"a" * 5000, BodyDelimiter.CHUNKS, "framed as complete"),
    (b"", BodyDelimiter.CHUNKS, "framed as complete"),
)
def test_a_long_answer_must_be_of_one_run(body, delimiter, problem):
    answer = Answer(200, {}, body, delimiter is not None, delimiter)
    (result,) = _results(_gateway(), answer, AT_S, 1)
    found = find_long_problem(replace(result, request_id=ID), PART_COUNT)
    assert (found is None) if problem is None else problem in (found or "")


def test_a_stream_that_is_taken_up_may_be_of_several_runs():
    answer = Answer(200, {}, JOINED, True, BodyDelimiter.CHUNKS)
    (result,) = _results(_gateway(), answer, AT_S, 1)
    result = replace(result, request_id=ID, kind="long-resumable")
    assert find_long_problem(result, PART_COUNT) is None
    answer.body = JOINED[:2000] + JOINED[1000:]
    assert find_long_problem(result, PART_COUNT) is not None


def _answer_once(broken_share: float) -> tuple[bytes, set[str]]:
    """Return what a target sends to one request, and the ids it broke off."""
    broken_off_ids: set[str] = set()
    sent: list[bytes] = []

    async def run():
        here, there = memory_stream_pair()
        here.socket = socket.socket()
        headers = {"request-id": ID}
        request = ReceivedRequest("GET", "/long-safe/50", headers, b"", here)
        answers = LongAnswers(random.Random(3), broken_off_ids)
        answers.broken_share = broken_share
        with here.socket:
            await answers.answer(StubTarget("i-1"), request)
        await here.aclose()
        async for data in there:
            sent.append(bytes(data))

    trio.run(run)
    return b"".join(sent), broken_off_ids


def test_targets_break_off_long_answers_and_note_it():
    data, broken_off_ids = _answer_once(1.0)
    assert broken_off_ids == {ID}
    assert 30 < data.count(b"data: long-safe-1-1 i-1.1 ") < 50
    whole, none = _answer_once(0.0)
    assert none == set() and whole.count(b"data: long-safe-1-1 i-1.1 ") == 50


@params(*EndlessForm)
def test_endless_answers_go_on_until_they_are_closed(form):
    async def run():
        here, there = map(trio.SocketStream, trio.socket.socketpair())
        request = ReceivedRequest("GET", "/", {"request-id": ID}, b"", here)
        async with here, there, trio.open_nursery() as nursery:
            nursery.start_soon(send_endless_answer, StubTarget("i-1"), request, form)
            received = 0
            while received < 1_000_000:
                received += len(await there.receive_some())
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_a_fast_sender_ends_with_its_connection_or_its_task():
    async def run():
        here, there = map(trio.SocketStream, trio.socket.socketpair())
        async with here, trio.open_nursery() as nursery:
            nursery.start_soon(send_fast, here.socket, b"abc")
            assert (await there.receive_some(7)).startswith(b"abc")
            await there.aclose()
        here, there = map(trio.SocketStream, trio.socket.socketpair())
        async with there:
            with trio.move_on_after(0.0):
                await send_fast(here.socket, b"abc")
            await here.aclose()
            while await there.receive_some():
                pass

    trio.run(run)


def test_a_store_that_loses_changes_answers_other_calls():
    store = StoreStandin(loses_changes=True)
    query = {"topic": "keyed.op", "from": "0", "wait-ms": "100"}
    assert not store._tells_of_change("log-read", query)
    store.put("keyed.op", "config", {"version": 1})
    assert store._tells_of_change("log-read", query)
    assert not store._tells_of_change("log-read", {**query, "from": "1"})
    assert not store._tells_of_change("log-read", {**query, "wait-ms": "0"})
    assert not store._tells_of_change("log-newest", query)


def test_one_fault_of_a_kind_goes_on_at_a_time():
    record = NeighbourRecord()
    with record.alone("surge") as is_alone, record.alone("surge") as is_second:
        assert is_alone and not is_second
    with record.alone("surge") as is_alone:
        assert is_alone


def test_seeds_of_the_earlier_kinds_draw_no_fault_of_neighbours():
    later = (*VERSION_FAULTS, *PEER_FAULTS, begin_streams_again)
    earlier = faults.FAULTS[: -len(later)]
    assert faults.FAULTS[len(earlier) :] == later
    kind_count = len(earlier) - len(NEIGHBOUR_FAULTS)
    assert earlier[kind_count:] == NEIGHBOUR_FAULTS
    assert faults.FAULTS[kind_count - len(silences.SILENCES) : kind_count] == (
        silences.SILENCES
    )
    assert not set(faults.FAULTS[:kind_count]) & set(NEIGHBOUR_FAULTS)
