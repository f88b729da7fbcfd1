"""The admission control of a sidecar: whether its engine accepts a request now."""

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from scaleloom_core.chat_tables import CachedChats, DisplacedChats
from scaleloom_core.customer_shares import DEFAULT_RESERVE, CustomerShares
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import ChatId, CustomerId, TargetId
from scaleloom_core.load_bound import (
    BoundPolicy,
    FinishRate,
    MeanEstimate,
    allowed_load,
)
from scaleloom_core.placement import CandidateRole
from scaleloom_core.retry_schedule import RetrySchedule, ServiceTime, expected_wait_s

DEFAULT_QUEUE_FACTOR = 1.5
DEFAULT_WARM_UP_S = 600.0
DEFAULT_UNCACHED_MULTIPLE = 1.0
DRAINING_RETRY_S = 1.0

# How far a customer may exceed its share when a caller comes back at its reserved
# time, since reservations are spaced by the mean time that a request takes.
RESERVED_SLACK = 1


@dataclass(frozen=True)
class AdmissionPolicy:
    """
    The limits for requests that a sidecar forwards to its engine.

    Parameters
    ----------
    bound : BoundPolicy
        The load bound over the pool.
    queue_factor : float
        Concurrent requests admitted, as a multiple of the engine's batch.
    reserve : float
        Part of the slots kept for customers under their share.
    warm_up_s : float
        How long after joining, in seconds, a target redirects returning chats that
        it does not know to their former home.
    uncached_multiple : float
        Above this multiple of the pool's mean load, a chat without a prefix here is
        refused in favour of a less loaded peer. A lower value spreads more evenly
        and leaves more room for chats that return to their prefix.
    """

    bound: BoundPolicy = field(default_factory=BoundPolicy)
    queue_factor: float = DEFAULT_QUEUE_FACTOR
    reserve: float = DEFAULT_RESERVE
    warm_up_s: float = DEFAULT_WARM_UP_S
    uncached_multiple: float = DEFAULT_UNCACHED_MULTIPLE


@dataclass(frozen=True)
class RequestOffer:
    """A request that a router offers to a sidecar."""

    customer: CustomerId
    chat: ChatId
    customer_weight: float = 1.0
    is_returning: bool = False
    is_final: bool = False
    role: CandidateRole = CandidateRole.HOME
    time_left_s: float | None = None


@dataclass(frozen=True)
class Ticket:
    """The slot of an admitted request."""

    offer: RequestOffer
    admitted_at_s: float


@dataclass(frozen=True)
class ChatStatus:
    """What a target knows of one chat, and the target's load."""

    is_known: bool
    sent_to: TargetId | None
    load: int
    allowed_load: int


