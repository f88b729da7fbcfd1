"""Tests of gateways that run out of file descriptors."""

import errno
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from unittest import mock

import trio
from nose2.tools import params
from returns.result import Failure

from scaleloom_fleet.gateway.peer_documents import _query_peer
from scaleloom_fleet.gateway.store_client import StoreClient
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.links import OutgoingRequest
from scaleloom_fleet.utils.addresses import Address
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import FIRST_GATEWAY_HOST, running_site

UNUSED_ADDRESS = Address(FIRST_GATEWAY_HOST, 1)
CALL_LIMIT_S = 1.0
SPIN_LIMIT_S = 1.0
MAX_ATTEMPTS = 2 * int(SPIN_LIMIT_S / 0.02)


@contextmanager
def _no_more_connections(code: int) -> Iterator[None]:
    """Make opening a connection fail with the error `code`."""
    refuse = mock.Mock(side_effect=OSError(code, "none left"))
    names = SimpleNamespace(**{**vars(socket), "socket": refuse})
    with mock.patch.object(sockets, "socket", names):
        yield


@params(errno.EMFILE, errno.ENFILE, errno.ENOBUFS)
@runs_on_paused_clock
async def test_a_request_is_refused_as_not_run_without_a_descriptor_for_its_link(code):
    async with running_site() as site:
        with _no_more_connections(code):
            refused = await site.ask("/once/1", "r-1", method="POST", body=b"x")
        assert refused.status == 503
        assert b'"outcome":"not_run"' in refused.body
        served = await site.ask("/once/1", "r-2", method="POST", body=b"x")
        assert served.status == 200


@runs_on_paused_clock
async def test_a_call_of_the_store_fails_without_a_descriptor_and_no_more():
    client = StoreClient(UNUSED_ADDRESS, CALL_LIMIT_S, lambda *arguments: None)
    request = OutgoingRequest(b"GET", b"/", [], b"")
    with _no_more_connections(errno.EMFILE):
        assert isinstance(await client.call(request), Failure)


@runs_on_paused_clock
async def test_a_peer_is_not_asked_without_a_descriptor():
    with _no_more_connections(errno.EMFILE):
        assert await _query_peer(UNUSED_ADDRESS, b"") == b""


@runs_on_paused_clock
async def test_a_listener_without_descriptors_does_not_spin():
    listener = sockets.listen(Address(FIRST_GATEWAY_HOST, 0))
    attempts = mock.Mock(return_value=None)
    async with await trio.open_tcp_stream(*listener.getsockname()):
        with mock.patch.object(sockets, "accept_nowait", attempts):
            with trio.move_on_after(SPIN_LIMIT_S):
                await sockets.accept(listener)
    listener.close()
    assert 1 <= attempts.call_count <= MAX_ATTEMPTS
