"""Faults of the soak, which are injected in several concurrent sequences."""

import itertools
import random
import signal
from collections.abc import Awaitable, Callable, Sequence

import trio

from soak.callers import CHAT, PROMPT_COUNT
from soak.crash_causes import CRASHING_BODY, CRASHING_PART
from soak.mixed_streams import MIXED, VERSIONS
from soak.neighbour_faults import NEIGHBOUR_FAULTS
from soak.peer_faults import PEER_FAULTS
from soak.relays import Relay, RelayMode
from soak.repeated_streams import begin_streams_again
from soak.silences import SILENCES
from soak.site import PLAIN, SoakSite, SteeredPeriod
from soak.targets import GATEWAY_HEADER, SoakTarget
from soak.version_faults import VERSION_FAULTS
from tests.fixtures.gateways import ask_raw, request_bytes
from tests.fixtures.platform_store import StoreFault

FAULT_SEQUENCE_COUNT = 2
PAUSE_RANGE_S = (0.3, 1.5)
DURATION_RANGE_S = (0.3, 2.5)
SERIES_SIGNALS = (
    signal.SIGTERM,
    signal.SIGTERM,
    signal.SIGHUP,
    signal.SIGSTOP,
    signal.SIGCONT,
    signal.SIGKILL,
)
# Shorter together than the time for which a gateway counts as disturbed afterwards.
SERIES_PAUSE_RANGE_S = (0.0, 0.5)
# Without the mode of silences that end, which have kinds of their own.
DISRUPTIVE_MODES = [
    mode for mode in RelayMode if mode not in (RelayMode.PASS, RelayMode.WITHHELD)
]
STORE_FAULTS = [fault for fault in StoreFault if fault is not StoreFault.NONE]
SINGLE_TARGET_BAD_SHARE = 0.3
WHOLE_SERVICE_BAD_SHARE = 0.8
SINGLE_UNFRAMED_TARGET_SHARE = 0.3
UNFRAMED_SHARE_RANGE = (0.2, 1.0)
RESTART_SHARE = 0.4
STOP_SHARE = 0.3
STALE_RECORDS_LIMIT = 12
DRAIN_PAUSE_S = 3.0
# Few bodies, so that concurrent fault sequences also send the same one.
CRASHING_BODY_COUNT = 2
# Prompts with a crashing part, which shares others with those of the chats.
CRASHING_PROMPTS = (
    "{part}:100,b{prompt:x}:900,c{own:x}:20",
    "aa:100,{part}:900,c{own:x}:20",
    "aa:100,{part}:500,b{prompt:x}:400,c{own:x}:20",
)
CRASHING_PART_COUNT = 2
# Longer than the recovery time, after which the promise applies.
STEERED_RANGE_S = (4.5, 7.0)
CRASHING_PART_PAUSE_RANGE_S = (0.1, 0.8)
CRASHING_REQUEST_TIMEOUT_S = 2.5
# Until replacements are ready, so that one target or more is left at all times.
CRASH_PAUSE_S = 5.0
IN_FLIGHT_POLL_S = 0.002
RETRY_AFTER_RANGE_S = (1.0, 4.0)
WHOLE_SERVICE_BACKOFF_SHARE = 0.2
# Not shorter than the 2 s within which a gateway must stop sending requests.
DRAINING_SIGNAL_RANGE_S = (2.0, 5.0)


Fault = Callable[[SoakSite, random.Random], Awaitable[None]]


def draw_faults(
    rng: random.Random, available: Sequence[Fault] | None = None
) -> list[Fault]:
    """Return a random subset of the faults, so that seeds combine them differently."""
    kinds = available or FAULTS
    return rng.sample(kinds, rng.randrange(2, len(kinds) + 1))


async def inject_faults(
    site: SoakSite, rng: random.Random, faults: Sequence[Fault]
) -> None:
    """Inject one fault of `faults` after another until cancelled."""
    while True:
        await trio.sleep(rng.uniform(*PAUSE_RANGE_S))
        await rng.choice(faults)(site, rng)


async def signal_gateway(site: SoakSite, rng: random.Random) -> None:
    """Send SIGKILL, SIGTERM, SIGSTOP or SIGHUP to one gateway, or SIGKILL to all."""
    signal_number = rng.choice(
        [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP]
    )
    affected = [rng.choice(site.gateways)]
    if signal_number is signal.SIGKILL and rng.random() < 0.2:
        affected = site.gateways
    for gateway in affected:
        gateway.send_signal(signal_number)
    if signal_number is signal.SIGSTOP:
        await trio.sleep(rng.uniform(*DURATION_RANGE_S))
        for gateway in affected:
            gateway.send_signal(signal.SIGCONT)


