"""Tests of what is played with a mechanism off, and of how it is compared."""

import tempfile
from pathlib import Path

from benchmarks.ablation import (
    NOTHING,
    ROOT,
    Mechanism,
    PlanError,
    Play,
    Result,
    differences,
    read_plan,
    switch_off,
    table,
)

PLAN = """
[site first]
days = quiet-1 scale-1
seeds = 1 2

[off waiting]
file = a.py
old = patience = 5
new = patience = 0
"""


def _result(mechanism: str, seed: int, worth: float, *broken: str) -> Result:
    return Result("c", Play(mechanism, "first", "quiet-1", seed), worth, broken)


def test_a_plan_plays_every_mechanism_and_nothing_off():
    mechanisms, plays = read_plan(PLAN)
    assert [mechanism.name for mechanism in mechanisms] == [NOTHING, "waiting"]
    assert len(plays) == len(set(plays)) == 2 * 2 * 2
    assert Play("waiting", "first", "scale-1", 2) in plays


def test_every_mechanism_of_the_plan_can_be_switched_off():
    mechanisms, _ = read_plan((ROOT / "benchmarks" / "ablation.ini").read_text())
    assert len(mechanisms) > 10
    for mechanism in mechanisms[1:]:
        text = (ROOT / mechanism.file).read_text(encoding="utf-8")
        assert text.count(mechanism.old) == 1, mechanism.name


def test_switching_off_changes_the_one_line():
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.py"
        path.write_text("patience = 5\nother = 5\n")
        switch_off(Path(folder), Mechanism("waiting", "a.py", "patience = 5", "x = 0"))
        assert path.read_text() == "x = 0\nother = 5\n"


def test_a_line_that_is_gone_or_stands_twice_is_reported():
    for text in ("", "patience = 5\npatience = 5\n"):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "a.py").write_text(text)
            mechanism = Mechanism("waiting", "a.py", "patience = 5", "x = 0")
            try:
                switch_off(Path(folder), mechanism)
            except PlanError as error:
                assert "waiting" in str(error)
            else:
                raise AssertionError("nothing was reported")


def test_differences_are_paired_by_day_and_seed():
    results = [
        _result(NOTHING, 1, 0.8),
        _result(NOTHING, 2, 0.6),
        _result("waiting", 1, 0.7),
        _result("waiting", 2, 0.6, "LIMIT"),
        _result("waiting", 3, 0.1, "TWICE"),
    ]
    (found,) = differences(results)
    assert round(found.mean, 6) == -0.05
    assert round(found.spread, 6) == 0.05
    assert (found.pairs, found.broken) == (2, ("LIMIT",))
    assert "| waiting | first | -0.0500 | 0.0500 | 2 | LIMIT |" in table([found])


def test_what_has_no_counterpart_is_left_out():
    assert list(differences([_result("waiting", 1, 0.7)])) == []
