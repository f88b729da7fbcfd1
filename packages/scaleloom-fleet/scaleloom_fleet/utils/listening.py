"""
Sockets that listen, one of them from before the program is loaded.

Only the standard library is used here, and little of it: loading the rest takes
several times as long, and callers that connect meanwhile should wait instead of
being turned away.
"""

import configparser
import socket
from pathlib import Path

BACKLOG = 1024
ROLE_WITH_FRONT = "gateway"
SETTINGS_FLAG = "--settings"
_opened: dict[tuple[str, int], socket.socket] = {}


def open_listener(host: str, port: int) -> socket.socket:
    """
    Return a non-blocking socket that listens at `host` and `port`.

    Raises
    ------
    OSError
        If the address cannot be had.
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


def open_early(arguments: list[str]) -> None:
    """
    Listen for callers if `arguments` start a gateway whose settings say where.

    Whatever is wrong with arguments, settings or address is left to the checks
    that follow, which report it.
    """
    address = _front_of(arguments)
    if address is None:
        return
    try:
        _opened[address] = open_listener(*address)
    except OSError:
        return


def take_early(host: str, port: int) -> socket.socket | None:
    """Return the socket that was opened early at `host` and `port`, once."""
    return _opened.pop((host, port), None)


def plain_gateway(arguments: list[str]) -> Path | None:
    """Return the settings' path if `arguments` say nothing but to run a gateway."""
    if len(arguments) != 3 or arguments[:2] != [ROLE_WITH_FRONT, SETTINGS_FLAG]:
        return None
    return Path(arguments[2])


def _front_of(arguments: list[str]) -> tuple[str, int] | None:
    """Return where a gateway started with `arguments` listens for callers."""
    if not arguments or arguments[0] != ROLE_WITH_FRONT:
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
