"""Callers that take broken streams up again, mostly at another gateway."""

import random

import trio

from soak.callers import (
    ANSWER_TIMEOUT_S,
    THINK_TIME_S,
    CallerResult,
    MixedStream,
    Observations,
    connect,
)
from soak.mixed_streams import EVENT_COUNT, MIXED, whole_events
from soak.observed_streams import ObservedStream, is_unused
from soak.processes import GatewayProcess
from soak.site import SoakSite
from soak.targets import GATEWAY_HEADER
from tests.fixtures.gateways import Answer, ask_on, request_bytes

RESUMING_CALLER_COUNT = 16
MAX_ATTEMPTS = 5
RETRY_PAUSE_RANGE_S = (0.0, 0.3)
LEAVE_SHARE = 0.3
LEAVE_AFTER_RANGE_S = (0.05, 0.6)
SAME_GATEWAY_SHARE = 0.2


async def take_streams_up(
    site: SoakSite, observations: Observations, number: int
) -> None:
    """Ask for streams one after another, and take up those that break off."""
    rng = random.Random(site.rng.random())
    links = GatewayLinks()
    for iteration in range(1_000_000):
        stream = MixedStream()
        observations.mixed_streams.append(stream)
        await _play(
            site, observations, stream, rng, links, f"{MIXED}-{number}-{iteration}"
        )
        await trio.sleep(THINK_TIME_S)


class GatewayLinks:
    """The open connections of one caller, which it uses until their gateway is gone."""

    def __init__(self) -> None:
        self._idle: dict[str, trio.SocketStream] = {}

    async def take(self, gateway: GatewayProcess) -> trio.SocketStream | None:
        """Return an open connection to a gateway, or None if it can't be reached."""
        link = self._idle.pop(gateway.name, None)
        if link is not None and is_unused(link):
            return link
        return await connect(gateway)

    async def give_back(
        self, gateway: GatewayProcess, link: trio.SocketStream, answer: Answer
    ) -> None:
        """Keep a connection for the next request, unless the answer ends it."""
        if answer.is_framed_as_complete and "connection" not in answer.headers:
            self._idle[gateway.name] = link
        else:
            await trio.aclose_forcefully(link)


async def _play(
    site: SoakSite,
    observations: Observations,
    stream: MixedStream,
    rng: random.Random,
    links: GatewayLinks,
    name: str,
) -> None:
    """Ask for one stream until all of its events came or the attempts are used up."""
    gateway = rng.choice(site.gateways)
    begun_by, next_event = None, 1
    for number in range(MAX_ATTEMPTS):
        link = await links.take(gateway)
        if link is not None:
            request_id = f"{name}-{number}"
            data = _request(gateway, request_id, begun_by, next_event)
            result = await _attempt(link, gateway, rng, request_id, data, next_event)
            observations.results.append(result)
            stream.attempts.append(result)
            await links.give_back(gateway, link, result.answer)
            events = whole_events(result.answer.body)
            if events:
                begun_by = begun_by or request_id
                next_event = events[-1][0] + 1
            if next_event > EVENT_COUNT:
                return
        await trio.sleep(rng.uniform(*RETRY_PAUSE_RANGE_S))
        if rng.random() >= SAME_GATEWAY_SHARE:
            gateway = rng.choice(site.gateways)


def _request(
    gateway: GatewayProcess, request_id: str, begun_by: str | None, next_event: int
) -> bytes:
    """Return a request for a stream, or for the rest of the one that has begun."""
    headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
    if begun_by is not None:
        headers["Last_Event_Id"] = str(next_event - 1)
        headers["Resumes"] = begun_by
    return request_bytes(f"/{MIXED}/1", request_id, **headers)


async def _attempt(
    link: trio.SocketStream,
    gateway: GatewayProcess,
    rng: random.Random,
    request_id: str,
    data: bytes,
    first_event: int,
) -> CallerResult:
    """Send one request, and return what came of the answer until the caller left."""
    leaves = rng.random() < LEAVE_SHARE
    limit_s = rng.uniform(*LEAVE_AFTER_RANGE_S) if leaves else ANSWER_TIMEOUT_S
    was_stopping, incarnation = gateway.is_stopping, gateway.incarnation
    started_s = trio.current_time()
    answer, observed = Answer(None), ObservedStream(link)
    with trio.move_on_after(limit_s) as scope:
        await ask_on(observed, data, "GET", answer)
    is_cut = scope.cancelled_caught
    return CallerResult(
        MIXED,
        request_id,
        gateway,
        incarnation,
        started_s,
        trio.current_time(),
        answer,
        was_stopping,
        is_cut,
        leaves and is_cut,
        first_event,
        sent_s=observed.sent_s,
        is_reset=observed.is_reset,
    )
