"""Which targets of the service with long messages a fault affects."""

import random
from collections.abc import Sequence

from soak.long_routes import LONG
from soak.site import SoakSite
from soak.targets import SoakTarget


def draw_long_targets(
    site: SoakSite, rng: random.Random, counts: Sequence[int]
) -> list[SoakTarget]:
    """Return as many targets of the service with long messages as one of `counts`."""
    targets = [target for target in site.targets if target.service == LONG]
    return rng.sample(targets, min(len(targets), rng.choice(counts)))
