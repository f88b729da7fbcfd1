"""Callers of routes whose answers take long, which wait longer than silences last."""

import random

import trio

from soak.callers import THINK_TIME_S, CallerResult, Observations
from soak.observed_streams import ObservedStream
from soak.processes import GatewayProcess
from soak.resuming_callers import GatewayLinks
from soak.site import SoakSite
from soak.slow_routes import SLOW_KINDS, SLOW_TIMEOUT_S, slow_path
from soak.targets import GATEWAY_HEADER
from tests.fixtures.gateways import Answer, ask_on, request_bytes

PATIENT_CALLER_COUNT = 16
# Longer than the deadline, so that an answer that comes too late is seen as well.
PATIENCE_S = SLOW_TIMEOUT_S + 1.5
LEAVE_SHARE = 0.04
LEAVE_AFTER_RANGE_S = (0.01, 0.6)
NEW_CONNECTION_SHARE = 0.2
# More than a connection takes up while the target reads nothing.
LARGE_BODY = b"x" * 400_000
LARGE_BODY_SHARE = 0.2
_USUAL_DEADLINE = b"Deadline-Ms: 2000"


async def send_slow_requests(
    site: SoakSite, observations: Observations, number: int
) -> None:
    """Send requests for answers that take long, one after another."""
    rng = random.Random(site.rng.random())
    links = GatewayLinks()
    for iteration in range(1_000_000):
        gateway, kind = rng.choice(site.gateways), rng.choice(SLOW_KINDS)
        link = await links.take(gateway)
        if link is not None:
            request_id = f"slow-{kind}-{number}-{iteration}"
            result = await _ask(link, gateway, rng, kind, request_id)
            observations.results.append(result)
            if rng.random() < NEW_CONNECTION_SHARE:
                await trio.aclose_forcefully(link)
            else:
                await links.give_back(gateway, link, result.answer)
        await trio.sleep(THINK_TIME_S)


async def _ask(
    link: trio.SocketStream,
    gateway: GatewayProcess,
    rng: random.Random,
    kind: str,
    request_id: str,
) -> CallerResult:
    """Send one request, and return what came of the answer until the caller left."""
    leaves = rng.random() < LEAVE_SHARE
    limit_s = rng.uniform(*LEAVE_AFTER_RANGE_S) if leaves else PATIENCE_S
    was_stopping, incarnation = gateway.is_stopping, gateway.incarnation
    answer, observed = Answer(None), ObservedStream(link)
    data, method = _request(gateway, rng, kind, request_id)
    started_s = trio.current_time()
    with trio.move_on_after(limit_s) as scope:
        await ask_on(observed, data, method, answer)
    return CallerResult(
        kind,
        request_id,
        gateway,
        incarnation,
        started_s,
        trio.current_time(),
        answer,
        was_stopping,
        scope.cancelled_caught,
        leaves and scope.cancelled_caught,
        deadline_s=SLOW_TIMEOUT_S,
        sent_s=observed.sent_s,
        is_reset=observed.is_reset,
        is_large=method == "POST",
    )


def _request(
    gateway: GatewayProcess, rng: random.Random, kind: str, request_id: str
) -> tuple[bytes, str]:
    """
    Return a request and its method.

    Its deadline is the time-out of the slow routes, and its body may be large.
    """
    body = LARGE_BODY if rng.random() < LARGE_BODY_SHARE else b""
    method = "POST" if body else "GET"
    headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
    deadline = b"Deadline-Ms: %d" % (1000 * SLOW_TIMEOUT_S)
    data = request_bytes(slow_path(kind), request_id, method, body, **headers)
    return data.replace(_USUAL_DEADLINE, deadline), method
