"""Tests of the metrics page."""

import socket
from contextlib import asynccontextmanager
from pathlib import Path
from unittest import mock

import trio
from nose2.tools import params

from scaleloom_core.rollouts.state import MIN_TOPIC_KNOWN_S
from scaleloom_fleet.conf.gateway_schema import (
    FleetBoundsSection,
    GatewayObserveSection,
    LimitsSection,
)
from scaleloom_fleet.gateway import accepting, metric_definitions
from scaleloom_fleet.gateway.metrics_page import MAX_CONNECTIONS, PAGE_TTL_S
from scaleloom_fleet.gateway.metrics_reference import render_table
from scaleloom_fleet.utils.exposition import (
    CONTENT_TYPE,
    INFINITY,
    MetricRegistry,
    MetricType,
)
from scaleloom_standins.ports import free_port
from tests.fixtures import stub_targets
from tests.fixtures.endless_inputs import ENDLESS_TARGETS
from tests.fixtures.expositions import ParsedPage, parse_page
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    FIRST_GATEWAY_HOST,
    Site,
    ask_raw,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.logs import FieldsHandler
from tests.fixtures.stub_server import raw_answer
from tests.fixtures.stub_targets import body_of
from tests.fixtures.unframed import answer_unframed, short_body

PAGE_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "metrics.md"
FETCH_TIMEOUT_S = 0.5
WORK_S = 1.0
REQUEST_COUNT = 40
INVALID_PORT = 65536
STALLED_S = 0.3


@asynccontextmanager
async def _site_with_page(**sections):
    """Yield a site whose gateway serves a metrics page, and the page's port."""
    port = free_port()
    observe = GatewayObserveSection(metrics_address=f"{FIRST_GATEWAY_HOST}:{port}")
    async with running_site(observe=observe, **sections) as site:
        yield site, port


async def _fetch(port: int) -> ParsedPage:
    """Return the current page, once the cached one has expired."""
    await trio.sleep(PAGE_TTL_S)
    answer = await ask_raw(port, PAGE_REQUEST)
    assert answer.status == 200
    return parse_page(answer.body)


async def _fail(runner, asked) -> bool:
    """Respond with status 500."""
    await asked.stream.send_all(raw_answer(500, runner.seal(asked)))
    return True


async def _respond_late(runner, asked) -> bool:
    """Respond after `WORK_S`, without blocking other requests."""
    await trio.sleep(WORK_S)
    headers = runner.seal(asked)
    body = b"done"
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    await asked.stream.send_all(head.encode() + b"\r\n" + body)
    return True


@runs_on_paused_clock
async def test_requests_are_counted_by_outcome_and_kind():
    async with _site_with_page() as (site, port):
        for number in range(3):
            await site.ask("/safe/1", f"r-{number}")
        await site.ask("/once/1", "r-once", method="POST", body=b"x")
        await site.ask("/nowhere/")
        await site.ask("/safe/1", key="wrong")
        page = await _fetch(port)
    name = "scaleloom_requests_total"
    assert page.value(name, outcome="served", kind="safe") == 3
    assert page.value(name, outcome="served", kind="unsafe") == 1
    assert page.value(name, outcome="refused", kind="none") == 2
    assert page.total(name) == 6
    reasons = "scaleloom_requests_unserved_total"
    assert page.value(reasons, reason="not_found") == 1
    assert page.value(reasons, reason="unauthenticated") == 1
    assert page.value("scaleloom_attempts_total", verdict="answered") == 4


