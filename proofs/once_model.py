"""Owners of keys under seeded faults: freezes, kills, outages, stale views.

Every sidecar here is the real decision core; time, the log and the network are
a queue of events. The target's own record of what ran is the judge.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from returns.result import Failure

from proofs.once_parts import (
    Attempt,
    FaultRates,
    NotRunClaim,
    SidecarModel,
    Switches,
)
from proofs.results import Judge
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.fold import NO_EPOCH, Fold, LogEntry
from scaleloom_core.idempotency import IdempotencyPolicy, Permission, StoredAnswer
from scaleloom_core.idempotency_keys import IdempotencyKey, make_dated_key
from scaleloom_core.ids import (
    CustomerId,
    Incarnation,
    RecordId,
    ServiceName,
    TargetId,
)
from scaleloom_core.key_owner import KeyOwner
from scaleloom_core.ownership import Claimant, LeasePolicy
from scaleloom_core.records import (
    KEY_SLOT_COUNT,
    SlotClaim,
    SlotRelease,
    encode_record,
)

SERVICE = ServiceName("tags")
SIDECARS = ("a", "b", "c")
WALL_ORIGIN_S = 1_800_000_000.0
SKEW_BOUND_S = 0.5
LEASE_S = 5.0
HORIZON_S = 90.0
SLOTS = tuple(range(KEY_SLOT_COUNT))
LEASE_POLICY = LeasePolicy(LEASE_S, SKEW_BOUND_S, 3600.0)
ONCE_POLICY = IdempotencyPolicy(skew_bound_s=SKEW_BOUND_S)


@dataclass
class OnceTrial:
    """
    One seeded trial.

    Parameters
    ----------
    seed : int
        Fixes everything that happens.
    rates : FaultRates
        Which faults happen.
    switches : Switches
        Which mechanisms are on.
    """

    seed: int
    rates: FaultRates
    switches: Switches = Switches()
    now_s: float = 0.0
    log: list[bytes] = field(default_factory=list)
    is_log_down: bool = False
    runs: dict[IdempotencyKey, list[Attempt]] = field(
        default_factory=lambda: defaultdict(list)
    )
    claims: list[NotRunClaim] = field(default_factory=list)
    ends: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Lay out the sidecars and the first events."""
        self._random = random.Random(self.seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._sidecars = {name: self._make_sidecar(name) for name in SIDECARS}

    def run(self, judge: Judge) -> Counter:
        """Run to the horizon, judge, and count how requests ended."""
        self._plan()
        while self._queue:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        for key, attempts in self.runs.items():
            judge.check(len(attempts) <= 1, f"seed {self.seed}: {key.text} ran twice")
        for claim in self.claims:
            judge.check(self._is_true(claim), f"seed {self.seed}: false not run")
        return self.ends

    def _is_true(self, claim: NotRunClaim) -> bool:
        """Return whether only attempts made after the claim ever ran."""
        attempts = self.runs.get(claim.key, [])
        return all(item.submitted_at_s > claim.told_at_s for item in attempts)

    def _make_sidecar(self, name: str) -> SidecarModel:
        """Return a sidecar in a new incarnation."""
        incarnation = Incarnation(f"{name}-{self._random.random()}")
        owner = KeyOwner(
            SERVICE, Claimant(TargetId(name), incarnation), LEASE_POLICY, ONCE_POLICY
        )
        if not self.switches.keeps_refusals_true:
            owner._refusals.blocks = lambda key, received_wall_s: False
        offset_s = self._random.uniform(-SKEW_BOUND_S / 2, SKEW_BOUND_S / 2)
        return SidecarModel(name, owner, Fold(), offset_s)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Let `action` happen `delay_s` from now."""
        entry = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def _often(self, rate_per_s: float, action: Callable[[], None]) -> None:
        """Let `action` happen at random moments until the horizon."""
        when_s = 0.0
        while rate_per_s > 0:
            when_s += self._random.expovariate(rate_per_s)
            if when_s > HORIZON_S:
                return
            self._at(when_s, action)

    def _plan(self) -> None:
        """Lay out everything that happens by itself."""
        for name in SIDECARS:
            when_s = self._random.uniform(0, 0.5)
            while when_s < HORIZON_S:
                self._at(when_s, lambda name=name: self._sync(name))
                self._at(when_s + 0.2, lambda name=name: self._claim_unowned(name))
                when_s += self._random.uniform(0.5, 1.0)
        self._often(3.0, self._submit_new)
        self._often(self.rates.freezes, self._freeze)
        self._often(self.rates.kills, self._kill)
        self._often(self.rates.false_takeovers, self._take_over)
        self._often(self.rates.handovers, self._hand_over)
        self._often(self.rates.outages, self._outage)

    def _any(self) -> SidecarModel:
        """Return one sidecar."""
        return self._sidecars[self._random.choice(SIDECARS)]

    def _when_awake(self, sidecar: SidecarModel, action: Callable[[], None]) -> None:
        """Let a sidecar act now, or as soon as it thaws, unless it was killed."""
        if not sidecar.is_alive:
            return
        wait_s = sidecar.frozen_until_s - self.now_s
        if wait_s > 0:
            self._at(wait_s, lambda: self._when_awake(sidecar, action))
        else:
            action()

    def _wall_s(self, sidecar: SidecarModel) -> float:
        """Return a sidecar's wall clock."""
        return WALL_ORIGIN_S + self.now_s + sidecar.wall_offset_s

    def _sync(self, name: str) -> None:
        """Begin a reading of the log, whose result arrives later."""
        sidecar = self._sidecars[name]
        began_s = self.now_s

        def read() -> None:
            if self.is_log_down or not sidecar.is_alive:
                return
            seen = list(self.log)
            self._at(
                self._random.uniform(0, 0.3),
                lambda: self._when_awake(sidecar, lambda: take(seen)),
            )

        def take(seen: list[bytes]) -> None:
            for offset, payload in enumerate(seen):
                sidecar.fold.apply(LogEntry(offset, payload))
            self._observe(sidecar)
            sidecar.owner.extend_lease(began_s)

        def begin() -> None:
            self._at(self._random.uniform(0, 0.3), read)

        if sidecar.is_alive and sidecar.frozen_until_s <= self.now_s:
            begin()

    def _observe(self, sidecar: SidecarModel) -> None:
        """Tell a sidecar's owner whom the log names."""
        owners = sidecar.fold.slot_owners(SERVICE)
        sidecar.owner.apply_owners(owners, self.now_s, self._wall_s(sidecar))
        for slot, tenure in sidecar.owner.tenures.items():
            if not self.switches.waits_out_lease:
                tenure = replace(tenure, active_from_s=0.0)
            if not self.switches.refuses_older_keys:
                tenure = replace(tenure, dated_from_s=0.0)
            sidecar.owner.tenures[slot] = tenure

    def _append(self, payload: bytes) -> None:
        """Append a record unless the log is down."""
        if not self.is_log_down:
            self.log.append(payload)

    def _claim(self, sidecar: SidecarModel, slots: list[int]) -> None:
        """Append a claim of `slots` on the epochs that the sidecar knows."""
        owners = sidecar.fold.slot_owners(SERVICE)
        expected = tuple(
            (slot, owners[slot].epoch if slot in owners else NO_EPOCH) for slot in slots
        )
        claim = SlotClaim(
            RecordId(f"r{next(self._order)}"),
            SERVICE,
            expected,
            sidecar.owner.claimant.target,
            sidecar.owner.claimant.incarnation,
        )
        self._append(encode_record(claim))

    def _claim_unowned(self, name: str) -> None:
        """Claim slots of nobody, of the dead, or of one's former incarnation."""
        sidecar = self._sidecars[name]
        if not sidecar.is_alive or sidecar.frozen_until_s > self.now_s:
            return
        owners = sidecar.fold.slot_owners(SERVICE)
        living = {
            (item.owner.claimant.target, item.owner.claimant.incarnation)
            for item in self._sidecars.values()
            if item.is_alive
        }
        due = [
            slot
            for slot in SLOTS
            if slot not in owners
            or (owners[slot].target, owners[slot].incarnation) not in living
        ]
        if due:
            self._claim(sidecar, due)

    def _take_over(self) -> None:
        """Claim slots of owners that are wrongly believed dead."""
        sidecar = self._any()
        if sidecar.is_alive and sidecar.frozen_until_s <= self.now_s:
            self._claim(sidecar, self._random.sample(SLOTS, KEY_SLOT_COUNT // 2))

    def _freeze(self) -> None:
        """Freeze a sidecar, often beyond its lease."""
        sidecar = self._any()
        sidecar.frozen_until_s = self.now_s + self._random.uniform(0.5, 4 * LEASE_S)

    def _kill(self) -> None:
        """Kill a sidecar; another incarnation starts beside its target."""
        sidecar = self._any()
        sidecar.is_alive = False

        def restart() -> None:
            self._sidecars[sidecar.name] = self._make_sidecar(sidecar.name)

        self._at(self._random.uniform(0.2, 3.0), restart)

    def _outage(self) -> None:
        """Take the log down for a while."""
        self.is_log_down = True

        def end() -> None:
            self.is_log_down = False

        self._at(self._random.uniform(1.0, 3 * LEASE_S), end)

    def _hand_over(self) -> None:
        """Hand all slots of one sidecar to another, perhaps only half way."""
        giver, taker = self._any(), self._any()
        slots = sorted(giver.owner.tenures)
        if giver is taker or not slots or not giver.is_alive:
            return
        if giver.frozen_until_s > self.now_s or giver.owner.table.running_count():
            return
        giver.owner.fence(slots)
        transfer_id = f"t{next(self._order)}"
        transfer = giver.owner.prepare_transfer(transfer_id, slots, self.now_s)
        if self._random.random() < 0.2:
            return
        epochs = {slot: giver.owner.tenures[slot].epoch for slot in slots}

        def arrive() -> None:
            taker.owner.receive_transfer(replace(transfer, received_at_s=self.now_s))
            self._at(
                self._random.uniform(0, 0.5),
                lambda: self._when_awake(giver, lambda: release()),
            )

        def release() -> None:
            record = SlotRelease(
                RecordId(transfer_id),
                SERVICE,
                tuple(epochs.items()),
                taker.owner.claimant.target,
                taker.owner.claimant.incarnation,
                transfer_id,
            )
            self._append(encode_record(record))

        self._at(0.05, lambda: self._when_awake(taker, arrive))

    def _submit_new(self) -> None:
        """Let a caller send a new key, and send it again when in doubt."""
        date_s = WALL_ORIGIN_S + self.now_s + self._random.uniform(-0.2, 0.2)
        text = make_dated_key(date_s, self._random.getrandbits(80))
        if self._random.random() < 0.2:
            text = f"undated-{next(self._order)}"
        key = IdempotencyKey(CustomerId("appraisal"), SERVICE, text)
        for number in range(self._random.choice((1, 1, 2, 3))):
            delay_s = number * self._random.uniform(0, 6.0)
            self._at(delay_s, lambda: self._submit(key))

    def _submit(self, key: IdempotencyKey) -> None:
        """Send a key through some router, whose view may be wrong."""
        offset_s = self._random.uniform(-SKEW_BOUND_S / 2, SKEW_BOUND_S / 2)
        attempt = Attempt(key, self.now_s, WALL_ORIGIN_S + self.now_s + offset_s)
        sidecar = self._route(key)
        longest_s = 12.0 if self.rates.slow_network else 0.1
        self._at(
            self._random.uniform(0, longest_s),
            lambda: self._when_awake(sidecar, lambda: self._arrive(sidecar, attempt)),
        )

    def _route(self, key: IdempotencyKey) -> SidecarModel:
        """Return the owner as some sidecar sees it, or any sidecar."""
        owner = self._any().fold.slot_owners(SERVICE).get(key.key_slot)
        if owner is None or self._random.random() < 0.1:
            return self._any()
        return self._sidecars[owner.target]

    def _arrive(self, sidecar: SidecarModel, attempt: Attempt) -> None:
        """Let a sidecar decide about an attempt."""
        begun = sidecar.owner.begin(
            attempt.key, "d", attempt.received_wall_s, self.now_s, self._wall_s(sidecar)
        )
        if isinstance(begun, Failure):
            self._tell(attempt, begun.failure())
            return
        if begun.unwrap().permission is Permission.REPLAY:
            self.ends["answered"] += 1
            return
        if self._random.random() < 0.1:
            self._refuse(sidecar, attempt)
            return
        epoch = sidecar.owner.epoch_of(attempt.key)
        self._at(
            self._random.uniform(0, 0.05),
            lambda: self._when_awake(
                sidecar, lambda: self._check_dispatch(sidecar, attempt, epoch)
            ),
        )

    def _refuse(self, sidecar: SidecarModel, attempt: Attempt) -> None:
        """Let admission control refuse an attempt for load."""
        error = FleetError(ErrorKind.OVERLOADED, "full")
        kept = sidecar.owner.refuse_run(
            attempt.key,
            error,
            attempt.received_wall_s,
            self.now_s,
            self._wall_s(sidecar),
        )
        self._tell(attempt, kept)

    def _tell(self, attempt: Attempt, error: FleetError) -> None:
        """Tell a caller of a refusal."""
        self.ends[error.known_outcome.value] += 1
        if error.known_outcome is Outcome.NOT_RUN:
            self.claims.append(NotRunClaim(attempt.key, self.now_s))

    def _check_dispatch(
        self, sidecar: SidecarModel, attempt: Attempt, epoch: int
    ) -> None:
        """Check the lease, then send, perhaps with a freeze in between."""
        may = sidecar.owner.may_dispatch(attempt.key, epoch, self.now_s)
        if not may and self.switches.checks_lease_at_dispatch:
            sidecar.owner.table.abandon(attempt.key)
            self.ends[Outcome.UNKNOWN.value] += 1
            return
        self._at(
            0.002,
            lambda: self._when_awake(sidecar, lambda: self._send(sidecar, attempt)),
        )

    def _send(self, sidecar: SidecarModel, attempt: Attempt) -> None:
        """Let the target run it; its answer may be lost."""
        self.runs[attempt.key].append(attempt)
        if self._random.random() < self.rates.lost_answers:
            sidecar.owner.table.mark_unknown(attempt.key)
            self.ends[Outcome.UNKNOWN.value] += 1
            return
        sidecar.owner.table.finish(attempt.key, StoredAnswer(200, "text/plain", b"ok"))
        self.ends["answered"] += 1
