"""
Tests that seeds with one bad peer of the gateways hold, and that failures are seen.

Guards against a soak that no longer draws these faults, or doesn't notice when the
mechanism against one of them is switched off.
"""

import tempfile
from pathlib import Path

import trio

from soak import peer_faults
from soak.seed_run import SoakResult, run_seed

LENGTH_S = 8.0
COMPLETE = "answers are complete and belong to their request"
SOUND_USED = "a sound target beside malformed entries is used"
BESIDE_STOP = "a request beside a planned stop is answered or refused"
ONE_RUN = "an answer consists of one run's bytes"


def _run(seed: int, kinds, disabled_mechanism: str | None = None) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (seed, LENGTH_S, Path(directory), 3, disabled_mechanism, kinds)
        return trio.run(run_seed, *arguments)


def test_the_ends_of_crashed_targets_are_no_ends_of_answers():
    result = _run(66202, [peer_faults.crash_in_answers])
    assert result.broken == {}, result.describe()


def test_an_end_that_is_passed_on_unasked_is_detected():
    result = _run(66202, [peer_faults.crash_in_answers], "crash-asked")
    assert COMPLETE in result.broken, result.describe()


def test_malformed_entries_keep_no_gateway_from_sound_ones():
    result = _run(66401, [peer_faults.list_malformed_entries])
    assert result.broken == {}, result.describe()


def test_malformed_entries_that_end_the_reading_of_the_list_are_detected():
    kinds = [peer_faults.list_malformed_entries]
    result = _run(66401, kinds, "entries-checked")
    assert SOUND_USED in result.broken, result.describe()


def test_requests_beside_planned_stops_are_answered_or_refused():
    result = _run(66501, [peer_faults.stop_beside_requests])
    assert result.broken == {}, result.describe()


def test_requests_that_the_end_of_a_stop_cuts_are_detected():
    kinds = [peer_faults.stop_beside_requests]
    result = _run(66501, kinds, "last-answers")
    assert BESIDE_STOP in result.broken, result.describe()


def test_resets_beside_uploads_are_no_ends_of_answers():
    result = _run(66102, [peer_faults.answer_uploads_early])
    assert result.broken == {}, result.describe()


def test_a_forgotten_reset_beside_an_upload_is_detected():
    result = _run(66102, [peer_faults.answer_uploads_early], "kept-loss")
    assert ONE_RUN in result.broken, result.describe()
