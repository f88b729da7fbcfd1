"""The fault in which targets that are to go on with a stream begin it again."""

import random

import trio

from soak.mixed_streams import MIXED
from soak.site import SoakSite

AFFECTED_SHARE = 0.7
REPEATING_RANGE_S = (2.0, 5.0)


async def begin_streams_again(site: SoakSite, rng: random.Random) -> None:
    """Let some targets ignore for a while behind which event they are to go on."""
    mixed = [target for target in site.targets if target.service == MIXED]
    affected = [target for target in mixed if rng.random() < AFFECTED_SHARE]
    for target in affected:
        target.repeating_faults += 1
    await trio.sleep(rng.uniform(*REPEATING_RANGE_S))
    for target in affected:
        target.repeating_faults -= 1
