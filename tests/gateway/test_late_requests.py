"""
Tests of requests that come late in the grace of a planned stop.

Guards against requests that were read and then cut with no answer: taken too late to be
answered in time, or given too little time for their last answer in a busy process.
"""

import msgspec
import trio
from nose2.tools import params

from scaleloom_fleet.conf.gateway_schema import GatewayStopSection
from scaleloom_fleet.gateway.state import GatewayState
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import CONFIG_TOPIC, Site, config, route, running_site
from tests.fixtures.late_requests import LateCallers, answers_after
from tests.fixtures.states import captured_states

STOP = GatewayStopSection(notice_s=0.4, grace_s=3.0)
LONG_STOP = GatewayStopSection(notice_s=0.4, grace_s=6.0)
BEGUN_S = 0.5
KEPT_COUNT = 6
AT_ONCE = 60
# The moments at which many requests come at once, after the signal.
AT_ONCE_S = (0.35, 1.5, 2.6, 2.75)
# How long one pass of the runtime's loop takes in a busy process.
PASS_S = (0.0, 0.01, 0.05, 0.2)
# A process whose passes are longer can't read all that comes at its end.
MAX_PASS_S = 0.05
QUICK_S, SLOW_S, ENDLESS_S = 0.1, 1.2, 30.0


async def _be_busy(pass_s: float) -> None:
    """Let each pass of the loop take `pass_s`, so that all timers are late."""
    clock = trio.lowlevel.current_clock()
    while pass_s:
        await trio.lowlevel.checkpoint()
        clock.jump(pass_s)


async def _send_at_once(callers: LateCallers, gateway) -> None:
    """Send many requests at once, at several moments."""
    begun_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for moment_s in AT_ONCE_S:
            await trio.sleep_until(begun_s + moment_s)
            nursery.start_soon(callers.send_at_once, gateway, AT_ONCE)


async def _play(
    site: Site, delay_s: float, pass_s: float = 0.0, is_crowded: bool = False
) -> LateCallers:
    """Return what became of the requests that came while all gateways stopped."""
    for target in site.runners:
        target.behaviour = answers_after(delay_s)
    callers = LateCallers(site)
    async with callers.recorded(), trio.open_nursery() as busy:
        async with trio.open_nursery() as nursery:
            for gateway in site.gateways:
                nursery.start_soon(callers.send_new, gateway)
                for number in range(KEPT_COUNT):
                    nursery.start_soon(callers.send_kept, gateway, 0.03 * number)
            await trio.sleep(BEGUN_S)
            for gateway in site.gateways:
                gateway.stop.set()
                if is_crowded:
                    nursery.start_soon(_send_at_once, callers, gateway)
            busy.start_soon(_be_busy, pass_s)
        for gateway in site.gateways:
            await gateway.stopped.wait()
        busy.cancel_scope.cancel()
    return callers


def _check(callers: LateCallers, may_leave_unread: bool = False) -> None:
    """
    Check that each request that was read was answered, or refused as not run.

    Parameters
    ----------
    may_leave_unread : bool
        Whether the process may end before it reads the last requests.
    """
    assert callers.requests
    assert not callers.cut()
    assert not callers.refused_and_run()
    assert may_leave_unread or not callers.unread_on_new()


@params(
    *(
        (delay_s, is_crowded, pass_s)
        for delay_s in (QUICK_S, SLOW_S, ENDLESS_S)
        for is_crowded in (False, True)
        for pass_s in PASS_S
    )
)
@runs_on_paused_clock
async def test_late_requests_are_answered_or_refused(delay_s, is_crowded, pass_s):
    async with running_site(stop=STOP) as site:
        callers = await _play(site, delay_s, pass_s, is_crowded)
    _check(callers, may_leave_unread=pass_s > MAX_PASS_S)


@params(QUICK_S, SLOW_S, ENDLESS_S)
@runs_on_paused_clock
async def test_late_requests_are_answered_or_refused_as_two_gateways_stop(delay_s):
    async with running_site(gateway_count=2, stop=STOP) as site:
        callers = await _play(site, delay_s, is_crowded=True)
    _check(callers)


async def _change_configurations(site: Site, _) -> None:
    """Change the configuration again and again."""
    for version in range(2, 12):
        added = route(f"added-{version}", "safe")
        site.store.put(CONFIG_TOPIC, "config", config(version, added))
        await trio.sleep(0.3)


async def _change_settings(site: Site, states: list[GatewayState]) -> None:
    """Apply other settings again and again, as SIGHUP does."""
    for notice_s in (0.0, 2.0, 0.1, 1.0) * 3:
        for state in states:
            stop = GatewayStopSection(notice_s=notice_s, grace_s=notice_s + 0.5)
            state.apply_settings(msgspec.structs.replace(state.settings, stop=stop))
        await trio.sleep(0.3)


@params(
    *(
        (change, delay_s)
        for change in (_change_configurations, _change_settings)
        for delay_s in (QUICK_S, SLOW_S, ENDLESS_S)
    )
)
@runs_on_paused_clock
async def test_late_requests_are_answered_or_refused_beside_a_change(change, delay_s):
    with captured_states() as states:
        async with running_site(stop=STOP) as site:
            site.nursery.start_soon(change, site, states)
            callers = await _play(site, delay_s, is_crowded=True)
    _check(callers)


@params(0.05, 0.1, 0.15)
@runs_on_paused_clock
async def test_a_busy_process_answers_the_callers_that_come_last(pass_s):
    async with running_site(stop=LONG_STOP) as site:
        (gateway,) = site.gateways
        for target in site.runners:
            target.behaviour = answers_after(ENDLESS_S)
        slow = route("slow", "unsafe", timeout_ms=10_000)
        site.store.put(CONFIG_TOPIC, "config", config(2, slow))
        await trio.sleep(BEGUN_S)
        callers = LateCallers(site, deadline_ms=10_000, paths=("/slow/1",))
        async with callers.recorded(), trio.open_nursery() as busy:
            async with trio.open_nursery() as nursery:
                # It keeps the port open until the end.
                nursery.start_soon(callers.send_at_once, gateway, 1)
                await trio.sleep(BEGUN_S)
                gateway.stop.set()
                busy.start_soon(_be_busy, pass_s)
                await trio.sleep(LONG_STOP.grace_s / 2)
                for _ in range(KEPT_COUNT):
                    nursery.start_soon(callers.send_new, gateway)
            await gateway.stopped.wait()
            busy.cancel_scope.cancel()
    assert len(callers.requests) > 1
    _check(callers)
