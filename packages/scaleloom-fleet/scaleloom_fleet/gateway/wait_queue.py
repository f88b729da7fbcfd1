"""Queue of requests that wait for a free slot at a target, the most urgent first."""

from collections import Counter
from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import CustomerId, ServiceName
from scaleloom_core.queue_order import (
    QueuedRequest,
    QueueRank,
    expected_wait_s,
    queue_rank,
)
from scaleloom_core.target_records import TargetRecord

DISPATCH_INTERVAL_S = 0.05

Choose = Callable[[], TargetRecord | None]
FreedPerSecond = Callable[[ServiceName, float], float]
BackoffUntil = Callable[[ServiceName], float | None]


def _never_backing_off(service: ServiceName) -> float | None:
    """Return None; used until the back-offs of targets are connected."""
    return None


class Waiter(msgspec.Struct, eq=False):
    """
    One waiting request.

    Parameters
    ----------
    expires_s : float
        When a slot would come too late to be worth the wait.
    choose : callable
        Returns a target with a free slot for the request, or None.
    excludes_targets : bool
        Whether the request may not be sent to some targets, such as those that it was
        sent to before, so that a free slot may be of no use to it.
    is_decided : trio.Event
        Set once the request has a slot or is not expected to get one.
    """

    queued: QueuedRequest
    expires_s: float
    choose: Choose
    excludes_targets: bool = False
    is_decided: trio.Event = msgspec.field(default_factory=trio.Event)
    target: TargetRecord | None = None


class WaitQueue(msgspec.Struct):
    """
    Waiting requests of every service, and the requests in flight of each customer.

    Parameters
    ----------
    freed_per_s : callable
        Returns how many slots of a service this router lately freed per second.
    backoff_until_s : callable
        Returns when the first target of a service resumes, or None unless all of them
        are backing off.
    """

    load: FleetLoad
    freed_per_s: FreedPerSecond
    backoff_until_s: BackoffUntil = _never_backing_off
    in_flight_by_customer: Counter[CustomerId | None] = msgspec.field(
        default_factory=Counter
    )
    _waiters: dict[ServiceName, list[Waiter]] = msgspec.field(default_factory=dict)

    def must_wait(self, service: ServiceName) -> bool:
        """
        Return whether a new request has to wait behind others.

        It need not behind requests that exclude targets: they may wait although slots
        of other targets are free.
        """
        waiters = self._waiters.get(service, [])
        return not all(waiter.excludes_targets for waiter in waiters)

    @property
    def size(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._waiters.values()))

    def acquire(self, target: TargetRecord, customer: CustomerId | None) -> None:
        """Acquire a slot for a request of `customer`."""
        self.load.add_request(target.listed.id)
        self.in_flight_by_customer[customer] += 1

    def release(self, target: TargetRecord, customer: CustomerId | None) -> None:
        """Release a slot, and dispatch waiting requests to it."""
        self.load.remove_request(target.listed.id)
        self.in_flight_by_customer[customer] -= 1
        if self.in_flight_by_customer[customer] <= 0:
            del self.in_flight_by_customer[customer]
        self.dispatch(target.listed.service)

    async def wait(self, service: ServiceName, waiter: Waiter) -> TargetRecord | None:
        """Return the target that `waiter` gets, or None if none is free in time."""
        waiters = self._waiters.setdefault(service, [])
        waiters.append(waiter)
        self._refuse_hopeless(service)
        try:
            with trio.move_on_at(waiter.expires_s):
                await waiter.is_decided.wait()
        except BaseException:
            if waiter.target is not None:
                self.release(waiter.target, waiter.queued.customer)
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
        return waiter.target

    def dispatch(self, service: ServiceName) -> None:
        """Dispatch as many waiting requests of `service` as there are free slots."""
        waiters = self._waiters.get(service)
        while waiters:
            if not self._dispatch_one(waiters):
                if self.backoff_until_s(service) is not None:
                    self._refuse_hopeless(service)
                return

    def _dispatch_one(self, waiters: list[Waiter]) -> bool:
        """
        Dispatch the first of `waiters` for which there is a slot, if any.

        If there is none for a request that excludes no target, there is none for those
        behind it either.
        """
        candidates = list(waiters)
        while candidates:
            first = min(candidates, key=self._rank)
            target = first.choose()
            if target is not None:
                waiters.remove(first)
                self.acquire(target, first.queued.customer)
                first.target = target
                first.is_decided.set()
                return True
            if not first.excludes_targets:
                return False
            candidates.remove(first)
        return False

    def _refuse_hopeless(self, service: ServiceName) -> None:
        """
        Refuse at once the requests that are not expected to get a slot in time.

        Waiting would gain them nothing and delay the retry of their callers. The order
        is computed anew, since a new request may be more urgent than waiting ones.
        """
        now_s = trio.current_time()
        freed_per_s = self.freed_per_s(service, now_s)
        resume_s = self.backoff_until_s(service) or now_s
        kept: list[Waiter] = []
        for waiter in sorted(self._waiters[service], key=self._rank):
            wait_s = expected_wait_s(len(kept), freed_per_s)
            if max(now_s + wait_s, resume_s) <= waiter.expires_s:
                kept.append(waiter)
            else:
                waiter.is_decided.set()
        self._waiters[service][:] = kept

    def _rank(self, waiter: Waiter) -> QueueRank:
        """Return the sort key of `waiter` in the queue."""
        in_flight = self.in_flight_by_customer
        mean_in_flight = in_flight.total() / max(1, len(in_flight))
        return queue_rank(
            waiter.queued, in_flight[waiter.queued.customer], mean_in_flight
        )

    async def dispatch_forever(self) -> None:
        """Dispatch requests to slots that peers have freed."""
        while True:
            await trio.sleep(DISPATCH_INTERVAL_S)
            for service, waiters in self._waiters.items():
                if waiters:
                    self.dispatch(service)
