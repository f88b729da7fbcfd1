"""Tests of the callers that check the answers which they receive."""

import httpcore
from nose2.tools import params

from scaleloom_fleet.http.clients import HttpClient
from scaleloom_standins.completions import render_event
from scaleloom_standins.traffic import Balancer, Caller, expected_answer

QUESTION = "how is parcel 12 classed"
ANSWER = expected_answer(QUESTION, 1)
EVENT = render_event("s", "m", ANSWER, None).decode()
# An answer may speak of errors.
EVENT_ON_ERRORS = render_event("s", "m", '"error"', None).decode()
LAST = "data: [DONE]\n\n"
ERROR = 'data: {"kind":"answer_cut","error":{"type":"answer_cut"}}\n\n'


def _check(text: str) -> tuple[str | None, int]:
    """Return the answer that a caller takes `text` for, and the truncated ones."""
    caller = Caller(HttpClient(), Balancer({}), "key", "m")
    answer = caller._check_answer(httpcore.Response(200), text, QUESTION, 1)
    return answer, caller.tally.truncated


def test_a_whole_stream_is_an_answer():
    assert _check(EVENT + LAST) == (ANSWER, 0)


@params(
    "",
    EVENT,
    EVENT[:-1],
    EVENT + LAST[:-1],
    EVENT + LAST[:-2],
    EVENT + LAST + EVENT[:-5],
    EVENT_ON_ERRORS,
    EVENT + ERROR[:-2],
    EVENT[:-5] + ERROR,
)
def test_a_stream_that_broke_off_untold_counts_as_truncated(text):
    assert _check(text) == (None, 1)


def test_a_stream_that_ends_with_an_error_is_told_as_broken():
    assert _check(EVENT + ERROR) == (None, 0)
