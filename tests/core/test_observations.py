"""Tests of what one exchange tells a roll-out."""

from nose2.tools import params

from scaleloom_core.observations import PACED_PARTS, Observation
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.exposure import ExposureBounds, ExposureBudget
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.versions import Track
from tests.fixtures.rollouts import RecordingCourse
from tests.fixtures.targets import SERVICE

PATIENCE_S = 0.4
PART_BYTES = 10
PAUSE_S = 0.05


def _observation(is_stream: bool = True, is_warm: bool = True) -> Observation:
    """Return the observation of a request that was sent at 1 s."""
    order = RolloutOrder(SERVICE, "v2", 30.0, 1)
    bounds = ExposureBounds()
    course: RolloutCourse = RecordingCourse(order, 0.0, ExposureBudget(bounds), 1.0)
    return Observation(
        course, Track.CANDIDATE, 5, 6, 1.0, PATIENCE_S, is_stream, is_warm
    )


def _read(observed: Observation, parts: int, first_s: float = 2.0) -> float:
    """Let `parts` arrive from `first_s` on; return when the last one did."""
    for number in range(parts):
        observed.note_part(PART_BYTES, first_s + number * PAUSE_S)
    return first_s + (parts - 1) * PAUSE_S


@params(2, 3, PACED_PARTS, 40)
def test_a_stream_is_counted_once_with_the_pace_of_its_first_parts(parts):
    observed = _observation()
    end_s = _read(observed, parts)
    observed.note_end(False, end_s + 9.0)
    (noted,) = observed.course.answers
    assert abs(noted.pace - PAUSE_S / PART_BYTES) < 1e-9
    assert noted.at_s == (2.0 + 7 * PAUSE_S if parts >= PACED_PARTS else end_s + 9.0)


@params(0, 1)
def test_a_stream_of_one_part_tells_no_pace(parts):
    observed = _observation()
    _read(observed, parts)
    observed.note_end(False, 9.0)
    assert [answer.pace for answer in observed.course.answers] == [None]


def test_the_time_in_which_a_caller_does_not_read_is_not_the_targets():
    observed = _observation()
    observed.note_part(PART_BYTES, 2.0)
    observed.note_held_up(3.0)
    observed.note_part(PART_BYTES, 5.1)
    observed.note_end(False, 5.1)
    (noted,) = observed.course.answers
    assert abs(noted.pace - 0.1 / PART_BYTES) < 1e-9


def test_a_stream_that_breaks_off_early_is_one_bad_answer():
    observed = _observation()
    _read(observed, PACED_PARTS - 1)
    observed.note_end(True, 3.0)
    assert [(a.is_failed, a.pace) for a in observed.course.answers] == [(True, None)]


def test_a_stream_that_breaks_off_late_is_still_a_bad_answer():
    observed = _observation()
    _read(observed, PACED_PARTS + 3)
    observed.note_end(True, 3.0)
    assert [answer.is_failed for answer in observed.course.answers] == [False, True]


@params((True, 0.25), (False, None))
def test_a_plain_answer_tells_its_time_unless_a_prompt_was_read(is_warm, pace):
    observed = _observation(is_stream=False, is_warm=is_warm)
    observed.note_part(PART_BYTES, 1.1)
    observed.note_whole(1.25)
    observed.note_end(False, 1.3)
    assert [answer.pace for answer in observed.course.answers] == [pace]


@params((PATIENCE_S - 0.1, 0), (PATIENCE_S + 0.1, 1))
def test_a_target_that_had_enough_time_is_to_blame_for_silence(given_s, count):
    observed = _observation()
    observed.note_deadline(1.0 + given_s)
    assert [answer.is_failed for answer in observed.course.answers] == [True] * count


def test_a_caller_that_did_not_read_makes_the_targets_time_no_longer():
    observed = _observation()
    observed.note_part(PART_BYTES, 1.1)
    observed.note_held_up(5.0)
    observed.note_deadline(6.0 + PATIENCE_S - 0.1)
    assert observed.course.answers == []
