"""
Tests of a link that long transfers share with others.

They guard against an answer or upload without end
that uses the link up, so that others are refused or late; who was slowed isn't told; a
bad setting of the link is taken.
"""

import tempfile
from pathlib import Path

import trio
from nose2.tools import params

from scaleloom_fleet.conf import check_file
from scaleloom_fleet.conf.gateway_schema import (
    GatewayInstanceSection,
    GatewayObserveSection,
    LimitsSection,
)
from scaleloom_standins.ports import free_port
from tests.fixtures.expositions import parse_page
from tests.fixtures.fleets import runs_in_trio, runs_on_paused_clock
from tests.fixtures.gateways import ask_raw, running_site
from tests.fixtures.link_floods import (
    Flood,
    answer_floods,
    answers_without_end,
    ask_beside,
    upload_without_end,
)
from tests.fixtures.logs import FieldsHandler
from tests.fixtures.processes import gateway_process

REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "gateway.ini"
PAGE_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
LINK_MBPS = 40.0
LIMITS = LimitsSection(link_queue_s=0.25)
PATHS = ("/safe/1", "/once/1", "/stream-once/1", "/stream/1")
SETTLE_S = 0.3
OTHERS = 40
INTERVAL_S = 0.02
LATE_S = 0.05
DESCRIPTORS = 200
MIN_SERVED_SHARE = 0.95
ANSWER_KINDS = [(path, count) for path in PATHS for count in (1, 8)]


def _instance() -> GatewayInstanceSection:
    """Return an instance whose link a flood of one connection can fill."""
    return GatewayInstanceSection("g-1", "a", LINK_MBPS)


async def _serve_others(floods: list[Flood]) -> None:
    """Check that all others are served in time while `floods` go on."""
    async with running_site(instance=_instance(), limits=LIMITS) as site:
        answer_floods(site)
        port = site.gateways[0].front_port
        outcomes = await ask_beside(port, floods, OTHERS, INTERVAL_S, SETTLE_S)
    assert [each.status for each in outcomes] == [200] * OTHERS
    latest_s = max(each.elapsed_s for each in outcomes)
    assert latest_s < LATE_S, latest_s


@params(*ANSWER_KINDS)
@runs_on_paused_clock
async def test_others_are_served_in_time_beside_answers_without_end(path, count):
    await _serve_others([answers_without_end(path)] * count)


@params(1, 8)
@runs_on_paused_clock
async def test_others_are_served_in_time_beside_uploads_without_end(count):
    await _serve_others([upload_without_end] * count)


@runs_on_paused_clock
async def test_others_are_served_in_time_beside_transfers_of_all_kinds():
    floods = [answers_without_end(path) for path in PATHS]
    await _serve_others([*floods, upload_without_end] * 2)


@params("/safe/1", "/once/1", "/stream-once/1")
@runs_in_trio
async def test_a_process_serves_others_beside_answers_without_end(path):
    async with running_site() as site:
        answer_floods(site)
        limits = {"link_queue_s": "0.25"}
        started = gateway_process(site.store_port, limits, DESCRIPTORS)
        async with started as gateway:
            floods = [answers_without_end(path)] * 2
            outcomes = await ask_beside(
                gateway.front_port, floods, OTHERS, INTERVAL_S, SETTLE_S
            )
    served = sum(each.status == 200 for each in outcomes)
    assert served >= MIN_SERVED_SHARE * OTHERS, outcomes


@runs_on_paused_clock
async def test_who_was_slowed_is_logged_and_counted():
    port = free_port()
    observe = GatewayObserveSection(metrics_address=f"127.0.0.1:{port}")
    sections = {"instance": _instance(), "limits": LIMITS, "observe": observe}
    with FieldsHandler.capture("scaleloom.limits", "transfer slowed") as logged:
        async with running_site(**sections) as site:
            answer_floods(site)
            front_port = site.gateways[0].front_port
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(answers_without_end("/once/1"), front_port)
                await trio.sleep(SETTLE_S)
                answer = await ask_raw(port, PAGE_REQUEST)
                nursery.cancel_scope.cancel()
    page = parse_page(answer.body)
    assert page.value("scaleloom_long_transfers") == 2
    assert page.value("scaleloom_link_wait_seconds") > 0
    waited_s = page.value("scaleloom_transfer_wait_seconds_total", direction="answer")
    assert 0.0 < waited_s <= 2 * SETTLE_S
    assert [each["direction"] for each in logged] == ["answer"] * 2
    assert all(each["waited_ms"] >= 100 for each in logged)


@params(
    ("[instance]", "link_mbps = 0", "link_mbps"),
    ("[instance]", "link_mbps = nan", "link_mbps"),
    ("[limits]", "link_queue_s = -1", "link_queue_s"),
    ("[limits]", "long_transfer_share = 1.5", "long_transfer_share"),
    ("[limits]", "long_transfer_share = -0.1", "long_transfer_share"),
)
def test_a_bad_setting_of_the_link_is_reported(section, line, key):
    text = REFERENCE.read_text(encoding="utf-8")
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "gateway.ini"
        path.write_text(text.replace(f"{section}\n", f"{section}\n{line}\n"))
        (message,) = check_file(path, "gateway")
    assert (message.number, message.key) == ("scaleloom.E005", key)
    assert "link" in message.hint
