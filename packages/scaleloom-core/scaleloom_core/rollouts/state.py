"""The state machine of one roll-out at one router."""

import math

import msgspec

from scaleloom_core.ids import ServiceName, TargetId, Version
from scaleloom_core.rollouts.evidence import (
    AnswerTallies,
    Assessment,
    Evidence,
    Tally,
    UnsentAnswers,
)
from scaleloom_core.rollouts.exposure import (
    TRIAL_FRACTION,
    USABLE_FRACTION,
    ExposureBounds,
    ExposureBudget,
)
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage
from scaleloom_core.rollouts.timing_baselines import AnswerTimings, TimingBaselines
from scaleloom_core.rollouts.versions import Track, VersionRule

MS_PER_S = 1000.0
NEVER_S = float("inf")
# A router that has known the orders for less than this when a new order arrives
# gets no slack, since it may have used its slack before a restart.
MIN_TOPIC_KNOWN_S = 1.0
# Of several targets one faulty one is excluded as an outlier; of two it cannot be.
MIN_STAGED = 3
# Periods of a trial, each with other staged targets, so that more targets are tried.
ROTATIONS = 5
# A roll-out without a decision is extended by this part of its duration, then rolled
# back.
EXTENSION_FRACTION = 0.5
# From this part of the time on, a version that looks bad also gets the requests that
# were reserved for later.
DOUBT_FRACTION = 0.5
# The full traffic is observed until shortly before the deadline, since a version that
# is bad under load only shows it then. The final record needs two store calls.
DONE_LEAD_S = 0.25
# A router without requests for the service switches this long before the deadline,
# so that the decider is notified in time, also through the relay of a group.
IDLE_LEAD_S = 1.0
# A version that takes over after the deadline is observed for this long, since a fault
# under load is detected only after several answers.
LATE_OBSERVATION_S = 1.0
# Slots of the candidate's targets per slot of the current ones: the candidate's
# targets must be able to take the full traffic at once.
MIN_CAPACITY_RATIO = 0.8


class FleetReadiness(msgspec.Struct, frozen=True):
    """
    What the deciding router knows about the fleet besides the evidence.

    Parameters
    ----------
    candidate_slots, current_slots : int
        Slots of the targets on each track that can be offered work.
    is_drained : bool
        Whether every alive router sends nothing to the current version any more
        and has no request in flight there.
    """

    candidate_slots: int
    current_slots: int
    is_drained: bool


