"""Tests of the measurement of answers for roll-outs."""

from nose2.tools import params

from scaleloom_core.answer_observations import (
    PACE_PART_COUNT,
    AnswerObservation,
    BaselineObserver,
)
from scaleloom_core.rollouts.exposure import ExposureBounds, ExposureBudget
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.timing_baselines import NO_TIMINGS, AnswerTimings
from scaleloom_core.rollouts.versions import Track
from tests.fixtures.rollouts import RecordingRolloutState
from tests.fixtures.targets import SERVICE

TIMEOUT_S = 0.4
PART_BYTES = 10
PAUSE_S = 0.05


def _observation(is_stream: bool = True, is_warm: bool = True) -> AnswerObservation:
    """Return an observation of a request that was sent at 1 s."""
    order = RolloutOrder(SERVICE, "v2", 30.0, 1)
    bounds = ExposureBounds()
    rollout_state = RecordingRolloutState(order, 0.0, ExposureBudget(bounds), 1.0)
    return AnswerObservation(
        rollout_state, Track.CANDIDATE, 5, 6, 1.0, TIMEOUT_S, is_stream, is_warm
    )


def _record_parts(
    observation: AnswerObservation, parts: int, first_s: float = 2.0
) -> float:
    """Record `parts` parts from `first_s` on; return the time of the last one."""
    for number in range(parts):
        observation.record_part(PART_BYTES, first_s + number * PAUSE_S)
    return first_s + (parts - 1) * PAUSE_S


@params(2, 3, PACE_PART_COUNT, 40)
def test_a_stream_is_reported_once_with_the_pace_of_its_first_parts(parts):
    observation = _observation()
    end_s = _record_parts(observation, parts)
    observation.record_end(False, end_s + 9.0)
    (reported,) = observation.observer.answers
    assert abs(reported.times.pace_s - PAUSE_S / PART_BYTES) < 1e-9
    assert reported.at_s == (
        2.0 + 7 * PAUSE_S if parts >= PACE_PART_COUNT else end_s + 9.0
    )


@params(0, 1)
def test_a_stream_of_one_part_has_no_pace(parts):
    observation = _observation()
    _record_parts(observation, parts)
    observation.record_end(False, 9.0)
    assert [answer.times.pace_s for answer in observation.observer.answers] == [None]


def test_backpressure_from_the_caller_does_not_count_in_the_pace():
    observation = _observation()
    observation.record_part(PART_BYTES, 2.0)
    observation.record_backpressure(3.0)
    observation.record_part(PART_BYTES, 5.1)
    observation.record_end(False, 5.1)
    (reported,) = observation.observer.answers
    assert abs(reported.times.pace_s - 0.1 / PART_BYTES) < 1e-9


def test_a_stream_that_fails_early_is_reported_as_one_failure():
    observation = _observation()
    _record_parts(observation, PACE_PART_COUNT - 1)
    observation.record_end(True, 3.0)
    assert [(a.is_failed, a.times.pace_s) for a in observation.observer.answers] == [
        (True, None)
    ]


def test_a_stream_that_fails_late_is_reported_again_as_a_failure():
    observation = _observation()
    _record_parts(observation, PACE_PART_COUNT + 3)
    observation.record_end(True, 3.0)
    assert [answer.is_failed for answer in observation.observer.answers] == [
        False,
        True,
    ]


@params((True, 0.25), (False, None))
def test_a_plain_answer_has_a_pace_unless_a_prompt_was_read(is_warm, pace):
    observation = _observation(is_stream=False, is_warm=is_warm)
    observation.record_part(PART_BYTES, 1.1)
    observation.record_body_complete(1.25)
    observation.record_end(False, 1.3)
    assert [answer.times.pace_s for answer in observation.observer.answers] == [pace]


@params((TIMEOUT_S - 0.1, 0), (TIMEOUT_S + 0.1, 1))
def test_a_missing_answer_is_a_failure_only_after_the_timeout(given_s, count):
    observation = _observation()
    observation.record_deadline(1.0 + given_s)
    assert [answer.is_failed for answer in observation.observer.answers] == [
        True
    ] * count


def test_backpressure_from_the_caller_does_not_count_in_the_timeout():
    observation = _observation()
    observation.record_part(PART_BYTES, 1.1)
    observation.record_backpressure(5.0)
    observation.record_deadline(6.0 + TIMEOUT_S - 0.1)
    assert observation.observer.answers == []


@params((True, 1.0), (False, None))
def test_a_stream_has_a_start_time_unless_a_prompt_was_read(is_warm, begun_s):
    observation = _observation(is_warm=is_warm)
    _record_parts(observation, PACE_PART_COUNT)
    (reported,) = observation.observer.answers
    assert reported.times.first_byte_s == begun_s


def test_parts_that_arrive_together_have_no_pace():
    observation = _observation()
    for number in range(3):
        observation.record_part(PART_BYTES, 2.0 + number * 0.001)
    observation.record_end(False, 2.1)
    (reported,) = observation.observer.answers
    assert reported.times == AnswerTimings(1.0, None)


def test_an_answer_of_a_cold_target_has_no_times():
    observation = _observation()
    observation.is_cold = True
    _record_parts(observation, PACE_PART_COUNT)
    (reported,) = observation.observer.answers
    assert reported.times == NO_TIMINGS


def test_the_baseline_is_learnt_before_an_order():
    listener = BaselineObserver()
    for _ in range(20):
        times = AnswerTimings(0.1, None)
        listener.record_answer(Track.CURRENT, 5, 6, False, times, 1.0)
    listener.record_answer(Track.CURRENT, 5, 6, True, AnswerTimings(9.0), 1.0)
    assert listener.baseline.is_slow(5, AnswerTimings(0.4))
    assert not listener.baseline.is_slow(5, AnswerTimings(0.15))


def test_a_complete_plain_answer_is_not_a_failure_at_the_deadline():
    observation = _observation(is_stream=False)
    observation.record_body_complete(1.1)
    observation.record_deadline(9.0)
    assert [answer.is_failed for answer in observation.observer.answers] == [False]


@params((True, False), (False, True))
def test_without_an_order_a_stream_is_measured_until_its_pace_is_known(
    counts_failures, over
):
    observation = _observation()
    observation.counts_failures = counts_failures
    _record_parts(observation, PACE_PART_COUNT - 1)
    assert not observation.is_complete
    observation.record_part(PART_BYTES, 9.0)
    assert observation.is_complete is over
