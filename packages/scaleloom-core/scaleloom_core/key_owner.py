"""Owner of key slots: decides whether a request with an idempotency key may run."""

from dataclasses import dataclass, replace

from returns.result import Failure, Result

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.fold import NO_EPOCH
from scaleloom_core.idempotency import (
    IdempotencyDecision,
    IdempotencyEntry,
    IdempotencyPolicy,
    IdempotencyTable,
    StoredAnswer,
)
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.ids import ServiceName, SlotNumber
from scaleloom_core.ownership import (
    Claimant,
    Inheritance,
    LeaseClock,
    LeasePolicy,
    Tenure,
    begin_tenure,
    inheritance_of,
    may_state_not_run,
)
from scaleloom_core.records import SlotOwner
from scaleloom_core.refusals import Refusal, RefusalTable

HANDOVER_RETRY_S = 0.3


@dataclass(frozen=True)
class Transfer:
    """Hand-over of key slots by a predecessor, before the log names the successor."""

    transfer_id: str
    inheritances: dict[SlotNumber, Inheritance]
    entries: tuple[IdempotencyEntry, ...]
    received_at_s: float
    refusals: tuple[Refusal, ...] = ()


class KeyOwner:
    """
    Ownership of key slots of a service by one sidecar.

    Parameters
    ----------
    service : ServiceName
        The plain service of this sidecar's target.
    claimant : Claimant
        This incarnation of the sidecar.
    lease_policy : LeasePolicy
        Lease during which a reading of the log is valid.
    idempotency_policy : IdempotencyPolicy
        Limits of the idempotency table.
    """

    def __init__(
        self,
        service: ServiceName,
        claimant: Claimant,
        lease_policy: LeasePolicy,
        idempotency_policy: IdempotencyPolicy,
    ) -> None:
        self.service = service
        self.claimant = claimant
        self.table = IdempotencyTable(idempotency_policy)
        self._refusals = RefusalTable(idempotency_policy.skew_bound_s)
        self._lease_policy = lease_policy
        self._lease = LeaseClock()
        self._tenures: dict[SlotNumber, Tenure] = {}
        self._transfers: dict[str, Transfer] = {}
        self._fenced: set[SlotNumber] = set()
        self._highest_epoch = NO_EPOCH

    @property
    def tenures(self) -> dict[SlotNumber, Tenure]:
        """Return the tenures of the key slots that this sidecar owns."""
        return self._tenures

    @property
    def fencing_token(self) -> int:
        """
        Return the fencing token for requests to this sidecar's target.

        The token is the highest epoch that this sidecar has held, because a target
        compares tokens across all key slots. The claims of later incarnations have
        higher offsets and therefore higher epochs.
        """
        return self._highest_epoch

    def extend_lease(self, reading_began_s: float) -> None:
        """Extend the lease after a reading of the log up to its tail."""
        self._lease = self._lease.extended(reading_began_s)

    def is_lease_held(self, now_s: float) -> bool:
        """Return whether the lease has not lapsed."""
        return self._lease.is_held(self._lease_policy, now_s)

    def receive_transfer(self, transfer: Transfer) -> None:
        """Store a hand-over until the log names this sidecar as the successor."""
        self._transfers[transfer.transfer_id] = transfer

    def apply_owners(
        self, owners: dict[SlotNumber, SlotOwner], now_s: float, wall_s: float
    ) -> None:
        """Apply the owners of key slots as folded from the log."""
        for slot, owner in owners.items():
            if (owner.target, owner.incarnation) == (
                self.claimant.target,
                self.claimant.incarnation,
            ):
                self._apply_own(slot, owner, now_s, wall_s)
            else:
                self._tenures.pop(slot, None)
        self._drop_used_transfers(owners)

    def begin(
        self,
        key: IdempotencyKey,
        body_digest: str,
        received_wall_s: float,
        now_s: float,
        wall_s: float,
    ) -> Result[IdempotencyDecision, FleetError]:
        """
        Return the decision on a request and, if it may run, record it as running.

        Parameters
        ----------
        key : IdempotencyKey
            Key of the request, in this owner's service.
        body_digest : str
            Digest of everything that the run depends on.
        received_wall_s : float
            When the router received the attempt, in Unix seconds.
        now_s, wall_s : float
            The runtime's clock and the wall clock, in seconds.
        """
        tenure = self._tenures.get(key.key_slot)
        if tenure is None:
            return Failure(self._not_owner(key))
        known = self.table.peek(key, body_digest)
        if known is not None:
            return known
        refusal = self._refuse_for_now(key, tenure, received_wall_s, now_s, wall_s)
        refusal = refusal or self._refuse_stale(key, received_wall_s, now_s, wall_s)
        if refusal is not None:
            return Failure(refusal)
        return self.table.begin(key, body_digest, tenure, now_s, wall_s)

    def refuse_run(
        self,
        key: IdempotencyKey,
        error: FleetError,
        received_wall_s: float,
        now_s: float,
        wall_s: float,
    ) -> FleetError:
        """
        Refuse a key that has provably not run, and prevent earlier attempts.

        The returned `error` states that the request has not run. If the refusal
        cannot be recorded, the error states that the outcome is unknown.
        """
        self.table.abandon(key)
        is_recorded = self._refusals.add(key, received_wall_s, now_s, wall_s)
        outcome = Outcome.NOT_RUN if is_recorded else Outcome.UNKNOWN
        wait_s = max(error.retry_after_s or 0.0, self._refusals.skew_margin_s)
        return replace(error, outcome=outcome, retry_after_s=wait_s)

    def may_dispatch(self, key: IdempotencyKey, epoch: int, now_s: float) -> bool:
        """Return whether an admitted request may be sent to the target now."""
        tenure = self._tenures.get(key.key_slot)
        if tenure is None or tenure.epoch != epoch:
            return False
        return self.is_lease_held(now_s)

    def epoch_of(self, key: IdempotencyKey) -> int:
        """Return the epoch of this sidecar's tenure of the key slot of `key`."""
        return self._tenures[key.key_slot].epoch

    def look_up(
        self, key: IdempotencyKey, received_wall_s: float, now_s: float, wall_s: float
    ) -> Result[StoredAnswer, FleetError]:
        """Return the stored answer for `key`, or an error if there is none."""
        tenure = self._tenures.get(key.key_slot)
        if tenure is None:
            return Failure(self._not_owner(key))
        if self.table.peek(key, None) is None:
            refusal = self._refuse_for_now(key, tenure, received_wall_s, now_s, wall_s)
            if refusal is not None:
                return Failure(refusal)
        return self.table.look_up(key, tenure, now_s, wall_s).lash(
            lambda error: Failure(
                self._record_not_run(key, error, received_wall_s, now_s, wall_s)
            )
        )

    def fence(self, slots: list[SlotNumber]) -> None:
        """Start no runs in `slots` until the log names this sidecar as owner again."""
        self._fenced.update(slots)

    @property
    def has_fenced_slots(self) -> bool:
        """Return whether this sidecar still owns key slots that it has fenced."""
        return bool(self._fenced & set(self._tenures))

    def prepare_transfer(
        self, transfer_id: str, slots: list[SlotNumber], now_s: float
    ) -> Transfer:
        """Return the hand-over of `slots` to a successor."""
        inheritances = {
            slot: inheritance_of(self._tenures[slot], now_s)
            for slot in slots
            if slot in self._tenures
        }
        refusals = [
            refusal
            for refusal in self._refusals.entries()
            if refusal.key.key_slot in inheritances
        ]
        return Transfer(
            transfer_id=transfer_id,
            inheritances=inheritances,
            entries=tuple(self.table.entries_in(frozenset(inheritances))),
            received_at_s=now_s,
            refusals=tuple(refusals),
        )

    def _apply_own(
        self, slot: SlotNumber, owner: SlotOwner, now_s: float, wall_s: float
    ) -> None:
        """Begin a tenure when the log first names this sidecar as owner of `slot`."""
        current = self._tenures.get(slot)
        if current is not None and current.epoch == owner.epoch:
            return
        self._highest_epoch = max(self._highest_epoch, owner.epoch)
        transfer = self._transfers.get(owner.transfer_id or "")
        inheritance = transfer.inheritances.get(slot) if transfer else None
        if inheritance is not None:
            self._adopt_slot(transfer, slot, now_s)
            inheritance = _aged(inheritance, now_s - transfer.received_at_s)
        self._tenures[slot] = begin_tenure(
            owner, inheritance, self._lease_policy, now_s, wall_s
        )
        self._fenced.discard(slot)

    def _drop_used_transfers(self, owners: dict[SlotNumber, SlotOwner]) -> None:
        """Remove the hand-overs whose successor the log has named."""
        for owner in owners.values():
            self._transfers.pop(owner.transfer_id or "", None)

    def _adopt_slot(self, transfer: Transfer, slot: SlotNumber, now_s: float) -> None:
        """Add the entries and refusals of one key slot from a hand-over."""
        entries = [entry for entry in transfer.entries if entry.key.key_slot == slot]
        self.table.adopt(entries, now_s)
        refusals = [item for item in transfer.refusals if item.key.key_slot == slot]
        self._refusals.merge(refusals, now_s)

    def _not_owner(self, key: IdempotencyKey) -> FleetError:
        """Return the refusal of a key that this sidecar does not own."""
        detail = f"Slot {key.key_slot} of {self.service!r} is not owned here."
        return FleetError(ErrorKind.NOT_OWNER, detail, HANDOVER_RETRY_S)

    def _refuse_for_now(
        self,
        key: IdempotencyKey,
        tenure: Tenure,
        received_wall_s: float,
        now_s: float,
        wall_s: float,
    ) -> FleetError | None:
        """Return the reason why nothing may run in the key slot now, or None."""
        wait_s = tenure.active_from_s - now_s
        if wait_s > 0:
            detail = f"The former owner's lease may be valid for {wait_s:.1f} s more."
            return FleetError(ErrorKind.TAKEOVER_WAIT, detail, wait_s)
        if not self.is_lease_held(now_s):
            return self._refuse_lapsed(key, tenure, received_wall_s, now_s, wall_s)
        if key.key_slot in self._fenced:
            detail = "The owner is stopping and is handing over its key slots."
            return FleetError(
                ErrorKind.TARGET_DRAINING,
                detail,
                HANDOVER_RETRY_S,
                outcome=Outcome.UNKNOWN,
            )
        return None

    def _refuse_stale(
        self, key: IdempotencyKey, received_wall_s: float, now_s: float, wall_s: float
    ) -> FleetError | None:
        """Return the refusal of an attempt that is too old to run, or None."""
        if self._refusals.is_too_old(received_wall_s, wall_s):
            detail = "The attempt is older than the time for which refusals are stored."
            return FleetError(ErrorKind.ATTEMPT_STALE, detail)
        if not self._refusals.blocks(key, received_wall_s):
            return None
        detail = f"Key {key.text!r} was refused, and this attempt may be older."
        error = FleetError(ErrorKind.ATTEMPT_STALE, detail)
        return self.refuse_run(key, error, received_wall_s, now_s, wall_s)

    def _refuse_lapsed(
        self,
        key: IdempotencyKey,
        tenure: Tenure,
        received_wall_s: float,
        now_s: float,
        wall_s: float,
    ) -> FleetError:
        """Return the refusal of an owner whose lease has lapsed."""
        detail = "The owner could not read the log and may have been replaced."
        error = FleetError(ErrorKind.LEASE_LAPSED, detail, 1.0)
        is_proved = may_state_not_run(
            key.date_s, self._lease, self._lease_policy, now_s, wall_s
        )
        if not is_proved:
            return error
        missing = self.table.look_up(key, tenure, now_s, wall_s)
        if missing.failure().kind is not ErrorKind.KEY_UNKNOWN:
            return error
        return self.refuse_run(key, error, received_wall_s, now_s, wall_s)

    def _record_not_run(
        self,
        key: IdempotencyKey,
        error: FleetError,
        received_wall_s: float,
        now_s: float,
        wall_s: float,
    ) -> FleetError:
        """Return `error`, and record the refusal if it states that nothing ran."""
        if error.known_outcome is not Outcome.NOT_RUN:
            return error
        return self.refuse_run(key, error, received_wall_s, now_s, wall_s)


def _aged(inheritance: Inheritance, age_s: float) -> Inheritance:
    """Return `inheritance` with its waits shortened by `age_s` seconds."""
    return Inheritance(
        active_wait_s=max(0.0, inheritance.active_wait_s - age_s),
        dated_from_s=inheritance.dated_from_s,
        undated_wait_s=max(0.0, inheritance.undated_wait_s - age_s),
    )
