"""The fault in which requests come throughout the planned stops of gateways."""

import random
import signal

import trio

from soak.callers import CallerResult, connect
from soak.observed_streams import ObservedStream, is_unused
from soak.processes import GRACE_S, GatewayProcess
from soak.site import SoakSite
from soak.slow_routes import SLOW_KINDS, SLOW_TIMEOUT_S, slow_path
from soak.targets import GATEWAY_HEADER, WORK_HEADER
from tests.fixtures.gateways import Answer, ask_on, request_bytes

LATE_PREFIX = "late"
KEPT_COUNT = 16
# Sent on connections that are open, and on new ones, until the stop has ended.
REQUEST_PAUSE_RANGE_S = (0.02, 0.15)
KEPT_SHARE = 0.5
# The longest outlasts each stop.
WORK_MS = (0, 0, 300, 1_000, 2_500, 4_000)
# With shorter ones requests are taken until late in a stop.
DEADLINES_MS = (800, 1_500, 5_000)
PATIENCE_S = SLOW_TIMEOUT_S + 1.5
TWO_SHARE = 0.3
SECOND_STOP_SHARE = 0.2
HANGUP_SHARE = 0.2
CHANGE_SHARE = 0.3
BESIDE_AFTER_RANGE_S = (0.1, 3.0)
_USUAL_DEADLINE = b"Deadline-Ms: 2000"


async def stop_beside_requests(site: SoakSite, rng: random.Random) -> None:
    """Stop one gateway or two, and send requests until they have ended."""
    count = 2 if rng.random() < TWO_SHARE else 1
    stopped = rng.sample(site.gateways, min(count, len(site.gateways)))
    async with trio.open_nursery() as nursery:
        for gateway in stopped:
            nursery.start_soon(_stop_one, site, rng, gateway)


async def _stop_one(
    site: SoakSite, rng: random.Random, gateway: GatewayProcess
) -> None:
    """Stop a gateway with open connections, and send requests until it has ended."""
    idle: list[trio.SocketStream] = []
    async with trio.open_nursery() as nursery:
        for _ in range(KEPT_COUNT):
            nursery.start_soon(_send, site, rng, gateway, None, idle, 0)
    incarnation = gateway.incarnation
    gateway.send_signal(signal.SIGTERM)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_disturb_stop, site, rng, gateway)
        with trio.move_on_after(GRACE_S):
            while gateway.incarnation == incarnation and gateway.is_running:
                link, work_ms = _take(idle, rng), rng.choice(WORK_MS)
                nursery.start_soon(_send, site, rng, gateway, link, idle, work_ms)
                await trio.sleep(rng.uniform(*REQUEST_PAUSE_RANGE_S))
    for link in idle:
        await trio.aclose_forcefully(link)


def _take(
    idle: list[trio.SocketStream], rng: random.Random
) -> trio.SocketStream | None:
    """Return an open connection of `idle`, or None for a new one."""
    while idle and rng.random() < KEPT_SHARE:
        link = idle.pop(0)
        if is_unused(link):
            return link
        link.socket.close()
    return None


async def _disturb_stop(
    site: SoakSite, rng: random.Random, gateway: GatewayProcess
) -> None:
    """Send a second stop or a hang-up, or write a configuration, beside a stop."""
    await trio.sleep(rng.uniform(*BESIDE_AFTER_RANGE_S))
    if not gateway.is_stopping:
        return
    if rng.random() < SECOND_STOP_SHARE:
        gateway.send_signal(signal.SIGTERM)
    if rng.random() < HANGUP_SHARE:
        gateway.send_signal(signal.SIGHUP)
    if rng.random() < CHANGE_SHARE:
        site.write_config()


async def _send(
    site: SoakSite,
    rng: random.Random,
    gateway: GatewayProcess,
    link: trio.SocketStream | None,
    idle: list[trio.SocketStream],
    work_ms: int,
) -> None:
    """Send one request, record what came of it, and keep its connection."""
    link = link or await connect(gateway)
    if link is None:
        return
    result = await _ask(rng, gateway, link, work_ms)
    site.late_results.append(result)
    is_kept = result.answer.is_framed_as_complete and not result.is_disconnected
    if is_kept and "connection" not in result.answer.headers:
        idle.append(link)
    else:
        await trio.aclose_forcefully(link)


async def _ask(
    rng: random.Random, gateway: GatewayProcess, link: trio.SocketStream, work_ms: int
) -> CallerResult:
    """Send one request of any kind, and wait for its answer beyond its deadline."""
    kind = rng.choice(SLOW_KINDS)
    request_id = f"{LATE_PREFIX}-{kind}-{rng.getrandbits(48):x}"
    headers = {
        GATEWAY_HEADER.replace("-", "_"): gateway.name,
        WORK_HEADER.replace("-", "_"): str(work_ms),
    }
    data = request_bytes(slow_path(kind), request_id, **headers)
    deadline_ms = rng.choice(DEADLINES_MS)
    data = data.replace(_USUAL_DEADLINE, b"Deadline-Ms: %d" % deadline_ms, 1)
    was_stopping, incarnation = gateway.is_stopping, gateway.incarnation
    answer, observed = Answer(None), ObservedStream(link)
    started_s = trio.current_time()
    with trio.move_on_after(PATIENCE_S) as scope:
        await ask_on(observed, data, "GET", answer)
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
        deadline_s=deadline_ms / 1000,
        sent_s=observed.sent_s,
        is_reset=observed.is_reset,
    )
