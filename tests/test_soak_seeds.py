"""Tests that play seeds of the fault soak for a minute."""

import tempfile
from pathlib import Path

import trio
from nose2.tools import params

from soak import faults
from soak.play import SoakResult, play

LENGTH_S = 14.0
# Long enough for three targets to end, for contact, and for what comes after it.
CRASHES_S = 12.0


def _play(seed: int, length_s: float, mechanism=None, kinds=None) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (seed, length_s, Path(directory), 3, mechanism, kinds)
        return trio.run(play, *arguments)


@params(7002, 7006)
def test_seeds_of_many_faults_break_no_promise(seed):
    assert _play(seed, LENGTH_S).broken == {}


def test_the_soak_notices_that_ends_are_not_counted():
    result = _play(7002, CRASHES_S, "crash-count", [faults.send_crashing_request])
    assert "what ends targets is sent to few" in result.broken


def test_the_soak_notices_that_nothing_is_tried():
    result = _play(7002, CRASHES_S, "crash-trials", [faults.send_crashing_request])
    assert "others are not held back for it" in result.broken