class RolloutState(msgspec.Struct):
    """
    The state of one order at one router, and the transitions of its stage.

    Parameters
    ----------
    began_s : float
        The latest time at which the order can have been given, on the runtime's
        clock.
    lateness_limit_s : float
        The time after the deadline for which the end is delayed while the current
        version still has requests in flight.
    is_switched : bool
        Whether this router sends all requests to the candidate.
    switched_at_s : float
        When it began to.
    """

    order: RolloutOrder
    began_s: float
    budget: ExposureBudget
    lateness_limit_s: float
    stage: Stage = Stage.UNKNOWN
    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()
    evidence: Evidence = msgspec.field(default_factory=Evidence)
    baselines: TimingBaselines = msgspec.field(default_factory=TimingBaselines)
    unsent: UnsentAnswers = msgspec.field(default_factory=UnsentAnswers)
    is_switched: bool = False
    switched_at_s: float = NEVER_S

    @property
    def service(self) -> ServiceName:
        """Return the service that is moved to another version."""
        return self.order.service

    def elapsed_s(self, now_s: float) -> float:
        """Return a lower bound of the time since the order."""
        return max(0.0, now_s - self.began_s)

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the deadline, negative after it."""
        return self.order.duration_s - self.elapsed_s(now_s)

    def snapshot(self, now_s: float) -> RolloutSnapshot:
        """Return the state to send to peers and to write to the decision log."""
        return RolloutSnapshot(
            self.service,
            self.order.position,
            self.stage,
            int(self.elapsed_s(now_s) * MS_PER_S),
            self.replaced,
            self.rejected,
        )

    def merge(self, received: RolloutSnapshot, now_s: float) -> bool:
        """Merge a snapshot of this order; return whether the stage changed."""
        if received.position != self.order.position:
            return False
        self.began_s = min(self.began_s, now_s - received.elapsed_ms / MS_PER_S)
        before = self.stage
        merged = self.snapshot(now_s).merged_with(received)
        self.stage = merged.stage
        self.replaced, self.rejected = merged.replaced, merged.rejected
        return self.stage is not before

    def rule(self) -> VersionRule:
        """Return which versions take part."""
        version = self.order.version
        if self.stage is Stage.DONE:
            return VersionRule(None, self.replaced - {version}, self.rejected)
        if self.stage is Stage.ROLLED_BACK:
            return VersionRule(None, self.replaced, self.rejected | {version})
        return VersionRule(version, self.replaced, self.rejected)

    def pick_track(self, now_s: float) -> Track:
        """Return the track to which a new request is sent first."""
        if self.stage is Stage.RUNNING:
            return self._trial_track(now_s)
        if self.stage is Stage.PROMOTING:
            return self._promotion_track(now_s)
        return Track.CURRENT

    def _trial_track(self, now_s: float) -> Track:
        """
        Return the candidate for a small share of the requests.

        If the candidate looks bad late in the trial, it also gets the requests
        reserved for the switch: it would not take over in time, and they lead to
        a decision sooner.
        """
        if self.budget.may_send_trial:
            return Track.CANDIDATE
        is_late_in_trial = (
            self.elapsed_s(now_s) >= DOUBT_FRACTION * self.order.duration_s
        )
        if (
            is_late_in_trial
            and self.budget.may_use_reserve
            and self.evidence.is_doubtful(now_s)
        ):
            return Track.CANDIDATE
        return Track.CURRENT

    def _promotion_track(self, now_s: float) -> Track:
        """Return the candidate from when its exposure lasts until the deadline."""
        if self.has_switched(now_s):
            if self.remaining_s(now_s) <= 0.0 or self.budget.may_continue:
                return Track.CANDIDATE
            self.is_switched = False
        return Track.CANDIDATE if self.budget.may_probe else Track.CURRENT

    def has_switched(self, now_s: float) -> bool:
        """
        Return whether this router sends all requests to the candidate.

        Before the deadline a router switches only while the candidate still looks
        good. Of versions that fail 0.4 of the answers on one rare route, half look
        good at some time, and three in ten at the end of a trial (300 randomly
        generated trials of 11 s).
        """
        if self.stage is not Stage.PROMOTING:
            return self.stage is Stage.DONE
        left_s = self.remaining_s(now_s)
        may_switch = self.budget.covers(left_s) or self._is_idle(left_s, now_s)
        if not self.is_switched and may_switch:
            is_good = self.evidence.assess(now_s) is Assessment.GOOD
            self.is_switched = is_good or left_s <= 0.0
            self.switched_at_s = now_s
        return self.is_switched

    def _is_idle(self, left_s: float, now_s: float) -> bool:
        """Return whether the deadline is near and this router has no requests."""
        return left_s <= IDLE_LEAD_S and self.budget.is_idle(now_s)

    def record_sent(self, track: Track, now_s: float) -> None:
        """Count a request that is sent to a target of the service."""
        self.budget.record_sent(track is Track.CANDIDATE, now_s)

    def record_answer(
        self,
        track: Track,
        route: int,
        target: int,
        is_failed: bool,
        times: AnswerTimings,
        now_s: float,
    ) -> None:
        """Record the result of a request of this router, and its times."""
        is_bad = is_failed or self.baselines.is_slow(route, times)
        if track is Track.CURRENT and not is_failed:
            self.baselines.record_current(route, times)
        if self.stage.is_final:
            return
        tally = Tally(1, int(is_bad))
        if track is Track.CURRENT:
            answers = AnswerTallies(current={route: tally})
        else:
            answers = AnswerTallies(candidate={route: {target: tally}})
        self.unsent.add(answers)
        self.evidence.record(answers, now_s)

    def staged(
        self, candidates: list[TargetId], currents: int, now_s: float
    ) -> list[TargetId]:
        """
        Return those of `candidates` that are tried now.

        There are as many as the trial's share of the traffic loads to the level of
        the current targets, since a version may be bad only under load. All
        candidates take turns.

        Parameters
        ----------
        candidates : list of TargetId
            In the same order at all routers.
        currents : int
            The number of targets of the current version.
        """
        share = self.budget.bounds.share * USABLE_FRACTION * TRIAL_FRACTION
        count = max(MIN_STAGED, math.ceil(share * currents))
        if count >= len(candidates):
            return candidates
        turn_s = max(1.0, self.order.duration_s / ROTATIONS)
        first = int(self.elapsed_s(now_s) / turn_s) * count
        return [candidates[(first + k) % len(candidates)] for k in range(count)]

    def next_stage(
        self, readiness: FleetReadiness, is_decider: bool, now_s: float
    ) -> Stage:
        """
        Return the stage that follows from what is known, or the present one.

        Parameters
        ----------
        is_decider : bool
            Whether this router decides for the fleet. Any router may roll back a
            bad candidate.
        """
        if self.stage not in (Stage.RUNNING, Stage.PROMOTING):
            return self.stage
        assessment = self.evidence.assess(now_s)
        if assessment is Assessment.BAD:
            return Stage.ROLLED_BACK
        if not is_decider:
            return self.stage
        if self.stage is Stage.RUNNING:
            return self._after_running(assessment, readiness, now_s)
        return self._after_promoting(assessment, readiness, now_s)

    def _after_running(
        self, assessment: Assessment, readiness: FleetReadiness, now_s: float
    ) -> Stage:
        """Return the stage that follows a trial without bad results."""
        has_room = (
            readiness.candidate_slots >= MIN_CAPACITY_RATIO * readiness.current_slots
        )
        if assessment is Assessment.GOOD and has_room:
            return Stage.PROMOTING
        late_s = -self.remaining_s(now_s)
        extension_s = EXTENSION_FRACTION * self.order.duration_s
        if late_s >= extension_s or (late_s >= 0.0 and readiness.candidate_slots == 0):
            return Stage.ROLLED_BACK
        return self.stage

    def _after_promoting(
        self, assessment: Assessment, readiness: FleetReadiness, now_s: float
    ) -> Stage:
        """
        Return the stage that follows while the candidate takes over.

        The roll-out is not completed while the candidate has no targets or no
        longer looks good. If that lasts, it ends like a trial without a decision.
        """
        late_s = -self.remaining_s(now_s)
        is_good = assessment is Assessment.GOOD and readiness.candidate_slots > 0
        if is_good:
            is_due = readiness.is_drained and self._is_observed(now_s)
            has_ended = is_due or late_s >= self.lateness_limit_s
            return Stage.DONE if has_ended else self.stage
        has_ended = late_s >= EXTENSION_FRACTION * self.order.duration_s
        return Stage.ROLLED_BACK if has_ended else self.stage

    def _is_observed(self, now_s: float) -> bool:
        """Return whether the candidate was observed with the full traffic."""
        if not self.has_switched(now_s):
            return False
        observed_s = now_s - self.switched_at_s
        switched_in_time = observed_s > -self.remaining_s(now_s)
        if switched_in_time:
            return self.remaining_s(now_s) <= DONE_LEAD_S
        return observed_s >= LATE_OBSERVATION_S


def start_rollout(
    order: RolloutOrder,
    bounds: ExposureBounds,
    routers: int,
    lateness_limit_s: float,
    saw_order_given: bool,
    now_s: float,
    baselines: TimingBaselines | None = None,
    min_room: float = 1.0,
) -> RolloutState:
    """
    Return the state of an order that this router has just learned of.

    Parameters
    ----------
    routers : int
        The number of routers that share the slack.
    saw_order_given : bool
        Whether this router had read the operators' topic before the order.
    baselines : TimingBaselines or None
        Baselines of the service's answer times from before the order.
    min_room : float
        A pseudorandom number of this router for the order, above 0 and at most 1;
        see `ExposureBudget`.
    """
    slack_share = bounds.slack / max(1, routers) if saw_order_given else 0.0
    stage = Stage.RUNNING if saw_order_given else Stage.UNKNOWN
    # After a restart the same number could let this router begin a second time.
    router_min_room = min_room if saw_order_given else 1.0
    budget = ExposureBudget(bounds, slack_share, router_min_room, last_request_s=now_s)
    state = RolloutState(order, now_s, budget, lateness_limit_s, stage)
    if baselines is not None:
        state.baselines = baselines
    return state
