"""Allocation of free loopback ports for processes of tests and the demo."""

import itertools
import os
import random
import socket

# The addresses at which gateways and stand-ins listen.
LOOPBACKS = tuple(f"127.0.0.{number}" for number in range(1, 9))
LOOPBACK = LOOPBACKS[0]
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
    assign it to an outgoing connection before the process binds it, or between two
    starts of a process. Once all ports of the range were returned, they are returned
    again as far as they are free.
    """
    given = os.environ.get(RANGE_VARIABLE, f"{FIRST_PORT}-{FIRST_EPHEMERAL_PORT}")
    first, _, end = given.partition("-")
    ports = range(int(first), int(end))
    while True:
        if _taken_ports.issuperset(ports):
            _taken_ports.difference_update(ports)
        port = _random.choice(ports)
        if port in _taken_ports:
            continue
        _taken_ports.add(port)
        if _is_free(port):
            return port


def _is_free(port: int) -> bool:
    """Return whether TCP and UDP sockets can be bound to `port` at each address."""
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    for host, kind in itertools.product(LOOPBACKS, kinds):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
