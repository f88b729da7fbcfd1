"""Runs one seed of the soak and checks every promise afterwards."""

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
    probe_config_versions,
    send_requests,
)
from soak.early_answers import answer_uploads_early
from soak.faults import (
    FAULT_SEQUENCE_COUNT,
    Fault,
    change_versions,
    draw_faults,
    inject_faults,
)
from soak.late_requests import stop_beside_requests
from soak.long_callers import (
    FILE_CALLER_COUNT,
    LONG_CALLER_COUNT,
    UPLOAD_CALLER_COUNT,
    ask_for_long_answers,
    send_bodies_in_surges,
    send_early_answered_uploads,
)
from soak.neighbour_checks import describe_neighbours
from soak.neighbour_faults import NEIGHBOUR_FAULTS
from soak.neighbour_watch import probe_readiness, watch_memory
from soak.neighbours import NeighbourRecord
from soak.patient_callers import PATIENT_CALLER_COUNT, send_slow_requests
from soak.processes import GatewayProcess
from soak.promise_checks import PROMISES
from soak.repeated_streams import begin_streams_again
from soak.resuming_callers import RESUMING_CALLER_COUNT, take_streams_up
from soak.resumption_checks import describe_outcomes
from soak.silence_checks import describe_failures, describe_second_runs
from soak.silences import SILENCES
from soak.site import START_TIMEOUT_S, SoakSite, running_soak
from soak.version_faults import VERSION_FAULTS
from tests.fixtures.gateways import ask_raw

SETTLE_S = 1.0
MAX_SHOWN_CASES = 4
READY_POLL_S = 0.05
READY_REQUEST = b"GET /scaleloom/ready HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass(frozen=True)
class SoakResult:
    """
    Result of one seed.

    Parameters
    ----------
    sent_count, served_count : int
        Requests that were sent, and those that were answered with status 200.
    stream_counts : str
        How many streams began and went on at gateways in touch, if callers take them
        up, and how many requests went on at another target, if targets are silent.
    broken : dict of str to list of str
        The promises that were broken, each with its cases.
    """

    seed: int
    sent_count: int
    served_count: int
    broken: dict[str, list[str]]
    stream_counts: str = ""

    def describe(self) -> str:
        """Return the counts and the broken promises, with the first cases of each."""
        state = "passed" if not self.broken else "BROKEN"
        lines = [
            f"seed {self.seed}: {state},"
            f" {self.served_count} of {self.sent_count} requests served"
        ]
        if self.stream_counts:
            lines.append(f"  {self.stream_counts}")
        for promise, cases in self.broken.items():
            lines.append(f"  {promise}: {len(cases)} cases")
            lines += [f"    {case}" for case in cases[:MAX_SHOWN_CASES]]
        return "\n".join(lines)


