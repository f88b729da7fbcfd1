"""Faults of the soak, drawn in series that overlap."""

import random
import signal
from collections.abc import Awaitable, Callable, Sequence

import trio

from soak.relays import Relay, RelayMode
from soak.site import SoakSite
from soak.targets import CRASHING_BODY, GATEWAY_HEADER, SoakTarget
from tests.fixtures.gateways import ask_raw, request_bytes
from tests.fixtures.platform_store import StoreFault

SERIES_COUNT = 2
PAUSE_S = (0.3, 1.5)
LENGTH_S = (0.3, 2.5)
BAD_MODES = [mode for mode in RelayMode if mode is not RelayMode.PASS]
BAD_STORE = [fault for fault in StoreFault if fault is not StoreFault.NONE]
BAD_SHARE = 0.3
WORST_SHARE = 0.8
STALE_RECORDS = 12
DRAIN_S = 3.0
# Few, so that the same one comes in several series, also at the same time.
CRASHING_REQUESTS = 2
CRASHING_PATIENCE_S = 2.5
REST_S = (1.0, 4.0)
ALL_REST_SHARE = 0.2
# Longer than a gateway may take to send nothing more.
SAYS_LEAVING_S = (2.0, 5.0)


Fault = Callable[[SoakSite, random.Random], Awaitable[None]]


def draw_faults(
    draw: random.Random, among: Sequence[Fault] | None = None
) -> list[Fault]:
    """Return the kinds of fault of one seed, so that each is also met alone."""
    kinds = among or FAULTS
    return draw.sample(kinds, draw.randrange(2, len(kinds) + 1))


async def trouble_forever(
    site: SoakSite, draw: random.Random, faults: Sequence[Fault]
) -> None:
    """Let one of `faults` strike after another."""
    while True:
        await trio.sleep(draw.uniform(*PAUSE_S))
        await draw.choice(faults)(site, draw)


async def signal_gateway(site: SoakSite, draw: random.Random) -> None:
    """Kill, stop, pause or hang up one gateway, or kill all of them at once."""
    number = draw.choice(
        [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP]
    )
    struck = [draw.choice(site.gateways)]
    if number is signal.SIGKILL and draw.random() < 0.2:
        struck = site.gateways
    for gateway in struck:
        gateway.send(number)
    if number is signal.SIGSTOP:
        await trio.sleep(draw.uniform(*LENGTH_S))
        for gateway in struck:
            gateway.send(signal.SIGCONT)


async def roll_gateways(site: SoakSite, draw: random.Random) -> None:
    """Stop the gateways as planned, one after the other, sooner or later."""
    for gateway in draw.sample(site.gateways, draw.randrange(1, len(site.gateways))):
        gateway.send(signal.SIGTERM)
        await trio.sleep(draw.uniform(*PAUSE_S))


async def _trouble_relay(relay: Relay, draw: random.Random) -> None:
    """Let one relay misbehave for a while."""
    relay.set_mode(draw.choice(BAD_MODES))
    await trio.sleep(draw.uniform(*LENGTH_S))
    relay.set_mode(RelayMode.PASS)


async def cut_gateway_from_store(site: SoakSite, draw: random.Random) -> None:
    """Let one gateway's way to the store misbehave."""
    number = draw.randrange(len(site.gateways))
    gateway = site.gateways[number]
    gateway.strike()
    await _trouble_relay(site.store_relays[number], draw)
    gateway.strike()


async def trouble_store(site: SoakSite, draw: random.Random) -> None:
    """Let the store misbehave for everybody."""
    site.trouble_store(draw.choice(BAD_STORE))
    await trio.sleep(draw.uniform(*LENGTH_S))
    site.trouble_store(StoreFault.NONE)


