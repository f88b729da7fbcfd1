"""Simulated sidecars that own key slots, with their log, clocks and faults.

Every sidecar runs the decision core of the product; time, the log and the network
are simulated by a queue of events.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from proofs.idempotency_trial_parts import EnabledMechanisms, FaultRates, SidecarModel
from scaleloom_core.fold import NO_EPOCH, Fold, LogEntry
from scaleloom_core.idempotency import IdempotencyPolicy
from scaleloom_core.ids import Incarnation, RecordId, ServiceName, TargetId
from scaleloom_core.key_owner import KeyOwner
from scaleloom_core.ownership import Claimant, LeasePolicy
from scaleloom_core.records import KEY_SLOT_COUNT, SlotClaim, SlotRelease, encode_record

SERVICE = ServiceName("tags")
SIDECARS = ("a", "b", "c")
WALL_ORIGIN_S = 1_800_000_000.0
SKEW_BOUND_S = 0.5
LEASE_S = 5.0
HORIZON_S = 90.0
SLOTS = tuple(range(KEY_SLOT_COUNT))
LEASE_POLICY = LeasePolicy(LEASE_S, SKEW_BOUND_S, 3600.0)
IDEMPOTENCY_POLICY = IdempotencyPolicy(skew_bound_s=SKEW_BOUND_S)


@dataclass
class SimulatedSidecars:
    """
    The sidecars of one service, whose faults and delays are drawn from a seed.

    Parameters
    ----------
    seed : int
        Seed of every random draw.
    rates : FaultRates
        How often each fault occurs.
    mechanisms : EnabledMechanisms
        Mechanisms that are enabled.
    """

    seed: int
    rates: FaultRates
    mechanisms: EnabledMechanisms = EnabledMechanisms()
    now_s: float = 0.0
    log: list[bytes] = field(default_factory=list)
    is_log_down: bool = False

    def __post_init__(self) -> None:
        """Create the random generator, the event queue and the sidecars."""
        self._random = random.Random(self.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._sidecars = {name: self._make_sidecar(name) for name in SIDECARS}

    def _make_sidecar(self, name: str) -> SidecarModel:
        """Return a sidecar with a new incarnation."""
        incarnation = Incarnation(f"{name}-{self._random.random()}")
        owner = KeyOwner(
            SERVICE,
            Claimant(TargetId(name), incarnation),
            LEASE_POLICY,
            IDEMPOTENCY_POLICY,
        )
        if not self.mechanisms.blocks_refused_keys:
            owner._refusals.blocks = lambda key, received_wall_s: False
        offset_s = self._random.uniform(-SKEW_BOUND_S / 2, SKEW_BOUND_S / 2)
        return SidecarModel(name, owner, Fold(), offset_s)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` to run `delay_s` from now."""
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def _schedule_at_rate(self, rate_per_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` at random times with `rate_per_s`, until the horizon."""
        at_s = 0.0
        while rate_per_s > 0:
            at_s += self._random.expovariate(rate_per_s)
            if at_s > HORIZON_S:
                return
            self._schedule(at_s, action)

    def _choose_sidecar(self) -> SidecarModel:
        """Return a randomly chosen sidecar."""
        return self._sidecars[self._random.choice(SIDECARS)]

    def _run_when_thawed(
        self, sidecar: SidecarModel, action: Callable[[], None]
    ) -> None:
        """Run `action` now, or when the sidecar thaws, or never if it was killed."""
        if not sidecar.is_alive:
            return
        wait_s = sidecar.frozen_until_s - self.now_s
        if wait_s > 0:
            self._schedule(wait_s, lambda: self._run_when_thawed(sidecar, action))
        else:
            action()

    def _wall_s(self, sidecar: SidecarModel) -> float:
        """Return the wall-clock time of a sidecar in seconds."""
        return WALL_ORIGIN_S + self.now_s + sidecar.wall_offset_s

    def _sync(self, name: str) -> None:
        """Start a reading of the log; its entries arrive after a delay."""
        sidecar = self._sidecars[name]
        started_s = self.now_s

        def read() -> None:
            if self.is_log_down or not sidecar.is_alive:
                return
            entries = list(self.log)
            self._schedule(
                self._random.uniform(0, 0.3),
                lambda: self._run_when_thawed(sidecar, lambda: apply(entries)),
            )

        def apply(entries: list[bytes]) -> None:
            for offset, payload in enumerate(entries):
                sidecar.fold.apply(LogEntry(offset, payload))
            self._apply_owners(sidecar)
            sidecar.owner.extend_lease(started_s)

        def begin() -> None:
            self._schedule(self._random.uniform(0, 0.3), read)

        if sidecar.is_alive and sidecar.frozen_until_s <= self.now_s:
            begin()

    def _apply_owners(self, sidecar: SidecarModel) -> None:
        """Apply the slot owners of the log, without the disabled mechanisms."""
        owners = sidecar.fold.slot_owners(SERVICE)
        sidecar.owner.apply_owners(owners, self.now_s, self._wall_s(sidecar))
        for slot, tenure in sidecar.owner.tenures.items():
            if not self.mechanisms.waits_out_lease:
                tenure = replace(tenure, active_from_s=0.0)
            if not self.mechanisms.refuses_older_keys:
                tenure = replace(tenure, dated_from_s=0.0)
            sidecar.owner.tenures[slot] = tenure

    def _append(self, payload: bytes) -> None:
        """Append a record unless the log is down."""
        if not self.is_log_down:
            self.log.append(payload)

    def _append_claim(self, sidecar: SidecarModel, slots: list[int]) -> None:
        """Append a claim of `slots` that expects the epochs known to the sidecar."""
        owners = sidecar.fold.slot_owners(SERVICE)
        expected = tuple(
            (slot, owners[slot].epoch if slot in owners else NO_EPOCH) for slot in slots
        )
        claim = SlotClaim(
            RecordId(f"r{next(self._sequence)}"),
            SERVICE,
            expected,
            sidecar.owner.claimant.target,
            sidecar.owner.claimant.incarnation,
        )
        self._append(encode_record(claim))

    def _claim_unowned(self, name: str) -> None:
        """Claim key slots without an owner or whose owner's incarnation is dead."""
        sidecar = self._sidecars[name]
        if not sidecar.is_alive or sidecar.frozen_until_s > self.now_s:
            return
        owners = sidecar.fold.slot_owners(SERVICE)
        live_owners = {
            (item.owner.claimant.target, item.owner.claimant.incarnation)
            for item in self._sidecars.values()
            if item.is_alive
        }
        claimable = [
            slot
            for slot in SLOTS
            if slot not in owners
            or (owners[slot].target, owners[slot].incarnation) not in live_owners
        ]
        if claimable:
            self._append_claim(sidecar, claimable)

    def _take_over(self) -> None:
        """Claim half of the key slots from live owners, as if these were dead."""
        sidecar = self._choose_sidecar()
        if sidecar.is_alive and sidecar.frozen_until_s <= self.now_s:
            self._append_claim(sidecar, self._random.sample(SLOTS, KEY_SLOT_COUNT // 2))

    def _freeze(self) -> None:
        """Freeze a sidecar for up to four lease periods."""
        sidecar = self._choose_sidecar()
        sidecar.frozen_until_s = self.now_s + self._random.uniform(0.5, 4 * LEASE_S)

    def _kill(self) -> None:
        """Kill a sidecar; a new incarnation for the same target starts later."""
        sidecar = self._choose_sidecar()
        sidecar.is_alive = False

        def restart() -> None:
            self._sidecars[sidecar.name] = self._make_sidecar(sidecar.name)

        self._schedule(self._random.uniform(0.2, 3.0), restart)

    def _start_log_outage(self) -> None:
        """Make the log unavailable for up to three lease periods."""
        self.is_log_down = True

        def end() -> None:
            self.is_log_down = False

        self._schedule(self._random.uniform(1.0, 3 * LEASE_S), end)

    def _hand_over(self) -> None:
        """Hand all key slots of one sidecar to another; lose one transfer in five."""
        source, destination = self._choose_sidecar(), self._choose_sidecar()
        slots = sorted(source.owner.tenures)
        if source is destination or not slots or not source.is_alive:
            return
        if source.frozen_until_s > self.now_s or source.owner.table.running_count():
            return
        source.owner.fence(slots)
        transfer_id = f"t{next(self._sequence)}"
        transfer = source.owner.prepare_transfer(transfer_id, slots, self.now_s)
        if self._random.random() < 0.2:
            return
        epochs = {slot: source.owner.tenures[slot].epoch for slot in slots}

        def receive() -> None:
            destination.owner.receive_transfer(
                replace(transfer, received_at_s=self.now_s)
            )
            self._schedule(
                self._random.uniform(0, 0.5),
                lambda: self._run_when_thawed(source, lambda: release()),
            )

        def release() -> None:
            record = SlotRelease(
                RecordId(transfer_id),
                SERVICE,
                tuple(epochs.items()),
                destination.owner.claimant.target,
                destination.owner.claimant.incarnation,
                transfer_id,
            )
            self._append(encode_record(record))

        self._schedule(0.05, lambda: self._run_when_thawed(destination, receive))
