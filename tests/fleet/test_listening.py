"""Tests of the socket that is opened before the program is loaded."""

import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from nose2.tools import params

from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.utils import listening
from scaleloom_fleet.utils.addresses import Address
from scaleloom_standins.ports import free_port

HOST = "127.0.0.1"
CONNECT_LIMIT_S = 5.0


@contextmanager
def _settings(text: str) -> Iterator[str]:
    """Yield the path of a settings file that holds `text`."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.ini"
        path.write_text(text)
        yield str(path)


def test_a_caller_that_connects_while_the_program_loads_is_served_later():
    port = free_port()
    with _settings(f"[listen]\nfront = {HOST}:{port}\n") as path:
        listening.open_early(["gateway", "--settings", path])
    with socket.create_connection((HOST, port), CONNECT_LIMIT_S) as caller:
        listener = sockets.listen(Address(HOST, port))
        with listener, sockets.accept_ready(listener) as accepted:
            assert accepted.getpeername() == caller.getsockname()


def test_the_early_socket_is_handed_out_once():
    port = free_port()
    with _settings(f"[listen]\nfront = {HOST}:{port}\n") as path:
        listening.open_early(["gateway", "--settings", path])
    with listening.pop_early(HOST, port):
        assert listening.pop_early(HOST, port) is None


@params(
    ([], "[listen]\nfront = 127.0.0.1:{port}\n"),
    (["router", "--settings", "{path}"], "[listen]\nfront = 127.0.0.1:{port}\n"),
    (["gateway", "--settings"], ""),
    (["gateway", "--settings", "{path}"], "[listen]\nfront = nowhere\n"),
    (["gateway", "--settings", "{path}"], "[listen]\n"),
    (["gateway", "--settings", "{path}"], "not settings at all"),
    (["gateway", "--settings", "{path}.missing"], ""),
)
def test_what_cannot_be_read_is_left_to_the_checks(arguments, text):
    port = free_port()
    with _settings(text.format(port=port)) as path:
        listening.open_early([argument.format(path=path) for argument in arguments])
    assert listening.pop_early(HOST, port) is None
    with sockets.listen(Address(HOST, port)) as listener:
        assert listener.getsockname() == (HOST, port)


def test_an_address_that_is_taken_is_reported_when_the_program_has_loaded():
    with listening.open_listener(HOST, 0) as taken:
        port = taken.getsockname()[1]
        with _settings(f"[listen]\nfront = {HOST}:{port}\n") as path:
            listening.open_early(["gateway", "--settings", path])
        try:
            sockets.listen(Address(HOST, port))
        except OSError:
            return
    raise AssertionError("an address was had twice")
