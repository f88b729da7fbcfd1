"""Decides on roll-outs, and writes each decision exactly once."""

import logging

import msgspec
import trio

from scaleloom_core.catch_up import FOLLOWERS
from scaleloom_core.fleet_roster import STARTUP_SETTLE_S
from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.decisions import Decision, InheritedVersions
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage
from scaleloom_fleet.gateway.conditional_topic import ConditionalTopic
from scaleloom_fleet.gateway.interfaces import UNREADABLE, Topic
from scaleloom_fleet.gateway.rollout_readiness import fleet_readiness, replaced_versions
from scaleloom_fleet.gateway.rollout_records import Rollout
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

# As often as routers report, since decisions depend on their reports.
ROUND_INTERVAL_S = 0.1
# Maximum age of the evidence from which a successor continues. One call of each kind
# a second is little compared with the users' lowest limit of 400 writing calls.
REWRITE_INTERVAL_S = 1.0
# Within this time routers that have not drained learn of the end, and stop sending to
# targets that the platform stops as soon as it reads the status.
DONE_ANNOUNCEMENT_S = 0.15
_decoder = msgspec.msgpack.Decoder(Decision)
_logger = logging.getLogger("scaleloom.rollouts")


def _is_for_order(decision: Decision, rollout: Rollout) -> bool:
    """Return whether a record of the decision log is about the same order."""
    return decision.snapshot.position == rollout.state.order.position


