"""One roll-out as one router carries it out."""

import math

import msgspec

from scaleloom_core.ids import ServiceName, TargetId, Version
from scaleloom_core.rollouts.evidence import (
    Assessment,
    Evidence,
    SeenAnswers,
    Tally,
    UntoldAnswers,
)
from scaleloom_core.rollouts.exposure import (
    SHARE_IN_USE,
    TRIAL_PART,
    ExposureBounds,
    ExposureBudget,
)
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.paces import AnswerTimes, UsualTimes
from scaleloom_core.rollouts.stages import Stage, Standing
from scaleloom_core.rollouts.versions import Track, VersionRule

MS_PER_S = 1000.0
NEVER_S = float("inf")
# A router that learns of an order later than this takes no part of the slack,
# since it may have had one before it was restarted.
KNOWN_FROM_START_S = 1.0
# One grey target among several is left out of the verdict; among two it can't be.
LEAST_STAGED = 3
# Each staged target has this part of the trial's time, so that several are tried.
ROTATIONS = 5
# A roll-out without a verdict goes on for this part of its time, then it ends.
EXTENSION_PART = 0.5
# From this part of the time on a version that looks bad gets what is kept for later.
DOUBT_PART = 0.5
# The whole traffic is watched until so shortly before the deadline: a version that
# is bad under load only shows it then. Writing it down takes two calls of the store.
DONE_LEAD_S = 0.25
# A router that the service does not use switches so shortly before the deadline:
# the decider hears it by then, over a group's relay too.
UNUSED_LEAD_S = 1.0
# A version that takes over after the deadline is watched for so long: there is
# no hurry any more, and a fault under load takes some answers to show.
LATE_WATCH_S = 1.0
# Of the current targets' slots; the candidates must bear the traffic at once.
LEAST_CAPACITY = 0.8


class FleetFacts(msgspec.Struct, frozen=True):
    """
    What a router that decides knows besides the evidence.

    Parameters
    ----------
    candidate_slots, current_slots : int
        Of the targets on each track that may be offered work.
    is_clear : bool
        Whether every router that is heard sends nothing to the current version
        any more and holds nothing there.
    """

    candidate_slots: int
    current_slots: int
    is_clear: bool


