"""Requests that wait for a place at a target, the most urgent first."""

from collections import Counter
from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.target_records import TargetRecord

PUMP_INTERVAL_S = 0.05

Choose = Callable[[], TargetRecord | None]


class Waiter(msgspec.Struct, eq=False):
    """
    One request that waits.

    Parameters
    ----------
    choose : callable
        Returns a target with a place for the request, or None.
    """

    priority: int
    customer: CustomerId | None
    deadline_s: float
    choose: Choose
    is_placed: trio.Event = msgspec.field(default_factory=trio.Event)
    target: TargetRecord | None = None


class WaitingRoom(msgspec.Struct):
    """The waiting requests of every service, and who holds how many places."""

    load: FleetLoad
    held_by_customer: Counter[CustomerId | None] = msgspec.field(
        default_factory=Counter
    )
    _waiters: dict[ServiceName, list[Waiter]] = msgspec.field(default_factory=dict)

    def is_empty(self, service: ServiceName) -> bool:
        """Return whether nothing waits for a target of `service`."""
        return not self._waiters.get(service)

    @property
    def size(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._waiters.values()))

    def take(self, target: TargetRecord, customer: CustomerId | None) -> None:
        """Count a place that a request of `customer` takes."""
        self.load.take(target.listed.id)
        self.held_by_customer[customer] += 1

    def release(self, target: TargetRecord, customer: CustomerId | None) -> None:
        """Give a place back and hand it to whoever waits."""
        self.load.release(target.listed.id)
        self.held_by_customer[customer] -= 1
        if self.held_by_customer[customer] <= 0:
            del self.held_by_customer[customer]
        self.pump(target.listed.service)

    async def wait(
        self, service: ServiceName, waiter: Waiter, patience_s: float
    ) -> TargetRecord | None:
        """Return the place that `waiter` got, or None if its patience ran out."""
        waiters = self._waiters.setdefault(service, [])
        waiters.append(waiter)
        try:
            with trio.move_on_after(patience_s):
                await waiter.is_placed.wait()
        except BaseException:
            if waiter.target is not None:
                self.release(waiter.target, waiter.customer)
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
        return waiter.target

    def pump(self, service: ServiceName) -> None:
        """Place as many waiting requests of `service` as there is room for."""
        waiters = self._waiters.get(service)
        while waiters:
            first = min(waiters, key=self._rank)
            target = first.choose()
            if target is None:
                return
            waiters.remove(first)
            self.take(target, first.customer)
            first.target = target
            first.is_placed.set()

    def _rank(self, waiter: Waiter) -> tuple[int, int, float]:
        """Return the order of `waiter`: urgency, then who holds least."""
        held = self.held_by_customer[waiter.customer]
        return waiter.priority, held, waiter.deadline_s

    async def pump_forever(self) -> None:
        """Place requests for which peers have made room."""
        while True:
            await trio.sleep(PUMP_INTERVAL_S)
            for service, waiters in self._waiters.items():
                if waiters:
                    self.pump(service)
