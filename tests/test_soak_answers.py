"""Tests that the soak tells broken-off answers from whole ones."""

import random
import tempfile
from collections.abc import Sequence
from pathlib import Path
from types import SimpleNamespace

from nose2.tools import params

from scaleloom_fleet.http1.links import BodyDelimiter
from soak.answer_checks import check_answers, check_whole_answers
from soak.arrival_records import Arrival
from soak.callers import CallerResult, Observations
from soak.processes import GatewayProcess
from soak.promise_checks import check_exits
from soak.site import SoakSite
from soak.targets import SoakTarget
from tests.fixtures.cut_answers import Cut, Ending, PlannedAnswer, cut_pieces
from tests.fixtures.gateways import Answer
from tests.fixtures.stub_targets import StubTarget, event

ID = "r-1"
LENGTH, CHUNKS = BodyDelimiter.LENGTH, BodyDelimiter.CHUNKS
CLOSE = BodyDelimiter.CONNECTION
EVENTS = [event(number) for number in (1, 2, 3, 4)]
STREAM = b"".join(EVENTS)
BODY = b"body of r-1"
CLOSED, RESET = Ending.CLOSED, Ending.RESET
FALSE_END = "a connection that was reset was passed on as closed"
CRASH_END = "ends as complete, and its target crashed"
HALF_EVENT = "ends inside an event, and not visibly"


def _site(sent: Sequence[PlannedAnswer], disturbed_s: Sequence[float]) -> SoakSite:
    """Return a site with one target, which sent answers of unknown length."""
    stub = StubTarget("i-1")
    stub.runs[ID] += 1
    target = SoakTarget(stub, None, "plain", random.Random(1), added_s=0.0)
    target.unframed_answers[ID].extend(sent)
    target.arrivals.append(Arrival(ID, "g-1", "i-1", "plain", 10.0, 10.1, True))
    target.disturbances_s.extend(disturbed_s)
    return SoakSite(random.Random(1), None, None, 0, targets=[target])


def _observe(
    kind: str, body: bytes, delimiter: BodyDelimiter, killed_s: Sequence[float] = ()
) -> Observations:
    """Return what a caller saw that received `body` to the end of the answer."""
    gateway = GatewayProcess("g-1", "127.0.0.1", 1, 2, None, front_port=3, ready_port=4)
    gateway.disturbances_s.extend(killed_s)
    headers = {"response-seal": "seal-i-1", "request-id": ID}
    if delimiter is CLOSE:
        headers["connection"] = "close"
    answer = Answer(200, headers, body, True, delimiter)
    result = CallerResult(kind, ID, gateway, 1, 10.0, 10.2, answer, False, False)
    return Observations([result])


def _problem(site: SoakSite, observations: Observations) -> str | None:
    """Return what is wrong with the only answer, or None."""
    cases = check_answers(site, observations)
    return cases[0].partition(": ")[2] if cases else None


@params(
    ("safe", BODY[:-2], LENGTH),
    ("once", b"", LENGTH),
    ("safe", BODY[:-2], CHUNKS),
    ("stream", b"".join(EVENTS[:2]), CHUNKS),
    ("stream-once", STREAM[:-1], CHUNKS),
    ("stream-once", b"", LENGTH),
    ("chat", b"id: 1\ndata: body of r-1\n\n", CHUNKS),
)
def test_a_broken_off_answer_framed_as_complete_is_a_problem(kind, body, delimiter):
    sent = [PlannedAnswer((body,), Cut.BETWEEN_PIECES)]
    assert _problem(_site(sent, []), _observe(kind, body, delimiter))


@params(
    ("safe", BODY[:-2], CLOSED, None),
    ("once", b"", CLOSED, None),
    ("stream", b"".join(EVENTS[:2]), CLOSED, None),
    ("stream-once", b"", CLOSED, None),
    ("stream", STREAM[:-1], CLOSED, HALF_EVENT),
    ("chat", b"id: 1\ndata: bo", CLOSED, HALF_EVENT),
    ("safe", BODY[:-2], RESET, FALSE_END),
    ("stream", b"".join(EVENTS[:2]), RESET, FALSE_END),
    ("safe", b"body of r-2", CLOSED, "unexpected body"),
)
def test_an_answer_of_unknown_length_may_end_short_if_that_cannot_be_known(
    kind, body, ending, problem
):
    sent = [PlannedAnswer((body,), Cut.BETWEEN_PIECES, ending)]
    assert _problem(_site(sent, []), _observe(kind, body, CLOSE)) == problem


