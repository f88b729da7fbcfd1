"""How a target of the soak starts, behind a relay."""

import random

import trio

from soak.relays import Relay
from soak.stillness import Stillness
from soak.targets import SoakTarget
from tests.fixtures.stub_server import free_listener, port_of, serve_http
from tests.fixtures.stub_targets import StubTarget


def start_target(
    name: str,
    service: str,
    rng: random.Random,
    nursery: trio.Nursery,
    version: str,
) -> SoakTarget:
    """Start a target behind a relay of its own."""
    listener = free_listener()
    stub = StubTarget(name, port_of(listener))
    stillness = Stillness()
    relay = Relay(stub.port, stillness)
    target = SoakTarget(stub, relay, service, rng, version=version, nursery=nursery)
    target.stillness = stillness
    stub.behaviour = target.answer
    nursery.start_soon(serve_http, listener, stub.answer, True, target.answer_head)
    nursery.start_soon(target.relay.run)
    return target
