"""One drawn roll-out: an order, faults meanwhile, and what came of it."""

import random
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from soak import faults
from soak.callers import KINDS, Observations, call_forever
from soak.play import wait_ready
from soak.site import PLAIN, SoakSite, running_soak
from soak.targets import SoakTarget
from soak.versions import LATER_PARTS, Moment, VersionFault, draw_fault
from tests.fixtures.gateways import CONFIG_TOPIC
from tests.fixtures.runners import stay_silent

STATUS_TOPIC = "keyed.status"
CANDIDATE = "v2"
CALLERS = 8
DURATIONS_S = (6, 9, 12)
BEFORE_S = 1.5
JOIN_S = 0.3
POLL_S = 0.02
# A verdict that is still missing then is not waited for any longer. Restarts of all
# routers make an order younger than it is, and a store that fails holds up the
# status; both go on until the end here.
OVERTIME_PART = 2.0
DRAINS_AFTER_S = 1.5
SETTLE_S = 1.0
FINAL = ("done", "rolled_back")
CALM = "calm"
TROUBLES: dict[str, tuple[faults.Fault, ...]] = {
    CALM: (),
    "routers": (faults.signal_gateway, faults.roll_gateways),
    "store": (faults.trouble_store, faults.rewind_store),
    "cuts": (faults.cut_gateway_from_store,),
    "targets": (faults.cut_target, faults.spoil_answers),
}


@dataclass
class Rollout:
    """
    An order as it was given, and what was written of it.

    Parameters
    ----------
    states : list of tuple of float and str
        Each state that the status named, with the time on the runtime's clock.
    """

    fault: VersionFault
    trouble: str
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
    def end(self) -> tuple[float, str] | None:
        """Return the first final state, if there is one."""
        ends = (state for state in self.states if state[1] in FINAL)
        return next(ends, None)


@dataclass(frozen=True)
class PlayedRollout:
    """One seed's site and roll-out, to be judged."""

    site: SoakSite
    seen: Observations
    rollout: Rollout


async def play(
    seed: int,
    directory: Path,
    gateway_count: int = 3,
    mechanism: str | None = None,
) -> PlayedRollout:
    """
    Play the roll-out that `seed` draws.

    Parameters
    ----------
    mechanism : str or None
        A mechanism that the gateways run without.
    """
    draw = random.Random(f"rollout-{seed}")
    rollout = Rollout(
        draw_fault(draw, KINDS),
        draw.choice(list(TROUBLES)),
        draw.choice(DURATIONS_S),
    )
    seen = Observations()
    async with running_soak(seed, directory, gateway_count, mechanism) as site:
        await wait_ready(site)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(call_forever, site, seen, number, KINDS)
            await trio.sleep(BEFORE_S)
            _order(site, rollout, draw)
            nursery.start_soon(_operate, site, rollout)
            kinds = TROUBLES[rollout.trouble]
            if kinds:
                trouble = random.Random(f"trouble-{seed}")
                nursery.start_soon(faults.trouble_forever, site, trouble, kinds)
            await _wait_end(rollout)
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        return PlayedRollout(site, seen, rollout)


def _order(site: SoakSite, rollout: Rollout, draw: random.Random) -> None:
    """Start the candidates and give the order."""
    rollout.ordered_s = trio.current_time()
    if rollout.fault.moment is Moment.LATER:
        part = draw.uniform(*LATER_PARTS)
        rollout.fault.begins_s = rollout.ordered_s + part * rollout.duration_s
    order = {
        "service": PLAIN,
        "target-version": CANDIDATE,
        "duration-s": rollout.duration_s,
    }
    site.store.put(CONFIG_TOPIC, f"rollout/{PLAIN}", order)


async def _operate(site: SoakSite, rollout: Rollout) -> None:
    """Start candidates, follow the status, and do what its final state says."""
    replaced = [target for target in site.targets if target.service == PLAIN]
    await trio.sleep(JOIN_S)
    for _ in replaced:
        candidate = site.add_target(PLAIN, CANDIDATE)
        candidate.version_fault = rollout.fault
        rollout.candidates.append(candidate)
    await _wait_status(site, rollout)
    if rollout.end[1] == "done":
        rollout.replaced = [target for target in replaced if target in site.targets]
        for target in rollout.replaced:
            target.runner.behaviour = stay_silent
            site.stop(target)
    else:
        await trio.sleep(DRAINS_AFTER_S)
        for target in [t for t in rollout.candidates if t in site.targets]:
            site.leave(target)
    while True:
        await trio.sleep(POLL_S)
        _note_status(site, rollout)


async def _wait_status(site: SoakSite, rollout: Rollout) -> None:
    """Follow the status until it names a final state."""
    while rollout.end is None:
        await trio.sleep(POLL_S)
        _note_status(site, rollout)


def _note_status(site: SoakSite, rollout: Rollout) -> None:
    """Take in what the status says, if that is new."""
    topic = site.store.topic(STATUS_TOPIC)
    found = topic.newest(len(topic.records)).get(f"rollout/{PLAIN}")
    if found is None:
        return
    state = msgspec.json.decode(found[1])["state"]
    if not rollout.states or rollout.states[-1][1] != state:
        rollout.states.append((trio.current_time(), state))


async def _wait_end(rollout: Rollout) -> None:
    """Return once the roll-out has ended and its deadline has passed."""
    overtime_s = OVERTIME_PART * rollout.duration_s
    with trio.move_on_at(rollout.deadline_s + overtime_s):
        while rollout.end is None:
            await trio.sleep(POLL_S)
    await trio.sleep_until(rollout.deadline_s)
