"""Membership of instances, merged from the platform's list and direct evidence."""

from dataclasses import dataclass, field
from enum import Enum

from scaleloom_core.ids import DataCentreName, Incarnation, InstanceId

DEFAULT_EVIDENCE_TTL_S = 30.0
DEFAULT_FLAP_WINDOW_S = 60.0
DEFAULT_FLAP_LIMIT = 3
DEFAULT_FLAP_PENALTY_S = 20.0
_NEVER_S = float("inf")


class Role(Enum):
    """Kind of process that an instance runs."""

    ROUTER = "router"
    SIDECAR = "sidecar"


class MemberState(Enum):
    """State of an instance as this process sees it."""

    LIVE = "live"
    DRAINING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class Member:
    """Description of an instance by the list or by the instance itself."""

    instance: InstanceId
    role: Role
    data_centre: DataCentreName
    host: str
    http_port: int
    control_port: int
    grpc_port: int = 0
    state: MemberState = MemberState.LIVE
    incarnation: Incarnation = Incarnation("")


@dataclass
class _Record:
    """Member, with evidence about it and when that evidence expires."""

    member: Member
    listed: bool = True
    draining_until_s: float = 0.0
    unreachable_until_s: float = 0.0
    delisted_at_s: list[float] = field(default_factory=list)
    damped_until_s: float = 0.0

    def expiries_s(self) -> tuple[float, float, float]:
        """Return when draining, unreachability and flap damping end."""
        return self.draining_until_s, self.unreachable_until_s, self.damped_until_s


@dataclass(frozen=True)
class FlapPolicy:
    """
    Flap damping of instances that repeatedly leave and rejoin the list.

    Parameters
    ----------
    window_s : float
        Time over which departures from the list are counted, in seconds.
    limit : int
        Number of departures within the window from which an instance is damped.
    penalty_s : float
        Time for which a damped instance gets no new work, in seconds.
    """

    window_s: float = DEFAULT_FLAP_WINDOW_S
    limit: int = DEFAULT_FLAP_LIMIT
    penalty_s: float = DEFAULT_FLAP_PENALTY_S


_DEFAULT_FLAP_POLICY = FlapPolicy()


