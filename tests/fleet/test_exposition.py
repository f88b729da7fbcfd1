"""Tests of the metric registry and the text exposition format."""

import trio

from scaleloom_core.ids import DataCentreName, ServiceName, TargetId
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.conf.gateway_schema import GatewayObserveSection
from scaleloom_fleet.gateway.metric_collectors import TARGET_BATCH, add_collectors
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.utils.exposition import (
    MAX_LABEL_SETS,
    OTHER,
    MetricDefinition,
    MetricRegistry,
    MetricType,
)
from tests.fixtures.expositions import parse_page
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import gateway_settings

COUNTER = MetricDefinition("asked_total", MetricType.COUNTER, "Asked.", ("who",))
GAUGE = MetricDefinition("held", MetricType.GAUGE, "Held.", ("who",))
TIMES = MetricDefinition(
    "took_seconds", MetricType.HISTOGRAM, "Took.", ("who",), (0.1, 1.0)
)
EXCESS_COUNT = 10
TARGET_COUNT = 20 * TARGET_BATCH


def _page(registry: MetricRegistry):
    """Return the parsed page of `registry`."""
    return parse_page(registry.render())


def test_counters_beyond_the_label_limit_are_folded():
    registry = MetricRegistry((COUNTER,), is_enabled=True)
    for number in range(MAX_LABEL_SETS + EXCESS_COUNT):
        registry.add(COUNTER, f"w-{number}")
    page = _page(registry)
    assert page.value("asked_total", who=OTHER) == EXCESS_COUNT
    assert len(page.samples) == MAX_LABEL_SETS + 1


def test_histograms_beyond_the_label_limit_are_folded():
    registry = MetricRegistry((TIMES,), is_enabled=True)
    for number in range(MAX_LABEL_SETS + EXCESS_COUNT):
        registry.observe(TIMES, 0.5, f"w-{number}")
    page = _page(registry)
    assert page.value("took_seconds_count", who=OTHER) == EXCESS_COUNT
    assert page.value("took_seconds_sum", who=OTHER) == 0.5 * EXCESS_COUNT


def test_gauges_beyond_the_label_limit_are_omitted_and_counted():
    registry = MetricRegistry((GAUGE,), is_enabled=True)
    for number in range(MAX_LABEL_SETS + EXCESS_COUNT):
        registry.set(GAUGE, number, f"w-{number}")
    assert len(_page(registry).samples) == MAX_LABEL_SETS
    assert registry.folded_count == EXCESS_COUNT


def test_value_equal_to_a_bucket_bound_is_in_that_bucket():
    registry = MetricRegistry((TIMES,), is_enabled=True)
    for value in (0.1, 0.11, 1.0, 1.01):
        registry.observe(TIMES, value, "w")
    counts = [count for _, count in _page(registry).buckets("took_seconds", who="w")]
    assert counts == [1, 3, 4]


def test_label_values_are_escaped():
    registry = MetricRegistry((COUNTER,), is_enabled=True)
    registry.add(COUNTER, 'a"b\\c\nd')
    assert _page(registry).value("asked_total", who='a\\"b\\\\c\\nd') == 1


def test_disabled_registry_records_nothing():
    registry = MetricRegistry((COUNTER, TIMES), is_enabled=False)
    registry.add(COUNTER, "w")
    registry.observe(TIMES, 1.0, "w")
    assert _page(registry).samples == {}


@runs_on_paused_clock
async def test_gauge_with_vanished_labels_is_removed():
    registry = MetricRegistry((GAUGE,), is_enabled=True)
    present = ["v-1"]

    async def collect() -> None:
        for name in present:
            registry.set(GAUGE, 1, name)

    registry.collectors.append(collect)
    await registry.collect()
    present[:] = ["v-2"]
    await registry.collect()
    page = _page(registry)
    assert list(page.samples) == [("held", frozenset({("who", "v-2")}))]


@runs_on_paused_clock
async def test_other_tasks_run_while_a_large_page_is_collected():
    observe = GatewayObserveSection(metrics_address="127.0.0.1:1")
    state = make_state(gateway_settings("127.0.0.1", 1, 1, observe=observe))
    listed = [
        ListedTarget(
            TargetId(f"t-{n}"), ServiceName("s"), "h", 1, DataCentreName("a"), 1
        )
        for n in range(TARGET_COUNT)
    ]
    state.view.apply_list(listed, 0)
    add_collectors(state)
    turns = 0

    async def run_other_task() -> None:
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_other_task)
        await state.metrics_registry.collect()
        nursery.cancel_scope.cancel()
    assert turns >= TARGET_COUNT // TARGET_BATCH
    page = _page(state.metrics_registry)
    assert page.value("scaleloom_targets", state="ready") == TARGET_COUNT
