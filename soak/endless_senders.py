"""The fault in which targets or callers send bytes that go on without an end."""

import random
import signal

import trio

from soak.callers import connect
from soak.endless_answers import ONE_BYTE_CHUNKS, EndlessForm
from soak.long_targets import draw_long_targets
from soak.processes import GatewayProcess
from soak.site import SoakSite
from soak.targets import GATEWAY_HEADER
from tests.fixtures.gateways import request_bytes

# Before the first of these faults, for the share that is served without one.
USUAL_S = 2.5
# Up to more than the time in which a stop must end.
ENDLESS_RANGE_S = (3.0, 5.5)
AFFECTED_COUNTS = (1, 1, 2, 4)
CALLER_SHARE = 0.3
CALLER_COUNTS = (1, 1, 2, 4)
STOP_SHARE = 0.3
STOP_AFTER_RANGE_S = (0.5, 1.5)


async def send_without_end(site: SoakSite, rng: random.Random) -> None:
    """Let targets, or callers, send bytes that go on until they are closed."""
    with site.neighbours.alone("endless") as is_alone:
        if not is_alone:
            return
        if not site.neighbours.endless_periods:
            await trio.sleep(USUAL_S)
        async with trio.open_nursery() as nursery:
            if rng.random() < STOP_SHARE:
                nursery.start_soon(_stop_one, site, rng)
            length_s = rng.uniform(*ENDLESS_RANGE_S)
            if rng.random() < CALLER_SHARE:
                await _send_endless_requests(site, rng, length_s)
            else:
                await _send_endless_answers(site, rng, length_s)


async def _stop_one(site: SoakSite, rng: random.Random) -> None:
    """Stop a gateway in an orderly way a moment later."""
    await trio.sleep(rng.uniform(*STOP_AFTER_RANGE_S))
    rng.choice(site.gateways).send_signal(signal.SIGTERM)


async def _send_endless_answers(
    site: SoakSite, rng: random.Random, length_s: float
) -> None:
    """Let some targets answer without an end for a while."""
    form = rng.choice(list(EndlessForm))
    affected = draw_long_targets(site, rng, AFFECTED_COUNTS)
    with site.neighbours.sending(f"{form.value} of {len(affected)} targets"):
        for target in affected:
            target.record_disturbance()
            target.long_answers.endless_form = form
        await trio.sleep(length_s)
        for target in affected:
            target.long_answers.end_endless_answers()
            target.record_disturbance()


async def _send_endless_requests(
    site: SoakSite, rng: random.Random, length_s: float
) -> None:
    """Send bodies of requests without an end for a while."""
    affected = rng.choices(site.gateways, k=rng.choice(CALLER_COUNTS))
    with site.neighbours.sending(f"bodies of {len(affected)} callers"):
        with trio.move_on_after(length_s):
            async with trio.open_nursery() as nursery:
                for gateway in affected:
                    request_id = f"endless-{rng.getrandbits(48):x}"
                    nursery.start_soon(_send_endless_request, gateway, request_id)
            await trio.sleep_forever()


async def _send_endless_request(gateway: GatewayProcess, request_id: str) -> None:
    """Send a body in chunks of one byte until the connection is closed."""
    headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
    headers["Transfer_Encoding"] = "chunked"
    head = request_bytes("/file-once/1", request_id, "POST", **headers)
    link = await connect(gateway)
    if link is None:
        return
    async with link:
        try:
            await link.send_all(head)
            while True:
                await link.send_all(ONE_BYTE_CHUNKS)
        except trio.BrokenResourceError:
            pass
