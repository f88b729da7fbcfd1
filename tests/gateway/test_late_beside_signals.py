"""
Tests of late requests in a stop during which the process gets further signals.

Guards against a second stop signal or a reload that ends the stop early: requests that
were taken would be cut with no answer.
"""

import signal

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import running_site
from tests.fixtures.late_requests import LateCallers, answers_after
from tests.fixtures.processes import (
    change_settings,
    prepared_gateway,
    started_gateway,
)

STOP = {"notice_s": "0.4", "grace_s": "3.0"}
CHANGED = {"stop": {"notice_s": "0", "grace_s": "0.5"}}
END_LIMIT_S = 4.0
KEPT_COUNT = 4
PAUSE_S = 0.3
QUICK_S, SLOW_S, ENDLESS_S = 0.1, 1.2, 30.0
FURTHER = (
    (),
    (signal.SIGTERM, signal.SIGINT, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGTERM),
)


async def _signal(started, further) -> None:
    """Stop a gateway, and send it further signals."""
    started.process.send_signal(signal.SIGTERM)
    for number in further:
        await trio.sleep(PAUSE_S)
        change_settings(started.settings, CHANGED)
        started.process.send_signal(number)


@params(
    *(
        (delay_s, *further)
        for delay_s in (QUICK_S, SLOW_S, ENDLESS_S)
        for further in FURTHER
    )
)
@runs_in_trio
async def test_late_requests_are_answered_or_refused_beside_signals(delay_s, *further):
    async with running_site(gateway_count=0) as site:
        for target in site.runners:
            target.behaviour = answers_after(delay_s)
        callers = LateCallers(site)
        with prepared_gateway(site.store_port, {"stop": STOP}) as gateway:
            with started_gateway(gateway) as started:
                await started.wait_ready()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(callers.send_new, gateway)
                    for number in range(KEPT_COUNT):
                        nursery.start_soon(callers.send_kept, gateway, 0.03 * number)
                    await trio.sleep(PAUSE_S)
                    await _signal(started, further)
                    assert await started.wait_end(END_LIMIT_S) == 0
    # What reached a target was read; what came to a new connection had to be.
    callers.read_ids |= {a.id for a in callers.requests if site.run_count(a.id)}
    assert callers.requests
    assert not callers.cut()
    assert not callers.unread_on_new()
    assert not callers.refused_and_run()
