"""Requests that wait for a place at a target, the most urgent first."""

from collections import Counter
from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.waiting_order import Claim, Rank, expected_wait_s, rank

PUMP_INTERVAL_S = 0.05

Choose = Callable[[], TargetRecord | None]
FreedPerSecond = Callable[[ServiceName, float], float]
RestsUntil = Callable[[ServiceName], float | None]


def _rest_never(service: ServiceName) -> float | None:
    """Return None, as long as nobody tells of rests."""
    return None


class Waiter(msgspec.Struct, eq=False):
    """
    One request that waits.

    Parameters
    ----------
    patient_until_s : float
        When a place would come too late to be worth the wait.
    choose : callable
        Returns a target with a place for the request, or None.
    is_decided : trio.Event
        Set once it has a place or is not expected to get one.
    """

    claim: Claim
    patient_until_s: float
    choose: Choose
    is_decided: trio.Event = msgspec.field(default_factory=trio.Event)
    target: TargetRecord | None = None


class WaitingRoom(msgspec.Struct):
    """
    The waiting requests of every service, and who holds how many places.

    Parameters
    ----------
    freed_per_s : callable
        Returns how many places of a service this router lately freed a second.
    rests_until_s : callable
        Returns when a target of a service has rested, or None unless all rest.
    """

    load: FleetLoad
    freed_per_s: FreedPerSecond
    rests_until_s: RestsUntil = _rest_never
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

    async def wait(self, service: ServiceName, waiter: Waiter) -> TargetRecord | None:
        """Return the place that `waiter` got, or None if none comes in its time."""
        waiters = self._waiters.setdefault(service, [])
        waiters.append(waiter)
        self._turn_away(service)
        try:
            with trio.move_on_at(waiter.patient_until_s):
                await waiter.is_decided.wait()
        except BaseException:
            if waiter.target is not None:
                self.release(waiter.target, waiter.claim.customer)
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
                if self.rests_until_s(service) is not None:
                    self._turn_away(service)
                return
            waiters.remove(first)
            self.take(target, first.claim.customer)
            first.target = target
            first.is_decided.set()

    def _turn_away(self, service: ServiceName) -> None:
        """
        Refuse at once those that are not expected to get a place in their time.

        They would wait for nothing, and their callers would come back later for
        it. Whoever comes may be more urgent than others that wait already.
        """
        now_s = trio.current_time()
        freed_per_s = self.freed_per_s(service, now_s)
        rested_s = self.rests_until_s(service) or now_s
        staying: list[Waiter] = []
        for waiter in sorted(self._waiters[service], key=self._rank):
            wait_s = expected_wait_s(len(staying), freed_per_s)
            if max(now_s + wait_s, rested_s) <= waiter.patient_until_s:
                staying.append(waiter)
            else:
                waiter.is_decided.set()
        self._waiters[service][:] = staying

    def _rank(self, waiter: Waiter) -> Rank:
        """Return the place of `waiter` in line."""
        held = self.held_by_customer
        mean_held = held.total() / max(1, len(held))
        return rank(waiter.claim, held[waiter.claim.customer], mean_held)

    async def pump_forever(self) -> None:
        """Place requests for which peers have made room."""
        while True:
            await trio.sleep(PUMP_INTERVAL_S)
            for service, waiters in self._waiters.items():
                if waiters:
                    self.pump(service)
