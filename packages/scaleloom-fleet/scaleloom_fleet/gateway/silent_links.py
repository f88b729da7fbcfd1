"""Finds links in use that have gone silent for good while new ones work."""

import trio

from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.gateway.link_pools import LinkPools
from scaleloom_fleet.http1.links import Link
from scaleloom_fleet.http1.sockets import OutOfDescriptors

# Longer than a round trip between data centres, so that a probe is answered by then.
CHECK_INTERVAL_S = 0.25
# The kernel has sent a first probe by then.
SILENT_S = 1.0
# One packet may be lost without a reason.
SUSPECT_PROBES = 2
DROP_AT_ONCE_MS = 1


async def watch_links(pools: LinkPools) -> None:
    """
    Drop links that are silent for good, for as long as the process runs.

    Unanswered probes alone are no proof: a machine may be silent for a second and go
    on. If it accepts a new connection and a later probe of the link stays unanswered,
    the link is lost. If it accepts none, its links end at the limit on silence.
    """
    reached: set[Link] = set()
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            suspects = _probe_silent(pools, reached)
            reached = set()
            for target, links in _by_target(suspects).items():
                nursery.start_soon(_reach, pools, target, links, reached)


def _probe_silent(pools: LinkPools, reached: set[Link]) -> dict[Link, ListedTarget]:
    """
    Probe the silent links, and return those that leave probes unanswered.

    Parameters
    ----------
    reached : set of Link
        Links whose targets have accepted a new connection since. They are dropped if
        they leave the probe unanswered that was sent then.
    """
    suspects: dict[Link, ListedTarget] = {}
    silent_since_s = trio.current_time() - SILENT_S
    for link, target in pools.links_in_use().items():
        if link.received_s > silent_since_s:
            continue
        if link in reached:
            link.probe_silence(DROP_AT_ONCE_MS)
        elif link.probe_silence(pools.unacked_timeout_ms) >= SUSPECT_PROBES:
            suspects[link] = target
    return suspects


def _by_target(suspects: dict[Link, ListedTarget]) -> dict[ListedTarget, list[Link]]:
    """Return the suspected links to each target."""
    links: dict[ListedTarget, list[Link]] = {}
    for link, target in suspects.items():
        links.setdefault(target, []).append(link)
    return links


async def _reach(
    pools: LinkPools, target: ListedTarget, links: list[Link], reached: set[Link]
) -> None:
    """Probe `links` once more, and add them to `reached`, if `target` is reachable."""
    try:
        new = await pools.open_new(target)
    except OutOfDescriptors:
        return
    if new is None:
        return
    new.close()
    for link in links:
        if not link.is_closed:
            link.probe_silence(pools.unacked_timeout_ms)
            reached.add(link)
