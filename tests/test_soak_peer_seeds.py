"""
Tests that seeds with one bad peer of the gateways hold, and that failures are seen.

Guards against a soak that no longer draws these faults, or doesn't notice when the
mechanism against one of them is switched off.
"""

import tempfile
from pathlib import Path

import trio

from soak import peer_faults
from soak.faults import FAULT_SEQUENCE_COUNT
from soak.seed_run import SoakResult, run_seed

LENGTH_S = 8.0
# Long enough for each kind, of which the sequences of the seed begin one each.
HELD_LENGTH_S = 10.0
HELD = (
    peer_faults.answer_uploads_early,
    peer_faults.crash_in_answers,
    peer_faults.list_malformed_entries,
    peer_faults.stop_beside_requests,
)
COMPLETE = "answers are complete and belong to their request"
SOUND_USED = "a sound target beside malformed entries is used"
BESIDE_STOP = "a request beside a planned stop is answered or refused"
HEADS = "a head that is none is passed on to nobody"
ONE_RUN = "an answer consists of one run's bytes"


def _run(
    seed: int,
    kinds,
    disabled_mechanism: str | None = None,
    length_s: float = LENGTH_S,
    sequence_count: int = FAULT_SEQUENCE_COUNT,
) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (seed, length_s, Path(directory), 3, disabled_mechanism, kinds)
        return trio.run(run_seed, *arguments, sequence_count)


def test_a_seed_of_these_kinds_breaks_no_promise():
    result = _run(66616, HELD, length_s=HELD_LENGTH_S, sequence_count=len(HELD))
    assert result.broken == {}, result.describe()


def test_an_end_that_is_passed_on_unasked_is_detected():
    result = _run(66202, [peer_faults.crash_in_answers], "crash-asked")
    assert COMPLETE in result.broken, result.describe()


def test_malformed_entries_that_end_the_reading_of_the_list_are_detected():
    kinds = [peer_faults.list_malformed_entries]
    result = _run(66401, kinds, "entries-checked")
    assert SOUND_USED in result.broken, result.describe()


def test_requests_that_the_end_of_a_stop_cuts_are_detected():
    kinds = [peer_faults.stop_beside_requests]
    result = _run(66501, kinds, "last-answers")
    assert BESIDE_STOP in result.broken, result.describe()


def test_heads_that_are_none_are_passed_on_to_nobody():
    result = _run(66301, [peer_faults.malform_heads])
    assert result.broken == {}, result.describe()


def test_heads_that_are_passed_on_unchecked_are_detected():
    result = _run(66301, [peer_faults.malform_heads], "heads-checked")
    assert HEADS in result.broken, result.describe()


def test_a_forgotten_reset_beside_an_upload_is_detected():
    result = _run(66102, [peer_faults.answer_uploads_early], "kept-loss")
    assert ONE_RUN in result.broken, result.describe()
