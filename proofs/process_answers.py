"""Proofs, with separate processes, of complete answers and bounded retries."""

from collections.abc import Awaitable, Callable

import trio

from proofs.cutting_relay import CuttingRelay
from proofs.process_traffic import chats_running, check_tally
from proofs.results import Checker, ProofResult
from scaleloom_standins.faults import Faults
from scaleloom_standins.local_fleet import LocalFleet
from tests.fixtures.fleets import small_fleet

ANSWER_PROMISE = "complete answers, and only theirs (processes)"
RETRY_PROMISE = "attempts under 1.2 a request"
MAX_ATTEMPTS_PER_REQUEST = 1.2
ROUTERS = ["r1", "r2"]
InjectFault = Callable[[LocalFleet], Awaitable[None]]


async def _kill_engine(fleet: LocalFleet) -> None:
    """Kill an engine while it streams answers."""
    fleet.kill("engine-e1")
    await trio.sleep(3.0)


async def _kill_sidecar(fleet: LocalFleet) -> None:
    """Kill a sidecar while it streams answers."""
    fleet.kill("e1")
    await trio.sleep(3.0)


async def _kill_router(fleet: LocalFleet) -> None:
    """Kill a router while it streams answers."""
    fleet.kill("r1")
    await trio.sleep(3.0)


async def _cut_streams(fleet: LocalFleet) -> None:
    """Cut the streams between engines and sidecars ten times."""
    for _ in range(10):
        for name in ("e1", "e2", "e3"):
            await fleet.set_faults(f"engine-{name}", Faults(cut_streams=3))
        await trio.sleep(0.3)


async def _cut_links(fleet: LocalFleet) -> None:
    """Cut the connections between routers and sidecars fifteen times."""
    relays = [CuttingRelay(fleet.address(name)) for name in ("e1", "e2", "e3")]
    async with trio.open_nursery() as nursery:
        for name, relay in zip(("e1", "e2", "e3"), relays):
            await nursery.start(relay.run)
            await fleet.list_at_relay(name, relay.address)
        await trio.sleep(1.0)
        for _ in range(15):
            for relay in relays:
                relay.cut()
            await trio.sleep(0.3)
        for name in ("e1", "e2", "e3"):
            await fleet.list_at_relay(name, fleet.address(name))
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()


async def _kill_router_during_change(fleet: LocalFleet) -> None:
    """Kill a router while the configuration changes."""
    fleet.kill("r1")
    await fleet.apply_intent("r2", "[customer third]\nkey = third-key\n")
    await trio.sleep(3.0)


FAULT_INJECTIONS: dict[str, InjectFault] = {
    "engine killed in mid-stream": _kill_engine,
    "sidecar killed in mid-stream": _kill_sidecar,
    "router killed in mid-stream": _kill_router,
    "engines' streams cut and resumed": _cut_streams,
    "links between routers and sidecars cut": _cut_links,
    "router killed and configuration changed": _kill_router_during_change,
}


async def prove_answers(fault: str, inject_fault: InjectFault) -> ProofResult:
    """Return the result of one fault."""
    checker = Checker()
    async with small_fleet(3, 0) as fleet:
        async with chats_running(fleet, ROUTERS, pause_s=0.02) as client:
            await trio.sleep(1.0)
            await inject_fault(fleet)
    tally = client.tally
    check_tally(checker, tally, fault)
    return ProofResult(
        ANSWER_PROMISE,
        fault,
        tally.turns,
        tuple(checker.violations),
        f"{tally.served} of {tally.turns} served, {tally.retried} retried",
    )


async def prove_retries() -> ProofResult:
    """Return the result of the retry bound while a third of the engines fail."""
    checker = Checker()
    fault = "a third of the engines failing"
    async with small_fleet(3, 0) as fleet:
        async with chats_running(fleet, ROUTERS, pause_s=0.02) as client:
            await trio.sleep(1.0)
            before = await _total_counters(fleet)
            await fleet.set_faults("engine-e1", Faults(is_down=True))
            await trio.sleep(5.0)
            after = await _total_counters(fleet)
    requests = after["requests"] - before["requests"]
    attempts = after["reached"] - before["reached"]
    ratio = attempts / max(1, requests)
    checker.check(ratio < MAX_ATTEMPTS_PER_REQUEST, f"{ratio:.2f} attempts per request")
    checker.check(client.tally.lost == 0, f"{client.tally.lost} requests lost")
    return ProofResult(
        RETRY_PROMISE,
        fault,
        requests,
        tuple(checker.violations),
        f"{ratio:.3f} attempts a request; {client.tally.served} of "
        f"{client.tally.turns} served, {client.tally.retried} retried",
    )


async def _total_counters(fleet: LocalFleet) -> dict[str, int]:
    """Return the number of requests and of attempts not refused by a sidecar."""
    totals = {"requests": 0, "reached": 0}
    for router in ROUTERS:
        counters = (await fleet.status(router))["counters"]
        refused = sum(
            count for name, count in counters.items() if name.startswith("refusals.")
        )
        totals["requests"] += counters.get("requests", 0)
        totals["reached"] += counters.get("attempts", 0) - refused
    return totals


async def prove() -> list[ProofResult]:
    """Return one result for each fault."""
    results = [await prove_answers(*case) for case in FAULT_INJECTIONS.items()]
    return [*results, await prove_retries()]