class AdmissionController:
    """
    The admission control of one engine.

    Parameters
    ----------
    capacity : int
        Requests that the engine batches at a time.
    policy : AdmissionPolicy
        The limits.
    started_at_s : float
        When this target joined, on the runtime's clock.
    """

    def __init__(
        self, capacity: int, policy: AdmissionPolicy, started_at_s: float
    ) -> None:
        slots = max(1, int(capacity * policy.queue_factor))
        self._policy = policy
        self._started_at_s = started_at_s
        self._is_draining = False
        self._capacity = capacity
        self._slots = slots
        self._service_time = ServiceTime()
        self._retry_schedule = RetrySchedule(self._service_time)
        self.shares = CustomerShares(slots, policy.reserve)
        self.mean = MeanEstimate(policy.bound)
        self._finish_rate = FinishRate()
        self.known = CachedChats()
        self.displaced = DisplacedChats()

    @property
    def load(self) -> int:
        """Return the number of requests in flight."""
        return self.shares.load

    @property
    def is_draining(self) -> bool:
        """Return whether the target drains and refuses new work."""
        return self._is_draining

    def start_draining(self) -> None:
        """Refuse new work from now on."""
        self._is_draining = True

    def stop_draining(self) -> None:
        """Accept new work again, after an operator cancelled the draining."""
        self._is_draining = False

    def finishes_per_s(self, now_s: float) -> float:
        """
        Return the expected rate of finished requests, for peers that take samples.

        The observed rate is noisy, so the result is never below the load divided by the
        mean time that a request occupies a slot.
        """
        expected_per_s = self.load / self._service_time.mean_s
        return max(expected_per_s, self._finish_rate.per_s(now_s))

    def needs_fresh_mean(self, now_s: float) -> bool:
        """
        Return whether fresh samples could allow one more request.

        They could if the load bound allows the request at the upper end of the mean's
        range and forbids it at the lower end.
        """
        if self.load + 1 <= self._allowed(now_s, is_optimistic=False):
            return False
        if self.mean.mean(self.load, now_s) is None:
            return self.load + 1 <= self._slots
        return self.load + 1 <= self._allowed(now_s, is_optimistic=True)

    def _allowed(self, now_s: float, is_optimistic: bool) -> int:
        """Return the highest load that the bound and the slots allow."""
        if self.mean.is_alone:
            return self._slots
        mean = self.mean.mean(self.load, now_s)
        bound = self._policy.bound
        if mean is None:
            return min(self._slots, allowed_load(bound, None))
        known = mean.high if is_optimistic else mean.low
        return min(self._slots, allowed_load(bound, known))

    def decide(self, offer: RequestOffer, now_s: float) -> Result[Ticket, FleetError]:
        """
        Admit or refuse one request.

        Returns
        -------
        Result of Ticket or FleetError
            Every failure happens before dispatch, so the request has not run.
        """
        self.shares.record_demand(offer.customer, offer.customer_weight, now_s)
        refusal = (
            self._refuse_if_draining()
            or self._refuse_without_prefix(offer, now_s)
            or self._refuse_if_late(offer)
            or self._refuse_over_bound(offer, now_s)
            or self._refuse_over_share(offer, now_s)
            or self._refuse_if_peer_less_loaded(offer, now_s)
        )
        if refusal is not None:
            return Failure(refusal)
        return Success(self._admit(offer, now_s))

    def finish(self, ticket: Ticket, now_s: float, is_served: bool) -> None:
        """Release the slot of `ticket`."""
        self.shares.finish(ticket.offer.customer)
        self._finish_rate.record_finish(now_s)
        if is_served:
            self._service_time.record(now_s - ticket.admitted_at_s)

    def _admit(self, offer: RequestOffer, now_s: float) -> Ticket:
        """Assign a slot to the request."""
        self.shares.admit(offer.customer)
        self.known.record_served(offer.chat, now_s)
        self.displaced.remove(offer.chat)
        self._retry_schedule.cancel(offer.customer, offer.chat)
        return Ticket(offer, now_s)

    def _refuse_if_draining(self) -> FleetError | None:
        """Refuse every request while this target drains."""
        if not self._is_draining:
            return None
        detail = "The target is draining and accepts no new requests."
        return FleetError(ErrorKind.TARGET_DRAINING, detail, DRAINING_RETRY_S)

    def _refuse_without_prefix(
        self, offer: RequestOffer, now_s: float
    ) -> FleetError | None:
        """Redirect a chat whose prefix is probably held by another target."""
        if offer.is_final or offer.chat in self.known:
            return None
        moved_to = self.displaced.find(offer.chat, now_s)
        if moved_to is not None:
            return self._redirect(moved_to)
        if offer.role is CandidateRole.FORMER_HOME:
            return self._redirect(None)
        is_new_here = now_s < self._started_at_s + self._policy.warm_up_s
        if offer.is_returning and is_new_here:
            return self._redirect(None)
        return None

    def _refuse_if_late(self, offer: RequestOffer) -> FleetError | None:
        """Refuse a request that cannot meet its deadline."""
        if offer.time_left_s is None:
            return None
        wait_s = expected_wait_s(self.load, self._capacity, self._service_time)
        if wait_s <= offer.time_left_s:
            return None
        detail = (
            f"The request would start in {wait_s:.2f} s; "
            f"{offer.time_left_s:.2f} s are left until its deadline."
        )
        return FleetError(ErrorKind.DEADLINE_UNREACHABLE, detail, wait_s)

    def _refuse_over_bound(
        self, offer: RequestOffer, now_s: float
    ) -> FleetError | None:
        """Refuse a request above the load bound or the engine's slots."""
        allowed = self._allowed(now_s, is_optimistic=False)
        reserved = self._reserved_slots(offer, now_s)
        if self.load + 1 + reserved <= allowed:
            return None
        peer = self.mean.refer_to_least_loaded(self.load, now_s)
        detail = (
            f"{self.load} requests are in flight; {allowed} are allowed, "
            f"{reserved} are reserved for returning callers."
        )
        return self._overloaded(ErrorKind.OVERLOADED, detail, offer, peer, now_s)

    def _reserved_slots(self, offer: RequestOffer, now_s: float) -> int:
        """Return the slots kept for callers whose reservations are due."""
        if self._retry_schedule.is_due(offer.customer, offer.chat, now_s):
            return 0
        claimed = self.shares.in_flight_of(offer.customer)
        claimed += self._retry_schedule.due_count_of(offer.customer, now_s)
        if claimed + 1 <= self.shares.share_of(offer.customer, now_s):
            return 0
        return self._retry_schedule.due_count(now_s)

    def _refuse_if_peer_less_loaded(
        self, offer: RequestOffer, now_s: float
    ) -> FleetError | None:
        """Refuse a chat without a prefix here if a peer is less loaded."""
        if offer.is_final or offer.chat in self.known:
            return None
        mean = self.mean.mean(self.load, now_s)
        if mean is None or self.load + 1 <= self._policy.uncached_multiple * mean.high:
            return None
        peer = self.mean.refer_to_least_loaded(self.load, now_s)
        if peer is None:
            return None
        detail = f"{self.load} requests are in flight; a peer has fewer."
        return FleetError(ErrorKind.PEER_LESS_LOADED, detail, alternative=peer)

    def chat_status(self, chat: ChatId, now_s: float) -> ChatStatus:
        """Return what this target knows of `chat`, for an explanation."""
        return ChatStatus(
            is_known=chat in self.known,
            sent_to=self.displaced.find(chat, now_s),
            load=self.load,
            allowed_load=self._allowed(now_s, is_optimistic=False),
        )

    def record_placement(
        self, customer: CustomerId, chat: ChatId, target: TargetId, now_s: float
    ) -> None:
        """Record that another target admitted a chat whose home is here."""
        self._retry_schedule.cancel(customer, chat)
        self.displaced.record(chat, target, now_s)
        self.known.record_evicted(chat)

    def _refuse_over_share(
        self, offer: RequestOffer, now_s: float
    ) -> FleetError | None:
        """Refuse a customer over its share while the remaining slots are reserved."""
        is_due = self._retry_schedule.is_due(offer.customer, offer.chat, now_s)
        slack = RESERVED_SLACK if is_due else 0
        if not self.shares.is_over_share(offer.customer, now_s, slack):
            return None
        share = self.shares.share_of(offer.customer, now_s)
        detail = (
            f"Customer {offer.customer!r} has "
            f"{self.shares.in_flight_of(offer.customer)} requests in flight; "
            f"its share is {share:.1f} while other customers wait."
        )
        kind = ErrorKind.CUSTOMER_OVER_SHARE
        peer = self.mean.refer_to_least_loaded(self.load, now_s)
        return self._overloaded(kind, detail, offer, peer, now_s)

    def _overloaded(
        self,
        kind: ErrorKind,
        detail: str,
        offer: RequestOffer,
        peer: TargetId | None,
        now_s: float,
    ) -> FleetError:
        """Return a refusal with a reserved time for the retry."""
        wait_s = self._reserve(offer, now_s)
        return FleetError(kind, detail, wait_s, alternative=peer)

    def _reserve(self, offer: RequestOffer, now_s: float) -> float | None:
        """Return after how many seconds to retry; only the home keeps reservations."""
        if offer.role not in (CandidateRole.HOME, CandidateRole.LAST_RESORT):
            return None
        slots = self._available_slots(offer.customer, now_s)
        return self._retry_schedule.reserve(offer.customer, offer.chat, slots, now_s)

    def _available_slots(self, customer: CustomerId, now_s: float) -> float:
        """Return how many concurrent requests `customer` may count on."""
        others = self.load - self.shares.in_flight_of(customer)
        return max(self.shares.share_of(customer, now_s), self._slots - others)

    def _redirect(self, target: TargetId | None) -> FleetError:
        """Return a refusal that names the target with the prefix, if known."""
        detail = "The chat's prefix is probably held by another target."
        return FleetError(ErrorKind.REDIRECT, detail, alternative=target)