async def rewind_store(site: SoakSite, draw: random.Random) -> None:
    """Let the store give old readings to routers that have to read again."""
    site.trouble_store(StoreFault.STALE)
    site.store.stale_by = draw.randrange(1, STALE_RECORDS)
    for relay in site.store_relays:
        relay.set_mode(RelayMode.RESET)
    await trio.sleep(0.05)
    for relay in site.store_relays:
        relay.set_mode(RelayMode.PASS)
    await trio.sleep(draw.uniform(*LENGTH_S))
    site.trouble_store(StoreFault.NONE)


async def cut_target(site: SoakSite, draw: random.Random) -> None:
    """Let the way to one target misbehave."""
    target = draw.choice(site.targets)
    target.strike()
    target.way_strikes_s.append(trio.current_time())
    await _trouble_relay(target.relay, draw)
    target.strike()
    target.way_strikes_s.append(trio.current_time())


async def spoil_answers(site: SoakSite, draw: random.Random) -> None:
    """Let one target answer badly for a while, or most of a service."""
    struck = [draw.choice(site.targets)]
    if draw.random() < 0.4:
        service = struck[0].service
        struck = [target for target in site.targets if target.service == service]
    for target in struck:
        target.strike()
        target.bad_share = BAD_SHARE if len(struck) == 1 else WORST_SHARE
    await trio.sleep(draw.uniform(*LENGTH_S))
    for target in struck:
        target.bad_share = 0.0
        target.strike()


async def replace_target(site: SoakSite, draw: random.Random) -> None:
    """Let a new target join and an old one leave."""
    leaving: SoakTarget = draw.choice(site.targets)
    site.add_target(leaving.service)
    await trio.sleep(draw.uniform(*PAUSE_S))
    if leaving in site.targets:
        site.leave(leaving)
        await trio.sleep(DRAIN_S)


async def send_crashing_request(site: SoakSite, draw: random.Random) -> None:
    """Let a request that ends targets come again and again, at any gateway."""
    body = CRASHING_BODY + b"%d" % draw.randrange(CRASHING_REQUESTS)
    for _ in range(draw.randrange(4, 12)):
        for gateway in draw.sample(site.gateways, 2):
            header = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
            name = f"crash-{draw.getrandbits(48):x}"
            data = request_bytes("/stream/1", name, method="POST", body=body, **header)
            with trio.move_on_after(CRASHING_PATIENCE_S):
                answer = await ask_raw(gateway.front_port, data, "POST", gateway.host)
                if answer.status == 503:
                    break
        await trio.sleep(draw.uniform(*PAUSE_S))


async def change_config(site: SoakSite, draw: random.Random) -> None:
    """Write one configuration, or several in quick succession."""
    for _ in range(draw.choice((1, 1, 5))):
        site.put_config()
        await trio.sleep(0.05)


async def ask_for_rest(site: SoakSite, draw: random.Random) -> None:
    """Let one target, or all of its service, turn requests away and ask for rest."""
    struck = [draw.choice(site.targets)]
    if draw.random() < ALL_REST_SHARE:
        struck = [t for t in site.targets if t.service == struck[0].service]
    for target in struck:
        target.strike()
        target.rest_s = draw.uniform(*REST_S)
    await trio.sleep(draw.uniform(*LENGTH_S))
    for target in struck:
        target.rest_s = 0.0
        target.strike()


async def leave_by_answers(site: SoakSite, draw: random.Random) -> None:
    """Let a target say in its answers that it leaves, long before its entry does."""
    leaving: SoakTarget = draw.choice(site.targets)
    site.add_target(leaving.service)
    leaving.strike()
    leaving.runner.is_leaving = True
    await trio.sleep(draw.uniform(*SAYS_LEAVING_S))
    if leaving in site.targets:
        site.leave(leaving)
        await trio.sleep(DRAIN_S)


FAULTS: tuple[Fault, ...] = (
    signal_gateway,
    roll_gateways,
    cut_gateway_from_store,
    trouble_store,
    rewind_store,
    cut_target,
    spoil_answers,
    replace_target,
    change_config,
    send_crashing_request,
    ask_for_rest,
    leave_by_answers,
)