@params(
    (stub_targets.answer_normally, "/safe/1", "length", "whole"),
    (stub_targets.answer_normally, "/stream/1", "chunks", "whole"),
    (stub_targets.cut_body, "/once/1", "length", "broken"),
    (stub_targets.cut_body, "/stream-once/1", "chunks", "broken"),
    (answer_unframed(body_of), "/once/1", "connection", "unknown"),
    (answer_unframed(short_body, is_reset=True), "/once/1", "connection", "broken"),
)
@runs_on_paused_clock
async def test_answers_are_counted_by_delimiter_and_end(behave, path, delimiter, end):
    message = "answer not known to be complete"
    with FieldsHandler.capture("scaleloom.gateway", message) as lines:
        async with _site_with_page() as (site, port):
            for target in site.runners:
                target.behaviour = behave
            await site.ask(path)
            page = await _fetch(port)
    name = "scaleloom_answers_total"
    assert page.value(name, delimiter=delimiter, end=end) == page.total(name) == 1
    logged = [(line["delimiter"], line["end"]) for line in lines]
    assert logged == ([] if end == "whole" else [(delimiter, end)])


@params(
    ("interim heads", "/once/1", "interim_heads"),
    ("tiny chunks", "/once/1", "tiny_pieces"),
    ("surplus answer", "/once/1", "surplus_answer"),
    ("event", "/stream/1", "event"),
)
@runs_on_paused_clock
async def test_input_that_exceeds_a_bound_is_counted(kind, path, bound):
    async with _site_with_page() as (site, port):
        for target in site.runners:
            target.behaviour = ENDLESS_TARGETS[kind]
        await site.ask(path)
        page = await _fetch(port)
    name = "scaleloom_input_bounds_exceeded_total"
    assert page.value(name, bound=bound) == page.total(name) > 0
    slowed = page.value("scaleloom_inputs_slowed_total")
    assert (slowed > 0) == (kind == "tiny chunks")


@params(({"lateness_s": 0.2}, 0.05), ({}, 1.0))
@runs_on_paused_clock
async def test_a_process_that_stands_still_is_logged_and_counted(limits, tick_s):
    limited = LimitsSection(**limits)
    with FieldsHandler.capture("scaleloom.limits", "process stood still") as lines:
        async with _site_with_page(limits=limited) as (_, port):
            await trio.sleep(3.0)
            assert not lines
            # At most a tick of it has been slept anyway.
            trio.lowlevel.current_clock().jump(STALLED_S + tick_s)
            page = await _fetch(port)
    assert [line["stalled_ms"] >= STALLED_S * 1000 for line in lines] == [True]
    assert page.value("scaleloom_stalls_total") == 1
    assert page.value("scaleloom_stalled_seconds_total") >= STALLED_S


@runs_on_paused_clock
async def test_an_unhandled_exception_is_counted_as_internal():
    async def fail(*_) -> None:
        raise RuntimeError("unexpected fault")

    async with _site_with_page() as (site, port):
        served, accepting.serve = accepting.serve, fail
        try:
            await site.ask("/safe/1")
        finally:
            accepting.serve = served
        page = await _fetch(port)
    assert page.value("scaleloom_requests_unserved_total", reason="internal") == 1


@runs_on_paused_clock
async def test_an_invalid_request_is_counted_as_malformed():
    async with _site_with_page() as (site, port):
        answer = await site.gateways[0].ask(b"GET /a b c HTTP/1.1\r\n\r\n")
        page = await _fetch(port)
    assert answer.status == 400
    assert page.value("scaleloom_requests_unserved_total", reason="malformed") == 1


@runs_on_paused_clock
async def test_retries_refused_by_the_budget_are_counted():
    bounds = FleetBoundsSection(retry_ratio=0.0, retry_extra=0.0)
    async with _site_with_page(bounds=bounds) as (site, port):
        for runner in site.runners:
            runner.behaviour = _fail
        await site.ask("/safe/1")
        page = await _fetch(port)
    refused = page.value("scaleloom_retries_refused_total", service="plain")
    assert refused == 1
    assert page.value("scaleloom_retry_budget_left", service="plain") == 0
    name = "scaleloom_requests_total"
    assert page.value(name, outcome="failed", kind="safe") == 1


