"""The roll-outs that this router knows of, and the version rules they set."""

from collections.abc import Callable

from scaleloom_core.answer_observations import BaselineObserver
from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.decisions import Decision
from scaleloom_core.rollouts.exposure import ExposureBounds
from scaleloom_core.rollouts.orders import UNKNOWN_POSITION, RolloutOrder, RolloutOrders
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage
from scaleloom_core.rollouts.state import (
    MIN_TOPIC_KNOWN_S,
    FleetReadiness,
    RolloutState,
    start_rollout,
)
from scaleloom_core.rollouts.versions import VersionRule
from scaleloom_core.targets import TargetView
from scaleloom_fleet.conf.gateway_schema import RolloutsSection
from scaleloom_fleet.gateway.rollout_records import (
    Rollout,
    inherit_versions,
    log_order,
    log_stage,
)

UNKNOWN_READINESS = FleetReadiness(candidate_slots=0, current_slots=0, is_drained=False)


def _ignore_change() -> None:
    """Do nothing, until peers are connected."""


class RolloutController:
    """
    Stores the state of each roll-out, and applies its version rules to the targets.

    Parameters
    ----------
    orders : RolloutOrders
        The operators' orders.
    by_service : dict of ServiceName to Rollout
        The newest roll-out of each service that ever had an order.
    """

    def __init__(self) -> None:
        self._router = ""
        self._view = TargetView()
        self._settings = RolloutsSection()
        self._announce: Callable[[], None] = _ignore_change
        self._first_orders_s: float | None = None
        self._observers: dict[ServiceName, BaselineObserver] = {}
        self.orders = RolloutOrders()
        self.by_service: dict[ServiceName, Rollout] = {}

    def connect(
        self, router: str, view: TargetView, announce: Callable[[], None]
    ) -> None:
        """
        Pass rules to `view`, and call `announce` when peers must be notified.

        Parameters
        ----------
        router : str
            The name of this router, from which pseudorandom numbers are derived.
        """
        self._router = router
        self._view = view
        self._announce = announce

    def configure(self, settings: RolloutsSection) -> None:
        """Apply changed settings to future orders."""
        self._settings = settings

    def find_state(self, service: ServiceName) -> RolloutState | None:
        """Return the state of the service's newest order, or None."""
        rollout = self.by_service.get(service)
        return rollout.state if rollout is not None else None

    def find_observer(self, service: ServiceName) -> BaselineObserver | None:
        """Return the observer of the service's baseline times, if enabled."""
        if not self._settings.is_enabled:
            return None
        return self._observers.setdefault(service, BaselineObserver())

    def rules(self) -> dict[ServiceName, VersionRule]:
        """Return the version rules by service."""
        return {service: rollout.rule() for service, rollout in self.by_service.items()}

    def apply(self, received: RolloutOrders, routers: int, now_s: float) -> None:
        """
        Apply the operators' orders, unless the known ones are newer.

        Parameters
        ----------
        routers : int
            The number of routers that share the slack.
        """
        if not received.is_newer_than(self.orders):
            return
        saw_order_given = self._has_known_orders(now_s)
        self.orders = received
        if not self._settings.is_enabled:
            return
        active = {order.service for order in received.orders}
        for service, rollout in self.by_service.items():
            if service not in active and not rollout.state.stage.is_final:
                self.set_stage(rollout, Stage.ROLLED_BACK, "order withdrawn", now_s)
        for order in received.orders:
            self._add_order(order, routers, saw_order_given, now_s)

    def _has_known_orders(self, now_s: float) -> bool:
        """Return whether this router read the operators' topic some time ago."""
        if self.orders.position == UNKNOWN_POSITION:
            self._first_orders_s = now_s
        known_since_s = now_s if self._first_orders_s is None else self._first_orders_s
        return now_s - known_since_s > MIN_TOPIC_KNOWN_S

    def _add_order(
        self, order: RolloutOrder, routers: int, saw_order_given: bool, now_s: float
    ) -> None:
        """Start the roll-out of `order` unless it is known."""
        earlier = self.by_service.get(order.service)
        if earlier is not None and order.position <= earlier.state.order.position:
            return
        bounds = ExposureBounds(
            self._settings.exposure_share, self._settings.exposure_slack
        )
        limit_s = self._settings.lateness_limit_s
        baselines = self._observers.setdefault(
            order.service, BaselineObserver()
        ).baseline
        rollout_state = start_rollout(
            order,
            bounds,
            routers,
            limit_s,
            saw_order_given,
            now_s,
            baselines,
            self._draw_min_room(order),
        )
        rollout = Rollout(rollout_state, now_s, needs_restore=not saw_order_given)
        rollout.is_only_version = saw_order_given and self._is_only_version(
            order, earlier
        )
        if earlier is not None:
            inherit_versions(earlier, rollout)
        self.by_service[order.service] = rollout
        log_order(order)
        self._publish_rules(now_s)

    def _draw_min_room(self, order: RolloutOrder) -> float:
        """Return a number above 0 and at most 1 that differs between routers."""
        number = hash_text(self._router, order.service, str(order.position))
        return (number + 1) / HASH_SPAN

    def _is_only_version(self, order: RolloutOrder, earlier: Rollout | None) -> bool:
        """Return whether the ordered version is the only one that serves."""
        targets = (record.listed for record in self._view.records.values())
        versions = {t.version for t in targets if t.service == order.service}
        if earlier is not None and earlier.state.stage.is_final:
            rule = earlier.rule()
            excluded = {v for v in versions if rule.track_of(v) is None}
            versions -= excluded - {order.version}
        return versions == {order.version}

    def set_stage(self, rollout: Rollout, stage: Stage, by: str, now_s: float) -> None:
        """Set `stage` here; `by` is the cause, for the log."""
        if stage is rollout.state.stage:
            return
        rollout.state.stage = stage
        self._on_stage_changed(rollout, by, now_s)

    def merge(
        self,
        rollout: Rollout,
        received: RolloutSnapshot,
        is_log_based: bool,
        by: str,
        now_s: float,
    ) -> None:
        """Merge the snapshot of the same order from a peer or the decision log."""
        if received.position != rollout.state.order.position:
            return
        before = rollout.rule()
        if is_log_based:
            rollout.is_log_based, rollout.presumed_replaced = True, {}
        if rollout.state.merge(received, now_s):
            self._on_stage_changed(rollout, by, now_s)
        elif rollout.rule() != before:
            self._publish_rules(now_s)

    def apply_decision(
        self, rollout: Rollout, decision: Decision, now_s: float
    ) -> None:
        """Apply the record of the decision log for the service."""
        rollout_state = rollout.state
        if decision.snapshot.position != rollout_state.order.position:
            return
        if rollout.needs_restore:
            rollout.needs_restore = False
            rollout_state.evidence.restore(decision.totals, now_s)
        self.merge(rollout, decision.snapshot, True, "decision log", now_s)

    def roll_back_bad(self, now_s: float) -> None:
        """Roll back every candidate that the evidence shows to be bad."""
        for rollout in self.by_service.values():
            stage = rollout.state.next_stage(UNKNOWN_READINESS, False, now_s)
            self.set_stage(rollout, stage, "evidence", now_s)

    def _on_stage_changed(self, rollout: Rollout, by: str, now_s: float) -> None:
        """Log a new stage, and publish the rules that follow."""
        log_stage(rollout.state, by, now_s)
        self._publish_rules(now_s)

    def _publish_rules(self, now_s: float) -> None:
        """Send the present rules to the targets, and notify the peers."""
        self._view.apply_rules(self.rules(), now_s)
        self._announce()
