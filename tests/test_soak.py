"""Tests that play short seeds of the fault soak, and show that it notices."""

import random
import tempfile
from pathlib import Path

import trio

from soak import faults
from soak.play import SoakResult, play

SHORT_S = 4.0
SEED = 11


def _play(mechanism: str | None = None, kinds=None, length_s=SHORT_S) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (SEED, length_s, Path(directory), 2, mechanism, kinds)
        return trio.run(play, *arguments)


def test_a_short_seed_of_every_fault_breaks_no_promise():
    result = _play(kinds=faults.FAULTS)
    assert result.broken == {}
    assert result.served > result.asked / 4


def test_the_soak_notices_what_runs_twice():
    result = _play("one-send", [faults.spoil_answers])
    assert "nothing runs twice that may not" in result.broken


def test_the_soak_notices_a_false_not_run():
    result = _play("proof-of-not-run", [faults.spoil_answers])
    assert "a refusal that says not run is true" in result.broken


def test_each_seed_draws_its_own_faults():
    drawn = {tuple(faults.draw_faults(random.Random(seed))) for seed in range(20)}
    assert len(drawn) > 10
    assert {fault for kinds in drawn for fault in kinds} == set(faults.FAULTS)
