"""One roll-out at one router, and its log lines and metrics."""

import logging

import msgspec

from scaleloom_core.ids import Version
from scaleloom_core.rollouts.decisions import Decision, InheritedVersions
from scaleloom_core.rollouts.drain_progress import DrainProgress
from scaleloom_core.rollouts.evidence import UnsentAnswers
from scaleloom_core.rollouts.orders import UNKNOWN_POSITION, RolloutOrder
from scaleloom_core.rollouts.stages import Stage
from scaleloom_core.rollouts.state import RolloutState
from scaleloom_core.rollouts.versions import VersionRule
from scaleloom_fleet.utils.statsd_metrics import StatsdMetrics

_logger = logging.getLogger("scaleloom.rollouts")


class Rollout(msgspec.Struct):
    """
    One order at this router, with what is known from other routers.

    Parameters
    ----------
    learned_at_s : float
        When this router learned of the order, on the runtime's clock.
    presumed_replaced : dict of Version to int
        Versions ordered earlier and not known to be done, with the positions of
        their orders. They serve only if no other version is listed, until the
        decision log shows the results.
    is_log_based : bool
        Whether replaced and rejected versions were taken from the decision log.
    needs_restore : bool
        Whether this router started during the roll-out and has not yet read the
        earlier answers from the decision log.
    is_only_version : bool
        Whether only the ordered version was listed at the time of the order.
    unsent_by_group : UnsentAnswers
        Answers seen by the group and not yet reported to other groups.
    """

    state: RolloutState
    learned_at_s: float
    presumed_replaced: dict[Version, int] = msgspec.field(default_factory=dict)
    is_log_based: bool = False
    needs_restore: bool = False
    is_only_version: bool = False
    drain_progress: DrainProgress = msgspec.field(default_factory=DrainProgress)
    unsent_by_group: UnsentAnswers = msgspec.field(default_factory=UnsentAnswers)

    def rule(self) -> VersionRule:
        """
        Return which versions take part, according to what this router knows.

        The only listed version continues to serve as the current one. Otherwise an
        order for it would leave the service without targets until the end of the
        roll-out is written.
        """
        rule = self.state.rule()
        if self.is_only_version:
            rule = VersionRule(None, rule.replaced, rule.rejected)
        if not self.presumed_replaced:
            return rule
        replaced = rule.replaced.union(self.presumed_replaced)
        return VersionRule(rule.candidate, replaced, rule.rejected)

    def ordered_after(self, decision: Decision | None) -> frozenset[Version]:
        """Return the versions ordered after the order that `decision` is about."""
        last = decision.snapshot.position if decision is not None else UNKNOWN_POSITION
        return frozenset(
            v for v, position in self.presumed_replaced.items() if position > last
        )


def inherit_versions(earlier: Rollout, later: Rollout) -> None:
    """
    Let the roll-out `later` inherit the versions of `earlier`, which it ends.

    Only the decision log shows for certain that a roll-out was done. A version
    not done here is only presumed to be replaced, and not reported to peers.
    """
    rollout_state, version = earlier.state, later.state.order.version
    inherited = InheritedVersions(
        rollout_state.replaced, rollout_state.rejected
    ).excluding(version)
    later.state.replaced, later.state.rejected = (
        inherited.replaced,
        inherited.rejected,
    )
    if rollout_state.stage is not Stage.DONE:
        later.presumed_replaced = {
            **earlier.presumed_replaced,
            rollout_state.order.version: rollout_state.order.position,
        }
        later.presumed_replaced.pop(version, None)


def _log_fields(order: RolloutOrder) -> dict[str, object]:
    """Return the log fields that identify an order."""
    return {
        "service": order.service,
        "version": order.version,
        "position": order.position,
    }


def log_order(order: RolloutOrder) -> None:
    """Log an order that this router has just learned of."""
    fields = {**_log_fields(order), "duration_s": order.duration_s}
    _logger.info("roll-out ordered", extra=fields)


def log_stage(rollout_state: RolloutState, by: str, now_s: float) -> None:
    """Log a new stage with the known answers of both versions."""
    summary = rollout_state.evidence.summary(now_s)
    fields = {
        **_log_fields(rollout_state.order),
        "stage": rollout_state.stage.name.lower(),
        "by": by,
        "elapsed_s": round(rollout_state.elapsed_s(now_s), 2),
        "targets": summary.targets,
        "answers": summary.candidate.answered,
        "bad_answers": summary.candidate.bad,
        "current_answers": summary.current.answered,
        "current_bad_answers": summary.current.bad,
        "worst_route": summary.worst_route,
    }
    _logger.info("roll-out stage", extra=fields)


def set_gauges(
    metrics: StatsdMetrics, rollout_state: RolloutState, now_s: float
) -> None:
    """Set the gauges of one roll-out; dots, which separate names, are replaced."""
    version = rollout_state.order.version.replace(".", "_")
    prefix = f"rollouts.{rollout_state.service}.{version}"
    summary = rollout_state.evidence.summary(now_s)
    metrics.gauge(f"{prefix}.stage", rollout_state.stage.value)
    metrics.gauge(f"{prefix}.sent", rollout_state.budget.exposed)
    metrics.gauge(f"{prefix}.current_sent", _current_sent(rollout_state))
    metrics.gauge(f"{prefix}.bad", summary.candidate.bad)
    metrics.gauge(f"{prefix}.current_bad", summary.current.bad)


def _current_sent(rollout_state: RolloutState) -> int:
    """Return how many requests this router sent to the replaced version."""
    return rollout_state.budget.requests - rollout_state.budget.exposed
