"""Tests of the listening socket that is opened before the program is loaded."""

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
CONNECT_TIMEOUT_S = 5.0


@contextmanager
def _settings(text: str) -> Iterator[str]:
    """Yield the path of a settings file with the content `text`."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.ini"
        path.write_text(text)
        yield str(path)


def test_caller_that_connects_during_the_start_is_accepted_later():
    port = free_port()
    with _settings(f"[listen]\nfront = {HOST}:{port}\n") as path:
        listening.open_early(["gateway", "--settings", path])
    with socket.create_connection((HOST, port), CONNECT_TIMEOUT_S) as caller:
        listener = sockets.listen(Address(HOST, port))
        with listener, sockets.accept_nowait(listener) as accepted:
            assert accepted.getpeername() == caller.getsockname()


def test_early_socket_is_returned_once():
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
def test_invalid_arguments_and_settings_open_no_socket(arguments, text):
    port = free_port()
    with _settings(text.format(port=port)) as path:
        listening.open_early([argument.format(path=path) for argument in arguments])
    assert listening.pop_early(HOST, port) is None
    with sockets.listen(Address(HOST, port)) as listener:
        assert listener.getsockname() == (HOST, port)


def test_address_in_use_is_reported_by_the_later_listen():
    with listening.open_listener(HOST, 0) as occupied:
        port = occupied.getsockname()[1]
        with _settings(f"[listen]\nfront = {HOST}:{port}\n") as path:
            listening.open_early(["gateway", "--settings", path])
        try:
            sockets.listen(Address(HOST, port))
        except OSError:
            return
    raise AssertionError("an address in use was bound again")
