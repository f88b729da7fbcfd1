"""Tests of sockets whose address is in use or can't be used."""

import errno
import socket
from functools import partial

import trio
import trio.testing
from nose2.tools import params

from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.binding import (
    LOG_INTERVAL_S,
    AddressUnusable,
    open_when_free,
)
from scaleloom_fleet.utils import listening
from scaleloom_fleet.utils.addresses import Address
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.logs import FieldsHandler, ListHandler

HOST = "127.0.0.1"
LOGGER = "scaleloom.sockets"
WAITED_LINES = 3


def _fail(*numbers: int):
    """Return a function that fails with each of `numbers`, and then returns 1."""
    left = list(numbers)

    def open_socket() -> int:
        if left:
            raise OSError(left.pop(0), "not now")
        return 1

    return open_socket


@params(
    (errno.EADDRINUSE,),
    (errno.EADDRNOTAVAIL, errno.EADDRINUSE),
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
)
@runs_on_paused_clock
async def test_a_failure_that_may_pass_is_waited_for(*numbers):
    opened = await open_when_free(_fail(*numbers), Address(HOST, 1), "callers")
    assert opened == 1


@params(errno.EACCES, errno.EPERM, errno.EAFNOSUPPORT, errno.EINVAL)
@runs_on_paused_clock
async def test_a_failure_that_stays_is_raised(number):
    try:
        await open_when_free(_fail(number), Address(HOST, 1), "callers")
    except AddressUnusable as error:
        assert "127.0.0.1:1 for callers: " in str(error)
        return
    raise AssertionError("an address that can't be used was waited for")


@runs_on_paused_clock
async def test_a_wait_is_logged_at_once_at_intervals_and_at_its_end():
    with listening.open_listener(HOST, 0) as occupied:
        address = Address(HOST, occupied.getsockname()[1])
        opened: list[socket.socket] = []

        async def open_listener() -> None:
            listen = partial(sockets.listen, address)
            opened.append(await open_when_free(listen, address, "callers"))

        with (
            ListHandler.capture(LOGGER) as messages,
            FieldsHandler.capture(LOGGER, "port opened") as opened_fields,
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(open_listener)
                await trio.testing.wait_all_tasks_blocked()
                assert messages == ["waiting for port"]
                await trio.sleep((WAITED_LINES - 0.5) * LOG_INTERVAL_S)
                assert opened == []
                occupied.close()
    with opened[0] as listener:
        assert listener.getsockname() == (address.host, address.port)
    assert messages == ["waiting for port"] * WAITED_LINES + ["port opened"]
    waited_s = opened_fields[0]["waited_ms"] / 1000
    assert waited_s >= (WAITED_LINES - 1) * LOG_INTERVAL_S
