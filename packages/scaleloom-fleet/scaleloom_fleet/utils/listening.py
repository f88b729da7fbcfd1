"""
Listening sockets, one of which is opened before the program is loaded.

Callers that connect during the start then wait in the backlog and are not refused.
Only a small part of the standard library is imported here, since loading the rest
takes several times as long.
"""

import configparser
import os
import socket
from pathlib import Path

BACKLOG = 1024
# Standard input, output and error are 0 to 2.
LAST_STREAM = 2
GATEWAY_ROLE = "gateway"
SETTINGS_FLAG = "--settings"
_opened: dict[tuple[str, int], socket.socket] = {}


def open_listener(host: str, port: int) -> socket.socket:
    """
    Return a non-blocking socket listening at `host` and `port`.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    listener.listen(BACKLOG)
    return listener


def open_missing_streams() -> None:
    """
    Open the null device for each standard stream that is closed.

    Otherwise the next socket would get its number, and log lines would go to a caller.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= LAST_STREAM:
        continue
    os.close(descriptor)


def open_early(arguments: list[str]) -> None:
    """
    Open the callers' listener if `arguments` start a gateway.

    Errors in the arguments, the settings or the address are ignored here; the checks
    that follow report them.
    """
    address = _find_front_address(arguments)
    if address is None:
        return
    try:
        _opened[address] = open_listener(*address)
    except OSError:
        return


def pop_early(host: str, port: int) -> socket.socket | None:
    """Return and forget the socket opened early at `host` and `port`, or None."""
    return _opened.pop((host, port), None)


def find_gateway_settings(arguments: list[str]) -> Path | None:
    """Return the settings' path if `arguments` are just ``gateway --settings PATH``."""
    if len(arguments) != 3 or arguments[:2] != [GATEWAY_ROLE, SETTINGS_FLAG]:
        return None
    return Path(arguments[2])


def _find_front_address(arguments: list[str]) -> tuple[str, int] | None:
    """Return the callers' address of a gateway started with `arguments`, or None."""
    if not arguments or arguments[0] != GATEWAY_ROLE:
        return None
    if SETTINGS_FLAG not in arguments[:-1]:
        return None
    path = Path(arguments[arguments.index(SETTINGS_FLAG) + 1])
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
        host, _, port = parser["listen"]["front"].rpartition(":")
        return host, int(port)
    except (OSError, KeyError, ValueError, configparser.Error):
        return None
