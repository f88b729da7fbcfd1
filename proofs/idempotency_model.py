"""Simulation of key owners under seeded faults: freezes, kills, outages, stale views.

What ran is decided by the record of the target.
"""

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from returns.result import Failure

from proofs.idempotency_trial_parts import Attempt, NotRunReport, SidecarModel
from proofs.results import Checker
from proofs.simulated_sidecars import (
    HORIZON_S,
    SERVICE,
    SIDECARS,
    SKEW_BOUND_S,
    WALL_ORIGIN_S,
    SimulatedSidecars,
)
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.idempotency import Permission, StoredAnswer
from scaleloom_core.idempotency_keys import IdempotencyKey, make_dated_key
from scaleloom_core.ids import CustomerId


@dataclass
class IdempotencyTrial(SimulatedSidecars):
    """One simulated run of the sidecars of a service, reproducible from its seed."""

    executions: dict[IdempotencyKey, list[Attempt]] = field(
        default_factory=lambda: defaultdict(list)
    )
    not_run_reports: list[NotRunReport] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)

    def run(self, checker: Checker) -> Counter:
        """Run every event, check the promises, and return the outcome counts."""
        self._schedule_events()
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        for key, attempts in self.executions.items():
            checker.check(len(attempts) <= 1, f"seed {self.seed}: {key.text} ran twice")
        for report in self.not_run_reports:
            checker.check(
                self._is_report_true(report),
                f"seed {self.seed}: reported not run, but ran",
            )
        return self.outcomes

    def _is_report_true(self, report: NotRunReport) -> bool:
        """Return whether only attempts submitted after `report` ran."""
        attempts = self.executions.get(report.key, [])
        return all(item.submitted_at_s > report.reported_at_s for item in attempts)

    def _schedule_events(self) -> None:
        """Schedule the log readings, claims, requests and faults of the trial."""
        for name in SIDECARS:
            at_s = self._random.uniform(0, 0.5)
            while at_s < HORIZON_S:
                self._schedule(at_s, lambda name=name: self._sync(name))
                self._schedule(at_s + 0.2, lambda name=name: self._claim_unowned(name))
                at_s += self._random.uniform(0.5, 1.0)
        self._schedule_at_rate(3.0, self._submit_new_key)
        self._schedule_at_rate(self.rates.freezes, self._freeze)
        self._schedule_at_rate(self.rates.kills, self._kill)
        self._schedule_at_rate(self.rates.false_takeovers, self._take_over)
        self._schedule_at_rate(self.rates.handovers, self._hand_over)
        self._schedule_at_rate(self.rates.outages, self._start_log_outage)

    def _submit_new_key(self) -> None:
        """Submit a new key one to three times, as a caller that retries does."""
        date_s = WALL_ORIGIN_S + self.now_s + self._random.uniform(-0.2, 0.2)
        text = make_dated_key(date_s, self._random.getrandbits(80))
        if self._random.random() < 0.2:
            text = f"undated-{next(self._sequence)}"
        key = IdempotencyKey(CustomerId("appraisal"), SERVICE, text)
        for number in range(self._random.choice((1, 1, 2, 3))):
            delay_s = number * self._random.uniform(0, 6.0)
            self._schedule(delay_s, lambda: self._submit(key))

    def _submit(self, key: IdempotencyKey) -> None:
        """Send an attempt to the presumed owner of `key`, after a network delay."""
        offset_s = self._random.uniform(-SKEW_BOUND_S / 2, SKEW_BOUND_S / 2)
        attempt = Attempt(key, self.now_s, WALL_ORIGIN_S + self.now_s + offset_s)
        sidecar = self._choose_owner(key)
        max_delay_s = 12.0 if self.rates.slow_network else 0.1
        self._schedule(
            self._random.uniform(0, max_delay_s),
            lambda: self._run_when_thawed(
                sidecar, lambda: self._handle_attempt(sidecar, attempt)
            ),
        )

    def _choose_owner(self, key: IdempotencyKey) -> SidecarModel:
        """Return the owner that one sidecar knows; one time in ten, any sidecar."""
        owner = self._choose_sidecar().fold.slot_owners(SERVICE).get(key.key_slot)
        if owner is None or self._random.random() < 0.1:
            return self._choose_sidecar()
        return self._sidecars[owner.target]

    def _handle_attempt(self, sidecar: SidecarModel, attempt: Attempt) -> None:
        """Let the key owner decide on an attempt, and continue accordingly."""
        result = sidecar.owner.begin(
            attempt.key, "d", attempt.received_wall_s, self.now_s, self._wall_s(sidecar)
        )
        if isinstance(result, Failure):
            self._record_error(attempt, result.failure())
            return
        if result.unwrap().permission is Permission.REPLAY:
            self.outcomes["answered"] += 1
            return
        if self._random.random() < 0.1:
            self._refuse(sidecar, attempt)
            return
        epoch = sidecar.owner.epoch_of(attempt.key)
        self._schedule(
            self._random.uniform(0, 0.05),
            lambda: self._run_when_thawed(
                sidecar, lambda: self._check_dispatch(sidecar, attempt, epoch)
            ),
        )

    def _refuse(self, sidecar: SidecarModel, attempt: Attempt) -> None:
        """Refuse an attempt as admission control does under overload."""
        error = FleetError(ErrorKind.OVERLOADED, "full")
        reported = sidecar.owner.refuse_run(
            attempt.key,
            error,
            attempt.received_wall_s,
            self.now_s,
            self._wall_s(sidecar),
        )
        self._record_error(attempt, reported)

    def _record_error(self, attempt: Attempt, error: FleetError) -> None:
        """Count the outcome of an error; store a report of each "not run"."""
        self.outcomes[error.known_outcome.value] += 1
        if error.known_outcome is Outcome.NOT_RUN:
            self.not_run_reports.append(NotRunReport(attempt.key, self.now_s))

    def _check_dispatch(
        self, sidecar: SidecarModel, attempt: Attempt, epoch: int
    ) -> None:
        """Check the lease, then run the request; a freeze may occur in between."""
        is_allowed = sidecar.owner.may_dispatch(attempt.key, epoch, self.now_s)
        if not is_allowed and self.mechanisms.checks_lease_at_dispatch:
            sidecar.owner.table.abandon(attempt.key)
            self.outcomes[Outcome.UNKNOWN.value] += 1
            return
        self._schedule(
            0.002,
            lambda: self._run_when_thawed(
                sidecar, lambda: self._execute(sidecar, attempt)
            ),
        )

    def _execute(self, sidecar: SidecarModel, attempt: Attempt) -> None:
        """Record that the target ran the request; the answer may be lost."""
        self.executions[attempt.key].append(attempt)
        if self._random.random() < self.rates.lost_answers:
            sidecar.owner.table.mark_unknown(attempt.key)
            self.outcomes[Outcome.UNKNOWN.value] += 1
            return
        sidecar.owner.table.finish(attempt.key, StoredAnswer(200, "text/plain", b"ok"))
        self.outcomes["answered"] += 1