@params(
    ({"removed_s": 10.1, "ended_s": 10.1}, CRASH_END),
    ({"removed_s": 9.0, "ended_s": 10.1}, None),
    ({}, None),
    ({"removed_s": 10.1, "ended_s": 10.1, "path_disturbances_s": [9.0]}, None),
)
def test_a_part_whose_target_crashed_must_not_end_normally(fields, problem):
    sent = [PlannedAnswer((BODY[:-2],), Cut.INSIDE_PIECE, is_crash=True)]
    site = _site(sent, [])
    for name, value in fields.items():
        setattr(site.targets[0], name, value)
    assert _problem(site, _observe("safe", BODY[:-2], CLOSE)) == problem


def test_a_part_that_another_target_ended_normally_may_be_passed_on():
    crash = PlannedAnswer((BODY[:-2],), Cut.INSIDE_PIECE, is_crash=True)
    site = _site([crash, PlannedAnswer((BODY[:-2],), Cut.INSIDE_PIECE)], [])
    site.targets[0].removed_s = site.targets[0].ended_s = 10.1
    assert _problem(site, _observe("safe", BODY[:-2], CLOSE)) is None


def test_an_end_that_cannot_be_known_needs_a_target_that_did_not_tell_its_own():
    observed = _observe("safe", BODY[:-2], CLOSE)
    assert "targets that told theirs" in _problem(_site([], []), observed)


def test_a_reset_that_a_fault_of_the_path_may_have_hidden_is_not_judged():
    sent = [PlannedAnswer((BODY[:-2],), Cut.INSIDE_PIECE, RESET)]
    assert _problem(_site(sent, [9.0]), _observe("safe", BODY[:-2], CLOSE)) is None


def test_what_a_killed_gateway_cuts_is_not_judged():
    sent = [PlannedAnswer((STREAM[:-1],), Cut.INSIDE_PIECE)]
    observed = _observe("stream-once", STREAM[:-1], CLOSE, killed_s=[10.1])
    assert _problem(_site(sent, []), observed) is None


@params(
    ("safe", BODY, CLOSE, 0),
    ("safe", BODY, LENGTH, 0),
    ("safe", BODY[:-1], CLOSE, 1),
    ("stream", STREAM, CHUNKS, 0),
    ("chat", b"", CHUNKS, 1),
)
def test_a_whole_answer_must_arrive_whole(kind, body, delimiter, case_count):
    site = _site([], [])
    site.targets[0].whole_ids.add(ID)
    cases = check_whole_answers(site, _observe(kind, body, delimiter))
    assert len(cases) == case_count


def test_a_whole_answer_may_be_lost_with_its_gateway():
    site = _site([], [])
    site.targets[0].whole_ids.add(ID)
    observed = _observe("safe", b"", CLOSE, killed_s=[9.0])
    assert check_whole_answers(site, observed) == []


def test_cut_pieces_are_shorter_than_the_whole():
    rng = random.Random(5)
    for cut in (Cut.BEFORE_FIRST_PIECE, Cut.BETWEEN_PIECES, Cut.INSIDE_PIECE):
        for _ in range(50):
            sent = b"".join(cut_pieces(EVENTS, cut, rng))
            assert STREAM.startswith(sent) and sent != STREAM
            assert sent.endswith(b"\n\n") is (cut is Cut.BETWEEN_PIECES) or not sent


def test_a_task_that_failed_is_noticed():
    with tempfile.TemporaryDirectory() as directory:
        gateway = GatewayProcess(
            "g-1", "127.0.0.1", 1, 2, Path(directory), front_port=3, ready_port=4
        )
        site = SimpleNamespace(gateways=[gateway])
        assert check_exits(site, Observations()) == []
        line = '{"level": "ERROR", "message": "task failed", "task": "reports"}'
        gateway.log_path.write_text(f'{{"message": "started"}}\n{line}\n')
        assert check_exits(site, Observations()) == [f"a task of g-1 failed: {line}"]
