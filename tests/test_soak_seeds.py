"""Tests that run longer seeds of the fault soak, and show that it detects failures."""

import random
import tempfile
from pathlib import Path

import trio
from nose2.tools import params

from soak import faults, neighbour_faults, silences
from soak.seed_run import SoakResult, run_seed

LENGTH_S = 14.0
# Long enough for three crashes, the recovery time after them, and later requests.
CRASH_LENGTH_S = 12.0
SIGNAL_LENGTH_S = 7.0
# Long enough for the usual share that is served, and for most of a time beside that.
ENDLESS_LENGTH_S = 9.0
# Long enough for some streams to go on at targets that begin them again.
REPEATED_LENGTH_S = 12.0
# Long enough for the time in which a configuration must come into force after a loss.
LOSS_LENGTH_S = 10.0
FAULT_COUNT = 10


def _assert_kept(result: SoakResult) -> None:
    """Assert that no promise was broken, and say which if one was."""
    assert result.broken == {}, result.describe()


def _run(seed: int, length_s: float, disabled_mechanism=None, kinds=None) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (seed, length_s, Path(directory), 3, disabled_mechanism, kinds)
        return trio.run(run_seed, *arguments)


@params(7002, 7006)
def test_seeds_of_many_faults_break_no_promise(seed):
    # Draw from the first faults of the list only, so that a fault added at its end
    # doesn't change what these seeds draw.
    kinds = faults.draw_faults(random.Random(seed), faults.FAULTS[:FAULT_COUNT])
    _assert_kept(_run(seed, LENGTH_S, kinds=kinds))


@params(7101)
def test_back_off_and_draining_signals_are_obeyed(seed):
    kinds = [faults.ask_for_rest, faults.leave_by_answers, faults.signal_gateway]
    _assert_kept(_run(seed, LENGTH_S, kinds=kinds))


@params(7201)
def test_requests_in_flight_at_crashed_targets_are_served_again(seed):
    kinds = [faults.crash_targets, faults.signal_gateway, faults.trouble_store]
    _assert_kept(_run(seed, CRASH_LENGTH_S, kinds=kinds))


@params(7301)
def test_answers_that_end_with_their_connection_are_told_truthfully(seed):
    kinds = [faults.answer_until_close, faults.signal_in_series, faults.cut_target]
    _assert_kept(_run(seed, SIGNAL_LENGTH_S, kinds=kinds))


def test_a_trusted_end_of_a_connection_is_detected():
    kinds = [faults.answer_until_close]
    result = _run(7301, SIGNAL_LENGTH_S, "unknown-end", kinds)
    promise = "answers are complete and belong to their request"
    assert promise in result.broken, result.describe()


@params(7401)
def test_streams_go_on_at_the_version_that_began_them(seed):
    kinds = [faults.change_versions, faults.signal_gateway]
    _assert_kept(_run(seed, SIGNAL_LENGTH_S, kinds=kinds))


def test_streams_that_go_on_at_any_version_are_detected():
    kinds = [faults.change_versions, faults.signal_gateway]
    result = _run(7401, SIGNAL_LENGTH_S, "stream-version", kinds)
    promise = "a stream holds events of one version"
    assert promise in result.broken, result.describe()


@params(7902)
def test_a_stream_has_each_event_once_at_targets_that_begin_again(seed):
    _assert_kept(_run(seed, REPEATED_LENGTH_S, kinds=[faults.begin_streams_again]))


def test_an_ignored_retry_after_is_detected():
    result = _run(7102, SIGNAL_LENGTH_S, "rests", [faults.ask_for_rest])
    assert "gateways back off as Retry-After asks" in result.broken, result.describe()


def test_an_ignored_draining_signal_is_detected():
    result = _run(7102, SIGNAL_LENGTH_S, "said-leaving", [faults.leave_by_answers])
    promise = "a target that announces draining gets no new requests"
    assert promise in result.broken, result.describe()


