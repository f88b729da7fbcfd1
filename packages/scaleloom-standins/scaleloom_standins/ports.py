"""Free ports on loopback for processes that are started here."""

import os
import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10240
FIRST_EPHEMERAL_PORT = 32768
# Keeps processes that look for ports at the same time apart, as "FIRST-END".
RANGE_VARIABLE = "SCALELOOM_PORT_RANGE"

_random = random.SystemRandom()
_taken_ports: set[int] = set()


def free_port() -> int:
    """
    Return a port that nothing on loopback uses now.

    It lies below the range from which the kernel takes the ports of outgoing
    connections, so that none of those takes it before its process does.
    """
    given = os.environ.get(RANGE_VARIABLE, f"{FIRST_PORT}-{FIRST_EPHEMERAL_PORT}")
    first, _, end = given.partition("-")
    while True:
        port = _random.randrange(int(first), int(end))
        if port not in _taken_ports and _is_free(port):
            _taken_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    """Return whether both a TCP and a UDP socket can be bound to `port`."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
