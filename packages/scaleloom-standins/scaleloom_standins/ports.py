"""Free ports on loopback for processes that are started here."""

import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10240
FIRST_EPHEMERAL_PORT = 32768

_random = random.SystemRandom()
_taken_ports: set[int] = set()


def free_port() -> int:
    """
    Return a port that nothing on loopback uses now.

    It lies below the range from which the kernel takes the ports of outgoing
    connections, so that none of those takes it before its process does.
    """
    while True:
        port = _random.randrange(FIRST_PORT, FIRST_EPHEMERAL_PORT)
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
