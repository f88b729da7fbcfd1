"""The fault in which entries of the list of targets are malformed."""

import random
import signal

import trio

from soak.malformed_entries import malformed_entries
from soak.site import PLAIN, SoakSite
from tests.fixtures.gateways import TARGETS_TOPIC

COUNT_RANGE = (1, 12)
WRITE_PAUSE_RANGE_S = (0.0, 0.2)
START_SHARE = 0.3
LENGTH_RANGE_S = (1.0, 3.0)
KEPT_SHARE = 0.3


async def list_malformed_entries(site: SoakSite, rng: random.Random) -> None:
    """
    Write malformed entries; beside them a sound target joins, and another leaves.

    Sometimes a gateway starts beside them, or they stay until the end.
    """
    entries = malformed_entries(rng, rng.randrange(*COUNT_RANGE))
    for key, document in entries.items():
        site.store.topic(TARGETS_TOPIC).append(key, document)
        await trio.sleep(rng.uniform(*WRITE_PAUSE_RANGE_S))
    if rng.random() < START_SHARE:
        rng.choice(site.gateways).send_signal(signal.SIGKILL)
    leaving = rng.choice([t for t in site.targets if t.service == PLAIN])
    site.joined_beside_malformed.append(site.add_target(PLAIN))
    await trio.sleep(rng.uniform(*LENGTH_RANGE_S))
    if leaving in site.targets:
        site.drain_target(leaving)
    if rng.random() >= KEPT_SHARE:
        for key in entries:
            site.store.drop(TARGETS_TOPIC, key)
