"""Tests that play drawn roll-outs, and show that their judgement notices."""

import tempfile
from pathlib import Path

import trio

from soak.drawn_rollouts import SeedResult, judge, table
from soak.rollouts import play

# Drawn without other faults: a version that fails at once, and a good one.
BAD_SEED, GOOD_SEED = 3022, 3002
GATEWAYS = 2
VERDICT = "the verdict is right and stands"
EXPOSURE = "a bad version gets no more than the bound"


def _play(seed: int, mechanism: str | None = None) -> SeedResult:
    with tempfile.TemporaryDirectory() as directory:
        played = trio.run(play, seed, Path(directory), GATEWAYS, mechanism)
        return judge(seed, played)


def test_a_version_that_fails_is_rolled_back():
    result = _play(BAD_SEED)
    assert result.end == "rolled_back"
    assert result.broken == {}


def test_a_good_version_takes_over():
    result = _play(GOOD_SEED)
    assert result.end in ("done", "done late")
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
