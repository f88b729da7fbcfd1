"""Whether long answers are of one run, as their callers got them."""

import re

from soak.callers import CallerResult
from soak.endless_answers import FILLER
from soak.long_answers import answer_part
from soak.long_routes import RESUMABLE_KIND
from tests.fixtures.cut_answers import EVENT_END

_PART = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+) \d+ \.*")


def find_long_problem(result: CallerResult, part_count: int) -> str | None:
    """Return what is wrong with a long answer of `part_count` parts, or None."""
    answer = result.answer
    if answer.status != 200:
        return None
    if not answer.body.strip(FILLER):
        # A target whose answer has surplus bytes sends one byte before them.
        is_claimed_whole = answer.is_framed_as_complete and answer.body != FILLER
        return "no part, and framed as complete" if is_claimed_whole else None
    parts = answer.body.split(EVENT_END)
    rest = parts.pop()
    runs = [_run_name(part) for part in parts]
    problem = _find_run_problem(result.kind, runs)
    if problem is not None:
        return problem
    if answer.is_framed_as_complete and (rest or len(parts) != part_count):
        return f"broken off, and framed as complete by {answer.delimiter.value}"
    expected = [
        answer_part(result.request_id, run_name, number, part_count)
        for number, run_name in enumerate(runs, 1)
    ]
    if [part + EVENT_END for part in parts] != expected:
        return "parts of another answer, or out of order"
    if runs and not _next_part(result, runs, part_count).startswith(rest):
        return "bytes that belong to no part"
    return None


def _run_name(part: bytes) -> str:
    """Return the name of the run that a part is of; it is empty if there is none."""
    match = _PART.fullmatch(part)
    return match[3].decode() if match else ""


def _find_run_problem(kind: str, runs: list[str]) -> str | None:
    """Return which runs an answer is of, if these are more than it may be of."""
    if kind == RESUMABLE_KIND:
        return None
    distinct = list(dict.fromkeys(runs))
    return f"parts of the runs {', '.join(distinct)}" if len(distinct) > 1 else None


def _next_part(result: CallerResult, runs: list[str], part_count: int) -> bytes:
    """Return the part after the last whole one, of the same run."""
    return answer_part(result.request_id, runs[-1], len(runs) + 1, part_count)