@runs_on_paused_clock
async def test_a_caller_that_disconnects_is_counted_as_left():
    async with _site_with_page() as (site, port):
        for runner in site.runners:
            runner.behaviour = _respond_late
        stream = await trio.open_tcp_stream(
            FIRST_GATEWAY_HOST, site.gateways[0].front_port
        )
        await stream.send_all(request_bytes("/safe/1"))
        await eventually(_target_is_reached(site))
        await stream.aclose()
        page = await _fetch(port)
    name = "scaleloom_requests_total"
    assert page.value(name, outcome="left", kind="safe") == 1
    assert page.value("scaleloom_attempts_total", verdict="abandoned") == 1


def _target_is_reached(site: Site):
    """Return an async function that returns whether a target has got a request."""

    async def is_reached() -> bool:
        return any(runner.received for runner in site.runners)

    return is_reached


@params("scaleloom_request_seconds", "scaleloom_request_first_byte_seconds")
@runs_on_paused_clock
async def test_histograms_count_served_requests_and_their_duration(name):
    async with _site_with_page() as (site, port):
        await site.ask("/safe/1", "r-1")
        for runner in site.runners:
            runner.behaviour = _respond_late
        started_s = trio.current_time()
        await site.ask("/safe/1", "r-2")
        elapsed_s = trio.current_time() - started_s
        page = await _fetch(port)
    buckets = page.buckets(name, kind="safe")
    counts = [count for _, count in buckets]
    assert counts == sorted(counts)
    assert buckets[-1] == (INFINITY, 2)
    assert page.value(f"{name}_count", kind="safe") == 2
    assert WORK_S <= page.value(f"{name}_sum", kind="safe") <= elapsed_s + 0.1
    assert dict(buckets)[0.5] == 1


@runs_on_paused_clock
async def test_every_metric_is_declared_on_the_page():
    async with _site_with_page() as (_, port):
        page = await _fetch(port)
    declared = {
        item.name: item.metric_type.value for item in metric_definitions.DEFINITIONS
    }
    assert page.types == declared


@runs_on_paused_clock
async def test_gauges_show_the_state_of_the_gateway():
    async with _site_with_page(gateway_count=1) as (site, port):
        await site.ask("/safe/1")
        page = await _fetch(port)
    assert page.value("scaleloom_configuration_version") == 1
    assert page.value("scaleloom_ready") == 1
    assert page.value("scaleloom_routers") == 1
    assert page.total("scaleloom_targets") == 2
    assert page.value("scaleloom_targets", state="ready") == 2
    assert page.value("scaleloom_service_slots", service="plain") == 16
    assert page.value("scaleloom_retry_budget_left", service="plain") > 0
    assert page.value("scaleloom_store_calls_total", outcome="answered") > 0
    assert page.value("scaleloom_list_age_seconds") < 5
    assert page.value("scaleloom_resident_bytes") > 1 << 20
    assert page.value("scaleloom_open_descriptors") > 3
    assert page.total("scaleloom_start_to_ready_seconds") > 0


@runs_on_paused_clock
async def test_other_paths_are_not_found():
    async with _site_with_page() as (_, port):
        answer = await ask_raw(port, PAGE_REQUEST.replace(b"metrics", b"other"))
    assert answer.status == 404


@runs_on_paused_clock
async def test_the_page_has_the_content_type_of_its_format():
    async with _site_with_page() as (_, port):
        answer = await ask_raw(port, PAGE_REQUEST)
    assert answer.headers["content-type"].encode() == CONTENT_TYPE


@runs_on_paused_clock
async def test_the_page_is_served_while_all_slots_are_taken():
    async with _site_with_page() as (site, port):
        for runner in site.runners:
            runner.behaviour = _respond_late
        statuses: list[int | None] = []

        async def ask(number: int) -> None:
            answer = await site.ask("/safe/1", f"r-{number}")
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(REQUEST_COUNT):
                nursery.start_soon(ask, number)
            await eventually(_target_is_reached(site))
            started_s = trio.current_time()
            answer = await ask_raw(port, PAGE_REQUEST)
            fetch_s = trio.current_time() - started_s
            page = parse_page(answer.body)
        after = await _fetch(port)
    assert fetch_s < FETCH_TIMEOUT_S
    assert page.value("scaleloom_requests_in_flight") > 0
    name = "scaleloom_requests_total"
    assert after.total(name) == REQUEST_COUNT
    assert after.value(name, outcome="served", kind="safe") == statuses.count(200)


