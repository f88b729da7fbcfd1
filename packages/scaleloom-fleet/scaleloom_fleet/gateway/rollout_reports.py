"""Reports of routers and groups about roll-outs."""

import trio

from scaleloom_core.fleet_roster import FleetRoster
from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.versions import Track
from scaleloom_fleet.gateway.peer_messages import PeerReport, RolloutReport
from scaleloom_fleet.gateway.rollout_records import Rollout
from scaleloom_fleet.gateway.state import GatewayState


def has_current_in_flight(state: GatewayState, service: ServiceName) -> bool:
    """Return whether this router has requests in flight at replaced targets."""
    rule = state.rollouts.by_service[service].rule()
    for target in state.load.local:
        record = state.view.records.get(target)
        if record is None or record.listed.service != service:
            continue
        if rule.track_of(record.listed.version) is not Track.CANDIDATE:
            return True
    return False


def has_drained(state: GatewayState, rollout: Rollout, now_s: float) -> bool:
    """Return whether this router no longer uses the replaced version."""
    rollout_state = rollout.state
    if not rollout_state.has_switched(now_s):
        return False
    return not has_current_in_flight(state, rollout_state.service)


class RolloutReporter:
    """
    Writes the parts of reports that are about roll-outs, and applies received ones.

    Parameters
    ----------
    roster : FleetRoster
        The members of the own group.
    """

    def __init__(self, state: GatewayState, roster: FleetRoster) -> None:
        self._state = state
        self._roster = roster

    def local_reports(self, now_s: float) -> list[RolloutReport]:
        """Return the stages here, and the answers seen since the last report."""
        self._state.rollouts.roll_back_bad(now_s)
        return [
            self._own_report(rollout, now_s)
            for rollout in self._state.rollouts.by_service.values()
        ]

    def _own_report(self, rollout: Rollout, now_s: float) -> RolloutReport:
        """Return the report on one roll-out, without answers once it has ended."""
        answers = rollout.state.unsent.pop_all()
        snapshot = rollout.state.snapshot(now_s)
        if rollout.state.stage.is_final:
            return RolloutReport(snapshot, rollout.is_log_based)
        rollout.unsent_by_group.add(answers)
        drained = int(has_drained(self._state, rollout, now_s))
        return RolloutReport(snapshot, rollout.is_log_based, drained, answers)

    def group_reports(self, now_s: float) -> list[RolloutReport]:
        """Return the same for the own group, to be sent to the other groups."""
        group_members = [member.router for member in self._roster.group_members(now_s)]
        reports: list[RolloutReport] = []
        for rollout in self._state.rollouts.by_service.values():
            answers = rollout.unsent_by_group.pop_all()
            snapshot = rollout.state.snapshot(now_s)
            if rollout.state.stage.is_final:
                reports.append(RolloutReport(snapshot, rollout.is_log_based))
                continue
            drained = int(has_drained(self._state, rollout, now_s))
            drained += rollout.drain_progress.count_drained(group_members, now_s)
            reports.append(
                RolloutReport(snapshot, rollout.is_log_based, drained, answers)
            )
        return reports

    def merge(self, report: PeerReport) -> None:
        """Apply the report of a peer about itself or its group."""
        now_s = trio.current_time()
        controller = self._state.rollouts
        reports = {
            rollout_report.snapshot.service: rollout_report
            for rollout_report in report.rollouts
        }
        for service, rollout in controller.by_service.items():
            rollout_report = reports.get(service)
            position = rollout.state.order.position
            if (
                rollout_report is not None
                and rollout_report.snapshot.position != position
            ):
                rollout_report = None
            self._record_drained(rollout, report, rollout_report, now_s)
            if rollout_report is not None:
                self._apply_report(rollout, report, rollout_report, now_s)

    def _is_counted(self, report: PeerReport) -> bool:
        """Return whether the report is the only one with these answers."""
        is_same_group = report.group == self._roster.group
        return is_same_group == (report.group_size == 0)

    def _record_drained(
        self,
        rollout: Rollout,
        report: PeerReport,
        rollout_report: RolloutReport | None,
        now_s: float,
    ) -> None:
        """Record which routers no longer use the replaced version."""
        if not self._is_counted(report):
            return
        drained = rollout_report.drained_count if rollout_report is not None else 0
        if report.group_size:
            rollout.drain_progress.record_group(
                report.group, drained, report.group_size, now_s
            )
        else:
            rollout.drain_progress.record_router(
                report.sender.router, drained > 0, now_s
            )

    def _apply_report(
        self,
        rollout: Rollout,
        report: PeerReport,
        rollout_report: RolloutReport,
        now_s: float,
    ) -> None:
        """Apply the stage, and the answers that the sender or its group saw."""
        controller = self._state.rollouts
        by = f"reported by {report.sender.router}"
        controller.merge(
            rollout, rollout_report.snapshot, rollout_report.is_log_based, by, now_s
        )
        has_answers = bool(
            rollout_report.answers.current or rollout_report.answers.candidate
        )
        if not has_answers or not self._is_counted(report):
            return
        rollout.state.evidence.record(rollout_report.answers, now_s)
        if not report.group_size:
            rollout.unsent_by_group.add(rollout_report.answers)
        controller.roll_back_bad(now_s)
