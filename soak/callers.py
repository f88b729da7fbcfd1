"""Callers of the soak, which reuse connections and repeat the prompts of chats."""

import random
from dataclasses import dataclass, field

import trio

from soak.mixed_streams import whole_events
from soak.observed_streams import ObservedStream, is_unused
from soak.processes import GatewayProcess
from soak.site import SoakSite
from soak.targets import GATEWAY_HEADER
from tests.fixtures.gateways import Answer, ask_on, request_bytes

CALLER_COUNT = 14
CHAT_CALLER_COUNT = 24
KINDS = ("safe", "once", "stream", "stream-once")
CHAT = "chat"
PROMPT_COUNT = 12
HOT_PROMPT_SHARE = 0.8
THINK_TIME_S = 0.03
KEEP_ALIVE_SHARE = 0.8
# While one gateway gets most new connections, callers open more of them.
STEERED_SHARE = 0.9
STEERED_KEEP_ALIVE_SHARE = 0.3
ANSWER_TIMEOUT_S = 4.0
# As the requests state it; what lasts longer may be cut at any time.
REQUEST_DEADLINE_S = 2.0
DISCONNECT_SHARE = 0.04
DISCONNECT_AFTER_S = 0.01
PROBE_INTERVAL_S = 0.2
CONFIG_DUE_S = 2.6


@dataclass(frozen=True, slots=True)
class CallerResult:
    """
    Result of one request, as its caller saw it.

    Parameters
    ----------
    gateway : GatewayProcess
        The gateway that the request was sent to.
    incarnation : int
        The process of that gateway, counted from 1.
    was_stopping : bool
        Whether the gateway had been told to stop when the request was sent.
    is_disconnected : bool
        Whether the caller disconnected before its answer ended.
    has_left : bool
        Whether it did so of its own accord, before its time ran out.
    first_event : int
        Number of the first event that was asked for.
    deadline_s : float
        How long after its start the request must be answered.
    sent_s : float or None
        When the last byte was written, or None if the connection was lost before.
    is_large : bool
        Whether the request had a large body.
    is_reset : bool
        Whether the connection was reset, and not closed, before its answer ended.
    """

    kind: str
    request_id: str
    gateway: GatewayProcess
    incarnation: int
    started_s: float
    ended_s: float
    answer: Answer
    was_stopping: bool
    is_disconnected: bool
    has_left: bool = False
    first_event: int = 1
    deadline_s: float = REQUEST_DEADLINE_S
    sent_s: float | None = None
    is_reset: bool = False
    is_large: bool = False


