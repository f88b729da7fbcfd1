"""Runs one randomly drawn roll-out under faults and records its states."""

import random
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from soak import faults
from soak.callers import KINDS, Observations, send_requests
from soak.seed_run import wait_until_ready
from soak.site import PLAIN, SoakSite, running_soak
from soak.targets import SoakTarget
from soak.version_defects import (
    LATER_SHARE_RANGE,
    DefectCondition,
    VersionDefect,
    draw_version_defect,
)
from tests.fixtures.gateways import CONFIG_TOPIC
from tests.fixtures.stub_targets import stay_silent

STATUS_TOPIC = "keyed.status"
CANDIDATE = "v2"
CALLER_COUNT = 8
DURATIONS_S = (6, 9, 12)
WARM_UP_S = 1.5
CANDIDATE_START_DELAY_S = 0.3
POLL_INTERVAL_S = 0.02
# How long to wait for a verdict after the deadline, in durations of the roll-out.
# Restarts of all routers reset the age of an order, and a failing store delays the
# status; both may continue until the end of a run.
OVERTIME_FACTOR = 2.0
ROLLBACK_DRAIN_DELAY_S = 1.5
SETTLE_S = 1.0
FINAL_STATES = ("done", "rolled_back")
NO_FAULTS = "calm"
FAULT_GROUPS: dict[str, tuple[faults.Fault, ...]] = {
    NO_FAULTS: (),
    "routers": (faults.signal_gateway, faults.roll_gateways),
    "store": (faults.trouble_store, faults.rewind_store),
    "cuts": (faults.cut_gateway_from_store,),
    "targets": (faults.cut_target, faults.spoil_answers),
}


@dataclass
class Rollout:
    """
    One roll-out and what the status said of it. Times are on trio's clock.

    Parameters
    ----------
    defect : VersionDefect
        The defect of the candidate version.
    fault_group : str
        The key of `FAULT_GROUPS` whose faults are injected.
    duration_s : float
        Time from the order to the deadline, in seconds.
    states : list of tuple of float and str
        Each change of state in the status, with the time when it was seen.
    candidates, replaced : list of SoakTarget
        Targets of the candidate version, and those stopped once the roll-out was done.
    """

    defect: VersionDefect
    fault_group: str
    duration_s: float
    ordered_s: float = 0.0
    states: list[tuple[float, str]] = field(default_factory=list)
    candidates: list[SoakTarget] = field(default_factory=list)
    replaced: list[SoakTarget] = field(default_factory=list)

    @property
    def deadline_s(self) -> float:
        """Return when the verdict is due."""
        return self.ordered_s + self.duration_s

    @property
    def final_state(self) -> tuple[float, str] | None:
        """Return the first final state and when it was seen, or None."""
        ends = (state for state in self.states if state[1] in FINAL_STATES)
        return next(ends, None)


@dataclass(frozen=True)
class RolloutRun:
    """The site, the observations and the roll-out of one finished seed."""

    site: SoakSite
    observations: Observations
    rollout: Rollout


async def run_rollout(
    seed: int,
    directory: Path,
    gateway_count: int = 3,
    disabled_mechanism: str | None = None,
) -> RolloutRun:
    """
    Run the roll-out that `seed` draws.

    Parameters
    ----------
    disabled_mechanism : str or None
        A mechanism that is switched off in the gateways.
    """
    rng = random.Random(f"rollout-{seed}")
    rollout = Rollout(
        draw_version_defect(rng, KINDS),
        rng.choice(list(FAULT_GROUPS)),
        rng.choice(DURATIONS_S),
    )
    observations = Observations()
    async with running_soak(seed, directory, gateway_count, disabled_mechanism) as site:
        await wait_until_ready(site)
        async with trio.open_nursery() as nursery:
            for number in range(CALLER_COUNT):
                nursery.start_soon(send_requests, site, observations, number, KINDS)
            await trio.sleep(WARM_UP_S)
            _write_order(site, rollout, rng)
            nursery.start_soon(_act_as_operator, site, rollout)
            kinds = FAULT_GROUPS[rollout.fault_group]
            if kinds:
                fault_rng = random.Random(f"trouble-{seed}")
                nursery.start_soon(faults.inject_faults, site, fault_rng, kinds)
            await _wait_until_over(rollout)
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        return RolloutRun(site, observations, rollout)


def _write_order(site: SoakSite, rollout: Rollout, rng: random.Random) -> None:
    """Write the order of the roll-out into the configuration."""
    rollout.ordered_s = trio.current_time()
    if rollout.defect.condition is DefectCondition.LATER:
        share = rng.uniform(*LATER_SHARE_RANGE)
        rollout.defect.starts_s = rollout.ordered_s + share * rollout.duration_s
    order = {
        "service": PLAIN,
        "target-version": CANDIDATE,
        "duration-s": rollout.duration_s,
    }
    site.store.put(CONFIG_TOPIC, f"rollout/{PLAIN}", order)


async def _act_as_operator(site: SoakSite, rollout: Rollout) -> None:
    """Act as the operator: start candidates and obey the final state of the status."""
    replaced = [target for target in site.targets if target.service == PLAIN]
    await trio.sleep(CANDIDATE_START_DELAY_S)
    for _ in replaced:
        candidate = site.add_target(PLAIN, CANDIDATE)
        candidate.version_defect = rollout.defect
        rollout.candidates.append(candidate)
    await _wait_for_final_state(site, rollout)
    if rollout.final_state[1] == "done":
        rollout.replaced = [target for target in replaced if target in site.targets]
        for target in rollout.replaced:
            target.stub.behaviour = stay_silent
            site.stop_target(target)
    else:
        await trio.sleep(ROLLBACK_DRAIN_DELAY_S)
        for target in [t for t in rollout.candidates if t in site.targets]:
            site.drain_target(target)
    while True:
        await trio.sleep(POLL_INTERVAL_S)
        _record_status(site, rollout)


async def _wait_for_final_state(site: SoakSite, rollout: Rollout) -> None:
    """Record the status until it contains a final state."""
    while rollout.final_state is None:
        await trio.sleep(POLL_INTERVAL_S)
        _record_status(site, rollout)


def _record_status(site: SoakSite, rollout: Rollout) -> None:
    """Record the state in the status, if it has changed."""
    topic = site.store.topic(STATUS_TOPIC)
    record = topic.newest(len(topic.records)).get(f"rollout/{PLAIN}")
    if record is None:
        return
    state = msgspec.json.decode(record[1])["state"]
    if not rollout.states or rollout.states[-1][1] != state:
        rollout.states.append((trio.current_time(), state))


async def _wait_until_over(rollout: Rollout) -> None:
    """Wait until the roll-out is over and its deadline has passed."""
    overtime_s = OVERTIME_FACTOR * rollout.duration_s
    with trio.move_on_at(rollout.deadline_s + overtime_s):
        while rollout.final_state is None:
            await trio.sleep(POLL_INTERVAL_S)
    await trio.sleep_until(rollout.deadline_s)
