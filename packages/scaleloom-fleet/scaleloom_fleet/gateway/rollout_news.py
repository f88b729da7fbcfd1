"""What routers tell each other of roll-outs."""

import trio

from scaleloom_core.fleet_roster import FleetRoster
from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.versions import Track
from scaleloom_fleet.gateway.peer_messages import PeerReport, RolloutNews
from scaleloom_fleet.gateway.rollout_records import Rollout
from scaleloom_fleet.gateway.state import GatewayState


def holds_current(state: GatewayState, service: ServiceName) -> bool:
    """Return whether this router holds requests at targets that are replaced."""
    rule = state.rollouts.by_service[service].rule()
    for target in state.load.own:
        record = state.view.records.get(target)
        if record is None or record.listed.service != service:
            continue
        if rule.track_of(record.listed.version) is not Track.CANDIDATE:
            return True
    return False


def is_clear(state: GatewayState, rollout: Rollout, now_s: float) -> bool:
    """Return whether this router has left the version that is replaced."""
    course = rollout.course
    if not course.has_switched(now_s):
        return False
    return not holds_current(state, course.service)


class RolloutTeller:
    """
    Writes what reports say of roll-outs, and reads it.

    Parameters
    ----------
    roster : FleetRoster
        Tells who belongs to the own group.
    """

    def __init__(self, state: GatewayState, roster: FleetRoster) -> None:
        self._state = state
        self._roster = roster

    def own_news(self, now_s: float) -> list[RolloutNews]:
        """Return what this router saw since the last report, and its stages."""
        self._state.rollouts.judge(now_s)
        return [
            self._own_news(rollout, now_s)
            for rollout in self._state.rollouts.by_service.values()
        ]

    def _own_news(self, rollout: Rollout, now_s: float) -> RolloutNews:
        """Return what this router tells of one roll-out; an ended one in short."""
        seen = rollout.course.untold.take()
        standing = rollout.course.standing(now_s)
        if rollout.course.stage.is_final:
            return RolloutNews(standing, rollout.is_grounded)
        rollout.relayed.note_all(seen)
        clear = int(is_clear(self._state, rollout, now_s))
        return RolloutNews(standing, rollout.is_grounded, clear, seen)

    def group_news(self, now_s: float) -> list[RolloutNews]:
        """Return what the own group saw since the last report, for those outside."""
        near = [member.router for member in self._roster.near(now_s)]
        news: list[RolloutNews] = []
        for rollout in self._state.rollouts.by_service.values():
            seen = rollout.relayed.take()
            standing = rollout.course.standing(now_s)
            if rollout.course.stage.is_final:
                news.append(RolloutNews(standing, rollout.is_grounded))
                continue
            clear = int(is_clear(self._state, rollout, now_s))
            clear += rollout.clearance.count(near, now_s)
            news.append(RolloutNews(standing, rollout.is_grounded, clear, seen))
        return news

    def take_in(self, report: PeerReport) -> None:
        """Take in what a peer reports, of itself or of its group."""
        now_s = trio.current_time()
        desk = self._state.rollouts
        told = {news.standing.service: news for news in report.rollouts}
        for service, rollout in desk.by_service.items():
            news = told.get(service)
            position = rollout.course.order.position
            if news is not None and news.standing.position != position:
                news = None
            self._note_clear(rollout, report, news, now_s)
            if news is not None:
                self._note_news(rollout, report, news, now_s)

    def _is_counted(self, report: PeerReport) -> bool:
        """Return whether no other report tells the same once more."""
        is_near = report.group == self._roster.group
        return is_near == (report.speaks_for == 0)

    def _note_clear(
        self,
        rollout: Rollout,
        report: PeerReport,
        news: RolloutNews | None,
        now_s: float,
    ) -> None:
        """Take in which routers have left the version that is replaced."""
        if not self._is_counted(report):
            return
        clear = news.clear if news is not None else 0
        if report.speaks_for:
            rollout.clearance.note_group(report.group, clear, report.speaks_for, now_s)
        else:
            rollout.clearance.note_router(report.sender.router, clear > 0, now_s)

    def _note_news(
        self, rollout: Rollout, report: PeerReport, news: RolloutNews, now_s: float
    ) -> None:
        """Take in a stage, and answers that the sender or its group saw."""
        desk = self._state.rollouts
        by = f"told by {report.sender.router}"
        desk.take_in(rollout, news.standing, news.is_grounded, by, now_s)
        is_new = bool(news.seen.current or news.seen.candidate)
        if not is_new or not self._is_counted(report):
            return
        rollout.course.evidence.note(news.seen, now_s)
        if not report.speaks_for:
            rollout.relayed.note_all(news.seen)
        desk.judge(now_s)
