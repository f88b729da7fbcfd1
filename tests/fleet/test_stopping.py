"""Tests of graceful stops, with separate processes."""

import trio

from proofs.process_traffic import chats_running
from tests.fixtures.fleets import runs_in_trio, small_fleet

STOP_TIMEOUT_S = 6.0


@runs_in_trio
async def test_a_sidecar_that_streamed_stops_without_waiting_for_idle_connections():
    async with small_fleet(2, 0, 1) as fleet:
        async with chats_running(fleet, ["r1"], chat_count=4) as caller:
            await trio.sleep(1.0)
            with trio.fail_after(STOP_TIMEOUT_S):
                fleet.terminate("e1")
                assert await fleet.wait_stopped("e1") == 0
    assert caller.tally.served > 0
    assert (caller.tally.lost, caller.tally.retried) == (0, 0)
