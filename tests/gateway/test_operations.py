"""Tests that the trace command of docs/OPERATIONS.md explains failed requests."""

import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio
from click.testing import CliRunner

from scaleloom_cli.main import main
from soak.processes import GatewayProcess
from soak.seed_run import wait_until_ready
from soak.site import SoakSite, running_soak
from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import (
    COPIES_TOPIC,
    TARGETS_TOPIC,
    Answer,
    ask_raw,
    eventually,
    request_bytes,
)

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
ROUTERS_TOPIC = "keyed.scaleloom-routers"


@asynccontextmanager
async def _one_gateway() -> AsyncIterator[tuple[SoakSite, GatewayProcess]]:
    """Yield a site with one gateway, which runs in a separate process."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_soak(1, Path(directory), 1, None) as site:
            await wait_until_ready(site)
            yield site, site.gateways[0]


async def _ask(gateway: GatewayProcess, path: str, request_id: str) -> Answer:
    """Send a request to a gateway, and return the response."""
    data = request_bytes(path, request_id)
    return await ask_raw(gateway.front_port, data, host=gateway.host)


def _trace(gateway: GatewayProcess, request_id: str) -> str:
    """Return what the trace command prints about a request."""
    arguments = ["trace", request_id, str(gateway.log_path)]
    return CliRunner().invoke(main, arguments).output


def _set_behaviour(site: SoakSite, behaviour: stub_targets.Behaviour) -> None:
    """Set the behaviour of all targets."""
    for target in site.targets:
        target.stub.behaviour = behaviour


@runs_in_trio
async def test_a_refusal_without_a_list_of_targets_is_explained():
    async with _one_gateway() as (site, gateway):
        site.store.down_topics = {TARGETS_TOPIC, COPIES_TOPIC, ROUTERS_TOPIC}
        gateway.send_signal(signal.SIGKILL)

        async def is_refused() -> bool:
            answer = await _ask(gateway, "/safe/1", "r-refused")
            return answer.status == 503 and "overloaded" in _trace(gateway, "r-refused")

        await eventually(is_refused)
        trace = _trace(gateway, "r-refused")
        for expected in (
            "kind=overloaded",
            "sends=0",
            "tried=[]",
            "list_age_ms=3600000",
        ):
            assert expected in trace, (expected, trace)


@runs_in_trio
async def test_a_bad_gateway_response_is_explained():
    async with _one_gateway() as (site, gateway):
        _set_behaviour(site, stub_targets.close_unanswered)
        assert (await _ask(gateway, "/once/1", "r-bad")).status == 502
        trace = _trace(gateway, "r-bad")
        ran_at = [t.stub.id for t in site.targets if t.stub.runs["r-bad"]]
    for expected in ("kind=target_failed", "sends=1", f"tried={ran_at}"):
        assert expected in trace, (expected, trace)


@runs_in_trio
async def test_a_missed_deadline_is_explained():
    async with _one_gateway() as (site, gateway):
        _set_behaviour(site, stub_targets.stay_silent)
        sent_s = trio.current_time()
        assert (await _ask(gateway, "/once/1", "r-late")).status == 504
        waited_ms = (trio.current_time() - sent_s) * 1000
        trace = _trace(gateway, "r-late")
    assert "kind=deadline_passed" in trace
    held_ms = int(trace.partition("held_ms=")[2].split()[0])
    assert 1900 < held_ms <= waited_ms


def test_the_page_names_the_keys_of_a_trace():
    page = PAGE.read_text(encoding="utf-8")
    for name in ("kind", "sends", "held_ms", "tried", "list_age_ms", "held_there"):
        assert f'"{name}"' in page
    assert "scaleloom trace" in page
