"""Decisions on roll-outs: who decides, and how a decision is written once."""

import logging

import msgspec
import trio

from scaleloom_core.catching_up import FOLLOWERS
from scaleloom_core.fleet_roster import SETTLES_S
from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.decisions import Decision, FormerVersions
from scaleloom_core.rollouts.stages import Stage, Standing
from scaleloom_fleet.gateway.conditional_topic import ConditionalTopic
from scaleloom_fleet.gateway.interfaces import Topic
from scaleloom_fleet.gateway.rollout_facts import fleet_facts, replaced_versions
from scaleloom_fleet.gateway.rollout_records import Rollout
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess

# As often as routers report; a stage is decided on what they told.
ROUND_S = 0.1
# A successor goes on from evidence of this age. One call of each kind a second
# is little against the users' least limit of 400 writing calls.
REWRITTEN_S = 1.0
# By then peers that are not clear have heard that it is done, and send nothing to
# targets that the platform stops as soon as it reads the status.
DONE_TOLD_S = 0.15
_decoder = msgspec.msgpack.Decoder(Decision)
_logger = logging.getLogger("scaleloom.rollouts")


def _is_about(written: Decision, rollout: Rollout) -> bool:
    """Return whether a record of the log is about the same order."""
    return written.standing.position == rollout.course.order.position