@dataclass
class MixedStream:
    """All attempts of a caller at one stream of the service of several versions."""

    attempts: list[CallerResult] = field(default_factory=list)

    @property
    def versions(self) -> set[str]:
        """Return the versions whose events the caller got."""
        bodies = (attempt.answer.body for attempt in self.attempts)
        return {version for body in bodies for _, version in whole_events(body)}

    @property
    def first_version(self) -> str | None:
        """Return the version of the first event."""
        for attempt in self.attempts:
            for _, version in whole_events(attempt.answer.body):
                return version
        return None


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether one process of a gateway applied a version of the configuration."""

    gateway: GatewayProcess
    incarnation: int
    version: int
    sent_s: float
    has_version: bool


@dataclass
class Observations:
    """Results and probes of all callers of one seed."""

    results: list[CallerResult] = field(default_factory=list)
    mixed_streams: list[MixedStream] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)


async def send_requests(
    site: SoakSite, observations: Observations, number: int, kinds: tuple[str, ...]
) -> None:
    """
    Send requests of `kinds` one after another, over reused and new connections.

    Every other caller uses its connections until their gateways are gone.
    """
    usual_share = KEEP_ALIVE_SHARE if number % 2 else 1.0
    rng = random.Random(site.rng.random())
    idle_connections: dict[str, trio.SocketStream] = {}
    for iteration in range(1_000_000):
        gateway = _pick_gateway(site, rng)
        keep_alive_share = (
            usual_share if site.steered_to is None else STEERED_KEEP_ALIVE_SHARE
        )
        stream = idle_connections.pop(gateway.name, None)
        is_kept = stream is not None and rng.random() <= keep_alive_share
        if not is_kept or not is_unused(stream):
            stream = await connect(gateway)
        if stream is not None:
            kind = rng.choice(kinds)
            request_id = f"{kind}-{number}-{iteration}"
            result = await _send_request(stream, gateway, rng, kind, request_id)
            observations.results.append(result)
            answer = result.answer
            is_reusable = answer.is_framed_as_complete and not result.is_disconnected
            if is_reusable and "connection" not in answer.headers:
                idle_connections[gateway.name] = stream
            else:
                await trio.aclose_forcefully(stream)
        await trio.sleep(THINK_TIME_S)


def _pick_gateway(site: SoakSite, rng: random.Random) -> GatewayProcess:
    """Return the gateway that gets the next request of a caller."""
    if site.steered_to is not None and rng.random() < STEERED_SHARE:
        return site.steered_to
    return rng.choice(site.gateways)


async def connect(gateway: GatewayProcess) -> trio.SocketStream | None:
    """Return a new connection to a gateway, or None if it can't be reached."""
    with trio.move_on_after(1.0):
        try:
            return await trio.open_tcp_stream(gateway.host, gateway.front_port)
        except OSError:
            return None
    return None


async def _send_request(
    stream: trio.SocketStream,
    gateway: GatewayProcess,
    rng: random.Random,
    kind: str,
    request_id: str,
) -> CallerResult:
    """Send one request and return its result."""
    headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
    if kind == CHAT:
        prompt = 0 if rng.random() < HOT_PROMPT_SHARE else rng.randrange(PROMPT_COUNT)
        headers["Prompt_Prefix"] = f"aa:100,b{prompt:x}:900,c{rng.getrandbits(32):x}:20"
    data = request_bytes(f"/{kind}/1", request_id, **headers)
    disconnects_early = rng.random() < DISCONNECT_SHARE
    was_stopping, incarnation = gateway.is_stopping, gateway.incarnation
    started_s = trio.current_time()
    answer, observed = Answer(None), ObservedStream(stream)
    with trio.move_on_after(
        DISCONNECT_AFTER_S if disconnects_early else ANSWER_TIMEOUT_S
    ) as scope:
        answer = await ask_on(observed, data, "GET")
    return CallerResult(
        kind,
        request_id,
        gateway,
        incarnation,
        started_s,
        trio.current_time(),
        answer,
        was_stopping,
        scope.cancelled_caught,
        disconnects_early and scope.cancelled_caught,
        sent_s=observed.sent_s,
        is_reset=observed.is_reset,
    )


async def probe_config_versions(
    site: SoakSite, observations: Observations, gateway: GatewayProcess
) -> None:
    """Probe again and again which configuration version a gateway has applied."""
    for iteration in range(1_000_000):
        await trio.sleep(PROBE_INTERVAL_S)
        # Alternate between the newest version and the newest one that every gateway
        # must have applied by now.
        age_s = CONFIG_DUE_S if iteration % 2 else 0.0
        version = site.newest_version_at(trio.current_time() - age_s)
        incarnation = gateway.incarnation
        stream = await connect(gateway)
        if stream is None:
            continue
        sent_s = trio.current_time()
        answer = Answer(None)
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            data = request_bytes(f"/v{version}/1", f"p-{gateway.name}-{iteration}")
            answer = await ask_on(stream, data, "GET")
        await trio.aclose_forcefully(stream)
        if answer.status is not None and answer.status != 503:
            has_version = answer.status != 404
            probe = Probe(gateway, incarnation, version, sent_s, has_version)
            observations.probes.append(probe)
