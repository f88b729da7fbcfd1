"""The fault in which targets answer uploads at their head and reset beside them."""

import random

import trio

from soak.long_targets import draw_long_targets
from soak.site import SoakSite

AFFECTED_COUNTS = (1, 2, 4)
EARLY_RANGE_S = (2.0, 4.0)
EARLY_SHARE_RANGE = (0.4, 1.0)


async def answer_uploads_early(site: SoakSite, rng: random.Random) -> None:
    """Let callers send uploads, and some targets answer them early and reset."""
    with site.neighbours.alone("uploads") as is_alone:
        if not is_alone:
            return
        affected = draw_long_targets(site, rng, AFFECTED_COUNTS)
        site.neighbours.met.append(f"early answers of {len(affected)} targets")
        for target in affected:
            target.record_disturbance()
            target.long_answers.early_share = rng.uniform(*EARLY_SHARE_RANGE)
        site.neighbours.uploads.set()
        await trio.sleep(rng.uniform(*EARLY_RANGE_S))
        site.neighbours.uploads = trio.Event()
        for target in affected:
            target.long_answers.early_share = 0.0
            target.record_disturbance()