class Membership:
    """
    View of all instances from one process.

    The list lags and may be inconsistent, so it does not override fresher direct
    evidence: an instance that announced that it is draining remains draining
    until that evidence expires, whatever the list says.

    Parameters
    ----------
    evidence_ttl_s : float
        Time for which direct evidence takes precedence over the list, in seconds.
    flap_policy : FlapPolicy
        Damping of instances that repeatedly leave and rejoin the list.
    """

    def __init__(
        self,
        evidence_ttl_s: float = DEFAULT_EVIDENCE_TTL_S,
        flap_policy: FlapPolicy = _DEFAULT_FLAP_POLICY,
    ) -> None:
        self._records: dict[InstanceId, _Record] = {}
        self._evidence_ttl_s = evidence_ttl_s
        self._flap_policy = flap_policy
        self._next_expiry_s = _NEVER_S
        self.version = 0

    def apply_expiries(self, now_s: float) -> None:
        """Increase the version if evidence or flap damping of an instance expired."""
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = min(
            (
                end_s
                for record in self._records.values()
                for end_s in record.expiries_s()
                if end_s > now_s
            ),
            default=_NEVER_S,
        )
        self.version += 1

    def _schedule_expiry(self, end_s: float) -> None:
        """Plan the next change of the version for `end_s` at the latest."""
        self._next_expiry_s = min(self._next_expiry_s, end_s)

    def apply_list(self, members: list[Member], now_s: float) -> None:
        """Apply a complete reading of the platform's list."""
        listed = {member.instance for member in members}
        for member in members:
            self._apply_listed(member, now_s)
        for instance, record in self._records.items():
            if instance not in listed and record.listed:
                self._delist(record, now_s)
        self._remove_stale(now_s)

    def apply_changes(
        self, members: list[Member], removed: list[InstanceId], now_s: float
    ) -> None:
        """Apply the changes of the list since the last reading."""
        for member in members:
            self._apply_listed(member, now_s)
        for instance in removed:
            record = self._records.get(instance)
            if record is not None and record.listed:
                self._delist(record, now_s)
        self._remove_stale(now_s)

    def mark_reachable(self, instance: InstanceId, now_s: float) -> None:
        """Record that a message from `instance` was received."""
        record = self._records.get(instance)
        if record is None:
            return
        if record.unreachable_until_s > now_s:
            record.unreachable_until_s = 0.0
            self.version += 1

    def mark_draining(self, instance: InstanceId, now_s: float) -> None:
        """Record that `instance` announced that it is draining."""
        record = self._records.get(instance)
        if record is None:
            return
        if record.draining_until_s <= now_s:
            self.version += 1
        record.draining_until_s = now_s + self._evidence_ttl_s
        self._schedule_expiry(record.draining_until_s)

    def mark_unreachable(
        self, instance: InstanceId, now_s: float, for_s: float
    ) -> None:
        """Record that `instance` is to count as unreachable for `for_s` seconds."""
        record = self._records.get(instance)
        if record is None:
            return
        if record.unreachable_until_s <= now_s:
            self.version += 1
        record.unreachable_until_s = now_s + for_s
        self._schedule_expiry(record.unreachable_until_s)

    def find(self, instance: InstanceId) -> Member | None:
        """Return the member `instance`, listed or not, or None if it is unknown."""
        record = self._records.get(instance)
        return record.member if record else None

    def is_listed(self, instance: InstanceId) -> bool:
        """Return whether `instance` is on the list."""
        record = self._records.get(instance)
        return record is not None and record.listed

    def get_state(self, instance: InstanceId, now_s: float) -> MemberState:
        """Return the state of `instance` at `now_s`."""
        record = self._records.get(instance)
        if record is None or not record.listed:
            return MemberState.GONE
        if record.draining_until_s > now_s:
            return MemberState.DRAINING
        return record.member.state

    def is_usable(self, instance: InstanceId, now_s: float) -> bool:
        """Return whether `instance` may get new work."""
        record = self._records.get(instance)
        if record is None or record.unreachable_until_s > now_s:
            return False
        if record.damped_until_s > now_s:
            return False
        return self.get_state(instance, now_s) is MemberState.LIVE

    def usable_members(self, role: Role, now_s: float) -> list[Member]:
        """Return the instances of `role` that may get new work."""
        return [
            record.member
            for instance, record in self._records.items()
            if record.member.role is role and self.is_usable(instance, now_s)
        ]

    def listed_members(self, role: Role) -> list[Member]:
        """Return the instances of `role` that are on the list."""
        return [
            record.member
            for record in self._records.values()
            if record.listed and record.member.role is role
        ]

    def _apply_listed(self, member: Member, now_s: float) -> None:
        """Apply one entry of the list."""
        record = self._records.get(member.instance)
        if record is None:
            self._records[member.instance] = _Record(member)
            self.version += 1
            return
        if member.incarnation != record.member.incarnation:
            record.draining_until_s = 0.0
            record.unreachable_until_s = 0.0
        if not record.listed:
            self._relist(record, now_s)
        if member != record.member:
            record.member = member
            self.version += 1

    def _relist(self, record: _Record, now_s: float) -> None:
        """Mark an instance as listed again, and damp it if it is flapping."""
        record.listed = True
        policy = self._flap_policy
        recent = [
            at_s for at_s in record.delisted_at_s if at_s > now_s - policy.window_s
        ]
        record.delisted_at_s = recent
        if len(recent) >= policy.limit:
            record.damped_until_s = now_s + policy.penalty_s
            self._schedule_expiry(record.damped_until_s)
        self.version += 1

    def _delist(self, record: _Record, now_s: float) -> None:
        """Mark an instance as gone from the list."""
        record.listed = False
        record.delisted_at_s.append(now_s)
        self.version += 1

    def _remove_stale(self, now_s: float) -> None:
        """Remove instances that left the list over two flap windows ago."""
        horizon_s = now_s - 2 * self._flap_policy.window_s
        stale = [
            instance
            for instance, record in self._records.items()
            if not record.listed
            and record.delisted_at_s
            and record.delisted_at_s[-1] < horizon_s
        ]
        for instance in stale:
            del self._records[instance]