class RolloutDecisions:
    """
    Decides as the first in rank, and follows what others decided.

    Parameters
    ----------
    access : StoreAccess
        Reaches the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._log = ConditionalTopic(access, Topic.DECISIONS)
        self._status = ConditionalTopic(access, Topic.STATUS)
        self._written_s: dict[ServiceName, float] = {}
        self._followed_s = float("-inf")
        self._confirmed: dict[ServiceName, tuple[int, Stage]] = {}

    async def decide_forever(self) -> None:
        """Carry on all roll-outs for as long as the process runs."""
        decides_from_s = trio.current_time() + SETTLES_S
        while True:
            await trio.sleep(ROUND_S)
            await self._play_round(trio.current_time() >= decides_from_s)

    async def _play_round(self, may_decide: bool) -> None:
        """
        Decide, follow, or leave the store alone.

        Before the first rank is known the log is read only. A fleet that lost
        all power may find in it that the old version has ended.
        """
        unsettled = [r for r in self._rollouts() if not self._is_confirmed(r)]
        if unsettled and may_decide and self._state.rank == 0:
            await self._decide(unsettled)
            return
        # Others may write from now on.
        self._log.forget()
        self._status.forget()
        is_open = any(not r.course.stage.is_final for r in unsettled)
        if is_open and self._state.rank < FOLLOWERS:
            await self._follow()

    def _rollouts(self) -> list[Rollout]:
        """Return the newest roll-out of each service."""
        return list(self._state.rollouts.by_service.values())

    def _is_confirmed(self, rollout: Rollout) -> bool:
        """Return whether operators were surely told of the end."""
        course = rollout.course
        told = self._confirmed.get(course.service)
        return course.stage.is_final and told == (course.order.position, course.stage)

    async def _follow(self) -> None:
        """Read the log of decisions now and then, for peers that hear no decider."""
        now_s = trio.current_time()
        if now_s - self._followed_s < REWRITTEN_S:
            return
        self._followed_s = now_s
        if await self._log.refresh():
            self._take_in_log()
        self._log.forget()

    async def _decide(self, unsettled: list[Rollout]) -> None:
        """Decide on each of `unsettled`, on the ground of the whole log."""
        if not self._log.is_known and self._access.is_reachable:
            await self._log.refresh()
        if self._log.is_known:
            self._take_in_log()
        for rollout in unsettled:
            if self._log.is_known:
                await self._settle(rollout)
            else:
                self._advance(rollout)

    def _take_in_log(self) -> None:
        """Take in what the log says of each service."""
        now_s = trio.current_time()
        for rollout in self._rollouts():
            written = self._written(rollout)
            if written is not None:
                self._state.rollouts.take_written(rollout, written, now_s)

    def _written(self, rollout: Rollout) -> Decision | None:
        """Return what the log holds for the service, or report why it is not read."""
        document = self._log.values.get(rollout.course.service)
        if document is None:
            return None
        try:
            return _decoder.decode(document)
        except msgspec.DecodeError as error:
            fields = {"service": rollout.course.service, "why": str(error)}
            _logger.error("decision unreadable", extra=fields)
            return None

    async def _settle(self, rollout: Rollout) -> None:
        """Take one roll-out a step further, and write down where it stands."""
        course = rollout.course
        written = self._written(rollout)
        if written is not None and written.standing.position > course.order.position:
            # This router has not heard of the newest order yet.
            return
        if course.stage is Stage.UNKNOWN and not self._begin(rollout):
            return
        is_begun = written is not None and _is_about(written, rollout)
        # Operators are told that it runs before they are told of its end.
        if is_begun and self._advance(rollout) and not await self._finish(rollout):
            return
        if await self._write_down(rollout):
            await self._publish(rollout)

    def _begin(self, rollout: Rollout) -> bool:
        """Begin what neither the log nor a peer knows; return whether it began."""
        now_s = trio.current_time()
        if now_s - rollout.learned_s < SETTLES_S:
            return False
        self._state.rollouts.change(rollout, Stage.RUNNING, "nobody knows it", now_s)
        return True

    def _advance(self, rollout: Rollout) -> bool:
        """Take the stage that follows; return whether the end is to be written."""
        now_s = trio.current_time()
        course = rollout.course
        facts = fleet_facts(self._state, rollout, now_s)
        stage = course.next_stage(facts, True, now_s)
        if course.stage is Stage.RUNNING and rollout.is_alone:
            stage = Stage.DONE
        if stage is Stage.DONE:
            return course.stage is not Stage.DONE
        self._state.rollouts.change(rollout, stage, "decider", now_s)
        return False

    async def _finish(self, rollout: Rollout) -> bool:
        """Write that it is done; only then is it so. Return whether it is."""
        now_s = trio.current_time()
        standing = rollout.course.standing(now_s)
        replaced = standing.replaced | replaced_versions(self._state, rollout)
        done = msgspec.structs.replace(standing, stage=Stage.DONE, replaced=replaced)
        is_clear = fleet_facts(self._state, rollout, now_s).is_clear
        if not await self._write(rollout, done):
            return False
        if not is_clear:
            await trio.sleep(DONE_TOLD_S)
        return True

    async def _write_down(self, rollout: Rollout) -> bool:
        """Write where it stands if that is due; return whether the log says so."""
        now_s = trio.current_time()
        standing = rollout.course.standing(now_s)
        written = self._written(rollout)
        if written is not None and _is_about(written, rollout):
            written_s = self._written_s.get(standing.service, float("-inf"))
            is_recent = now_s - written_s < REWRITTEN_S or standing.stage.is_final
            if written.standing.stage is standing.stage and is_recent:
                return self._log.is_known
        else:
            standing = self._with_former(rollout, standing, written)
        return await self._write(rollout, standing)

    def _with_former(
        self, rollout: Rollout, standing: Standing, written: Decision | None
    ) -> Standing:
        """
        Return `standing` with what is left of former orders.

        One that was ended before anything of it was written down was not done.
        """
        left = written.left_to_next() if written is not None else FormerVersions()
        left = left.without(rollout.course.order.version)
        return msgspec.structs.replace(
            standing,
            replaced=standing.replaced | left.replaced | rollout.unwritten(written),
            rejected=standing.rejected | left.rejected,
        )

    async def _write(self, rollout: Rollout, standing: Standing) -> bool:
        """Write `standing` with the evidence; return whether it surely stands."""
        course = rollout.course
        decision = Decision(standing, course.order.version, course.evidence.totals())
        document = msgspec.msgpack.encode(decision)
        if not await self._log.write(course.service, document):
            return False
        now_s = trio.current_time()
        self._written_s[course.service] = now_s
        self._state.rollouts.take_in(rollout, standing, True, "decider", now_s)
        return True

    async def _publish(self, rollout: Rollout) -> None:
        """Tell operators where it stands, unless they read that already."""
        course, stage = rollout.course, rollout.course.stage
        written = self._written(rollout)
        if written is None or written.standing.stage is not stage:
            return
        if not self._status.is_known and not await self._status.refresh():
            return
        key, value = self._state.adapter.rollout_status(
            course.service, course.order.version, stage
        )
        if self._status.values.get(key) != value:
            if not await self._status.write(key, value):
                return
            fields = {"service": course.service, "version": course.order.version}
            fields["stage"] = stage.name.lower()
            _logger.info("roll-out status written", extra=fields)
        if stage.is_final:
            self._confirmed[course.service] = (course.order.position, stage)
