"""One seed of the soak, from start to judgement."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import trio

from soak.callers import (
    CALLER_COUNT,
    CHAT,
    CHAT_CALLER_COUNT,
    KINDS,
    Observations,
    call_forever,
    probe_forever,
)
from soak.faults import SERIES_COUNT, Fault, draw_faults, trouble_forever
from soak.judging import PROMISES
from soak.site import START_LIMIT_S, SoakSite, running_soak
from tests.fixtures.gateways import ask_raw

SETTLE_S = 1.0
READY_REQUEST = b"GET /scaleloom/ready HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass(frozen=True)
class SoakResult:
    """
    What one seed showed.

    Parameters
    ----------
    broken : dict of str to list of str
        The promises that were broken, each with its cases.
    """

    seed: int
    asked: int
    served: int
    broken: dict[str, list[str]]


async def play(
    seed: int,
    length_s: float,
    directory: Path,
    gateway_count: int = 3,
    mechanism: str | None = None,
    faults: Sequence[Fault] | None = None,
) -> SoakResult:
    """
    Play one seed.

    Parameters
    ----------
    length_s : float
        How long faults strike, in seconds.
    directory : Path
        Where settings and logs are written.
    mechanism : str or None
        A mechanism that the gateways run without.
    faults : sequence of callable or None
        The kinds of fault that may strike; drawn by the seed if none are given.
    """
    kinds = faults or draw_faults(random.Random(seed))
    seen = Observations()
    async with running_soak(seed, directory, gateway_count, mechanism) as site:
        await wait_ready(site)
        async with trio.open_nursery() as nursery:
            for number in range(CALLER_COUNT):
                nursery.start_soon(call_forever, site, seen, number, KINDS)
            for number in range(CHAT_CALLER_COUNT):
                nursery.start_soon(call_forever, site, seen, number, (CHAT,))
            for gateway in site.gateways:
                nursery.start_soon(probe_forever, site, seen, gateway)
            for number in range(SERIES_COUNT):
                draw = random.Random(f"{seed}-{number}")
                nursery.start_soon(trouble_forever, site, draw, kinds)
            await trio.sleep(length_s)
            nursery.cancel_scope.cancel()
        await trio.sleep(SETTLE_S)
        return _judge(seed, site, seen)


def _judge(seed: int, site: SoakSite, seen: Observations) -> SoakResult:
    """Return which promises were broken."""
    found = {promise: judge(site, seen) for promise, judge in PROMISES.items()}
    broken = {promise: cases for promise, cases in found.items() if cases}
    served = sum(o.answer.status == 200 for o in seen.outcomes)
    return SoakResult(seed, len(seen.outcomes), served, broken)


async def wait_ready(site: SoakSite) -> None:
    """Return once every gateway says that it is ready."""
    with trio.fail_after(START_LIMIT_S):
        for gateway in site.gateways:
            while True:
                port, host = gateway.ready_port, gateway.host
                answer = await ask_raw(port, READY_REQUEST, host=host)
                if answer.status == 200:
                    break
                await trio.sleep(0.05)