async def signal_in_series(site: SoakSite, rng: random.Random) -> None:
    """Send several signals to one gateway in quick succession, then let it go on."""
    gateway = rng.choice(site.gateways)
    for _ in range(rng.randrange(2, 6)):
        gateway.send_signal(rng.choice(SERIES_SIGNALS))
        await trio.sleep(rng.uniform(*SERIES_PAUSE_RANGE_S))
    gateway.send_signal(signal.SIGCONT)


async def roll_gateways(site: SoakSite, rng: random.Random) -> None:
    """Stop some of the gateways in an orderly way, one after the other."""
    for gateway in rng.sample(site.gateways, rng.randrange(1, len(site.gateways))):
        gateway.send_signal(signal.SIGTERM)
        await trio.sleep(rng.uniform(*PAUSE_RANGE_S))


async def _disrupt_relay(relay: Relay, rng: random.Random) -> None:
    """Set a disruptive mode on one relay for a random time."""
    relay.set_mode(rng.choice(DISRUPTIVE_MODES))
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))
    relay.set_mode(RelayMode.PASS)


async def cut_gateway_from_store(site: SoakSite, rng: random.Random) -> None:
    """Disrupt the connections of one gateway to the store."""
    number = rng.randrange(len(site.gateways))
    gateway = site.gateways[number]
    gateway.record_disturbance()
    await _disrupt_relay(site.store_relays[number], rng)
    gateway.record_disturbance()


async def trouble_store(site: SoakSite, rng: random.Random) -> None:
    """Inject a store fault that affects all gateways."""
    site.set_store_fault(rng.choice(STORE_FAULTS))
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))
    site.set_store_fault(StoreFault.NONE)


async def rewind_store(site: SoakSite, rng: random.Random) -> None:
    """Make the store serve old states to routers, which are forced to read it again."""
    site.set_store_fault(StoreFault.STALE)
    site.store.stale_by = rng.randrange(1, STALE_RECORDS_LIMIT)
    for relay in site.store_relays:
        relay.set_mode(RelayMode.RESET)
    await trio.sleep(0.05)
    for relay in site.store_relays:
        relay.set_mode(RelayMode.PASS)
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))
    site.set_store_fault(StoreFault.NONE)


async def cut_target(site: SoakSite, rng: random.Random) -> None:
    """Disrupt the connections to one target."""
    target = rng.choice(site.targets)
    target.record_disturbance()
    target.path_disturbances_s.append(trio.current_time())
    await _disrupt_relay(target.relay, rng)
    target.record_disturbance()
    target.path_disturbances_s.append(trio.current_time())


async def spoil_answers(site: SoakSite, rng: random.Random) -> None:
    """Make one target, or every target of its service, send bad answers for a while."""
    affected = [rng.choice(site.targets)]
    if rng.random() < 0.4:
        service = affected[0].service
        affected = [target for target in site.targets if target.service == service]
    for target in affected:
        target.record_disturbance()
        target.bad_answer_share = (
            SINGLE_TARGET_BAD_SHARE if len(affected) == 1 else WHOLE_SERVICE_BAD_SHARE
        )
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))
    for target in affected:
        target.bad_answer_share = 0.0
        target.record_disturbance()


async def answer_until_close(site: SoakSite, rng: random.Random) -> None:
    """Make a service's targets end answers with their connection, some broken off."""
    service = rng.choice(site.targets).service
    affected = [target for target in site.targets if target.service == service]
    if rng.random() < SINGLE_UNFRAMED_TARGET_SHARE:
        affected = [rng.choice(affected)]
    for target in affected:
        target.unframed_share = rng.uniform(*UNFRAMED_SHARE_RANGE)
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))
    for target in affected:
        target.unframed_share = 0.0


async def replace_target(site: SoakSite, rng: random.Random) -> None:
    """Add a target and drain an existing one of the same service."""
    draining: SoakTarget = rng.choice(site.targets)
    site.add_target(draining.service, draining.version)
    await trio.sleep(rng.uniform(*PAUSE_RANGE_S))
    if draining in site.targets:
        site.drain_target(draining)
        await trio.sleep(DRAIN_PAUSE_S)


async def send_crashing_request(site: SoakSite, rng: random.Random) -> None:
    """Send a request that crashes targets several times, to different gateways."""
    body = CRASHING_BODY + b"%d" % rng.randrange(CRASHING_BODY_COUNT)
    for _ in range(rng.randrange(4, 12)):
        for gateway in rng.sample(site.gateways, 2):
            headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
            request_id = f"crash-{rng.getrandbits(48):x}"
            data = request_bytes(
                "/stream/1", request_id, method="POST", body=body, **headers
            )
            with trio.move_on_after(CRASHING_REQUEST_TIMEOUT_S):
                answer = await ask_raw(gateway.front_port, data, "POST", gateway.host)
                if answer.status == 503:
                    break
        await trio.sleep(rng.uniform(*PAUSE_RANGE_S))


