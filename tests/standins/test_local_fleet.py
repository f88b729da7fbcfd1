"""Tests of the trial fleet's own plumbing."""

from scaleloom_standins.ports import FIRST_EPHEMERAL_PORT, free_port


def test_ports_are_never_given_twice_nor_taken_from_outgoing_connections():
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < FIRST_EPHEMERAL_PORT
