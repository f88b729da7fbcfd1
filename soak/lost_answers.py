"""The fault in which the store loses the answers that tell of a configuration."""

import random

import trio

from soak.site import SoakSite

LOST_RANGE_S = (0.3, 2.0)
CONFIG_COUNTS = (1, 1, 3)
CONFIG_PAUSE_S = 0.05
# Until the configuration must be in force, with a second in which it is judged.
CALM_S = 6.5


async def lose_waiting_answers(site: SoakSite, rng: random.Random) -> None:
    """Lose, at all gateways, the answers that tell of a new configuration."""
    with site.neighbours.alone("lost") as is_alone:
        if not is_alone:
            return
        site.neighbours.met.append("changes lost")
        site.store.loses_changes = True
        site.store_disturbances_s.append(trio.current_time())
        for _ in range(rng.choice(CONFIG_COUNTS)):
            site.write_config()
            await trio.sleep(CONFIG_PAUSE_S)
        await trio.sleep(rng.uniform(*LOST_RANGE_S))
        site.store.loses_changes = False
        site.store_disturbances_s.append(trio.current_time())
        await trio.sleep(CALM_S)