async def send_crashing_part(site: SoakSite, rng: random.Random) -> None:
    """Send requests with a part that crashes targets, of which no two are alike."""
    part = CRASHING_PART + f"{rng.randrange(CRASHING_PART_COUNT)}"
    template = rng.choice(CRASHING_PROMPTS)
    for _ in range(rng.randrange(8, 20)):
        gateway = rng.choice(site.gateways)
        own, prompt = rng.getrandbits(32), rng.randrange(PROMPT_COUNT)
        headers = {
            GATEWAY_HEADER.replace("-", "_"): gateway.name,
            "Prompt_Prefix": template.format(part=part, prompt=prompt, own=own),
        }
        request_id = f"crash-{rng.getrandbits(48):x}"
        data = request_bytes(f"/{CHAT}/1", request_id, **headers)
        with trio.move_on_after(CRASHING_REQUEST_TIMEOUT_S):
            await ask_raw(gateway.front_port, data, "GET", gateway.host)
        await trio.sleep(rng.uniform(*CRASHING_PART_PAUSE_RANGE_S))


async def steer_callers(site: SoakSite, rng: random.Random) -> None:
    """Hand most new connections to one gateway for some seconds."""
    if site.steered_to is not None:
        return
    gateway = site.steered_to = rng.choice(site.gateways)
    from_s = trio.current_time()
    await trio.sleep(rng.uniform(*STEERED_RANGE_S))
    site.steered_to = None
    period = SteeredPeriod(gateway, from_s, trio.current_time())
    site.steered_periods.append(period)


async def crash_targets(site: SoakSite, rng: random.Random) -> None:
    """Crash two targets at once that run requests with the same path."""
    while True:
        plain = [target for target in site.targets if target.service == PLAIN]
        for first, second in itertools.combinations(plain, 2):
            if any((first.in_flight & second.in_flight).values()):
                site.crash_target(first)
                site.crash_target(second)
                await trio.sleep(CRASH_PAUSE_S)
                return
        await trio.sleep(IN_FLIGHT_POLL_S)


async def change_config(site: SoakSite, rng: random.Random) -> None:
    """Write one new configuration, or five in quick succession."""
    for _ in range(rng.choice((1, 1, 5))):
        site.write_config()
        await trio.sleep(0.05)


async def ask_for_rest(site: SoakSite, rng: random.Random) -> None:
    """Make one target, or all of its service, answer 503 with Retry-After."""
    affected = [rng.choice(site.targets)]
    if rng.random() < WHOLE_SERVICE_BACKOFF_SHARE:
        affected = [t for t in site.targets if t.service == affected[0].service]
    for target in affected:
        target.record_disturbance()
        target.retry_after_s = rng.uniform(*RETRY_AFTER_RANGE_S)
    await trio.sleep(rng.uniform(*DURATION_RANGE_S))
    for target in affected:
        target.retry_after_s = 0.0
        target.record_disturbance()


async def leave_by_answers(site: SoakSite, rng: random.Random) -> None:
    """Make a target announce draining in answers, long before in its list entry."""
    draining: SoakTarget = rng.choice(site.targets)
    site.add_target(draining.service, draining.version)
    draining.record_disturbance()
    draining.stub.is_leaving = True
    await trio.sleep(rng.uniform(*DRAINING_SIGNAL_RANGE_S))
    if draining in site.targets:
        site.drain_target(draining)
        await trio.sleep(DRAIN_PAUSE_S)


async def change_versions(site: SoakSite, rng: random.Random) -> None:
    """Replace targets of the service of several versions by others, one by one."""
    mixed = [target for target in site.targets if target.service == MIXED]
    version = rng.choice(VERSIONS)
    for target in rng.sample(mixed, min(len(mixed), rng.randrange(1, 4))):
        if target in site.targets:
            await _change_version(site, rng, target, version)
            await trio.sleep(rng.uniform(*PAUSE_RANGE_S))


async def _change_version(
    site: SoakSite, rng: random.Random, target: SoakTarget, version: str
) -> None:
    """Replace `target` under its own key, or add another and remove or drain it."""
    if rng.random() < RESTART_SHARE:
        site.restart_target(target, version)
        return
    site.add_target(MIXED, version)
    await trio.sleep(rng.uniform(*PAUSE_RANGE_S))
    if target not in site.targets:
        return
    if rng.random() < STOP_SHARE:
        site.stop_target(target)
        return
    site.drain_target(target)
    site.nursery.start_soon(_end_drained, target)


async def _end_drained(target: SoakTarget) -> None:
    """End a target some time after it began to drain."""
    await trio.sleep(DRAIN_PAUSE_S)
    target.end()


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
    crash_targets,
    signal_in_series,
    answer_until_close,
    change_versions,
    send_crashing_part,
    steer_callers,
    *SILENCES,
    *NEIGHBOUR_FAULTS,
    *VERSION_FAULTS,
    *PEER_FAULTS,
    begin_streams_again,
)
