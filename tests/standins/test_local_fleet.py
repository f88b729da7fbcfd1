"""Tests of the allocation of ports."""

from scaleloom_standins.ports import FIRST_EPHEMERAL_PORT, free_port


def test_free_ports_are_distinct_and_not_ephemeral():
    ports = [free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < FIRST_EPHEMERAL_PORT
