"""The fault in which targets break off long answers midway."""

import random

import trio

from soak.long_targets import draw_long_targets
from soak.site import SoakSite

# One target or more that answers whole, so that there is a second attempt.
AFFECTED_COUNTS = (1, 3, 3)
BROKEN_RANGE_S = (2.0, 5.0)
BROKEN_SHARE_RANGE = (0.3, 0.9)


async def break_off_long_answers(site: SoakSite, rng: random.Random) -> None:
    """Let some targets break off answers longer than what a gateway holds back."""
    with site.neighbours.alone("broken") as is_alone:
        if not is_alone:
            return
        affected = draw_long_targets(site, rng, AFFECTED_COUNTS)
        site.neighbours.met.append(f"broken answers of {len(affected)} targets")
        site.neighbours.are_answers_long = True
        for target in affected:
            target.long_answers.broken_share = rng.uniform(*BROKEN_SHARE_RANGE)
        await trio.sleep(rng.uniform(*BROKEN_RANGE_S))
        for target in affected:
            target.long_answers.broken_share = 0.0
        site.neighbours.are_answers_long = False