class RolloutCourse(msgspec.Struct):
    """
    The state of one order at one router, and what follows from it.

    Parameters
    ----------
    began_s : float
        When the order was given at the latest, on the runtime's clock.
    lateness_limit_s : float
        How long after the deadline the end waits for requests that the current
        version still works on.
    is_switched : bool
        Whether this router sends everything to the candidate.
    switched_s : float
        Since when.
    """

    order: RolloutOrder
    began_s: float
    budget: ExposureBudget
    lateness_limit_s: float
    stage: Stage = Stage.UNKNOWN
    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()
    evidence: Evidence = msgspec.field(default_factory=Evidence)
    usual: UsualTimes = msgspec.field(default_factory=UsualTimes)
    untold: UntoldAnswers = msgspec.field(default_factory=UntoldAnswers)
    is_switched: bool = False
    switched_s: float = NEVER_S

    @property
    def service(self) -> ServiceName:
        """Return the service that is moved."""
        return self.order.service

    def elapsed_s(self, now_s: float) -> float:
        """Return the time since the order, never more than the true one."""
        return max(0.0, now_s - self.began_s)

    def left_s(self, now_s: float) -> float:
        """Return the time to the deadline, below zero after it."""
        return self.order.duration_s - self.elapsed_s(now_s)

    def standing(self, now_s: float) -> Standing:
        """Return where the roll-out stands, for peers and for the store."""
        return Standing(
            self.service,
            self.order.position,
            self.stage,
            int(self.elapsed_s(now_s) * MS_PER_S),
            self.replaced,
            self.rejected,
        )

    def take_in(self, told: Standing, now_s: float) -> bool:
        """Take in what is told of this order; return whether the stage changed."""
        if told.position != self.order.position:
            return False
        self.began_s = min(self.began_s, now_s - told.elapsed_ms / MS_PER_S)
        before = self.stage
        merged = self.standing(now_s).merged_with(told)
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
        """Return where a new request is sent first."""
        if self.stage is Stage.RUNNING:
            return self._trial_track(now_s)
        if self.stage is Stage.PROMOTING:
            return self._promotion_track(now_s)
        return Track.CURRENT

    def _trial_track(self, now_s: float) -> Track:
        """
        Return the candidate for a small part of the requests.

        Where it looks bad late in the trial, what is kept for its taking over
        settles the matter sooner: it would not take over in time.
        """
        if self.budget.may_try:
            return Track.CANDIDATE
        is_late = self.elapsed_s(now_s) >= DOUBT_PART * self.order.duration_s
        if is_late and self.budget.may_settle and self.evidence.is_doubtful(now_s):
            return Track.CANDIDATE
        return Track.CURRENT

    def _promotion_track(self, now_s: float) -> Track:
        """Return the candidate once what it may get lasts until the deadline."""
        if self.has_switched(now_s):
            if self.left_s(now_s) <= 0.0 or self.budget.may_go_on:
                return Track.CANDIDATE
            self.is_switched = False
        return Track.CANDIDATE if self.budget.may_watch else Track.CURRENT

    def has_switched(self, now_s: float) -> bool:
        """
        Return whether this router sends everything to the candidate.

        Before the deadline it begins to only while the candidate still looks
        good. Of versions that fail 0.4 of one rare route's answers, half look
        good at some time and three in ten at the end of a trial (300 drawn trials
        of 11 s).
        """
        if self.stage is not Stage.PROMOTING:
            return self.stage is Stage.DONE
        left_s = self.left_s(now_s)
        may_switch = self.budget.lasts(left_s) or self._is_unused(left_s, now_s)
        if not self.is_switched and may_switch:
            is_good = self.evidence.assess(now_s) is Assessment.GOOD
            self.is_switched = is_good or left_s <= 0.0
            self.switched_s = now_s
        return self.is_switched

    def _is_unused(self, left_s: float, now_s: float) -> bool:
        """Return whether there is nothing here that could be moved."""
        return left_s <= UNUSED_LEAD_S and self.budget.is_unused(now_s)

    def note_sent(self, track: Track, now_s: float) -> None:
        """Count a request that is sent to a target of the service."""
        self.budget.note_sent(track is Track.CANDIDATE, now_s)

    def note_answer(
        self,
        track: Track,
        route: int,
        target: int,
        is_failed: bool,
        times: AnswerTimes,
        now_s: float,
    ) -> None:
        """Take in how a request of this router fared, and how long it took."""
        is_bad = is_failed or self.usual.is_slow(route, times)
        if track is Track.CURRENT and not is_failed:
            self.usual.note_current(route, times)
        if self.stage.is_final:
            return
        tally = Tally(1, int(is_bad))
        if track is Track.CURRENT:
            seen = SeenAnswers(current={route: tally})
        else:
            seen = SeenAnswers(candidate={route: {target: tally}})
        self.untold.note_all(seen)
        self.evidence.note(seen, now_s)

    def staged(
        self, candidates: list[TargetId], currents: int, now_s: float
    ) -> list[TargetId]:
        """
        Return those of `candidates` that are tried now.

        As many as the trial's share loads like the targets of the current
        version: a version may be bad under load only. They take turns.

        Parameters
        ----------
        candidates : list of TargetId
            In an order on which all routers agree.
        currents : int
            How many targets the current version has.
        """
        share = self.budget.bounds.share * SHARE_IN_USE * TRIAL_PART
        count = max(LEAST_STAGED, math.ceil(share * currents))
        if count >= len(candidates):
            return candidates
        part_s = max(1.0, self.order.duration_s / ROTATIONS)
        first = int(self.elapsed_s(now_s) / part_s) * count
        return [candidates[(first + k) % len(candidates)] for k in range(count)]

    def next_stage(self, facts: FleetFacts, is_decider: bool, now_s: float) -> Stage:
        """
        Return the stage that follows from what is known, or the present one.

        Parameters
        ----------
        is_decider : bool
            Whether this router decides for those that hear it. Any router may
            find the candidate bad.
        """
        if self.stage not in (Stage.RUNNING, Stage.PROMOTING):
            return self.stage
        assessment = self.evidence.assess(now_s)
        if assessment is Assessment.BAD:
            return Stage.ROLLED_BACK
        if not is_decider:
            return self.stage
        if self.stage is Stage.RUNNING:
            return self._after_running(assessment, facts, now_s)
        return self._after_promoting(assessment, facts, now_s)

    def _after_running(
        self, assessment: Assessment, facts: FleetFacts, now_s: float
    ) -> Stage:
        """Return what follows a trial that shows nothing bad."""
        has_room = facts.candidate_slots >= LEAST_CAPACITY * facts.current_slots
        if assessment is Assessment.GOOD and has_room:
            return Stage.PROMOTING
        late_s = -self.left_s(now_s)
        extension_s = EXTENSION_PART * self.order.duration_s
        if late_s >= extension_s or (late_s >= 0.0 and facts.candidate_slots == 0):
            return Stage.ROLLED_BACK
        return self.stage

    def _after_promoting(
        self, assessment: Assessment, facts: FleetFacts, now_s: float
    ) -> Stage:
        """
        Return what follows once the candidate takes over.

        It is not done without targets, or while it looks good no more; where
        that lasts, it ends as a trial without a verdict does.
        """
        late_s = -self.left_s(now_s)
        is_good = assessment is Assessment.GOOD and facts.candidate_slots > 0
        if is_good:
            is_due = facts.is_clear and self._is_watched(now_s)
            is_over = is_due or late_s >= self.lateness_limit_s
            return Stage.DONE if is_over else self.stage
        is_over = late_s >= EXTENSION_PART * self.order.duration_s
        return Stage.ROLLED_BACK if is_over else self.stage

    def _is_watched(self, now_s: float) -> bool:
        """Return whether the candidate was seen with the whole traffic."""
        if not self.has_switched(now_s):
            return False
        watched_s = now_s - self.switched_s
        was_in_time = watched_s > -self.left_s(now_s)
        if was_in_time:
            return self.left_s(now_s) <= DONE_LEAD_S
        return watched_s >= LATE_WATCH_S


def begin_course(
    order: RolloutOrder,
    bounds: ExposureBounds,
    routers: int,
    lateness_limit_s: float,
    is_seen_given: bool,
    now_s: float,
    usual: UsualTimes | None = None,
    drawn: float = 1.0,
) -> RolloutCourse:
    """
    Return the course of an order that this router has just learned of.

    Parameters
    ----------
    routers : int
        How many routers share the slack.
    is_seen_given : bool
        Whether this router knew of the operators' topic before the order.
    usual : UsualTimes or None
        What is known of the service's answers from before the order.
    drawn : float
        A number of this router's own for the order, above 0 and at most 1.
    """
    extra = bounds.slack / max(1, routers) if is_seen_given else 0.0
    stage = Stage.RUNNING if is_seen_given else Stage.UNKNOWN
    # One that was restarted may have begun before, with the same number.
    whole = drawn if is_seen_given else 1.0
    budget = ExposureBudget(bounds, extra, whole, used_s=now_s)
    course = RolloutCourse(order, now_s, budget, lateness_limit_s, stage)
    if usual is not None:
        course.usual = usual
    return course
