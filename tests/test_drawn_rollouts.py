"""Tests that run drawn roll-outs, and show that the checks detect failures."""

import subprocess
import tempfile
from pathlib import Path

import msgspec
import trio

from soak.drawn_rollouts import SeedResult, evaluate, format_table
from soak.rollout_run import run_rollout

# These seeds draw no faults, and a version that fails immediately or a good one.
BAD_SEED, GOOD_SEED = 3022, 3002
GATEWAYS = 2
PAGE = Path(__file__).parents[1] / "docs" / "howto" / "rolling-out.md"
VERDICT = "the verdict is correct and final"
EXPOSURE = "a bad version stays within the exposure bound"


def _run(seed: int, disabled_mechanism: str | None = None) -> SeedResult:
    with tempfile.TemporaryDirectory() as directory:
        run = trio.run(run_rollout, seed, Path(directory), GATEWAYS, disabled_mechanism)
        return evaluate(seed, run)


def test_a_version_that_fails_is_rolled_back():
    result = _run(BAD_SEED)
    assert result.end == "rolled_back", result
    assert result.broken == {}, result


def test_the_operators_page_leads_to_why_a_version_was_rolled_back():
    command = next(
        line.strip()
        for line in PAGE.read_text(encoding="utf-8").splitlines()
        if line.startswith("    grep")
    )
    with tempfile.TemporaryDirectory() as directory:
        trio.run(run_rollout, BAD_SEED, Path(directory), GATEWAYS)
        process = subprocess.run(
            command.replace("LOGS", "-h g-*.log"),
            shell=True,
            cwd=directory,
            capture_output=True,
            check=True,
        )
    lines = [msgspec.json.decode(line) for line in process.stdout.splitlines()]
    assert "roll-out ordered" in {line["message"] for line in lines}
    # Two routers may reach the verdict at the same time.
    first = next((line for line in lines if line.get("by") == "evidence"), None)
    assert first is not None, lines
    assert first["stage"] == "rolled_back", lines
    assert first["bad_answers"] > first["answers"] / 5, lines
    assert first["current_bad_answers"] < first["current_answers"] / 10, lines
    assert first["worst_route"] is not None and first["targets"] >= 2


def test_a_good_version_is_rolled_out():
    result = _run(GOOD_SEED)
    assert result.end in ("done", "done late"), result
    assert VERDICT not in result.broken


def test_a_wrong_verdict_is_detected():
    assert VERDICT in _run(BAD_SEED, "rollout-verdict").broken


def test_excess_exposure_of_a_bad_version_is_detected():
    assert EXPOSURE in _run(BAD_SEED, "rollout-exposure").broken


def test_the_table_counts_final_states_and_broken_seeds():
    passed = SeedResult(1, "fails at once", "calm", True, "rolled_back", 0.2, 0.4, {})
    broken = SeedResult(2, "fails at once", "calm", True, "done", 1.5, None, {"p": []})
    row = format_table([passed, broken]).splitlines()[-1]
    ends = "1 done, 1 rolled_back"
    assert row == f"| fails at once | calm | 2 | {ends} | 1.50 | 0.4 s | 1 |"
