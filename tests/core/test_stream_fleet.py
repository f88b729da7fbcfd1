"""Tests of which streams continue after faults, and at which version."""

from nose2.tools import params

from tests.fixtures.stream_fleets import StreamFleet
from tests.fixtures.stream_routers import FleetKind, Tally

CASES = 200
# The users' rules for one day.
MAX_WRONG = 2
MIN_OWED = 12
MIN_SHARE = 0.5


def _breaks_lost(tally: Tally) -> bool:
    """Return whether too few of the streams that could continue do."""
    return tally.owed >= MIN_OWED and tally.owed_resumed < MIN_SHARE * tally.owed


@params(*range(4))
def test_streams_go_on_at_their_own_version_under_drawn_faults(part):
    for seed in range(part, CASES, 4):
        tally = StreamFleet(seed).play()
        assert tally.wrong <= MAX_WRONG, (seed, tally)
        assert not _breaks_lost(tally), (seed, tally)


@params(FleetKind.ALL_KILLED, FleetKind.OUT_OF_STEP)
def test_no_stream_changes_its_version_as_versions_and_routers_change(kind):
    for seed in range(CASES):
        tally = StreamFleet(seed, kind=kind).play()
        assert tally.wrong == 0, (seed, tally)
        assert not _breaks_lost(tally), (seed, tally)


def test_without_origins_most_plays_break_the_rule():
    tallies = [StreamFleet(seed, knows_origins=False).play() for seed in range(20)]
    assert all(tally.owed >= MIN_OWED for tally in tallies)
    assert sum(tally.wrong > MAX_WRONG for tally in tallies) > len(tallies) / 2
