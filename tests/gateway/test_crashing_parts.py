"""
Tests of prompt parts that crash each target that begins to answer on them.

Guards against crashes being counted by request alone: requests that share one part,
no two of them alike, crashed 44 engines in turn with all requests in flight there.
"""

import trio

from tests.fixtures.crash_disturbances import (
    DISTURBANCES,
    Disturb,
    DisturbanceRecord,
    disturb_nothing,
    running_gateways,
)
from tests.fixtures.crashing import (
    ALLOWED_RETRIES,
    CRASHING_PATH,
    RECOVERY_S,
    Arrival,
    Caller,
    CrashingTargets,
    crashing_site,
    cut_between_gateways,
)
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Answer, Site
from tests.fixtures.stub_server import ReceivedRequest
from tests.fixtures.stub_targets import (
    Behaviour,
    StubTarget,
    chunk,
    event,
    request_id,
    stream_head,
)

TARGETS = 12
GATEWAYS = 3
CRASHING_PART = "dead"
CRASHED_TARGETS = 5
MIN_CRASHES = 3
CRASHING_INTERVAL_S = 0.4
SOUND_INTERVAL_S = 0.15
DURATION_S = 10.0
# Prompts of sound requests share the first part; each second part has some of them.
SECOND_PARTS = 24
# Twice the recovery time after the crashes, which are over by then.
OBSERVED_FROM_S = 7.5
SERVED_SHARE = 0.9
# Position of the crashing part, as a template of the prompt.
POSITIONS = {
    "first": "dead:100,b{second}:900,c{number}:20",
    "middle": "aa:100,dead:500,b{second}:400,c{number}:20",
    "before last": "aa:100,dead:900,c{number}:20",
}
SOUND_PROMPT = "aa:100,b{second}:900,c{number}:20"


def _has_crashing_part(request: ReceivedRequest) -> bool:
    """Return whether the prompt of a request has the crashing part."""
    return CRASHING_PART in request.headers.get("prompt-prefix", "")


async def _send_stream_start(target: StubTarget, request: ReceivedRequest) -> bool:
    """Begin a stream in chunks."""
    await request.stream.send_all(stream_head(target, request) + chunk(event(1)))
    return True


async def _send_unframed_start(target: StubTarget, request: ReceivedRequest) -> bool:
    """Begin an answer with neither length nor chunks."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id(request)}\r\n"
    kind = "Content-Type: text/event-stream\r\n\r\n"
    await request.stream.send_all((head + kind).encode() + event(1))
    return True


async def _send_requests(
    site: Site, caller: Caller, prompt: str, interval_s: float, path: str
) -> None:
    """Send requests of which no two are alike to one gateway after another."""
    number = 0
    while True:
        ready = running_gateways(site)
        parts = prompt.format(second=number % SECOND_PARTS, number=number)
        body = f"{prompt} {number}".encode()
        gateway = ready[number % len(ready)]
        site.nursery.start_soon(caller.ask, gateway, body, path, parts)
        number += 1
        await trio.sleep(interval_s)


def _late_arrivals(
    targets: CrashingTargets, disturbed_s: dict[str, list[float]]
) -> list[Arrival]:
    """Return the arrivals with the crashing part that exceed those allowed."""
    crashed_s = [at_s for at_s, cause in targets.crashed_s if cause]
    if len(crashed_s) < CRASHED_TARGETS:
        return []
    since_s = crashed_s[CRASHED_TARGETS - 1] + RECOVERY_S
    late = [
        arrival
        for arrival in targets.arrivals
        if arrival.at_s > since_s
        and CRASHING_PART in arrival.prompt
        and not any(
            0.0 <= arrival.at_s - at_s <= RECOVERY_S
            for at_s in disturbed_s.get(arrival.gateway, [])
        )
    ]
    return late[ALLOWED_RETRIES:]


async def _run(
    prompt: str,
    disturb: Disturb = disturb_nothing,
    cut: set[str] | None = None,
    before_crash: Behaviour | None = None,
    path: str = CRASHING_PATH,
) -> tuple[list[Arrival], list[Answer]]:
    """
    Send requests with the crashing part beside sound ones.

    Returns
    -------
    tuple
        The excess arrivals, and the first answers to sound requests sent once the
        part must be known.
    """
    record = DisturbanceRecord(cut=set() if cut is None else cut)
    async with crashing_site(TARGETS, GATEWAYS, _has_crashing_part, before_crash) as (
        site,
        targets,
    ):
        crashing, early, sound = Caller(site), Caller(site), Caller(site)
        site.nursery.start_soon(disturb, site, record)
        site.nursery.start_soon(
            _send_requests, site, crashing, prompt, CRASHING_INTERVAL_S, path
        )
        for caller, length_s in (
            (early, OBSERVED_FROM_S),
            (sound, DURATION_S - OBSERVED_FROM_S),
        ):
            with trio.move_on_after(length_s):
                await _send_requests(
                    site, caller, SOUND_PROMPT, SOUND_INTERVAL_S, CRASHING_PATH
                )
        await trio.sleep(RECOVERY_S)
    assert len(targets.crashed_s) >= MIN_CRASHES
    return _late_arrivals(targets, record.started_s), sound.first_answers


def _served_share(answers: list[Answer]) -> float:
    """Return the share of complete successes."""
    served = [a for a in answers if a.status == 200 and a.is_complete]
    return len(served) / len(answers)


def _cases() -> dict[str, dict[str, object]]:
    """Return where the part stands, how answers begin and on which routes, by name."""
    last = POSITIONS["before last"]
    cases: dict[str, dict[str, object]] = {
        name: {"prompt": prompt} for name, prompt in POSITIONS.items()
    }
    for before_crash in (_send_stream_start, _send_unframed_start):
        name = before_crash.__name__
        cases[name] = {"prompt": POSITIONS["middle"], "before_crash": before_crash}
    for path in ("/safe/part", "/once/part", "/stream-once/part"):
        cases[path] = {"prompt": last, "path": path}
    return cases


@runs_on_paused_clock
async def test_requests_with_a_crashing_part_are_sent_to_few_targets():
    excess: dict[str, list[Arrival]] = {}
    served_shares: dict[str, float] = {}

    async def run_case(name: str, arguments: dict[str, object]) -> None:
        late, sound = await _run(**arguments)
        if late:
            excess[name] = late
        served_shares[name] = _served_share(sound)

    async with trio.open_nursery() as nursery:
        for name, arguments in _cases().items():
            nursery.start_soon(run_case, name, arguments)
    assert excess == {}
    assert min(served_shares.values()) >= SERVED_SHARE, served_shares


@runs_on_paused_clock
async def test_a_crashing_part_is_found_while_routers_are_killed_or_cut_off():
    excess: dict[str, list[Arrival]] = {}
    cut: set[str] = set()

    async def run_disturbed(disturb: Disturb) -> None:
        late, _ = await _run(POSITIONS["before last"], disturb, cut)
        if late:
            excess[disturb.__name__] = late

    with cut_between_gateways(cut):
        async with trio.open_nursery() as nursery:
            for disturb in DISTURBANCES:
                nursery.start_soon(run_disturbed, disturb)
    assert excess == {}
