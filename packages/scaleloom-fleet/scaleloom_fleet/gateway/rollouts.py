"""The roll-outs that this router knows of, and what they say of versions."""

from collections.abc import Callable

from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import ServiceName
from scaleloom_core.observations import UsualListener
from scaleloom_core.rollouts.course import (
    KNOWN_FROM_START_S,
    FleetFacts,
    RolloutCourse,
    begin_course,
)
from scaleloom_core.rollouts.decisions import Decision
from scaleloom_core.rollouts.exposure import ExposureBounds
from scaleloom_core.rollouts.orders import UNKNOWN_POSITION, RolloutOrder, RolloutOrders
from scaleloom_core.rollouts.stages import Stage, Standing
from scaleloom_core.rollouts.versions import VersionRule
from scaleloom_core.targets import TargetView
from scaleloom_fleet.conf.gateway_schema import RolloutsSection
from scaleloom_fleet.gateway.rollout_records import (
    Rollout,
    carry_over,
    log_order,
    log_stage,
)

NO_FACTS = FleetFacts(candidate_slots=0, current_slots=0, is_clear=False)


def _tell_nobody() -> None:
    """Do nothing, as long as there are no peers."""


class RolloutDesk:
    """
    Keeps the course of each order, and hands the rules on to the targets.

    Parameters
    ----------
    orders : RolloutOrders
        What operators order.
    by_service : dict of ServiceName to Rollout
        Of each service that ever had an order; the newest counts.
    """

    def __init__(self) -> None:
        self._own = ""
        self._view = TargetView()
        self._section = RolloutsSection()
        self._tell: Callable[[], None] = _tell_nobody
        self._first_told_s: float | None = None
        self._listeners: dict[ServiceName, UsualListener] = {}
        self.orders = RolloutOrders()
        self.by_service: dict[ServiceName, Rollout] = {}

    def connect(self, own: str, view: TargetView, tell: Callable[[], None]) -> None:
        """
        Hand rules on to `view`, and call `tell` when peers are to hear.

        Parameters
        ----------
        own : str
            This router, for draws.
        """
        self._own = own
        self._view = view
        self._tell = tell

    def configure(self, section: RolloutsSection) -> None:
        """Take changed settings into force, for orders to come."""
        self._section = section

    def course_of(self, service: ServiceName) -> RolloutCourse | None:
        """Return the course of the newest order for `service`, ended or not."""
        rollout = self.by_service.get(service)
        return rollout.course if rollout is not None else None

    def listener_of(self, service: ServiceName) -> UsualListener | None:
        """Return who learns how long answers of `service` usually take, if anybody."""
        if not self._section.is_enabled:
            return None
        return self._listeners.setdefault(service, UsualListener())

    def rules(self) -> dict[ServiceName, VersionRule]:
        """Return what is known of versions, by service."""
        return {service: known.rule() for service, known in self.by_service.items()}

    def apply(self, told: RolloutOrders, routers: int, now_s: float) -> None:
        """
        Take in what operators order, unless what is known rests on more.

        Parameters
        ----------
        routers : int
            How many routers share the slack.
        """
        if not told.is_newer_than(self.orders):
            return
        is_seen_given = self._is_settled(now_s)
        self.orders = told
        if not self._section.is_enabled:
            return
        standing = {order.service for order in told.orders}
        for service, rollout in self.by_service.items():
            if service not in standing and not rollout.course.stage.is_final:
                self.change(rollout, Stage.ROLLED_BACK, "order taken back", now_s)
        for order in told.orders:
            self._note_order(order, routers, is_seen_given, now_s)

    def _is_settled(self, now_s: float) -> bool:
        """Return whether this router knew the operators' topic for a while."""
        if self.orders.position == UNKNOWN_POSITION:
            self._first_told_s = now_s
        first_s = now_s if self._first_told_s is None else self._first_told_s
        return now_s - first_s > KNOWN_FROM_START_S

    def _note_order(
        self, order: RolloutOrder, routers: int, is_seen_given: bool, now_s: float
    ) -> None:
        """Begin the course of `order` unless it is known."""
        former = self.by_service.get(order.service)
        if former is not None and order.position <= former.course.order.position:
            return
        bounds = ExposureBounds(
            self._section.exposure_share, self._section.exposure_slack
        )
        limit_s = self._section.lateness_limit_s
        usual = self._listeners.setdefault(order.service, UsualListener()).usual
        course = begin_course(
            order,
            bounds,
            routers,
            limit_s,
            is_seen_given,
            now_s,
            usual,
            self._drawn_for(order),
        )
        rollout = Rollout(course, now_s, lacks_evidence=not is_seen_given)
        rollout.is_alone = is_seen_given and self._is_alone(order, former)
        if former is not None:
            carry_over(former, rollout)
        self.by_service[order.service] = rollout
        log_order(order)
        self._hand_on(now_s)

    def _drawn_for(self, order: RolloutOrder) -> float:
        """Return a number above 0 and at most 1, another at each router."""
        drawn = hash_text(self._own, order.service, str(order.position))
        return (drawn + 1) / HASH_SPAN

    def _is_alone(self, order: RolloutOrder, former: Rollout | None) -> bool:
        """Return whether nothing but the ordered version is listed that serves."""
        listed = (record.listed for record in self._view.records.values())
        versions = {t.version for t in listed if t.service == order.service}
        if former is not None and former.course.stage.is_final:
            rule = former.rule()
            barred = {v for v in versions if rule.track_of(v) is None}
            versions -= barred - {order.version}
        return versions == {order.version}

    def change(self, rollout: Rollout, stage: Stage, by: str, now_s: float) -> None:
        """Take `stage` into force here; `by` says why, for the log."""
        if stage is rollout.course.stage:
            return
        rollout.course.stage = stage
        self._note_stage(rollout, by, now_s)

    def take_in(
        self,
        rollout: Rollout,
        told: Standing,
        is_grounded: bool,
        by: str,
        now_s: float,
    ) -> None:
        """Take in what a peer or the log of decisions tells of the same order."""
        if told.position != rollout.course.order.position:
            return
        before = rollout.rule()
        if is_grounded:
            rollout.is_grounded, rollout.presumed = True, {}
        if rollout.course.take_in(told, now_s):
            self._note_stage(rollout, by, now_s)
        elif rollout.rule() != before:
            self._hand_on(now_s)

    def take_written(self, rollout: Rollout, written: Decision, now_s: float) -> None:
        """Take in what the log of decisions holds for the service."""
        course = rollout.course
        if written.standing.position != course.order.position:
            return
        if rollout.lacks_evidence:
            rollout.lacks_evidence = False
            course.evidence.restore(written.totals, now_s)
        self.take_in(rollout, written.standing, True, "log of decisions", now_s)

    def judge(self, now_s: float) -> None:
        """Roll back at once what the evidence shows to be bad."""
        for rollout in self.by_service.values():
            stage = rollout.course.next_stage(NO_FACTS, False, now_s)
            self.change(rollout, stage, "evidence", now_s)

    def _note_stage(self, rollout: Rollout, by: str, now_s: float) -> None:
        """Log a stage that was just taken, and hand on what follows."""
        log_stage(rollout.course, by, now_s)
        self._hand_on(now_s)

    def _hand_on(self, now_s: float) -> None:
        """Tell the targets and the peers what holds now."""
        self._view.apply_rules(self.rules(), now_s)
        self._tell()
