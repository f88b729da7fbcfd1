"""Tests that play seeds of the fault soak for a minute."""

import random
import tempfile
from pathlib import Path

import trio
from nose2.tools import params

from soak import faults
from soak.play import SoakResult, play

LENGTH_S = 14.0
# Long enough for three targets to end, for contact, and for what comes after it.
CRASHES_S = 12.0
RESTS_S = 7.0
THEN = 10


def _play(seed: int, length_s: float, mechanism=None, kinds=None) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (seed, length_s, Path(directory), 3, mechanism, kinds)
        return trio.run(play, *arguments)


@params(7002, 7006)
def test_seeds_of_many_faults_break_no_promise(seed):
    # These seeds drew from the kinds that there were then.
    kinds = faults.draw_faults(random.Random(seed), faults.FAULTS[:THEN])
    assert _play(seed, LENGTH_S, kinds=kinds).broken == {}


@params(7101)
def test_targets_that_rest_and_leave_are_left_alone(seed):
    kinds = [faults.ask_for_rest, faults.leave_by_answers, faults.signal_gateway]
    assert _play(seed, LENGTH_S, kinds=kinds).broken == {}


def test_the_soak_notices_that_no_rest_is_heard():
    result = _play(7102, RESTS_S, "rests", [faults.ask_for_rest])
    assert "a target that asks for rest gets it" in result.broken


def test_the_soak_notices_that_leaving_is_not_heard():
    result = _play(7102, RESTS_S, "said-leaving", [faults.leave_by_answers])
    assert "what says that it leaves gets no new work" in result.broken


def test_the_soak_notices_that_ends_are_not_counted():
    result = _play(7002, CRASHES_S, "crash-count", [faults.send_crashing_request])
    assert "what ends targets is sent to few" in result.broken


def test_the_soak_notices_that_nothing_is_tried():
    result = _play(7002, CRASHES_S, "crash-trials", [faults.send_crashing_request])
    assert "others are not held back for it" in result.broken
