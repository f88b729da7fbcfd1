"""Tests of complete roll-outs, from the order to the published status."""

import random
from dataclasses import dataclass, field

import trio
from nose2.tools import params

from tests.fixtures import stub_targets
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import GatewayFixture, eventually, request_bytes
from tests.fixtures.rollout_sites import (
    DONE,
    ROLLED_BACK,
    RUNNING,
    SERVICE,
    RolloutSite,
    rollout_site,
)
from tests.fixtures.stub_server import raw_answer

DURATION_S = 12.0
BEFORE_S = 1.0
RATE_PER_S = 60
WORK_S = 0.02
PAIRS = 4
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
# A good version must be done, and a bad one rolled back, by the deadline.
LIMIT_S = DURATION_S + 0.5
SEED = 3


@dataclass
class Traffic:
    """
    Requests through all routers, and their results.

    Parameters
    ----------
    bad_share : float
        The share of bad answers of the new version.
    """

    rollout: RolloutSite
    bad_share: float
    draw: random.Random = field(default_factory=lambda: random.Random(SEED))
    at_new: int = 0
    at_old: int = 0
    statuses: list[int | None] = field(default_factory=list)

    async def answer(self, runner: stub_targets.StubTarget, asked) -> bool:
        """Answer for a target, with some failures if the target is a new one."""
        await trio.sleep(WORK_S)
        is_new = runner in self.rollout.site.runners[PAIRS:]
        self.at_new += is_new
        self.at_old += not is_new
        if is_new and self.draw.random() < self.bad_share:
            await asked.stream.send_all(raw_answer(500, runner.seal(asked)))
            return True
        return await stub_targets.answer_normally(runner, asked)

    async def ask(self, gateway: GatewayFixture, number: int) -> None:
        """Send one request."""
        data = request_bytes("/safe/1", f"r-{number}")
        self.statuses.append((await gateway.ask(data)).status)

    async def run(self, nursery: trio.Nursery) -> None:
        """Send requests until cancelled."""
        for runner in self.rollout.site.runners:
            runner.behaviour = self.answer
        gateways = self.rollout.running()
        number = 0
        while True:
            nursery.start_soon(self.ask, gateways[number % len(gateways)], number)
            number += 1
            await trio.sleep(1.0 / RATE_PER_S)


def _describe_evidence(rollout: RolloutSite) -> str:
    """Return what each router knows of both versions' answers."""
    now_s = trio.current_time()
    states = (rollout.controller(g).find_state(SERVICE) for g in rollout.running())
    return "\n".join(
        f"{state.stage.value} after {state.elapsed_s(now_s):.2f} s,"
        f" {state.budget}, {state.evidence.summary(now_s)}"
        for state in states
        if state is not None
    )


@params((0.0, DONE), (0.3, ROLLED_BACK), (0.6, ROLLED_BACK), (1.0, ROLLED_BACK))
@runs_on_paused_clock
async def test_a_version_is_judged_by_its_answers(bad_share, end):
    async with rollout_site(pairs=PAIRS, forces_assessment=False) as rollout:
        traffic = Traffic(rollout, bad_share)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(traffic.run, nursery)
            await trio.sleep(BEFORE_S)
            traffic.at_new = traffic.at_old = 0
            rollout.order(duration_s=DURATION_S)

            async def has_ended() -> bool:
                return len(rollout.statuses()) == 2

            try:
                await eventually(has_ended, LIMIT_S)
            except trio.TooSlowError:
                raise AssertionError(_describe_evidence(rollout)) from None
            nursery.cancel_scope.cancel()
        assert rollout.statuses() == [RUNNING, end]
        if end is ROLLED_BACK:
            sent = traffic.at_new + traffic.at_old
            assert traffic.at_new <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        else:
            assert set(traffic.statuses) == {200}
