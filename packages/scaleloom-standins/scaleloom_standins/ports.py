"""Allocation of free loopback ports for processes of tests and the demo."""

import os
import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10240
FIRST_EPHEMERAL_PORT = 32768
# Port range as "FIRST-END"; separate ranges avoid clashes between concurrent runs.
RANGE_VARIABLE = "SCALELOOM_PORT_RANGE"

_random = random.SystemRandom()
_taken_ports: set[int] = set()


def free_port() -> int:
    """
    Return a loopback port that is free and has not been returned before.

    By default the port lies below the ephemeral range, so that the kernel does not
    assign it to an outgoing connection before the process binds it.
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
