"""Tests that play drawn roll-outs, and show that their judgement notices."""

import subprocess
import tempfile
from pathlib import Path

import msgspec
import trio

from soak.drawn_rollouts import SeedResult, judge, table
from soak.rollouts import play

# Drawn without other faults: a version that fails at once, and a good one.
BAD_SEED, GOOD_SEED = 3022, 3002
GATEWAYS = 2
PAGE = Path(__file__).parents[1] / "docs" / "howto" / "rolling-out.md"
VERDICT = "the verdict is right and stands"
EXPOSURE = "a bad version gets no more than the bound"


def _play(seed: int, mechanism: str | None = None) -> SeedResult:
    with tempfile.TemporaryDirectory() as directory:
        played = trio.run(play, seed, Path(directory), GATEWAYS, mechanism)
        return judge(seed, played)


def test_a_version_that_fails_is_rolled_back():
    result = _play(BAD_SEED)
    assert result.end == "rolled_back", result
    assert result.broken == {}


def test_the_operators_page_leads_to_why_a_version_was_rolled_back():
    command = next(
        line.strip()
        for line in PAGE.read_text(encoding="utf-8").splitlines()
        if line.startswith("    grep")
    )
    with tempfile.TemporaryDirectory() as directory:
        trio.run(play, BAD_SEED, Path(directory), GATEWAYS)
        found = subprocess.run(
            command.replace("LOGS", "-h g-*.log"),
            shell=True,
            cwd=directory,
            capture_output=True,
            check=True,
        )
    lines = [msgspec.json.decode(line) for line in found.stdout.splitlines()]
    assert "roll-out ordered" in {line["message"] for line in lines}
    # Two routers may find it in the same moment.
    first = next(line for line in lines if line.get("by") == "evidence")
    assert first["stage"] == "rolled_back"
    assert first["bad_answers"] > first["answers"] / 5
    assert first["current_bad_answers"] < first["current_answers"] / 10
    assert first["worst_route"] is not None and first["targets"] >= 2


def test_a_good_version_takes_over():
    result = _play(GOOD_SEED)
    assert result.end in ("done", "done late"), result
    assert VERDICT not in result.broken


def test_a_wrong_verdict_is_noticed():
    assert VERDICT in _play(BAD_SEED, "rollout-verdict").broken


def test_too_many_requests_for_a_bad_version_are_noticed():
    assert EXPOSURE in _play(BAD_SEED, "rollout-exposure").broken


def test_the_table_tells_ends_and_what_broke():
    held = SeedResult(1, "fails at once", "calm", True, "rolled_back", 0.2, 0.4, {})
    broken = SeedResult(2, "fails at once", "calm", True, "done", 1.5, None, {"p": []})
    row = table([held, broken]).splitlines()[-1]
    ends = "1 done, 1 rolled_back"
    assert row == f"| fails at once | calm | 2 | {ends} | 1.50 | 0.4 s | 1 |"
