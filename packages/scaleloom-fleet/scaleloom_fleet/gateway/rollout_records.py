"""One roll-out at one router, and what is logged and measured of it."""

import logging

import msgspec

from scaleloom_core.ids import Version
from scaleloom_core.rollouts.clearance import Clearance
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.decisions import Decision, FormerVersions
from scaleloom_core.rollouts.evidence import UntoldAnswers
from scaleloom_core.rollouts.orders import UNKNOWN_POSITION, RolloutOrder
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.versions import VersionRule
from scaleloom_fleet.utils.metrics import Metrics

_logger = logging.getLogger("scaleloom.rollouts")


class Rollout(msgspec.Struct):
    """
    One order at this router, with what the fleet says of it.

    Parameters
    ----------
    learned_s : float
        When this router learned of the order, on the runtime's clock.
    presumed : dict of Version to int
        Ordered before and not known to be done, with the order's position. They
        serve only where nothing else is listed, until the log of decisions has
        told what became of them.
    is_grounded : bool
        Whether former versions are those that the log of decisions tells.
    lacks_evidence : bool
        Whether this router started in the middle and has not read the log of
        decisions yet, which holds what was seen before.
    is_alone : bool
        Whether nothing but the ordered version was listed at the order.
    relayed : UntoldAnswers
        What the group saw and others have not been told of yet.
    """

    course: RolloutCourse
    learned_s: float
    presumed: dict[Version, int] = msgspec.field(default_factory=dict)
    is_grounded: bool = False
    lacks_evidence: bool = False
    is_alone: bool = False
    clearance: Clearance = msgspec.field(default_factory=Clearance)
    relayed: UntoldAnswers = msgspec.field(default_factory=UntoldAnswers)

    def rule(self) -> VersionRule:
        """
        Return which versions take part, as far as is known.

        A version that serves alone goes on serving, or an order for it would
        leave the service without targets until its end is written.
        """
        rule = self.course.rule()
        if self.is_alone:
            rule = VersionRule(None, rule.replaced, rule.rejected)
        if not self.presumed:
            return rule
        replaced = rule.replaced.union(self.presumed)
        return VersionRule(rule.candidate, replaced, rule.rejected)

    def unwritten(self, written: Decision | None) -> frozenset[Version]:
        """Return what was ordered after the order that `written` is about."""
        last = written.standing.position if written is not None else UNKNOWN_POSITION
        return frozenset(v for v, position in self.presumed.items() if position > last)


def carry_over(former: Rollout, later: Rollout) -> None:
    """
    Let `later` begin with what `former`, which it ends, left of versions.

    Only the log of decisions tells for sure that a roll-out was done. What was
    not done here is presumed only, and told to no peer.
    """
    course, version = former.course, later.course.order.version
    left = FormerVersions(course.replaced, course.rejected).without(version)
    later.course.replaced, later.course.rejected = left.replaced, left.rejected
    if course.stage is not Stage.DONE:
        later.presumed = {
            **former.presumed,
            course.order.version: course.order.position,
        }
        later.presumed.pop(version, None)


def _names(order: RolloutOrder) -> dict[str, object]:
    """Return the fields by which log lines of one order are found."""
    return {
        "service": order.service,
        "version": order.version,
        "position": order.position,
    }


def log_order(order: RolloutOrder) -> None:
    """Log an order that this router has just learned of."""
    fields = {**_names(order), "duration_s": order.duration_s}
    _logger.info("roll-out ordered", extra=fields)


def log_stage(course: RolloutCourse, by: str, now_s: float) -> None:
    """Log a stage that was just taken, with what is known of both versions."""
    summary = course.evidence.summary(now_s)
    fields = {
        **_names(course.order),
        "stage": course.stage.name.lower(),
        "by": by,
        "elapsed_s": round(course.elapsed_s(now_s), 2),
        "targets": summary.targets,
        "answers": summary.candidate.answered,
        "bad_answers": summary.candidate.bad,
        "current_answers": summary.current.answered,
        "current_bad_answers": summary.current.bad,
        "worst_route": summary.worst_route,
    }
    _logger.info("roll-out stage", extra=fields)


def measure(metrics: Metrics, course: RolloutCourse, now_s: float) -> None:
    """Set the gauges of one roll-out; a dot would divide the metric's name."""
    version = course.order.version.replace(".", "_")
    prefix = f"rollouts.{course.service}.{version}"
    summary = course.evidence.summary(now_s)
    metrics.gauge(f"{prefix}.stage", course.stage.value)
    metrics.gauge(f"{prefix}.sent", course.budget.exposed)
    metrics.gauge(f"{prefix}.current_sent", _current_sent(course))
    metrics.gauge(f"{prefix}.bad", summary.candidate.bad)
    metrics.gauge(f"{prefix}.current_bad", summary.current.bad)


def _current_sent(course: RolloutCourse) -> int:
    """Return how many requests this router sent to the version replaced."""
    return course.budget.requests - course.budget.exposed
