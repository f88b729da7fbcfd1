"""Proofs, with separate processes, of draining targets and planned stops."""

from collections.abc import Awaitable, Callable

import trio

from proofs.process_traffic import chats_running, check_tally
from proofs.results import Checker, ProofResult
from scaleloom_core.membership import MemberState
from scaleloom_standins.faults import Faults
from scaleloom_standins.local_fleet import LocalFleet
from scaleloom_standins.traffic import Caller
from tests.fixtures.fleets import small_fleet

DRAIN_PROMISE = "leaving targets get no new work after 3 s"
STOP_PROMISE = "planned stops cut nothing"
MAX_DRAIN_START_S = 3.0
OBSERVATION_S = 2.0
Action = Callable[[LocalFleet], Awaitable[None]]
DRAIN_INTENT = "[target e1]\nis_leaving = yes\n"


async def _drain_by_intent(fleet: LocalFleet) -> None:
    """Confirm an intent that drains the target."""
    await fleet.apply_intent("r1", DRAIN_INTENT)


async def _unlist(fleet: LocalFleet) -> None:
    """Remove the instance from the list."""
    await fleet.unlist_member("e1")


async def _list_as_draining(fleet: LocalFleet) -> None:
    """List the instance as draining."""
    await fleet.list_member("e1", MemberState.DRAINING)


async def _drain_while_list_is_down(fleet: LocalFleet) -> None:
    """Confirm a drain intent while the list is down."""
    await fleet.set_faults("list", Faults(is_down=True))
    await fleet.apply_intent("r1", DRAIN_INTENT)


async def _drain_while_list_flaps(fleet: LocalFleet) -> None:
    """Confirm a drain intent while the listed state flaps."""
    await fleet.apply_intent("r1", DRAIN_INTENT)
    for state in (MemberState.DRAINING, MemberState.LIVE) * 3:
        await fleet.list_member("e1", state)
        await trio.sleep(0.2)


async def _stop_gracefully(fleet: LocalFleet) -> None:
    """Start a planned stop of the sidecar while the list still shows it as live."""
    fleet.terminate("e1")


DRAIN_STARTS: dict[str, Action] = {
    "announced by an intent": _drain_by_intent,
    "vanished from the list": _unlist,
    "listed as leaving": _list_as_draining,
    "announced by an intent, list down": _drain_while_list_is_down,
    "announced by an intent, list flapping": _drain_while_list_flaps,
    "sidecar told to stop, list lagging": _stop_gracefully,
}


async def prove_drain(fault: str, start_drain: Action) -> ProofResult:
    """Return the result of one way to drain a target."""
    checker = Checker()
    async with small_fleet(3, 0) as fleet:
        async with chats_running(fleet, ["r1", "r2"]) as client:
            await trio.sleep(1.0)
            before = await _started_requests(fleet)
            checker.check(
                before > 0, f"{fault}: the target had no requests before draining"
            )
            await start_drain(fleet)
            await trio.sleep(MAX_DRAIN_START_S)
            before_observation = await _started_requests(fleet)
            await trio.sleep(OBSERVATION_S)
            late_count = await _started_requests(fleet) - before_observation
            checker.check(
                late_count == 0, f"{fault}: {late_count} requests started after 3 s"
            )
    check_tally(checker, client.tally, fault)
    return ProofResult(
        DRAIN_PROMISE,
        fault,
        checker.cases,
        tuple(checker.violations),
        _summarize(client),
    )


async def _started_requests(fleet: LocalFleet) -> int:
    """Return the number of requests started on the draining target."""
    return (await fleet.get_json("engine-e1", "/figures"))["begun"]


def _summarize(client: Caller) -> str:
    """Return the turns served and retried as text."""
    tally = client.tally
    return f"{tally.served} of {tally.turns} turns, retried {tally.retried}"


async def _stop_sidecar(fleet: LocalFleet) -> None:
    """Stop a sidecar as planned."""
    fleet.terminate("e1")
    await fleet.wait_stopped("e1")


async def _stop_router(fleet: LocalFleet) -> None:
    """Stop a router as planned."""
    fleet.terminate("r1")
    await fleet.wait_stopped("r1")


async def _stop_both(fleet: LocalFleet) -> None:
    """Stop a router and a sidecar as planned, with the log down."""
    await fleet.set_faults("log", Faults(is_down=True))
    fleet.terminate("r1")
    fleet.terminate("e1")
    await fleet.wait_stopped("r1")
    await fleet.wait_stopped("e1")


STOPS: dict[str, Action] = {
    "sidecar stopped under load": _stop_sidecar,
    "router stopped under load": _stop_router,
    "router and sidecar stopped, log down": _stop_both,
}


async def prove_stop(fault: str, stop: Action) -> ProofResult:
    """Return the result of one planned stop, which must cause no retry."""
    checker = Checker()
    async with small_fleet(3, 0) as fleet:
        async with chats_running(fleet, ["r1", "r2"]) as client:
            await trio.sleep(1.0)
            await stop(fleet)
            await trio.sleep(1.0)
        cached_share = await _cached_token_share(fleet)
    check_tally(checker, client.tally, fault)
    interrupted = client.tally.retried - client.tally.shed
    checker.check(interrupted == 0, f"{fault}: {interrupted} requests interrupted")
    availability = f"{_summarize(client)}; prompt tokens cached {cached_share:.1%}"
    return ProofResult(
        STOP_PROMISE, fault, checker.cases, tuple(checker.violations), availability
    )


async def _cached_token_share(fleet: LocalFleet) -> float:
    """Return the share of prompt tokens found in the caches of all engines."""
    figures = [
        await fleet.get_json(f"engine-{name}", "/figures")
        for name in ("e1", "e2", "e3")
    ]
    cached = sum(item["cached_prompt_tokens"] for item in figures)
    return cached / max(1, sum(item["prompt_tokens"] for item in figures))


async def prove() -> list[ProofResult]:
    """Return one result for each drain and each planned stop."""
    results = [await prove_drain(*case) for case in DRAIN_STARTS.items()]
    return results + [await prove_stop(*case) for case in STOPS.items()]
