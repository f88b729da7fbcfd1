"""Tests of the allocation of loopback ports."""

import os
import socket
from unittest import mock

import trio
import trio.testing

from scaleloom_standins import ports
from scaleloom_standins.ports import FIRST_EPHEMERAL_PORT, RANGE_VARIABLE, free_port
from tests.fixtures.crashing import RESTART_DELAY_S, CrashingTargets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import running_site

SECOND_GATEWAY_HOST = "127.0.0.2"


def test_each_port_is_returned_once_before_one_is_returned_again():
    first = free_port()
    with mock.patch.dict(os.environ, {RANGE_VARIABLE: f"{first}-{first + 1}"}):
        assert free_port() == free_port() == first


def test_a_port_in_use_at_the_address_of_another_gateway_is_not_returned():
    first = free_port()
    ports._taken_ports.discard(first)
    with socket.create_server((SECOND_GATEWAY_HOST, first)):
        with mock.patch.dict(os.environ, {RANGE_VARIABLE: f"{first}-{first + 2}"}):
            assert {free_port(), free_port()} == {first + 1}


@runs_on_paused_clock
async def test_a_crashed_stand_in_keeps_a_port_that_the_system_does_not_assign():
    async with running_site(runner_count=0, gateway_count=0) as site:
        targets = CrashingTargets(site, lambda request: False)
        site.nursery.start_soon(targets.run)
        await trio.testing.wait_all_tasks_blocked()
        before = site.runners[-1]
        targets.crash(before.id)
        await trio.sleep(RESTART_DELAY_S + 0.1)
        after = site.runners[-1]
    assert before.id != after.id
    assert before.port == after.port < FIRST_EPHEMERAL_PORT
