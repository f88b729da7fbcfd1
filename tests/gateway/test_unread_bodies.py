"""
Tests of requests that a target which is silent for a while does not read.

They run on the real clock, since the kernel's timers end connections.
"""

import trio
from nose2.tools import params

from tests.fixtures.fleets import runs_in_trio
from tests.fixtures.gateways import (
    CONFIG_TOPIC,
    eventually,
    request_bytes,
    running_site,
)
from tests.fixtures.silent_sites import DEADLINE_MS, still_config
from tests.fixtures.stub_server import free_listener, port_of, serve_http

SILENCE_S = 1.3
SHORT_BODY = b"short"
# More than a target's kernel takes for a process that reads nothing.
LONG_BODY = b"x" * 500_000
MAX_BODY_BYTES = 1_000_000


def _config() -> dict[str, object]:
    """Return a configuration that allows long bodies."""
    document = still_config(2)
    document["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    return document


@params(
    *(
        (path, is_long)
        for path in ("safe", "once", "stream-once", "stream")
        for is_long in (False, True)
    )
)
@runs_in_trio
async def test_a_request_is_lost_as_a_silent_target_does_not_read_it(path, is_long):
    body = LONG_BODY if is_long else SHORT_BODY
    data = request_bytes(f"/{path}/1", method="POST", body=body)
    data = data.replace(b"Deadline-Ms: 2000", b"Deadline-Ms: %d" % DEADLINE_MS)
    async with running_site(runner_count=1) as site:
        (target,) = site.runners
        listener = free_listener()
        target.port = port_of(listener)
        site.store.put(CONFIG_TOPIC, "config", _config())
        site.put_entry(target, seq=2)

        async def is_in_force() -> bool:
            # Refused as too long by the first configuration.
            answer = await site.ask("/nowhere/1", method="POST", body=LONG_BODY)
            return answer.status == 404

        await eventually(is_in_force)

        async def accept_later() -> None:
            await trio.sleep(SILENCE_S)
            await serve_http(listener, target.answer)

        site.nursery.start_soon(accept_later)
        answer = await site.gateways[0].ask(data, "POST")
        received = [request.body for request in target.received]
    assert (answer.status, answer.is_complete) == (200, True), answer
    assert received == [body]
