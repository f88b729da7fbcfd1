"""Tests of requests that wait for a place at a target."""

import trio

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import CustomerId
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.waiting_order import Claim
from scaleloom_fleet.gateway.waiting import Waiter, WaitingRoom
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.targets import SERVICE, listed_target

PATIENCE_S = 0.2
URGENT, USUAL = 0, 1


class _Queue:
    """A service whose places are all taken, and requests that want one."""

    def __init__(self, freed_per_s: float) -> None:
        self.room = WaitingRoom(FleetLoad(), lambda service, now_s: freed_per_s)
        self.target = TargetRecord(listed_target(1))
        self.free = 0
        self.ended: list[tuple[str, float, bool]] = []

    def _choose(self) -> TargetRecord | None:
        """Return the target if a place is free, and take it."""
        if self.free <= 0:
            return None
        self.free -= 1
        return self.target

    async def ask(self, name: str, priority: int = USUAL) -> None:
        """Wait for a place, and note when and how that ended."""
        now_s = trio.current_time()
        claim = Claim(name, CustomerId(name), priority, 0, now_s + 2.0)
        waiter = Waiter(claim, now_s + PATIENCE_S, self._choose)
        place = await self.room.wait(SERVICE, waiter)
        waited_s = trio.current_time() - now_s
        self.ended.append((name, round(waited_s, 3), place is not None))

    def free_one(self) -> None:
        """Let one place become free."""
        self.free += 1
        self.room.dispatch(SERVICE)

    def names(self, waited_s: float, is_placed: bool) -> list[str]:
        """Return who waited so long and got a place, or did not."""
        return [
            n for n, s, placed in self.ended if (s, placed) == (waited_s, is_placed)
        ]


@runs_on_paused_clock
async def test_who_cannot_expect_a_place_in_time_is_refused_at_once():
    queue = _Queue(freed_per_s=10.0)
    async with trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(queue.ask, f"r-{number}")
    assert len(queue.names(0.0, is_placed=False)) == 5
    assert len(queue.names(PATIENCE_S, is_placed=False)) == 3


@runs_on_paused_clock
async def test_where_places_become_free_fast_all_wait():
    queue = _Queue(freed_per_s=100.0)
    async with trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(queue.ask, f"r-{number}")
        await trio.sleep(0.08)
        for _ in range(8):
            queue.free_one()
    assert len(queue.names(0.08, is_placed=True)) == 8


@runs_on_paused_clock
async def test_the_more_urgent_takes_the_turn_of_one_that_waits():
    queue = _Queue(freed_per_s=10.0)
    async with trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(queue.ask, f"usual-{number}")
        await trio.sleep(0.05)
        nursery.start_soon(queue.ask, "urgent", URGENT)
        await trio.sleep(0.01)
        queue.free_one()
    assert queue.names(0.01, is_placed=True) == ["urgent"]
    assert len(queue.names(0.05, is_placed=False)) == 2
    assert len(queue.names(PATIENCE_S, is_placed=False)) == 1


@runs_on_paused_clock
async def test_the_first_waits_though_nothing_was_freed_lately():
    queue = _Queue(freed_per_s=0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.ask, "first")
        await trio.sleep(0.01)
        nursery.start_soon(queue.ask, "second")
    assert queue.names(PATIENCE_S, is_placed=False) == ["first"]
    assert queue.names(0.0, is_placed=False) == ["second"]
