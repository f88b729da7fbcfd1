"""The fault in which targets crash behind parts of answers that their close ends."""

import random

import trio

from soak.site import ENGINE, PLAIN, TARGETS_PER_SERVICE, SoakSite

# Until some answers have begun, and shorter than what counts as a silence.
BEGUN_RANGE_S = (0.1, 0.3)
# Until a replacement is listed.
PAUSE_RANGE_S = (2.0, 3.0)
# Requests of a service share digests. With more crashes the isolated trial of one that
# another fault brought under suspicion would end with a target of this one.
SINCE_CRASH_S = 6.0


async def crash_in_answers(site: SoakSite, rng: random.Random) -> None:
    """Let a target send parts of answers without a length, and crash behind them."""
    service = rng.choice((PLAIN, ENGINE))
    targets = [target for target in site.targets if target.service == service]
    if len(targets) < TARGETS_PER_SERVICE - 1 or _has_crashed_lately(site, service):
        return
    target = rng.choice(targets)
    crashed = target.crashes_behind_parts = trio.Event()
    try:
        await trio.sleep(rng.uniform(*BEGUN_RANGE_S))
        site.crash_target(target)
    finally:
        target.crashes_behind_parts = None
        crashed.set()
    await trio.sleep(rng.uniform(*PAUSE_RANGE_S))


def _has_crashed_lately(site: SoakSite, service: str) -> bool:
    """Return whether a target of a service has crashed within `SINCE_CRASH_S`."""
    since_s = trio.current_time() - SINCE_CRASH_S
    return any(
        target.service == service and target.has_crashed and target.ended_s > since_s
        for target in site.removed_targets
    )
