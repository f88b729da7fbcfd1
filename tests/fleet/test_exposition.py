"""Tests of the figures behind a metrics page."""

import trio

from scaleloom_core.ids import DataCentreName, ServiceName, TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_fleet.conf.gateway_schema import GatewayObserveSection
from scaleloom_fleet.gateway.gauges import TARGET_BATCH, add_collectors
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.utils.exposition import (
    LABEL_SETS_LIMIT,
    OTHER,
    Definition,
    Figures,
    Form,
)
from tests.fixtures.expositions import read_page
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import gateway_settings

COUNTER = Definition("asked_total", Form.COUNTER, "Asked.", ("who",))
GAUGE = Definition("held", Form.GAUGE, "Held.", ("who",))
TIMES = Definition("took_seconds", Form.HISTOGRAM, "Took.", ("who",), (0.1, 1.0))
SURPLUS = 10
TARGET_COUNT = 20 * TARGET_BATCH


def _page(figures: Figures):
    """Return the page of `figures`."""
    return read_page(figures.render())


def test_counts_beyond_the_limit_of_labels_are_kept_together():
    figures = Figures((COUNTER,), is_on=True)
    for number in range(LABEL_SETS_LIMIT + SURPLUS):
        figures.add(COUNTER, f"w-{number}")
    page = _page(figures)
    assert page.value("asked_total", who=OTHER) == SURPLUS
    assert len(page.samples) == LABEL_SETS_LIMIT + 1


def test_times_beyond_the_limit_of_labels_are_kept_together():
    figures = Figures((TIMES,), is_on=True)
    for number in range(LABEL_SETS_LIMIT + SURPLUS):
        figures.observe(TIMES, 0.5, f"w-{number}")
    page = _page(figures)
    assert page.value("took_seconds_count", who=OTHER) == SURPLUS
    assert page.value("took_seconds_sum", who=OTHER) == 0.5 * SURPLUS


def test_gauges_beyond_the_limit_of_labels_are_left_out_and_counted():
    figures = Figures((GAUGE,), is_on=True)
    for number in range(LABEL_SETS_LIMIT + SURPLUS):
        figures.set(GAUGE, number, f"w-{number}")
    assert len(_page(figures).samples) == LABEL_SETS_LIMIT
    assert figures.folded_count == SURPLUS


def test_a_value_on_the_bound_of_a_bucket_lies_in_it():
    figures = Figures((TIMES,), is_on=True)
    for value in (0.1, 0.11, 1.0, 1.01):
        figures.observe(TIMES, value, "w")
    counts = [count for _, count in _page(figures).buckets("took_seconds", who="w")]
    assert counts == [1, 3, 4]


def test_odd_labels_are_escaped():
    figures = Figures((COUNTER,), is_on=True)
    figures.add(COUNTER, 'a"b\\c\nd')
    assert _page(figures).value("asked_total", who='a\\"b\\\\c\\nd') == 1


def test_nothing_is_kept_where_there_is_no_page():
    figures = Figures((COUNTER, TIMES), is_on=False)
    figures.add(COUNTER, "w")
    figures.observe(TIMES, 1.0, "w")
    assert _page(figures).samples == {}


@runs_on_paused_clock
async def test_a_gauge_whose_labels_are_gone_leaves_the_page():
    figures = Figures((GAUGE,), is_on=True)
    present = ["v-1"]

    async def collect() -> None:
        for name in present:
            figures.set(GAUGE, 1, name)

    figures.collectors.append(collect)
    await figures.collect()
    present[:] = ["v-2"]
    await figures.collect()
    page = _page(figures)
    assert list(page.samples) == [("held", frozenset({("who", "v-2")}))]


@runs_on_paused_clock
async def test_requests_go_on_while_a_page_of_many_targets_is_made():
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

    async def serve_others() -> None:
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_others)
        await state.figures.collect()
        nursery.cancel_scope.cancel()
    assert turns >= TARGET_COUNT // TARGET_BATCH
    page = _page(state.figures)
    assert page.value("scaleloom_targets", state="ready") == TARGET_COUNT
