"""Mechanisms, faults, sidecars and attempts of a trial of key owners."""

from dataclasses import dataclass

from scaleloom_core.fold import Fold
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.key_owner import KeyOwner


@dataclass(frozen=True)
class EnabledMechanisms:
    """Mechanisms that a trial can disable, to show that the proof then fails."""

    waits_out_lease: bool = True
    refuses_older_keys: bool = True
    checks_lease_at_dispatch: bool = True
    blocks_refused_keys: bool = True


@dataclass(frozen=True)
class FaultRates:
    """
    Faults of a trial.

    Freezes, kills, false takeovers, hand-overs and outages are rates, in events
    per second over the complete fleet. `lost_answers` is the probability that the
    answer of a target is lost; `slow_network` delays attempts by up to 12 s.
    """

    freezes: float = 0.0
    kills: float = 0.0
    false_takeovers: float = 0.0
    handovers: float = 0.0
    outages: float = 0.0
    lost_answers: float = 0.0
    slow_network: bool = False


@dataclass
class SidecarModel:
    """One sidecar: its key owner, its fold of the log, clock offset and faults."""

    name: str
    owner: KeyOwner
    fold: Fold
    wall_offset_s: float
    frozen_until_s: float = 0.0
    is_alive: bool = True


@dataclass
class Attempt:
    """One attempt of a caller to run the request of a key."""

    key: IdempotencyKey
    submitted_at_s: float
    received_wall_s: float


@dataclass
class NotRunReport:
    """An answer to a caller that the request of a key was not run."""

    key: IdempotencyKey
    reported_at_s: float