class RolloutDecider:
    """
    Decides if this router has the first rank, and else follows the decision log.

    Parameters
    ----------
    access : StoreAccess
        Access to the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._log = ConditionalTopic(access, Topic.DECISIONS)
        self._status = ConditionalTopic(access, Topic.STATUS)
        self._last_writes_s: dict[ServiceName, float] = {}
        self._last_read_s = float("-inf")
        self._published: dict[ServiceName, tuple[int, Stage]] = {}

    async def decide_forever(self) -> None:
        """Process all roll-outs for as long as the process runs."""
        decides_from_s = trio.current_time() + STARTUP_SETTLE_S
        while True:
            await trio.sleep(ROUND_INTERVAL_S)
            await self._run_round(trio.current_time() >= decides_from_s)

    async def _run_round(self, may_decide: bool) -> None:
        """
        Decide, or read the decision log, or do nothing, depending on the rank.

        Until the ranks are stable the log is only read. After a power loss of
        all routers it may show that the roll-out is done.
        """
        unpublished = [r for r in self._rollouts() if not self._is_end_published(r)]
        if unpublished and may_decide and self._state.rank == 0:
            await self._decide(unpublished)
            return
        # Other routers may write to the topics from now on.
        self._log.invalidate()
        self._status.invalidate()
        has_active = any(not r.state.stage.is_final for r in unpublished)
        if has_active and self._state.rank < FOLLOWERS:
            await self._follow()

    def _rollouts(self) -> list[Rollout]:
        """Return the newest roll-out of each service."""
        return list(self._state.rollouts.by_service.values())

    def _is_end_published(self, rollout: Rollout) -> bool:
        """Return whether the end has certainly been published to operators."""
        rollout_state = rollout.state
        published = self._published.get(rollout_state.service)
        return rollout_state.stage.is_final and published == (
            rollout_state.order.position,
            rollout_state.stage,
        )

    async def _follow(self) -> None:
        """Read the decision log periodically, in case no decider sends reports."""
        now_s = trio.current_time()
        if now_s - self._last_read_s < REWRITE_INTERVAL_S:
            return
        self._last_read_s = now_s
        if await self._log.refresh():
            self._apply_log()
        self._log.invalidate()

    async def _decide(self, unpublished: list[Rollout]) -> None:
        """Process each of `unpublished` on the basis of the complete log."""
        if not self._log.is_current and self._access.is_reachable:
            await self._log.refresh()
        if self._log.is_current:
            self._apply_log()
        for rollout in unpublished:
            if self._log.is_current:
                await self._process(rollout)
            else:
                self._advance(rollout)

    def _apply_log(self) -> None:
        """Apply the record of the decision log for each service."""
        now_s = trio.current_time()
        for rollout in self._rollouts():
            decision = self._find_decision(rollout)
            if decision is not None:
                self._state.rollouts.apply_decision(rollout, decision, now_s)

    def _find_decision(self, rollout: Rollout) -> Decision | None:
        """Return the log's record for the service; None if missing or unreadable."""
        document = self._log.values.get(rollout.state.service)
        if document is None:
            return None
        try:
            return _decoder.decode(document)
        except UNREADABLE as error:
            fields = {"service": rollout.state.service, "why": str(error)}
            _logger.error("unreadable roll-out decision ignored", extra=fields)
            return None

    async def _process(self, rollout: Rollout) -> None:
        """Advance one roll-out by a step, and write its state."""
        rollout_state = rollout.state
        decision = self._find_decision(rollout)
        if (
            decision is not None
            and decision.snapshot.position > rollout_state.order.position
        ):
            # This router has not received the newest order yet.
            return
        if rollout_state.stage is Stage.UNKNOWN and not self._start(rollout):
            return
        is_logged = decision is not None and _is_for_order(decision, rollout)
        # Operators see the status of a running roll-out before that of its end.
        if is_logged and self._advance(rollout) and not await self._finish(rollout):
            return
        if await self._write_if_due(rollout):
            await self._publish(rollout)

    def _start(self, rollout: Rollout) -> bool:
        """Start a roll-out unknown to the log and peers; return whether it started."""
        now_s = trio.current_time()
        if now_s - rollout.learned_at_s < STARTUP_SETTLE_S:
            return False
        self._state.rollouts.set_stage(
            rollout, Stage.RUNNING, "not known to any peer", now_s
        )
        return True

    def _advance(self, rollout: Rollout) -> bool:
        """Change to the next stage; return whether the end has to be written."""
        now_s = trio.current_time()
        rollout_state = rollout.state
        # Logged as found by the evidence, not as a decision for lack of a verdict.
        self._state.rollouts.roll_back_bad(now_s)
        readiness = fleet_readiness(self._state, rollout, now_s)
        stage = rollout_state.next_stage(readiness, True, now_s)
        if rollout_state.stage is Stage.RUNNING and rollout.is_only_version:
            stage = Stage.DONE
        if stage is Stage.DONE:
            return rollout_state.stage is not Stage.DONE
        self._state.rollouts.set_stage(rollout, stage, "decider", now_s)
        return False

    async def _finish(self, rollout: Rollout) -> bool:
        """Write that it is done, which takes effect once written; return success."""
        now_s = trio.current_time()
        snapshot = rollout.state.snapshot(now_s)
        replaced = snapshot.replaced | replaced_versions(self._state, rollout)
        done = msgspec.structs.replace(snapshot, stage=Stage.DONE, replaced=replaced)
        is_drained = fleet_readiness(self._state, rollout, now_s).is_drained
        if not await self._write(rollout, done):
            return False
        if not is_drained:
            await trio.sleep(DONE_ANNOUNCEMENT_S)
        return True

    async def _write_if_due(self, rollout: Rollout) -> bool:
        """Write the state if that is due; return whether the log contains it."""
        now_s = trio.current_time()
        snapshot = rollout.state.snapshot(now_s)
        decision = self._find_decision(rollout)
        if decision is not None and _is_for_order(decision, rollout):
            last_write_s = self._last_writes_s.get(snapshot.service, float("-inf"))
            is_recent = (
                now_s - last_write_s < REWRITE_INTERVAL_S or snapshot.stage.is_final
            )
            if decision.snapshot.stage is snapshot.stage and is_recent:
                return self._log.is_current
        else:
            snapshot = self._with_inherited(rollout, snapshot, decision)
        return await self._write(rollout, snapshot)

    def _with_inherited(
        self, rollout: Rollout, snapshot: RolloutSnapshot, decision: Decision | None
    ) -> RolloutSnapshot:
        """
        Return `snapshot` with the versions inherited from earlier orders.

        An order that ended before any record of it was written was not done.
        """
        inherited = (
            decision.inherited_by_next()
            if decision is not None
            else InheritedVersions()
        )
        inherited = inherited.excluding(rollout.state.order.version)
        return msgspec.structs.replace(
            snapshot,
            replaced=snapshot.replaced
            | inherited.replaced
            | rollout.ordered_after(decision),
            rejected=snapshot.rejected | inherited.rejected,
        )

    async def _write(self, rollout: Rollout, snapshot: RolloutSnapshot) -> bool:
        """Write `snapshot` with the evidence; return whether it was stored."""
        rollout_state = rollout.state
        decision = Decision(
            snapshot, rollout_state.order.version, rollout_state.evidence.totals()
        )
        document = msgspec.msgpack.encode(decision)
        if not await self._log.write(rollout_state.service, document):
            return False
        now_s = trio.current_time()
        self._last_writes_s[rollout_state.service] = now_s
        self._state.rollouts.merge(rollout, snapshot, True, "decider", now_s)
        return True

    async def _publish(self, rollout: Rollout) -> None:
        """Publish the stage to operators, unless the store already shows it."""
        rollout_state, stage = rollout.state, rollout.state.stage
        decision = self._find_decision(rollout)
        if decision is None or decision.snapshot.stage is not stage:
            return
        if not self._status.is_current and not await self._status.refresh():
            return
        key, value = self._state.adapter.rollout_status(
            rollout_state.service, rollout_state.order.version, stage
        )
        if self._status.values.get(key) != value:
            if not await self._status.write(key, value):
                return
            fields = {
                "service": rollout_state.service,
                "version": rollout_state.order.version,
            }
            fields["stage"] = stage.name.lower()
            _logger.info("roll-out status written", extra=fields)
        if stage.is_final:
            self._published[rollout_state.service] = (
                rollout_state.order.position,
                stage,
            )
