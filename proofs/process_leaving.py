"""Proofs with separate processes of leaving and of planned stops."""

from collections.abc import Awaitable, Callable

import trio

from proofs.process_traffic import chats_running
from proofs.results import Judge, ProofResult
from scaleloom_core.membership import MemberState
from scaleloom_standins.faults import Faults
from scaleloom_standins.local_fleet import LocalFleet
from scaleloom_standins.traffic import Caller, Tally
from tests.fixtures.fleets import small_fleet

LEAVING_PROMISE = "leaving targets get no new work after 3 s"
STOP_PROMISE = "planned stops cut nothing"
ALLOWED_S = 3.0
WATCHED_S = 2.0
Departure = Callable[[LocalFleet], Awaitable[None]]
LEAVE_INTENT = "[target e1]\nis_leaving = yes\n"


async def _told_by_intent(fleet: LocalFleet) -> None:
    """Confirm an intent in which the target leaves."""
    await fleet.apply_intent("r1", LEAVE_INTENT)


async def _vanished_from_list(fleet: LocalFleet) -> None:
    """Take the instance out of the list."""
    await fleet.unlist_member("e1")


async def _listed_as_leaving(fleet: LocalFleet) -> None:
    """List the instance as leaving."""
    await fleet.list_member("e1", MemberState.DRAINING)


async def _told_while_list_is_down(fleet: LocalFleet) -> None:
    """Confirm the departure while the list is down."""
    await fleet.set_faults("list", Faults(is_down=True))
    await fleet.apply_intent("r1", LEAVE_INTENT)


async def _told_while_list_flaps(fleet: LocalFleet) -> None:
    """Confirm the departure while the list contradicts itself."""
    await fleet.apply_intent("r1", LEAVE_INTENT)
    for state in (MemberState.DRAINING, MemberState.LIVE) * 3:
        await fleet.list_member("e1", state)
        await trio.sleep(0.2)


async def _asked_to_stop(fleet: LocalFleet) -> None:
    """Ask the sidecar for a planned stop while the list still says live."""
    fleet.ask_to_stop("e1")


DEPARTURES: dict[str, Departure] = {
    "told by an intent": _told_by_intent,
    "vanished from the list": _vanished_from_list,
    "listed as leaving": _listed_as_leaving,
    "told by an intent, list down": _told_while_list_is_down,
    "told by an intent, list flapping": _told_while_list_flaps,
    "sidecar asked to stop, list lagging": _asked_to_stop,
}


async def prove_departure(fault: str, depart: Departure) -> ProofResult:
    """Return the row of one way to leave."""
    judge = Judge()
    async with small_fleet(3, 0) as fleet:
        async with chats_running(fleet, ["r1", "r2"]) as caller:
            await trio.sleep(1.0)
            before = await _begun(fleet)
            judge.check(before > 0, f"{fault}: the target had no work before")
            await depart(fleet)
            await trio.sleep(ALLOWED_S)
            allowed = await _begun(fleet)
            await trio.sleep(WATCHED_S)
            late = await _begun(fleet) - allowed
            judge.check(late == 0, f"{fault}: {late} requests begun after 3 s")
    _check_tally(judge, caller.tally, fault)
    return ProofResult(
        LEAVING_PROMISE,
        fault,
        judge.cases,
        tuple(judge.violations),
        _served(caller),
    )


async def _begun(fleet: LocalFleet) -> int:
    """Return how many requests the leaving target has begun."""
    return (await fleet.get_json("engine-e1", "/figures"))["begun"]


def _check_tally(judge: Judge, tally: Tally, fault: str) -> None:
    """Check what callers got."""
    judge.check(tally.lost == 0, f"{fault}: {tally.lost} requests lost")
    judge.check(tally.foreign == 0, f"{fault}: {tally.foreign} foreign answers")
    judge.check(tally.truncated == 0, f"{fault}: {tally.truncated} cut answers")


def _served(caller: Caller) -> str:
    """Return what callers got, as a line."""
    tally = caller.tally
    return f"{tally.served} of {tally.turns} turns, asked again {tally.asked_again}"


async def _stop_sidecar(fleet: LocalFleet) -> None:
    """Stop a sidecar as planned."""
    fleet.ask_to_stop("e1")
    await fleet.wait_stopped("e1")


async def _stop_router(fleet: LocalFleet) -> None:
    """Stop a router as planned."""
    fleet.ask_to_stop("r1")
    await fleet.wait_stopped("r1")


async def _stop_both(fleet: LocalFleet) -> None:
    """Stop a router and a sidecar as planned, with the log down."""
    await fleet.set_faults("log", Faults(is_down=True))
    fleet.ask_to_stop("r1")
    fleet.ask_to_stop("e1")
    await fleet.wait_stopped("r1")
    await fleet.wait_stopped("e1")


STOPS: dict[str, Departure] = {
    "sidecar stopped under load": _stop_sidecar,
    "router stopped under load": _stop_router,
    "router and sidecar stopped, log down": _stop_both,
}


async def prove_stop(fault: str, stop: Departure) -> ProofResult:
    """Return the row of one planned stop, during which nobody asks again."""
    judge = Judge()
    async with small_fleet(3, 0) as fleet:
        async with chats_running(fleet, ["r1", "r2"]) as caller:
            await trio.sleep(1.0)
            await stop(fleet)
            await trio.sleep(1.0)
        reuse = await _reuse(fleet)
    _check_tally(judge, caller.tally, fault)
    cut = caller.tally.asked_again - caller.tally.shed
    judge.check(cut == 0, f"{fault}: {cut} requests cut")
    availability = f"{_served(caller)}; prompt tokens cached {reuse:.1%}"
    return ProofResult(
        STOP_PROMISE, fault, judge.cases, tuple(judge.violations), availability
    )


async def _reuse(fleet: LocalFleet) -> float:
    """Return the share of prompt tokens found cached at all engines."""
    figures = [
        await fleet.get_json(f"engine-{name}", "/figures")
        for name in ("e1", "e2", "e3")
    ]
    cached = sum(item["cached_prompt_tokens"] for item in figures)
    return cached / max(1, sum(item["prompt_tokens"] for item in figures))


async def prove() -> list[ProofResult]:
    """Return one row for each way to leave and to stop."""
    rows = [await prove_departure(*case) for case in DEPARTURES.items()]
    return rows + [await prove_stop(*case) for case in STOPS.items()]
