"""Tests that run short seeds of the fault soak, and show that it detects failures."""

import random
import tempfile
from pathlib import Path

import trio

from soak import faults
from soak.seed_run import SoakResult, run_seed

LENGTH_S = 4.0
SEED = 11


def _run(
    disabled_mechanism: str | None = None, kinds=None, length_s=LENGTH_S
) -> SoakResult:
    with tempfile.TemporaryDirectory() as directory:
        arguments = (SEED, length_s, Path(directory), 2, disabled_mechanism, kinds)
        return trio.run(run_seed, *arguments)


def test_a_short_seed_with_every_fault_breaks_no_promise():
    result = _run(kinds=faults.FAULTS)
    assert result.broken == {}, result.describe()
    assert result.served_count > result.sent_count / 4


def test_a_repeated_run_is_detected():
    result = _run("one-send", [faults.spoil_answers])
    assert "requests that must not repeat run at most once" in result.broken


def test_a_false_not_run_is_detected():
    result = _run("proof-of-not-run", [faults.spoil_answers])
    assert "a request refused as not run has not run" in result.broken


def test_seeds_draw_different_subsets_of_faults():
    subsets = {tuple(faults.draw_faults(random.Random(seed))) for seed in range(20)}
    assert len(subsets) > 10
    assert {fault for kinds in subsets for fault in kinds} == set(faults.FAULTS)