async def run_seed(
    seed: int,
    length_s: float,
    directory: Path,
    gateway_count: int = 3,
    disabled_mechanism: str | None = None,
    faults: Sequence[Fault] | None = None,
    sequence_count: int = FAULT_SEQUENCE_COUNT,
) -> SoakResult:
    """
    Run one seed.

    Parameters
    ----------
    length_s : float
        How long faults are injected, in seconds.
    directory : Path
        Where settings and logs are written.
    disabled_mechanism : str or None
        A mechanism that is switched off in the gateways.
    faults : sequence of callable or None
        The faults that may be injected; a random subset of all if None.
    sequence_count : int
        How many sequences of faults run at once.
    """
    kinds = faults or draw_faults(random.Random(seed))
    observations = Observations()
    mixing = (change_versions, begin_streams_again, *VERSION_FAULTS)
    has_mixed_service = any(kind in kinds for kind in mixing)
    slow = (stop_beside_requests, *SILENCES)
    has_slow_routes = any(kind in slow for kind in kinds)
    taking = (answer_uploads_early, *NEIGHBOUR_FAULTS)
    has_neighbours = any(kind in taking for kind in kinds)
    services = (has_mixed_service, has_slow_routes)
    neighbours = NeighbourRecord() if has_neighbours else None
    arguments = (seed, directory, gateway_count, disabled_mechanism)
    async with running_soak(*arguments, *services, neighbours) as site:
        await wait_until_ready(site)
        async with trio.open_nursery() as nursery:
            for number in range(CALLER_COUNT):
                nursery.start_soon(send_requests, site, observations, number, KINDS)
            for number in range(CHAT_CALLER_COUNT):
                nursery.start_soon(send_requests, site, observations, number, (CHAT,))
            for number in range(RESUMING_CALLER_COUNT if has_mixed_service else 0):
                nursery.start_soon(take_streams_up, site, observations, number)
            for number in range(PATIENT_CALLER_COUNT if has_slow_routes else 0):
                nursery.start_soon(send_slow_requests, site, observations, number)
            if has_neighbours:
                _start_neighbours(site, observations, nursery)
            for gateway in site.gateways:
                nursery.start_soon(probe_config_versions, site, observations, gateway)
            for number in range(sequence_count):
                rng = random.Random(f"{seed}-{number}")
                nursery.start_soon(inject_faults, site, rng, kinds)
            await trio.sleep(length_s)
            nursery.cancel_scope.cancel()
        await trio.sleep(SETTLE_S)
        site.judged_until_s = trio.current_time()
        return _evaluate(seed, site, observations)


def _start_neighbours(
    site: SoakSite, observations: Observations, nursery: trio.Nursery
) -> None:
    """Start callers with long messages, and watch the gateways beside them."""
    for number in range(LONG_CALLER_COUNT):
        nursery.start_soon(ask_for_long_answers, site, observations, number)
    for number in range(FILE_CALLER_COUNT):
        nursery.start_soon(send_bodies_in_surges, site, observations, number)
    for number in range(UPLOAD_CALLER_COUNT):
        nursery.start_soon(send_early_answered_uploads, site, observations, number)
    for gateway in site.gateways:
        nursery.start_soon(probe_readiness, site, gateway)
    nursery.start_soon(watch_memory, site)


def _evaluate(seed: int, site: SoakSite, observations: Observations) -> SoakResult:
    """Return the result, with the promises that were broken."""
    observations.results += site.late_results
    cases_by_promise = {
        promise: check(site, observations) for promise, check in PROMISES.items()
    }
    broken = {promise: cases for promise, cases in cases_by_promise.items() if cases}
    served_count = sum(result.answer.status == 200 for result in observations.results)
    counts = []
    if site.has_mixed_service:
        counts.append(describe_outcomes(site, observations))
    if site.has_slow_routes:
        counts.append(describe_second_runs(site))
        counts.append(describe_failures(site, observations))
        lengths_s = [to_s - from_s for from_s, to_s in site.pauses]
        counts.append(
            f"the soak itself paused {len(lengths_s)} times,"
            f" {max(lengths_s, default=0.0):.2f} s at most"
        )
    if site.neighbours is not None:
        counts.append(describe_neighbours(site, observations))
    sent_count = len(observations.results)
    return SoakResult(seed, sent_count, served_count, broken, "\n  ".join(counts))


async def wait_until_ready(site: SoakSite) -> None:
    """
    Wait until every gateway reports that it is ready.

    Raises
    ------
    TimeoutError
        With the end of each gateway's log, after `START_TIMEOUT_S`.
    """
    with trio.move_on_after(START_TIMEOUT_S):
        for gateway in site.gateways:
            await _wait_until_answers(gateway)
        return
    raise TimeoutError("\n".join(gateway.describe() for gateway in site.gateways))


async def _wait_until_answers(gateway: GatewayProcess) -> None:
    """Wait until the readiness check of one gateway succeeds."""
    while True:
        port, host = gateway.ready_port, gateway.host
        answer = await ask_raw(port, READY_REQUEST, host=host)
        if answer.status == 200:
            return
        await trio.sleep(READY_POLL_S)
