"""Tests of the document copies, from which a fleet starts if a topic is down."""

from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    COPIES_TOPIC,
    TARGETS_TOPIC,
    config,
    eventually,
    request_bytes,
    route,
    running_site,
    wait_copies,
)

ROUTERS_TOPIC = "keyed.scaleloom-routers"


@params(
    {TARGETS_TOPIC},
    {CONFIG_TOPIC},
    {CONFIG_TOPIC, TARGETS_TOPIC},
)
@runs_on_paused_clock
async def test_a_restarted_fleet_starts_from_the_copies(down):
    async with running_site() as site:
        await wait_copies(site)
        site.store.down_topics = {*down, ROUTERS_TOPIC}
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert (await started.ask(request_bytes("/safe/1"))).status == 200


@runs_on_paused_clock
async def test_a_change_is_copied():
    async with running_site() as site:
        await wait_copies(site)
        site.store.put(CONFIG_TOPIC, "config", config(2, route("added", "safe")))
        await wait_copies(site, 9)
        site.store.down_topics = {CONFIG_TOPIC, ROUTERS_TOPIC}
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        assert (await started.ask(request_bytes("/added/1"))).status == 200


@runs_on_paused_clock
async def test_nothing_is_written_while_nothing_changes():
    async with running_site() as site:
        await wait_copies(site)
        calls_before = site.store.calls.count("log-append")
        reads_before = len(site.store.calls)

        async def polls_continue() -> bool:
            return len(site.store.calls) > reads_before + 15

        await eventually(polls_continue)
        assert site.store.calls.count("log-append") == calls_before


@runs_on_paused_clock
async def test_an_undecodable_copy_is_ignored():
    async with running_site() as site:
        await wait_copies(site)
        site.store.topic(COPIES_TOPIC).append("config", b"no copy")
        site.store.down_topics = {CONFIG_TOPIC, ROUTERS_TOPIC}
        started = site.start_gateway(site.store_port)

        async def is_refused() -> bool:
            answer = await started.ask(request_bytes("/safe/1"))
            return answer.status == 503

        await eventually(is_refused)
        assert not await started.is_ready()
        site.store.down_topics = set()
        await started.wait_ready()
