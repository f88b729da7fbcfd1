"""Tests that a fault in one request or datagram does not affect others."""

import socket

import msgspec
import trio
from nose2.tools import params

from scaleloom_core.fleet_roster import FleetMember, GroupId
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_fleet.gateway import accepting
from scaleloom_fleet.gateway.peer_messages import PeerReport
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    TARGETS_TOPIC,
    config,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.platform_store import StoreFault

ROUTERS_TOPIC = "keyed.scaleloom-routers"
# The list of routers has been read by then.
LIST_READ_S = 0.2


@runs_on_paused_clock
async def test_an_unexpected_exception_fails_one_request_only():
    async def fail(*_) -> None:
        raise RuntimeError("a fault that nobody thought of")

    async with running_site() as site:
        served, accepting.serve = accepting.serve, fail
        try:
            answer = await site.ask("/safe/1")
        finally:
            accepting.serve = served
        assert (answer.status, answer.is_complete) == (500, True)
        assert (await site.ask("/safe/1")).status == 200


@runs_on_paused_clock
async def test_a_gateway_with_a_configuration_and_no_list_keeps_running():
    async with running_site() as site:
        alone = await site.start_gateway_with_own_store(StoreFault.NONE, [])
        alone_store = site.other_stores[-1]
        alone_store.put(CONFIG_TOPIC, "config", config(1))
        alone_store.down_topics.add(TARGETS_TOPIC)

        async def refuses_without_targets() -> bool:
            answer = await alone.ask(request_bytes("/safe/1"))
            return answer.status == 503 and b"overloaded" in answer.body

        await eventually(refuses_without_targets)
        assert await refuses_without_targets()


def _report(sender: str = "127.0.0.9:1", **fields) -> bytes:
    """Return a report of `sender` with `fields`."""
    given = {
        "sender": FleetMember(InstanceId(sender), 0, False),
        "group": GroupId(DataCentreName("a")),
        "config_version": -1,
        "list_position": -1,
        "list_digest": 0,
        "list_age_ms": 0,
        "in_flight": {},
        **fields,
    }
    return msgspec.msgpack.encode(PeerReport(**given))


@params(
    b"",
    b"\x00" * 40,
    b"\xc1",
    _report(sender="nowhere"),
    _report(sender="127.0.0.9:port"),
    _report(config_version=9, list_position=99),
    _report()[:-3],
)
@runs_on_paused_clock
async def test_an_invalid_datagram_changes_nothing(data):
    async with running_site() as site:
        address = site.gateways[0].settings.peer_address
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            sender.sendto(data, (address.host, address.port))
        for number in range(3):
            assert (await site.ask("/safe/1", f"r-{number}")).status == 200


@params("nowhere", "127.0.0.9:port", "")
@runs_on_paused_clock
async def test_a_router_whose_name_is_not_an_address_is_ignored(name):
    async with running_site() as site:
        site.store.topic(ROUTERS_TOPIC).append(name, b"a")
        started = site.start_gateway(site.store_port)
        await started.wait_ready()
        await trio.sleep(LIST_READ_S)
        assert (await started.ask(request_bytes("/safe/1"))).status == 200
        assert not started.stopped.is_set()
