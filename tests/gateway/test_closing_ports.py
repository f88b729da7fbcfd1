"""
Tests of closing the callers' port at the end of a stop.

Guards against a port that stays open for as long as each turn of a busy process brings
another caller: those that came last were cut with no answer.
"""

import socket
from unittest import mock

import trio
from nose2.tools import params

from scaleloom_fleet.gateway import accepting
from scaleloom_fleet.gateway.process import make_state
from scaleloom_fleet.utils import listening
from scaleloom_standins.ports import free_port
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import gateway_settings

LIMIT_S = 1.0


@params(1, accepting.ACCEPT_BATCH - 1, accepting.ACCEPT_BATCH)
@runs_on_paused_clock
async def test_the_port_is_closed_though_each_turn_brings_callers(count):
    state = make_state(gateway_settings("127.0.0.1", 1, free_port()))
    left = count

    def accept_next(_) -> socket.socket | None:
        """Return some connections, then None, then as many, and so on."""
        nonlocal left
        if not left:
            left = count
            return None
        left -= 1
        return socket.socket()

    with (
        listening.open_listener("127.0.0.1", 0) as listener,
        mock.patch.object(accepting.sockets, "accept_nowait", accept_next),
        mock.patch.object(accepting, "closes_unread", return_value=True),
    ):
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_let_time_pass)
                await accepting.accept_rest(state, listener, nursery)
                nursery.cancel_scope.cancel()
        assert listener.fileno() < 0


async def _let_time_pass() -> None:
    """Advance the clock at each turn, as a busy process takes time for each."""
    while True:
        await trio.lowlevel.checkpoint()
        trio.lowlevel.current_clock().jump(0.1)
