"""
Tests of streams taken up at a router that is out of step while a version joins.

Such a router still lists the former version alone. It must not take that for the
version of a stream that began at the new one through another router, which may have
been killed before it told anybody.
"""

from nose2.tools import params

from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.out_of_step import StruckSite, struck_site
from tests.fixtures.stream_versions import V1, V2, Begun, Result, pass_time
from tests.fixtures.version_sites import stream_ids

COUNT = 8
# Time after which the other routers list the new version.
LISTED_S = 0.5
# Shorter than the time for which streams that begin are collected to be announced.
UNTOLD_S = 0.03
STRIKES = {
    "paused": [StruckSite.pause],
    "cut_off": [StruckSite.cut_from_peers, StruckSite.cut_from_store],
    "cut_from_peers": [StruckSite.cut_from_peers],
    "cut_from_store": [StruckSite.cut_from_store],
}


async def _begin_at_second(site: StruckSite, is_sender_new: bool) -> list[Begun]:
    """
    Begin streams through another router, which is killed before it tells of them.

    Parameters
    ----------
    is_sender_new : bool
        Whether that router starts when the second version is listed already.
    """
    (sender,) = site.others
    if is_sender_new:
        sender = await site.versioned.start_gateway()
    else:
        await pass_time(LISTED_S)
    ids = stream_ids(COUNT)
    begun = await site.versioned.begin_and_kill(sender, ids, UNTOLD_S)
    assert V2 in {one.version for one in begun}
    return begun


@params(*STRIKES)
@runs_on_paused_clock
async def test_a_stream_of_a_version_that_takes_over_does_not_go_on_at_the_former(name):
    async with struck_site() as site:
        for strike in STRIKES[name]:
            strike(site)
        site.list_second(state="draining")
        begun = await _begin_at_second(site, is_sender_new=False)
        results = await site.take_up_as_it_wakes(begun, is_delivered=False)
        assert Result.WRONG_VERSION not in results, results
        site.wake()
        results = await site.take_up_as_it_wakes(begun)
        assert Result.WRONG_VERSION not in results, results


@params(*STRIKES)
@runs_on_paused_clock
async def test_a_stream_of_a_router_that_has_just_started_keeps_its_version(name):
    async with struck_site() as site:
        for strike in STRIKES[name]:
            strike(site)
        site.list_second()
        begun = await _begin_at_second(site, is_sender_new=True)
        results = await site.take_up_as_it_wakes(begun, is_delivered=False)
        assert Result.WRONG_VERSION not in results, results


@params(*STRIKES)
@runs_on_paused_clock
async def test_a_stream_of_a_version_that_is_back_does_not_go_on_at_the_former(name):
    async with struck_site() as site:
        site.list_second()
        await pass_time(3.0)
        for runner in site.versioned.site.runners[2:]:
            site.versioned.site.drop_entry(runner)
        await site.pass_a_streams_life()
        for strike in STRIKES[name]:
            strike(site)
        site.list_second()
        begun = await _begin_at_second(site, is_sender_new=False)
        results = await site.take_up_as_it_wakes(begun, is_delivered=False)
        assert Result.WRONG_VERSION not in results, results


@params(0.2, 0.6)
@runs_on_paused_clock
async def test_reports_that_waited_do_not_show_that_the_list_is_current(pause_s):
    async with struck_site() as site:
        site.pause()
        await pass_time(pause_s)
        site.list_second(state="draining")
        begun = await _begin_at_second(site, is_sender_new=False)
        # The store answers later than the reports of the other router are read.
        site.versioned.network.resume(site.struck.host)
        results = await site.take_up_as_it_wakes(begun, is_delivered=False)
        assert Result.WRONG_VERSION not in results, results


@params(1.0, 1.4, 2.5, 6.0)
@runs_on_paused_clock
async def test_streams_go_on_at_their_version_at_a_router_that_wakes(pause_s):
    async with struck_site(router_count=3) as site:
        site.pause()
        site.list_second()
        await pass_time(pause_s)
        sender = site.others[0]
        begun = await site.versioned.begin_many(sender, stream_ids(COUNT))
        results = await site.take_up_as_it_wakes(begun)
        assert results == {Result.WENT_ON: COUNT}, results


@params(0, 1, 2)
@runs_on_paused_clock
async def test_streams_of_one_version_go_on_after_their_router_was_killed(number):
    # One of the routers reads the list for the others.
    async with struck_site(router_count=3) as site:
        sender = site.versioned.gateways[number]
        ids = stream_ids(COUNT)
        begun = await site.versioned.begin_and_kill(sender, ids, UNTOLD_S)
        assert {one.version for one in begun} == {V1}
        for gateway in site.versioned.gateways:
            results = await site.versioned.take_up_all(gateway, begun)
            assert results == {Result.WENT_ON: COUNT}, results


@params(*STRIKES)
@runs_on_paused_clock
async def test_a_version_that_is_the_first_to_be_told_is_told_apart(name):
    async with struck_site(first_version="") as site:
        for strike in STRIKES[name]:
            strike(site)
        site.list_second(state="draining")
        begun = await _begin_at_second(site, is_sender_new=False)
        await pass_time(3.0)
        results = await site.take_up_as_it_wakes(begun, is_delivered=False)
        assert Result.WRONG_VERSION not in results, results