@runs_on_paused_clock
async def test_clients_that_do_not_read_do_not_delay_requests():
    async with _site_with_page() as (site, port):
        streams = [
            await trio.open_tcp_stream(FIRST_GATEWAY_HOST, port)
            for _ in range(2 * MAX_CONNECTIONS)
        ]
        for stream in streams[:MAX_CONNECTIONS]:
            await stream.send_all(PAGE_REQUEST * 3)
        answer = await site.ask("/safe/1")
        closed_count = 0
        for stream in streams[MAX_CONNECTIONS:]:
            with trio.fail_after(FETCH_TIMEOUT_S):
                closed_count += await stream.receive_some(1) == b""
        for stream in streams:
            await stream.aclose()
    assert answer.status == 200
    assert closed_count == MAX_CONNECTIONS


@runs_on_paused_clock
async def test_requests_are_served_if_the_metrics_port_is_taken():
    with socket.socket() as taken:
        taken.bind((FIRST_GATEWAY_HOST, 0))
        taken.listen()
        port = taken.getsockname()[1]
        observe = GatewayObserveSection(metrics_address=f"{FIRST_GATEWAY_HOST}:{port}")
        async with running_site(observe=observe) as site:
            answer = await site.ask("/safe/1")
    assert answer.status == 200


@runs_on_paused_clock
async def test_requests_are_served_if_the_metrics_port_is_invalid():
    observe = GatewayObserveSection(
        metrics_address=f"{FIRST_GATEWAY_HOST}:{INVALID_PORT}"
    )
    async with running_site(observe=observe) as site:
        answer = await site.ask("/safe/1")
    assert answer.status == 200


def test_the_reference_contains_the_rendered_table():
    assert render_table() in REFERENCE.read_text(encoding="utf-8")


def test_names_end_with_type_or_unit():
    for item in metric_definitions.DEFINITIONS:
        assert item.name.endswith("_total") == (
            item.metric_type is MetricType.COUNTER
        ), item.name
        is_time = item.metric_type is MetricType.HISTOGRAM
        assert item.name.endswith("_seconds") or not is_time, item.name


@runs_on_paused_clock
async def test_a_failing_collector_does_not_end_the_gateway():
    async def fail() -> None:
        raise RuntimeError("a metric that cannot be collected")

    with mock.patch.object(MetricRegistry, "collect", lambda self: fail()):
        async with _site_with_page() as (site, port):
            assert (await ask_raw(port, PAGE_REQUEST)).status == 500
            assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_the_page_shows_the_progress_of_a_rollout():
    order = {"service": "plain", "target-version": "v2", "duration-s": 30}
    versions = ["v1", "v1", "v2"]
    async with _site_with_page(runner_count=3, versions=versions) as (site, port):
        await trio.sleep(2.0 * MIN_TOPIC_KNOWN_S)
        site.store.put(CONFIG_TOPIC, "rollout/plain", order)
        await trio.sleep(FETCH_TIMEOUT_S)
        for number in range(REQUEST_COUNT):
            await site.ask("/safe/1", f"r-{number}")
        page = await _fetch(port)
    names = {"service": "plain", "version": "v2"}
    assert page.value("scaleloom_rollout_stage", **names) in (1, 2)
    assert page.value("scaleloom_rollout_elapsed_seconds", **names) > FETCH_TIMEOUT_S
    sent = "scaleloom_rollout_requests"
    candidate_count = page.value(sent, **names, track="candidate")
    assert (
        candidate_count
        == sum(len(r.received) for r in site.runners if r.id == "i-3")
        > 0
    )
    assert page.value(sent, **names, track="current") == REQUEST_COUNT - candidate_count
    assert page.value("scaleloom_rollout_bad_answers", **names, track="current") == 0
