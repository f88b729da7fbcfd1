"""Tests of the table of error responses."""

from pathlib import Path

from scaleloom_core.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    FleetError,
    Outcome,
    RetryAdvice,
)
from scaleloom_fleet.http.problems import make_problem, problem_reply

SAME_KEY = RetryAdvice.SAME_KEY_LATER


def test_every_kind_has_one_row():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_every_row_makes_a_valid_response():
    for kind, response in ERROR_RESPONSES.items():
        error = FleetError(kind, "detail", retry_after_s=2.0)
        problem = make_problem(error, "r")
        reply = problem_reply(error, "r")
        assert 400 <= response.status < 600, kind
        assert (problem.status, problem.kind) == (response.status, kind.value)
        assert problem.outcome == response.outcome.value
        has_retry_after = "retry-after" in reply.headers
        may_retry = response.advice in (RetryAdvice.LATER, SAME_KEY)
        assert has_retry_after == may_retry, kind


def test_not_run_is_stated_only_with_a_proof():
    for kind, response in ERROR_RESPONSES.items():
        states_not_run = response.outcome is Outcome.NOT_RUN
        has_proof = not response.proof.startswith("Nothing is proved")
        assert states_not_run == has_proof, kind


def test_the_reference_page_has_every_row():
    path = Path(__file__).parents[2] / "docs" / "reference" / "errors.md"
    page = path.read_text(encoding="utf-8")
    for kind, response in ERROR_RESPONSES.items():
        row = f"| `{kind.value}` | {response.status} | {response.outcome.value} |"
        assert row in page, kind
