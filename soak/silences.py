"""Faults in which targets, or the paths to them, are silent for a while and go on."""

import random
import signal

import trio

from soak.relays import RelayMode
from soak.site import PLAIN, SoakSite
from soak.stillness import Silence
from soak.targets import SoakTarget

SILENCE_RANGE_S = (0.3, 1.8)
LONG_SILENCE_S = 3.0
LONG_SHARE = 0.1
ENDLESS_SHARE = 0.04
SERIES_COUNTS = (1, 1, 2, 3)
SERIES_PAUSE_RANGE_S = (0.0, 0.8)
# The slow routes, on which most silences fall within an answer, are of this service.
PLAIN_SHARE = 0.6
ALL_SHARE = 0.5
SINGLE_SHARE = 0.25
CUT_PIECES_SHARE = 0.5
PATH_SHARE = 0.4
PLANNED_CHANGE_COUNTS = (1, 5)


async def silence_targets(site: SoakSite, rng: random.Random) -> None:
    """Let some targets of a service stand still, once or several times in a row."""
    if rng.random() < ENDLESS_SHARE:
        await _silence_for_good(site, rng)
        return
    affected = draw_affected(site, rng)
    for _ in range(rng.choice(SERIES_COUNTS)):
        await stand_still(affected, draw_silence_s(rng), rng)
        await trio.sleep(rng.uniform(*SERIES_PAUSE_RANGE_S))


async def silence_paths(site: SoakSite, rng: random.Random) -> None:
    """Let the paths to some targets of a service withhold bytes, then deliver them."""
    affected = draw_affected(site, rng)
    for _ in range(rng.choice(SERIES_COUNTS)):
        await withhold_bytes(affected, draw_silence_s(rng))
        await trio.sleep(rng.uniform(*SERIES_PAUSE_RANGE_S))


async def silence_beside_planned_work(site: SoakSite, rng: random.Random) -> None:
    """Silence targets or paths, and do planned work at gateways at the same time."""
    affected, length_s = draw_affected(site, rng), draw_silence_s(rng)
    async with trio.open_nursery() as nursery:
        if rng.random() < PATH_SHARE:
            nursery.start_soon(withhold_bytes, affected, length_s)
        else:
            nursery.start_soon(stand_still, affected, length_s, rng)
        await trio.sleep(rng.uniform(0.0, length_s))
        await _do_planned_work(site, rng)


async def _do_planned_work(site: SoakSite, rng: random.Random) -> None:
    """Change the configuration, or send SIGHUP or SIGTERM to a gateway."""
    work = rng.choice(("config", "hangup", "stop"))
    gateway = rng.choice(site.gateways)
    if work == "config":
        for _ in range(rng.choice(PLANNED_CHANGE_COUNTS)):
            site.write_config()
            await trio.sleep(0.05)
    elif work == "hangup":
        gateway.send_signal(signal.SIGHUP)
    else:
        gateway.send_signal(signal.SIGTERM)


def draw_silence_s(rng: random.Random) -> float:
    """Return how long a silence lasts; a long one is rare."""
    if rng.random() < LONG_SHARE:
        return LONG_SILENCE_S
    return rng.uniform(*SILENCE_RANGE_S)


def draw_affected(site: SoakSite, rng: random.Random) -> list[SoakTarget]:
    """Return one target, or some or all targets of its service."""
    first = rng.choice(site.targets)
    service = PLAIN if rng.random() < PLAIN_SHARE else first.service
    same = [target for target in site.targets if target.service == service]
    share = rng.random()
    if share < ALL_SHARE:
        return same
    if share < ALL_SHARE + SINGLE_SHARE:
        return [rng.choice(same)]
    return rng.sample(same, rng.randrange(1, len(same) + 1))


async def stand_still(
    affected: list[SoakTarget], length_s: float, rng: random.Random
) -> None:
    """Let targets stand still for `length_s`."""
    cuts_pieces = rng.random() < CUT_PIECES_SHARE
    silences = [_begin_silence(target, is_of_path=False) for target in affected]
    for target in affected:
        target.stillness.begin(cuts_pieces)
    await trio.sleep(length_s)
    for target, silence in zip(affected, silences, strict=True):
        _end_silence(target, silence)
        if not _is_silenced(target, is_of_path=False):
            target.stillness.end()


async def withhold_bytes(affected: list[SoakTarget], length_s: float) -> None:
    """Let the paths to targets withhold the bytes of both directions for `length_s`."""
    silences = [_begin_silence(target, is_of_path=True) for target in affected]
    for target in affected:
        target.relay.set_mode(RelayMode.WITHHELD)
    await trio.sleep(length_s)
    for target, silence in zip(affected, silences, strict=True):
        _end_silence(target, silence)
        is_withheld = target.relay.mode is RelayMode.WITHHELD
        if is_withheld and not _is_silenced(target, is_of_path=True):
            target.relay.set_mode(RelayMode.PASS)


def _begin_silence(target: SoakTarget, is_of_path: bool) -> Silence:
    """Record that a silence of a target begins, and return it."""
    silence = Silence(trio.current_time(), is_of_path=is_of_path)
    target.silences.append(silence)
    target.disturbances_s.append(silence.from_s)
    return silence


def _end_silence(target: SoakTarget, silence: Silence) -> None:
    """Record that a silence of a target ends."""
    silence.to_s = trio.current_time()
    target.disturbances_s.append(silence.to_s)


def _is_silenced(target: SoakTarget, is_of_path: bool) -> bool:
    """Return whether another silence of the same kind goes on at a target."""
    return any(
        silence.is_of_path is is_of_path and silence.to_s == float("inf")
        for silence in target.silences
    )


async def _silence_for_good(site: SoakSite, rng: random.Random) -> None:
    """Let a target stand still for good; the platform replaces it after a while."""
    target = rng.choice(site.targets)
    _begin_silence(target, is_of_path=False)
    target.stillness.begin(rng.random() < CUT_PIECES_SHARE)
    await site.replace_silent_target(target)


SILENCES = (silence_targets, silence_paths, silence_beside_planned_work)
