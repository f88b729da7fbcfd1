"""Tests that docs/OPERATIONS.md leads from a request's id to what failed it."""

import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio
from click.testing import CliRunner

from scaleloom_cli.main import main
from soak.play import wait_ready
from soak.processes import GatewayProcess
from soak.site import SoakSite, running_soak
from tests.fixtures import runners
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
    """Yield a site with one gateway, a process of its own."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_soak(1, Path(directory), 1, None) as site:
            await wait_ready(site)
            yield site, site.gateways[0]


async def _ask(gateway: GatewayProcess, path: str, request_id: str) -> Answer:
    """Return the answer of a gateway to one request."""
    data = request_bytes(path, request_id)
    return await ask_raw(gateway.front_port, data, host=gateway.host)


def _story(gateway: GatewayProcess, request_id: str) -> str:
    """Return what the command of the page prints of one request."""
    arguments = ["trace", request_id, str(gateway.log_path)]
    return CliRunner().invoke(main, arguments).output


def _behave(site: SoakSite, behaviour: runners.Behaviour) -> None:
    """Let every target behave alike."""
    for target in site.targets:
        target.runner.behaviour = behaviour


@runs_in_trio
async def test_a_refusal_without_a_list_of_targets_is_explained():
    async with _one_gateway() as (site, gateway):
        site.store.down_topics = {TARGETS_TOPIC, COPIES_TOPIC, ROUTERS_TOPIC}
        gateway.send(signal.SIGKILL)

        async def is_refused() -> bool:
            answer = await _ask(gateway, "/safe/1", "r-refused")
            return answer.status == 503 and "overloaded" in _story(gateway, "r-refused")

        await eventually(is_refused)
        story = _story(gateway, "r-refused")
        for told in ("kind=overloaded", "sends=0", "tried=[]", "list_age_ms=3600000"):
            assert told in story, (told, story)


@runs_in_trio
async def test_a_bad_gateway_answer_is_explained():
    async with _one_gateway() as (site, gateway):
        _behave(site, runners.close_unanswered)
        assert (await _ask(gateway, "/once/1", "r-bad")).status == 502
        story = _story(gateway, "r-bad")
        ran_at = [t.runner.id for t in site.targets if t.runner.runs["r-bad"]]
    for told in ("kind=target_failed", "sends=1", f"tried={ran_at}"):
        assert told in story, (told, story)


@runs_in_trio
async def test_a_late_answer_is_explained():
    async with _one_gateway() as (site, gateway):
        _behave(site, runners.stay_silent)
        started_s = trio.current_time()
        assert (await _ask(gateway, "/once/1", "r-late")).status == 504
        waited_ms = (trio.current_time() - started_s) * 1000
        story = _story(gateway, "r-late")
    assert "kind=deadline_passed" in story
    held_ms = int(story.partition("held_ms=")[2].split()[0])
    assert 1900 < held_ms <= waited_ms


def test_the_page_names_what_the_stories_rest_on():
    page = PAGE.read_text(encoding="utf-8")
    for name in ("kind", "sends", "held_ms", "tried", "list_age_ms", "held_there"):
        assert f'"{name}"' in page
    assert "scaleloom trace" in page
