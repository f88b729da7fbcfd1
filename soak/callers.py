"""Callers of the soak: they keep connections and return with the same prompts."""

import random
from dataclasses import dataclass, field

import trio

from soak.processes import GatewayProcess
from soak.site import SoakSite
from soak.targets import GATEWAY_HEADER
from tests.fixtures.gateways import Answer, ask_on, request_bytes

CALLER_COUNT = 14
CHAT_CALLER_COUNT = 24
KINDS = ("safe", "once", "stream", "stream-once")
CHAT = "chat"
PROMPT_COUNT = 12
HOT_SHARE = 0.8
THINK_S = 0.03
KEPT_SHARE = 0.8
PATIENCE_S = 4.0
IMPATIENT_SHARE = 0.04
IMPATIENT_S = 0.01
PROBE_INTERVAL_S = 0.2
CONFIG_DUE_S = 2.6


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    What one caller got.

    Parameters
    ----------
    was_stopping : bool
        Whether the gateway had been told to stop when the request was sent.
    was_left : bool
        Whether the caller left before the answer was whole.
    """

    kind: str
    request_id: str
    gateway: GatewayProcess
    incarnation: int
    begun_s: float
    ended_s: float
    answer: Answer
    was_stopping: bool
    was_left: bool


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether one incarnation of a gateway had a version of the configuration."""

    gateway: GatewayProcess
    incarnation: int
    version: int
    sent_s: float
    has_version: bool


@dataclass
class Observations:
    """Everything that callers saw."""

    outcomes: list[Outcome] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)


async def call_forever(
    site: SoakSite, seen: Observations, number: int, kinds: tuple[str, ...]
) -> None:
    """Send one request of `kinds` after another, over kept connections and new ones."""
    draw = random.Random(site.draw.random())
    kept: dict[str, trio.SocketStream] = {}
    for turn in range(1_000_000):
        gateway = draw.choice(site.gateways)
        stream = kept.pop(gateway.name, None)
        if stream is None or draw.random() > KEPT_SHARE:
            stream = await _connect(gateway)
        if stream is not None:
            kind = draw.choice(kinds)
            name = f"{kind}-{number}-{turn}"
            outcome = await _ask(stream, gateway, draw, kind, name)
            seen.outcomes.append(outcome)
            is_kept = outcome.answer.is_whole and not outcome.was_left
            if is_kept and "connection" not in outcome.answer.headers:
                kept[gateway.name] = stream
            else:
                await trio.aclose_forcefully(stream)
        await trio.sleep(THINK_S)


async def _connect(gateway: GatewayProcess) -> trio.SocketStream | None:
    """Return a new connection to a gateway, or None if there is none."""
    with trio.move_on_after(1.0):
        try:
            return await trio.open_tcp_stream(gateway.host, gateway.front_port)
        except OSError:
            return None
    return None


async def _ask(
    stream: trio.SocketStream,
    gateway: GatewayProcess,
    draw: random.Random,
    kind: str,
    name: str,
) -> Outcome:
    """Send one request and return what came of it."""
    headers = {GATEWAY_HEADER.replace("-", "_"): gateway.name}
    if kind == CHAT:
        part = 0 if draw.random() < HOT_SHARE else draw.randrange(PROMPT_COUNT)
        headers["Prompt_Prefix"] = f"aa:100,b{part:x}:900,c{draw.getrandbits(32):x}:20"
    data = request_bytes(f"/{kind}/1", name, **headers)
    is_impatient = draw.random() < IMPATIENT_SHARE
    was_stopping, incarnation = gateway.is_stopping, gateway.incarnation
    begun_s = trio.current_time()
    answer = Answer(None)
    with trio.move_on_after(IMPATIENT_S if is_impatient else PATIENCE_S) as scope:
        answer = await ask_on(stream, data, "GET")
    return Outcome(
        kind,
        name,
        gateway,
        incarnation,
        begun_s,
        trio.current_time(),
        answer,
        was_stopping,
        scope.cancelled_caught,
    )


async def probe_forever(
    site: SoakSite, seen: Observations, gateway: GatewayProcess
) -> None:
    """Ask which version of the configuration a gateway has in force."""
    for turn in range(1_000_000):
        await trio.sleep(PROBE_INTERVAL_S)
        # In turn the newest version and the newest that is due everywhere.
        old_s = CONFIG_DUE_S if turn % 2 else 0.0
        version = site.version_before(trio.current_time() - old_s)
        incarnation = gateway.incarnation
        stream = await _connect(gateway)
        if stream is None:
            continue
        sent_s = trio.current_time()
        answer = Answer(None)
        with trio.move_on_after(PATIENCE_S):
            data = request_bytes(f"/v{version}/1", f"p-{gateway.name}-{turn}")
            answer = await ask_on(stream, data, "GET")
        await trio.aclose_forcefully(stream)
        if answer.status is not None and answer.status != 503:
            has_version = answer.status != 404
            probe = Probe(gateway, incarnation, version, sent_s, has_version)
            seen.probes.append(probe)
