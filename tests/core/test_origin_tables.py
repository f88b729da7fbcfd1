"""Tests of how long a router remembers streams, and how long its list must prove."""

from nose2.tools import params

from scaleloom_core.ids import Version
from scaleloom_core.origin_tables import OriginTables
from scaleloom_core.stream_origins import MIN_RETENTION_S, UNKNOWN_ORIGIN, stream_key
from tests.fixtures.targets import SERVICE, listed_target

V1 = Version("1.1")
KEY = stream_key(SERVICE, None, "r-1")
LONG_S, SHORT_S = 60.0, 12.0
CHANGED_S = 100.0
STEP_S = 0.5


def _shortened(*later_s: float) -> OriginTables:
    """Return tables whose time is shortened at `CHANGED_S`, and set again later."""
    tables = OriginTables()
    tables.set_retention(LONG_S, 0.0)
    for at_s in (CHANGED_S, *later_s):
        tables.set_retention(SHORT_S, at_s)
    return tables


def _confirm_until(tables: OriginTables, from_s: float, to_s: float) -> None:
    """Let the list show one version in a stretch of time."""
    now_s = from_s
    while now_s <= to_s:
        tables.versions.record_listed([listed_target(1, version=V1)], now_s)
        tables.pop_unannounced(1, now_s)
        now_s += STEP_S


def test_a_longer_time_holds_at_once():
    tables = OriginTables()
    assert tables.retention_s == MIN_RETENTION_S
    tables.set_retention(LONG_S, 5.0)
    assert tables.retention_s == tables.origins.retention_s == LONG_S


@params((), (101.0, 130.0, 159.0))
def test_a_shorter_time_holds_once_the_streams_from_before_have_ended(*later_s):
    tables = _shortened(*later_s)
    tables.shorten_retention(CHANGED_S + LONG_S - 0.1)
    assert tables.retention_s == tables.origins.retention_s == LONG_S
    tables.shorten_retention(CHANGED_S + LONG_S)
    assert tables.retention_s == tables.unannounced.retention_s == SHORT_S


def test_a_time_that_gets_longer_again_is_not_shortened():
    tables = _shortened()
    tables.set_retention(LONG_S, CHANGED_S + 1.0)
    tables.shorten_retention(CHANGED_S + LONG_S)
    assert tables.retention_s == LONG_S


def test_a_list_does_not_prove_sooner_because_time_outs_get_shorter():
    tables = _shortened()
    started_s = CHANGED_S - 1.0
    early_s = started_s + SHORT_S + 5.0
    _confirm_until(tables, started_s, early_s)
    assert tables.knowledge(KEY, SERVICE, early_s, early_s) == UNKNOWN_ORIGIN
    late_s = CHANGED_S + LONG_S
    _confirm_until(tables, early_s, late_s)
    assert tables.knowledge(KEY, SERVICE, late_s, late_s).version == V1