def test_uncounted_crashes_are_detected():
    result = _run(7002, CRASH_LENGTH_S, "crash-count", [faults.send_crashing_request])
    promise = "a request that crashes targets is sent to few"
    assert promise in result.broken, result.describe()


@params(7702)
def test_requests_at_targets_that_fall_silent_and_go_on_are_answered(seed):
    _assert_kept(_run(seed, SIGNAL_LENGTH_S, kinds=silences.SILENCES))


def test_silent_targets_that_are_given_up_at_once_are_detected():
    result = _run(7702, SIGNAL_LENGTH_S, "attempts-beside", silences.SILENCES)
    promise = "a request that was read is answered or refused"
    assert promise in result.broken, result.describe()


@params(7501, 7502)
def test_a_part_that_crashes_targets_is_found_and_others_are_served(seed):
    kinds = [faults.send_crashing_part, faults.signal_gateway]
    _assert_kept(_run(seed, CRASH_LENGTH_S, kinds=kinds))


def test_crashes_that_are_not_counted_by_part_are_detected():
    result = _run(7501, CRASH_LENGTH_S, "crash-parts", [faults.send_crashing_part])
    promise = "a prompt part that crashes targets is sent to few"
    assert promise in result.broken, result.describe()


@params(7601)
def test_a_gateway_that_gets_most_new_connections_serves_as_before(seed):
    kinds = [faults.steer_callers, faults.change_config]
    _assert_kept(_run(seed, LENGTH_S, kinds=kinds))


def test_the_soak_notices_that_nothing_is_tried():
    # A crashing request alone may take down targets that run nothing else at that
    # moment; then the mechanism that is switched off has nothing to try.
    kinds = [faults.send_crashing_request, faults.crash_targets]
    result = _run(7002, CRASH_LENGTH_S, "crash-trials", kinds)
    promise = "requests that crash nothing are not quarantined"
    assert promise in result.broken, result.describe()


@params(7802, 7804)
def test_neighbours_that_send_without_end_hold_no_gateway(seed):
    kinds = [neighbour_faults.send_without_end]
    _assert_kept(_run(seed, ENDLESS_LENGTH_S, kinds=kinds))


@params(7811)
def test_a_surge_of_long_bodies_stays_within_the_memory(seed):
    kinds = [neighbour_faults.send_long_bodies]
    _assert_kept(_run(seed, SIGNAL_LENGTH_S, kinds=kinds))


@params(7821, 7823)
def test_troubles_of_starts_end_no_gateway(seed):
    kinds = [neighbour_faults.trouble_start]
    _assert_kept(_run(seed, ENDLESS_LENGTH_S, kinds=kinds))


@params(7834, 7838)
def test_long_answers_that_break_off_are_of_one_run(seed):
    kinds = [neighbour_faults.break_off_long_answers]
    _assert_kept(_run(seed, ENDLESS_LENGTH_S, kinds=kinds))


@params(7841)
def test_lost_answers_of_the_store_delay_no_configuration(seed):
    kinds = [neighbour_faults.lose_waiting_answers]
    _assert_kept(_run(seed, LOSS_LENGTH_S, kinds=kinds))


def test_input_that_is_read_without_a_pause_is_detected():
    kinds = [neighbour_faults.send_without_end]
    result = _run(7802, ENDLESS_LENGTH_S, "input-pace", kinds)
    assert "readiness is answered in time" in result.broken, result.describe()


def test_bodies_beyond_the_memory_are_detected():
    kinds = [neighbour_faults.send_long_bodies]
    result = _run(7812, SIGNAL_LENGTH_S, "body-memory", kinds)
    assert "no gateway exceeds its memory" in result.broken, result.describe()


def test_starts_that_wait_for_no_port_are_detected():
    kinds = [neighbour_faults.trouble_start]
    result = _run(7823, ENDLESS_LENGTH_S, "port-wait", kinds)
    assert "no gateway exits unexpectedly" in result.broken, result.describe()
