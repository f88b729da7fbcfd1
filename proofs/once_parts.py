"""What a trial of key owners is made of: its switches, faults and actors."""

from dataclasses import dataclass

from scaleloom_core.fold import Fold
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.key_owner import KeyOwner


@dataclass(frozen=True)
class Switches:
    """Mechanisms that a trial switches off, to show that they matter."""

    waits_out_lease: bool = True
    refuses_older_keys: bool = True
    checks_lease_at_dispatch: bool = True
    keeps_refusals_true: bool = True


@dataclass(frozen=True)
class FaultRates:
    """How often each fault happens, in events a second over the fleet."""

    freezes: float = 0.0
    kills: float = 0.0
    false_takeovers: float = 0.0
    handovers: float = 0.0
    outages: float = 0.0
    lost_answers: float = 0.0
    slow_network: bool = False


@dataclass
class SidecarModel:
    """One sidecar: the core, its reading of the log, and its troubles."""

    name: str
    owner: KeyOwner
    fold: Fold
    wall_offset_s: float
    frozen_until_s: float = 0.0
    is_alive: bool = True


@dataclass
class Attempt:
    """One submission of a key by a caller."""

    key: IdempotencyKey
    submitted_at_s: float
    received_wall_s: float


@dataclass
class NotRunClaim:
    """A caller was told that nothing ran."""

    key: IdempotencyKey
    told_at_s: float
