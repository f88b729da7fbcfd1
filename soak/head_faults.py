"""The fault in which targets answer with heads that are none."""

import random

import trio

from soak.site import ENGINE, PLAIN, SoakSite

LENGTH_RANGE_S = (0.5, 2.5)
ONE_TARGET_SHARE = 0.6
MALFORMED_SHARE = 0.5


async def malform_heads(site: SoakSite, rng: random.Random) -> None:
    """Let one target, or all of a service, answer with defective heads for a while."""
    service = rng.choice((PLAIN, ENGINE))
    affected = [target for target in site.targets if target.service == service]
    if rng.random() < ONE_TARGET_SHARE:
        affected = affected[:1]
    for target in affected:
        target.record_disturbance()
        target.malformed_head_share = MALFORMED_SHARE
    await trio.sleep(rng.uniform(*LENGTH_RANGE_S))
    for target in affected:
        target.malformed_head_share = 0.0
        target.record_disturbance()
