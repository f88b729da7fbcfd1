"""
Tests of targets that ask for back-off or report draining in their answers.

Guards against Retry-After being ignored: a target that answered 503 with 3 s got three
or four more requests from the same router in that time, since the answer only counted
as a failure; five failures ejected it for 1.5 s, then it was used again during its
back-off. Signals hold until they expire, also while lists, links or requests change.
"""

from collections.abc import Awaitable, Callable

import trio

from tests.fixtures import stub_targets
from tests.fixtures.backoff import DRAINING_HEADERS, Callers, TargetMonitor
from tests.fixtures.crashing import cut_between_gateways
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import Site, running_site
from tests.fixtures.stub_server import ReceivedRequest, raw_answer
from tests.fixtures.stub_targets import StubTarget, request_id

TARGETS, GATEWAYS = 4, 3
BACKOFF_S = 3.0
DURATION_S = 7.0
SEND_INTERVAL_S = 0.03
DISTURB_INTERVAL_S = 2.0
PATHS = ("/safe/1", "/once/1", "/stream/1", "/stream-once/1")

Disturb = Callable[[Site, set[str]], Awaitable[None]]


async def _disturb_nothing(site: Site, cut: set[str]) -> None:
    """Disturb nothing."""


async def _kill_one_after_another(site: Site, cut: set[str]) -> None:
    """Kill the gateways in turn and replace them by ones without state."""
    while True:
        await trio.sleep(DISTURB_INTERVAL_S)
        running = [g for g in site.gateways if not g.stopped.is_set()]
        joined = site.start_gateway(site.store_port)
        await joined.wait_ready()
        await running[0].kill()


async def _cut_first(site: Site, cut: set[str]) -> None:
    """Cut the first gateway off from the others; the store stays reachable."""
    cut.add(str(site.gateways[0].settings.peer_address))


async def _relist_repeatedly(site: Site, cut: set[str]) -> None:
    """Remove and restore the entry of the first target repeatedly."""
    target = site.runners[0]
    while True:
        await trio.sleep(DISTURB_INTERVAL_S / 4)
        site.drop_entry(target)
        await trio.sleep(DISTURB_INTERVAL_S / 4)
        site.put_entry(target)


DISTURBANCES: tuple[Disturb, ...] = (
    _disturb_nothing,
    _kill_one_after_another,
    _cut_first,
    _relist_repeatedly,
)


async def _run_disturbed(
    disturb: Disturb,
    cut: set[str],
    behave: Callable[[TargetMonitor, StubTarget], None],
    violations: dict[str, object],
) -> None:
    """Load all gateways while the first target misbehaves; record violations."""
    monitor = TargetMonitor()
    async with running_site(TARGETS, GATEWAYS) as site:
        for target in site.runners:
            target.behaviour = monitor.watch()
        behave(monitor, site.runners[0])
        site.nursery.start_soon(disturb, site, cut)
        callers = Callers(site)
        await callers.send_requests(DURATION_S, PATHS, SEND_INTERVAL_S)
    assert monitor.backoffs or monitor.draining_since_s
    found = monitor.excess_during_backoff() or monitor.arrivals_after_drain()
    if found:
        violations[disturb.__name__] = found
    if disturb is _disturb_nothing and callers.statuses() != {200}:
        violations["statuses"] = callers.statuses()


async def _run_all(
    behave: Callable[[TargetMonitor, StubTarget], None],
) -> dict[str, object]:
    """Return the violations under each disturbance."""
    violations: dict[str, object] = {}
    cut: set[str] = set()
    with cut_between_gateways(cut):
        async with trio.open_nursery() as nursery:
            for disturb in DISTURBANCES:
                nursery.start_soon(_run_disturbed, disturb, cut, behave, violations)
    return violations


@runs_on_paused_clock
async def test_a_target_that_asks_for_backoff_gets_no_requests():
    def ask_for_backoff(monitor: TargetMonitor, target: StubTarget) -> None:
        target.behaviour = monitor.ask_for_backoff(BACKOFF_S)

    violations = await _run_all(ask_for_backoff)
    assert violations == {}, violations


async def _answer_draining(target: StubTarget, request: ReceivedRequest) -> bool:
    """Run the request and report draining in the head of the answer."""
    target.runs[request_id(request)] += 1
    if request.target.startswith("/stream"):
        head = stub_targets.stream_head(target, request)
        events = b"".join(
            stub_targets.chunk(stub_targets.event(number))
            for number in range(
                stub_targets.first_event(request), stub_targets.EVENT_COUNT + 1
            )
        )
        header = b"\r\nServer-Leaving: 1\r\n\r\n"
        await request.stream.send_all(
            head.replace(b"\r\n\r\n", header) + events + b"0\r\n\r\n"
        )
        return True
    headers = {**target.seal(request), **DRAINING_HEADERS}
    await request.stream.send_all(
        raw_answer(200, headers, stub_targets.body_of(request))
    )
    return True


@runs_on_paused_clock
async def test_a_target_that_reports_draining_gets_no_new_requests():
    def report_draining(monitor: TargetMonitor, target: StubTarget) -> None:
        target.behaviour = monitor.report_draining(_answer_draining)

    violations = await _run_all(report_draining)
    assert violations == {}, violations
