"""Tests of requests that wait for a free slot at a target."""

import trio

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import CustomerId
from scaleloom_core.queue_order import QueuedRequest
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.wait_queue import Waiter, WaitQueue
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.targets import SERVICE, listed_target

MAX_WAIT_S = 0.2
URGENT, NORMAL = 0, 1


class _Queue:
    """A service without free slots, and requests that wait for one."""

    def __init__(self, freed_per_s: float) -> None:
        self.queue = WaitQueue(FleetLoad(), lambda service, now_s: freed_per_s)
        self.target = TargetRecord(listed_target(1))
        self.free_slots = 0
        self.excluding: set[str] = set()
        self.ended: list[tuple[str, float, bool]] = []

    def _choose(self) -> TargetRecord | None:
        """Return the target if a slot is free, and occupy it."""
        if self.free_slots <= 0:
            return None
        self.free_slots -= 1
        return self.target

    async def ask(self, name: str, priority: int = NORMAL) -> None:
        """Wait for a slot, and record when and how the wait ended."""
        now_s = trio.current_time()
        claim = QueuedRequest(name, CustomerId(name), priority, 0, now_s + 2.0)
        is_excluding = name in self.excluding
        choose = (lambda: None) if is_excluding else self._choose
        waiter = Waiter(claim, now_s + MAX_WAIT_S, choose, is_excluding)
        chosen = await self.queue.wait(SERVICE, waiter)
        waited_s = trio.current_time() - now_s
        self.ended.append((name, round(waited_s, 3), chosen is not None))

    def free_slot(self) -> None:
        """Free one slot."""
        self.free_slots += 1
        self.queue.dispatch(SERVICE)

    def names(self, waited_s: float, got_slot: bool) -> list[str]:
        """Return the requests that waited that long and got a slot, or did not."""
        return [n for n, s, got in self.ended if (s, got) == (waited_s, got_slot)]


@runs_on_paused_clock
async def test_requests_that_cannot_expect_a_slot_in_time_are_refused_at_once():
    queue = _Queue(freed_per_s=10.0)
    async with trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(queue.ask, f"r-{number}")
    assert len(queue.names(0.0, got_slot=False)) == 5
    assert len(queue.names(MAX_WAIT_S, got_slot=False)) == 3


@runs_on_paused_clock
async def test_all_requests_wait_if_slots_become_free_fast():
    queue = _Queue(freed_per_s=100.0)
    async with trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(queue.ask, f"r-{number}")
        await trio.sleep(0.08)
        for _ in range(8):
            queue.free_slot()
    assert len(queue.names(0.08, got_slot=True)) == 8


@runs_on_paused_clock
async def test_a_more_urgent_request_displaces_a_waiting_one():
    queue = _Queue(freed_per_s=10.0)
    async with trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(queue.ask, f"usual-{number}")
        await trio.sleep(0.05)
        nursery.start_soon(queue.ask, "urgent", URGENT)
        await trio.sleep(0.01)
        queue.free_slot()
    assert queue.names(0.01, got_slot=True) == ["urgent"]
    assert len(queue.names(0.05, got_slot=False)) == 2
    assert len(queue.names(MAX_WAIT_S, got_slot=False)) == 1


@runs_on_paused_clock
async def test_the_first_request_waits_even_if_no_slot_was_freed_lately():
    queue = _Queue(freed_per_s=0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.ask, "first")
        await trio.sleep(0.01)
        nursery.start_soon(queue.ask, "second")
    assert queue.names(MAX_WAIT_S, got_slot=False) == ["first"]
    assert queue.names(0.0, got_slot=False) == ["second"]


@runs_on_paused_clock
async def test_a_request_that_excludes_the_free_target_blocks_no_others():
    # A retry that had been sent to every usable target waited first in the queue, and
    # all others waited behind it although slots were free.
    queue = _Queue(freed_per_s=100.0)
    queue.excluding = {"retry"}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.ask, "retry", URGENT)
        await trio.sleep(0.01)
        assert not queue.queue.must_wait(SERVICE)
        nursery.start_soon(queue.ask, "other")
        await trio.sleep(0.01)
        assert queue.queue.must_wait(SERVICE)
        queue.free_slot()
    assert queue.names(0.01, got_slot=True) == ["other"]
    assert queue.names(MAX_WAIT_S, got_slot=False) == ["retry"]
