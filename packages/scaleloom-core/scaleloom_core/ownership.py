"""Leases and tenures of key slots, and their transfer to a successor."""

from dataclasses import dataclass

from scaleloom_core.ids import Incarnation, ServiceName, SlotNumber, TargetId
from scaleloom_core.placement import rendezvous_leader
from scaleloom_core.records import KEY_SLOT_COUNT, SlotOwner

DEFAULT_LEASE_S = 5.0
DEFAULT_CLOCK_DRIFT_S = 0.5
FOREVER_S = float("inf")


@dataclass(frozen=True)
class LeasePolicy:
    """
    Lease of a key slot's owner.

    Parameters
    ----------
    lease_s : float
        Time after a reading of the log's tail for which an owner may run requests,
        in seconds. A longer lease tolerates longer outages of the log; a shorter
        one allows a faster takeover after a crash.
    skew_bound_s : float
        Maximum difference between two wall clocks, and the time that a successor
        waits beyond the lease because of clock drift, in seconds.
    retention_s : float
        Retry window of undated keys, in seconds.
    """

    lease_s: float = DEFAULT_LEASE_S
    skew_bound_s: float = DEFAULT_CLOCK_DRIFT_S
    retention_s: float = 3600.0


@dataclass(frozen=True)
class Tenure:
    """
    Tenure of one key slot by one owner.

    Parameters
    ----------
    epoch : int
        Offset of the record that named the owner, used as the fencing token.
    active_from_s : float
        When the owner may start to run requests, on the runtime's clock.
    dated_from_s : float
        Earliest date, in Unix seconds, of an unknown key that the owner may run.
    undated_from_s : float
        When the owner may start to run unknown undated keys, on the runtime's
        clock.
    """

    epoch: int
    active_from_s: float
    dated_from_s: float
    undated_from_s: float


@dataclass(frozen=True)
class Inheritance:
    """
    Tenure of a predecessor as it is sent to the successor, with relative times.

    Parameters
    ----------
    active_wait_s : float
        Time for which the successor must not run any request, in seconds.
    dated_from_s : float
        Earliest date, in Unix seconds, of an unknown key that may run.
    undated_wait_s : float
        Time for which the successor must not run unknown undated keys, in seconds.
    """

    active_wait_s: float
    dated_from_s: float
    undated_wait_s: float


def inheritance_of(tenure: Tenure, now_s: float) -> Inheritance:
    """Return `tenure` in the form that is sent to a successor at `now_s`."""
    return Inheritance(
        active_wait_s=max(0.0, tenure.active_from_s - now_s),
        dated_from_s=tenure.dated_from_s,
        undated_wait_s=max(0.0, tenure.undated_from_s - now_s),
    )


@dataclass(frozen=True)
class LeaseClock:
    """Time at which an owner last confirmed that it had not been replaced."""

    confirmed_at_s: float = -FOREVER_S

    def extended(self, confirmed_at_s: float) -> "LeaseClock":
        """Return the lease after a log reading that began at `confirmed_at_s`."""
        return LeaseClock(max(self.confirmed_at_s, confirmed_at_s))

    def ends_at_s(self, policy: LeasePolicy) -> float:
        """Return when the lease ends, on the runtime's clock."""
        return self.confirmed_at_s + policy.lease_s

    def is_held(self, policy: LeasePolicy, now_s: float) -> bool:
        """Return whether the lease is valid at `now_s`."""
        return now_s < self.ends_at_s(policy)


def begin_tenure(
    owner: SlotOwner,
    inheritance: Inheritance | None,
    policy: LeasePolicy,
    now_s: float,
    wall_s: float,
) -> Tenure:
    """
    Return the tenure that starts when an owner first reads its own record.

    Parameters
    ----------
    owner : SlotOwner
        Owner of the key slot as folded from the log.
    inheritance : Inheritance or None
        Tenure from the predecessor's hand-over, if there was one.
    policy : LeasePolicy
        Lease and bounds on clocks.
    now_s : float
        The runtime's clock, in seconds.
    wall_s : float
        The wall clock, in Unix seconds.

    Notes
    -----
    The predecessor's last reading of the log began before the record was visible,
    so its lease ends before `now_s + lease_s`. Keys that the predecessor admitted
    were dated at most `skew_bound_s` ahead of its clock, which may be ahead of this
    clock by the same amount. `dated_from_s` therefore adds `skew_bound_s` three
    times.
    """
    if inheritance is not None:
        return _inherit(owner, inheritance, now_s)
    if owner.is_first:
        return Tenure(owner.epoch, now_s, -FOREVER_S, -FOREVER_S)
    wait_s = policy.lease_s + policy.skew_bound_s
    return Tenure(
        epoch=owner.epoch,
        active_from_s=now_s + wait_s,
        dated_from_s=wall_s + wait_s + 3 * policy.skew_bound_s,
        undated_from_s=now_s + wait_s + policy.retention_s,
    )


def _inherit(owner: SlotOwner, inheritance: Inheritance, now_s: float) -> Tenure:
    """Return a tenure that continues the tenure of the predecessor."""
    return Tenure(
        epoch=owner.epoch,
        active_from_s=now_s + inheritance.active_wait_s,
        dated_from_s=inheritance.dated_from_s,
        undated_from_s=now_s + inheritance.undated_wait_s,
    )


def may_state_not_run(
    date_s: float | None,
    lease: LeaseClock,
    policy: LeasePolicy,
    now_s: float,
    wall_s: float,
) -> bool:
    """
    Return whether an owner with a lapsed lease can state that a key has not run.

    A successor never runs a key dated before its own tenure, which starts after the
    lease of this owner ends. A key that is dated before that end and is not in this
    owner's table has therefore not run, and will not run elsewhere.
    """
    if date_s is None or lease.confirmed_at_s == -FOREVER_S:
        return False
    lease_end_wall_s = wall_s + lease.ends_at_s(policy) - now_s
    return date_s <= lease_end_wall_s


@dataclass(frozen=True)
class Claimant:
    """Incarnation of a sidecar that may own key slots of a service."""

    target: TargetId
    incarnation: Incarnation


def key_slots_to_claim(
    service: ServiceName,
    owners: dict[SlotNumber, SlotOwner],
    claimant: Claimant,
    alive: set[TargetId],
    eligible: list[TargetId],
) -> list[SlotNumber]:
    """
    Return the key slots that `claimant` should claim now.

    Parameters
    ----------
    service : ServiceName
        Service whose key slots are assigned.
    owners : dict of SlotNumber to SlotOwner
        Owners of the key slots as folded from the log.
    claimant : Claimant
        This sidecar.
    alive : set of TargetId
        Targets that keep their key slots, including draining ones.
    eligible : list of TargetId
        Targets that may be assigned more key slots, including this one.
    """
    slots = []
    for number in range(KEY_SLOT_COUNT):
        slot = SlotNumber(number)
        owner = owners.get(slot)
        if owner is not None and _is_alive(owner, claimant, alive):
            continue
        if rendezvous_leader(f"{service}/{number}", eligible) == claimant.target:
            slots.append(slot)
    return slots


def _is_alive(owner: SlotOwner, claimant: Claimant, alive: set[TargetId]) -> bool:
    """Return whether `owner` is alive and keeps its key slots."""
    if owner.target == claimant.target:
        return owner.incarnation == claimant.incarnation
    return owner.target in alive
