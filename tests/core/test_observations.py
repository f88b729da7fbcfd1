"""Tests of what one exchange tells a roll-out."""

from nose2.tools import params

from scaleloom_core.observations import PACE_PART_COUNT, Observation, UsualListener
from scaleloom_core.rollouts.exposure import ExposureBounds, ExposureBudget
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.paces import NO_TIMES, AnswerTimes
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
    course = RecordingCourse(order, 0.0, ExposureBudget(bounds), 1.0)
    return Observation(
        course, Track.CANDIDATE, 5, 6, 1.0, PATIENCE_S, is_stream, is_warm
    )


def _read(observed: Observation, parts: int, first_s: float = 2.0) -> float:
    """Let `parts` arrive from `first_s` on; return when the last one did."""
    for number in range(parts):
        observed.note_part(PART_BYTES, first_s + number * PAUSE_S)
    return first_s + (parts - 1) * PAUSE_S


@params(2, 3, PACE_PART_COUNT, 40)
def test_a_stream_is_counted_once_with_the_pace_of_its_first_parts(parts):
    observed = _observation()
    end_s = _read(observed, parts)
    observed.note_end(False, end_s + 9.0)
    (noted,) = observed.listener.answers
    assert abs(noted.times.pace_s - PAUSE_S / PART_BYTES) < 1e-9
    assert noted.at_s == (
        2.0 + 7 * PAUSE_S if parts >= PACE_PART_COUNT else end_s + 9.0
    )


@params(0, 1)
def test_a_stream_of_one_part_tells_no_pace(parts):
    observed = _observation()
    _read(observed, parts)
    observed.note_end(False, 9.0)
    assert [answer.times.pace_s for answer in observed.listener.answers] == [None]


def test_the_time_in_which_a_caller_does_not_read_is_not_the_targets():
    observed = _observation()
    observed.note_part(PART_BYTES, 2.0)
    observed.note_held_up(3.0)
    observed.note_part(PART_BYTES, 5.1)
    observed.note_end(False, 5.1)
    (noted,) = observed.listener.answers
    assert abs(noted.times.pace_s - 0.1 / PART_BYTES) < 1e-9


def test_a_stream_that_breaks_off_early_is_one_bad_answer():
    observed = _observation()
    _read(observed, PACE_PART_COUNT - 1)
    observed.note_end(True, 3.0)
    assert [(a.is_failed, a.times.pace_s) for a in observed.listener.answers] == [
        (True, None)
    ]


def test_a_stream_that_breaks_off_late_is_still_a_bad_answer():
    observed = _observation()
    _read(observed, PACE_PART_COUNT + 3)
    observed.note_end(True, 3.0)
    assert [answer.is_failed for answer in observed.listener.answers] == [False, True]


@params((True, 0.25), (False, None))
def test_a_plain_answer_tells_its_time_unless_a_prompt_was_read(is_warm, pace):
    observed = _observation(is_stream=False, is_warm=is_warm)
    observed.note_part(PART_BYTES, 1.1)
    observed.note_whole(1.25)
    observed.note_end(False, 1.3)
    assert [answer.times.pace_s for answer in observed.listener.answers] == [pace]


@params((PATIENCE_S - 0.1, 0), (PATIENCE_S + 0.1, 1))
def test_a_target_that_had_enough_time_is_to_blame_for_silence(given_s, count):
    observed = _observation()
    observed.note_deadline(1.0 + given_s)
    assert [answer.is_failed for answer in observed.listener.answers] == [True] * count


def test_a_caller_that_did_not_read_makes_the_targets_time_no_longer():
    observed = _observation()
    observed.note_part(PART_BYTES, 1.1)
    observed.note_held_up(5.0)
    observed.note_deadline(6.0 + PATIENCE_S - 0.1)
    assert observed.listener.answers == []


@params((True, 1.0), (False, None))
def test_a_stream_tells_when_it_began_unless_a_prompt_was_read(is_warm, begun_s):
    observed = _observation(is_warm=is_warm)
    _read(observed, PACE_PART_COUNT)
    (noted,) = observed.listener.answers
    assert noted.times.begun_s == begun_s


def test_parts_that_come_together_tell_no_pace():
    observed = _observation()
    for number in range(3):
        observed.note_part(PART_BYTES, 2.0 + number * 0.001)
    observed.note_end(False, 2.1)
    (noted,) = observed.listener.answers
    assert noted.times == AnswerTimes(1.0, None)


def test_a_cold_target_tells_nothing_of_its_version():
    observed = _observation()
    observed.is_cold = True
    _read(observed, PACE_PART_COUNT)
    (noted,) = observed.listener.answers
    assert noted.times == NO_TIMES


def test_what_is_usual_is_learnt_before_an_order():
    listener = UsualListener()
    for _ in range(20):
        times = AnswerTimes(0.1, None)
        listener.note_answer(Track.CURRENT, 5, 6, False, times, 1.0)
    listener.note_answer(Track.CURRENT, 5, 6, True, AnswerTimes(9.0), 1.0)
    assert listener.usual.is_slow(5, AnswerTimes(0.4))
    assert not listener.usual.is_slow(5, AnswerTimes(0.15))


def test_a_plain_answer_that_is_there_whole_is_no_bad_one_whenever_it_is_taken():
    observed = _observation(is_stream=False)
    observed.note_whole(1.1)
    observed.note_deadline(9.0)
    assert [answer.is_failed for answer in observed.listener.answers] == [False]


@params((True, False), (False, True))
def test_without_an_order_a_stream_is_observed_until_its_pace_is_known(judged, over):
    observed = _observation()
    observed.is_judged = judged
    _read(observed, PACE_PART_COUNT - 1)
    assert not observed.is_over
    observed.note_part(PART_BYTES, 9.0)
    assert observed.is_over is over
