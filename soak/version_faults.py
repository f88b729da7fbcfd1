"""Faults of the soak that strike gateways while software versions change."""

import random
import signal

import trio

from soak.mixed_streams import MIXED, VERSIONS
from soak.relays import RelayMode
from soak.site import SoakSite
from soak.targets import SoakTarget

# Before and after the time for which a new version is held back.
KILL_DELAY_RANGE_S = (0.1, 3.0)
# How long before a version joins a gateway is struck, and for how long afterwards.
STRIKE_LEAD_RANGE_S = (0.0, 0.5)
STRIKE_RANGE_S = (0.5, 6.0)
# The entry of a target that drains is removed when it ends.
DRAIN_S = 3.0
JOINING_COUNT = 2
TAKEOVER_SHARE = 0.4


async def kill_all_as_a_version_joins(site: SoakSite, rng: random.Random) -> None:
    """Kill all gateways at once, soon after a version has joined."""
    _join_version(site, rng)
    await trio.sleep(rng.uniform(*KILL_DELAY_RANGE_S))
    for gateway in site.gateways:
        gateway.send_signal(signal.SIGKILL)


async def stop_gateway_as_a_version_joins(site: SoakSite, rng: random.Random) -> None:
    """Let one gateway stand still while a version joins, and kill another meanwhile."""
    struck, killed = rng.sample(site.gateways, 2)
    struck.send_signal(signal.SIGSTOP)
    try:
        await _join_and_kill(site, rng, killed)
    finally:
        struck.send_signal(signal.SIGCONT)


async def cut_gateway_as_a_version_joins(site: SoakSite, rng: random.Random) -> None:
    """Cut one gateway from the store as a version joins, and kill another meanwhile."""
    struck, killed = rng.sample(range(len(site.gateways)), 2)
    site.gateways[struck].record_disturbance()
    site.store_relays[struck].set_mode(RelayMode.SILENT)
    await _join_and_kill(site, rng, site.gateways[killed])
    site.store_relays[struck].set_mode(RelayMode.PASS)
    site.gateways[struck].record_disturbance()


async def _join_and_kill(site: SoakSite, rng: random.Random, gateway) -> None:
    """Let a version join, and kill a gateway within the time of a strike."""
    await trio.sleep(rng.uniform(*STRIKE_LEAD_RANGE_S))
    _join_version(site, rng)
    strike_s = rng.uniform(*STRIKE_RANGE_S)
    killed_s = rng.uniform(0.0, strike_s)
    await trio.sleep(killed_s)
    gateway.send_signal(signal.SIGKILL)
    await trio.sleep(strike_s - killed_s)


def _join_version(site: SoakSite, rng: random.Random) -> None:
    """Add targets of one version, in place of as many others or of all of them."""
    former = [target for target in site.targets if target.service == MIXED]
    if not former:
        return
    version = rng.choice(VERSIONS)
    for _ in range(JOINING_COUNT):
        site.add_target(MIXED, version)
    if rng.random() >= TAKEOVER_SHARE:
        former = rng.sample(former, min(JOINING_COUNT, len(former)))
    for target in former:
        site.drain_target(target)
        site.nursery.start_soon(_end_drained, target)


async def _end_drained(target: SoakTarget) -> None:
    """End a target some time after it began to drain."""
    await trio.sleep(DRAIN_S)
    target.end()


VERSION_FAULTS = (
    kill_all_as_a_version_joins,
    stop_gateway_as_a_version_joins,
    cut_gateway_as_a_version_joins,
)
