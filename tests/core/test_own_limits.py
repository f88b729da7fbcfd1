"""Tests of the overload limits of a router process."""

import math

from nose2.tools import params

from scaleloom_core.process_limits import (
    LATENESS_WINDOW_S,
    LOG_INTERVAL_S,
    RECOVERY_SHARE,
    RESERVED_DESCRIPTORS,
    TRANSIENT_DESCRIPTORS,
    LinkQueue,
    ProcessLimits,
    ProcessResources,
    Resource,
    TimerLateness,
)

TICK_S = 0.05
LIMIT_S = 0.1
LINK_MBPS = 8.0
SECOND_OF_LINK_BYTES = 1_000_000


def _record_all(
    lateness: TimerLateness, late_s: list[float], begun_s: float = 0.0
) -> float:
    """Record the lateness of successive timers; return the time of the last one."""
    now_s = begun_s
    for late in late_s:
        now_s += TICK_S + late
        lateness.record(late, now_s)
    return now_s


def test_a_router_without_limits_admits_all_callers():
    limits = ProcessLimits(ProcessResources())
    limits.lateness.record(9.0, 0.0)
    limits.link.record_sent(10**12, 0.0)
    _record_all(limits.lateness, [9.0] * 20)
    assert limits.find_exhausted_for_caller(10**6, 10**6) is None
    assert limits.find_exhausted_for_request(0, 0, 0.0) is None
    assert not limits.is_near_limit(10**6)


def test_callers_leave_descriptors_for_targets_and_the_router():
    limits = ProcessLimits(ProcessResources(descriptors=RESERVED_DESCRIPTORS + 20))
    assert limits.find_exhausted_for_caller(14, 0) is None
    assert limits.find_exhausted_for_caller(15, 0) is Resource.DESCRIPTORS


def test_requests_are_refused_when_no_descriptors_are_left():
    limits = ProcessLimits(ProcessResources(descriptors=RESERVED_DESCRIPTORS + 20))
    assert limits.find_exhausted_for_request(15, 4, 0.0) is None
    assert limits.find_exhausted_for_request(15, 5, 0.0) is Resource.DESCRIPTORS


def test_descriptors_open_for_other_purposes_count_too():
    limits = ProcessLimits(ProcessResources(descriptors=RESERVED_DESCRIPTORS + 20))
    most = RESERVED_DESCRIPTORS + 20 - TRANSIENT_DESCRIPTORS
    assert limits.find_exhausted_for_caller(0, most) is None
    assert limits.find_exhausted_for_caller(0, most + 1) is Resource.DESCRIPTORS


def test_memory_bounds_callers_where_descriptors_do_not():
    limits = ProcessLimits(ProcessResources(descriptors=10**6, memory_mb=70.4))
    assert limits.find_exhausted_for_caller(99, 0) is None
    assert limits.find_exhausted_for_caller(101, 0) is Resource.MEMORY


def test_infinite_memory_sets_no_limit():
    assert ProcessResources(memory_mb=math.inf).callers == {}


def test_a_router_with_too_few_resources_admits_one_caller():
    limits = ProcessLimits(ProcessResources(descriptors=30, memory_mb=10.0))
    assert limits.find_exhausted_for_caller(1, 0) is not None
    assert ProcessResources(descriptors=30, memory_mb=10.0).callers == {
        Resource.DESCRIPTORS: 1,
        Resource.MEMORY: 1,
    }


def test_a_router_near_its_limit_is_ready_again_with_hysteresis():
    limits = ProcessLimits(ProcessResources(descriptors=RESERVED_DESCRIPTORS + 400))
    seen = [limits.is_near_limit(callers) for callers in (269, 270, 250, 240, 239, 250)]
    assert seen == [False, True, True, True, False, False]


@params([0.09] * 40, [0.4, 0.0] * 20, [0.09, 0.09, 0.0] * 20)
def test_pauses_between_punctual_timers_are_no_overload(late_s):
    lateness = TimerLateness(LIMIT_S)
    _record_all(lateness, late_s * 3)
    assert not lateness.is_over


def test_a_long_pause_is_no_overload():
    lateness = TimerLateness(LIMIT_S)
    now_s = _record_all(lateness, [0.0] * 20 + [30.0])
    _record_all(lateness, [0.0] * 20, now_s)
    assert not lateness.is_over


def test_lasting_lateness_is_an_overload_within_two_windows():
    lateness = TimerLateness(LIMIT_S)
    now_s = _record_all(lateness, [0.0] * 20)
    late = 2 * LIMIT_S
    ticks = math.ceil(2 * LATENESS_WINDOW_S / (TICK_S + late)) + 1
    _record_all(lateness, [late] * ticks, now_s)
    assert lateness.is_over


def test_an_overload_lasts_until_lateness_is_well_below_the_limit():
    lateness = TimerLateness(LIMIT_S)
    now_s = _record_all(lateness, [2 * LIMIT_S] * 20)
    now_s = _record_all(lateness, [0.8 * LIMIT_S] * 40, now_s)
    assert lateness.is_over
    _record_all(lateness, [0.9 * RECOVERY_SHARE * LIMIT_S] * 40, now_s)
    assert not lateness.is_over


def test_a_link_is_full_when_bytes_wait_longer_than_the_limit():
    link = LinkQueue(LINK_MBPS, LIMIT_S)
    link.record_sent(int(0.9 * LIMIT_S * SECOND_OF_LINK_BYTES), 0.0)
    assert not link.is_over(0.0)
    link.record_sent(int(0.2 * LIMIT_S * SECOND_OF_LINK_BYTES), 0.0)
    assert link.is_over(0.0)


def test_a_full_link_is_free_once_the_wait_is_half_the_limit():
    link = LinkQueue(LINK_MBPS, LIMIT_S)
    link.record_sent(2 * int(LIMIT_S * SECOND_OF_LINK_BYTES), 0.0)
    assert link.is_over(0.0)
    assert link.is_over(1.4 * LIMIT_S)
    assert not link.is_over(1.6 * LIMIT_S)


def test_a_link_used_at_its_rate_is_not_full():
    link = LinkQueue(LINK_MBPS, LIMIT_S)
    for tick in range(200):
        link.record_sent(int(TICK_S * SECOND_OF_LINK_BYTES), tick * TICK_S)
    assert not link.is_over(200 * TICK_S)


def test_the_exhausted_resource_for_a_request_is_returned():
    limits = ProcessLimits(ProcessResources(0, 0.0, LINK_MBPS, LIMIT_S, LIMIT_S))
    assert limits.find_exhausted_for_request(0, 0, 0.0) is None
    limits.link.record_sent(SECOND_OF_LINK_BYTES, 0.0)
    assert limits.find_exhausted_for_request(0, 0, 0.0) is Resource.LINK
    _record_all(limits.lateness, [2 * LIMIT_S] * 20)
    assert limits.find_exhausted_for_request(0, 0, 0.0) is Resource.PROCESSOR


def test_refusals_are_logged_at_once_and_then_once_per_interval():
    limits = ProcessLimits(ProcessResources())
    to_log = [
        limits.record_refusal(Resource.LINK, now_s)
        for now_s in (0.0, 1.0, LOG_INTERVAL_S, LOG_INTERVAL_S + 1.0)
    ]
    assert to_log == [1, None, 2, None]
    assert limits.record_refusal(Resource.PROCESSOR, 1.0) == 1
