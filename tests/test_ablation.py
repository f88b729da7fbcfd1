"""Tests of the plan of an ablation study and of the comparison of its runs."""

import tempfile
from pathlib import Path

from benchmarks.ablation import (
    BASELINE,
    ROOT,
    Mechanism,
    PlanError,
    Result,
    Run,
    compare_with_baseline,
    disable,
    format_table,
    read_plan,
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


def _result(mechanism: str, seed: int, score: float, *broken_rules: str) -> Result:
    return Result("c", Run(mechanism, "first", "quiet-1", seed), score, broken_rules)


def test_plan_runs_every_mechanism_and_the_baseline():
    mechanisms, runs = read_plan(PLAN)
    assert [mechanism.name for mechanism in mechanisms] == [BASELINE, "waiting"]
    assert len(runs) == len(set(runs)) == 2 * 2 * 2
    assert Run("waiting", "first", "scale-1", 2) in runs


def test_every_mechanism_of_the_plan_can_be_disabled():
    mechanisms, _ = read_plan((ROOT / "benchmarks" / "ablation.ini").read_text())
    assert len(mechanisms) > 10
    for mechanism in mechanisms[1:]:
        text = (ROOT / mechanism.file).read_text(encoding="utf-8")
        assert text.count(mechanism.old) == 1, mechanism.name


def test_disabling_replaces_only_the_named_line():
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.py"
        path.write_text("patience = 5\nother = 5\n")
        disable(Path(folder), Mechanism("waiting", "a.py", "patience = 5", "x = 0"))
        assert path.read_text() == "x = 0\nother = 5\n"


def test_missing_or_repeated_line_raises_plan_error():
    for text in ("", "patience = 5\npatience = 5\n"):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "a.py").write_text(text)
            mechanism = Mechanism("waiting", "a.py", "patience = 5", "x = 0")
            try:
                disable(Path(folder), mechanism)
            except PlanError as error:
                assert "waiting" in str(error)
            else:
                raise AssertionError("no PlanError was raised")


def test_runs_are_paired_by_day_and_seed():
    results = [
        _result(BASELINE, 1, 0.8),
        _result(BASELINE, 2, 0.6),
        _result("waiting", 1, 0.7),
        _result("waiting", 2, 0.6, "LIMIT"),
        _result("waiting", 3, 0.1, "TWICE"),
    ]
    (found,) = compare_with_baseline(results)
    assert round(found.mean, 6) == -0.05
    assert round(found.deviation, 6) == 0.05
    assert (found.pairs, found.broken_rules) == (2, ("LIMIT",))
    assert "| waiting | first | -0.0500 | 0.0500 | 2 | LIMIT |" in format_table([found])


def test_run_without_baseline_is_left_out():
    assert list(compare_with_baseline([_result("waiting", 1, 0.7)])) == []
