"""The fault in which many callers send long bodies at once."""

import random

import trio

from soak.site import SoakSite

SURGE_RANGE_S = (1.0, 3.0)
ONE_GATEWAY_SHARE = 0.5


async def send_long_bodies(site: SoakSite, rng: random.Random) -> None:
    """Let many callers send bodies of up to the configured limit at once."""
    with site.neighbours.alone("surge") as is_alone:
        if not is_alone:
            return
        if rng.random() < ONE_GATEWAY_SHARE:
            site.neighbours.surge_to = rng.choice(site.gateways)
        site.neighbours.surge.set()
        gateway = site.neighbours.surge_to
        where = "all gateways" if gateway is None else gateway.name
        site.neighbours.met.append(f"long bodies at {where}")
        await trio.sleep(rng.uniform(*SURGE_RANGE_S))
        site.neighbours.surge = trio.Event()
        site.neighbours.surge_to = None
