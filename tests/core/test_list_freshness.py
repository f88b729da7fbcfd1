"""Tests of how a fleet shares the reading of one list."""

from nose2.tools import params

from scaleloom_core.list_freshness import (
    MAX_HIGH_RANK_DELAY_S,
    MAX_RANK_STEPS,
    RANK_STEP_S,
    REPORT_DELAY_INTERVALS,
    ListFreshness,
)

POLL_S = 0.7
STEP_S = 0.05


def _simulate(router_count: int, seconds: float, dead_from_s: float | None = None):
    """Return who read when, with reports every `STEP_S` between all routers."""
    routers = [ListFreshness(POLL_S, confirmed_s=0.0) for _ in range(router_count)]
    readings: list[tuple[float, int]] = []
    for step in range(int(seconds / STEP_S)):
        now_s = step * STEP_S
        for rank, router in enumerate(routers):
            is_dead = dead_from_s is not None and rank == 0 and now_s >= dead_from_s
            if is_dead or now_s < router.due_s(rank):
                continue
            readings.append((now_s, rank))
            router.confirm(now_s)
        freshest_s = max(router.confirmed_s for router in routers)
        for router in routers:
            router.confirm(freshest_s)
    return readings


def test_a_fleet_reads_about_as_often_as_one_router():
    alone, fleet = _simulate(1, 20.0), _simulate(28, 20.0)
    assert len(fleet) <= len(alone) + 2
    assert {rank for _, rank in fleet} == {0}


def test_another_router_reads_soon_after_the_reader_fell_silent():
    readings = _simulate(4, 20.0, dead_from_s=10.0)
    last_s = max(at_s for at_s, rank in readings if rank == 0)
    next_s = min(at_s for at_s, rank in readings if at_s > last_s)
    assert next_s - last_s <= POLL_S + RANK_STEP_S + 2 * STEP_S


def test_high_ranks_follow_closely_and_not_all_at_once():
    freshness = ListFreshness(POLL_S, confirmed_s=3.0)
    last_step_s = 3.0 + POLL_S + MAX_RANK_STEPS * RANK_STEP_S
    due_s = [freshness.due_s(rank) for rank in range(MAX_RANK_STEPS, 420)]
    assert due_s[0] == last_step_s
    assert due_s[-1] <= last_step_s + MAX_HIGH_RANK_DELAY_S
    assert all(later - sooner > 0.01 for sooner, later in zip(due_s[:40], due_s[1:41]))
    freshness.confirm(2.0)
    assert freshness.age_s(4.0) == 1.0


def test_other_ranks_wait_until_reports_can_have_arrived():
    freshness = ListFreshness(POLL_S, confirmed_s=3.0, report_interval_s=0.5)
    assert freshness.due_s(0) == 3.0 + POLL_S
    report_delay_s = REPORT_DELAY_INTERVALS * freshness.report_interval_s
    assert freshness.due_s(1) == 3.0 + POLL_S + report_delay_s + RANK_STEP_S


def test_only_a_list_that_grew_old_was_unavailable():
    freshness = ListFreshness(0.7)
    assert not freshness.was_unavailable(100.0)
    freshness.confirm(100.0)
    assert not freshness.was_unavailable(101.0)
    assert freshness.was_unavailable(103.0)


@params(0.1, 0.5)
def test_a_list_is_confirmed_in_time_although_its_reader_has_ended(interval_s):
    freshness = ListFreshness(POLL_S, confirmed_s=3.0, report_interval_s=interval_s)
    reported_s = freshness.due_s(1) + REPORT_DELAY_INTERVALS * interval_s
    limit_s = freshness.confirmation_limit_s
    assert reported_s <= 3.0 + limit_s + 1e-9
    assert limit_s <= 2.5 * POLL_S + 1.5 * interval_s
