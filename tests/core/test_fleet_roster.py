"""Tests of how routers of a fleet tell each other of themselves, in groups."""

import random
from collections import Counter
from dataclasses import dataclass, field

from nose2.tools import params

from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.fleet_roster import (
    FORGOTTEN_S,
    LIVELY_S,
    MAX_GROUP_SIZE,
    RELAY_MAX_AGE_S,
    SETTLES_S,
    UNHEARD_TIMEOUT_S,
    FleetMember,
    FleetRoster,
)
from scaleloom_core.ids import DataCentreName, InstanceId, TargetId
from scaleloom_core.precedence import MAX_WEAKNESS, precedence, weakness
from scaleloom_core.retry_windows import SHARE_IN_USE

ROUND_S = 0.2
TARGET = TargetId("i-1")
HELD_EACH = 2
ROUNDS_TO_KNOW_ALL = 8
# Reports of groups from before a split are forgotten by then.
ROUNDS_TO_SPLIT = 16


@dataclass
class _Router:
    """One router of a simulated fleet, and how many messages it sent."""

    id: InstanceId
    roster: FleetRoster
    load: FleetLoad = field(default_factory=FleetLoad)
    sent: int = 0
    weakness: int = 0

    @property
    def member(self) -> FleetMember:
        """Return what the fleet knows of this router."""
        own = precedence(self.id, False, False, self.weakness)
        return FleetMember(self.id, own, True)


class _Fleet:
    """
    Routers that tell each other of themselves, in rounds.

    Parameters
    ----------
    lost_share : float
        The share of messages that never arrive.
    """

    def __init__(self, sizes: list[int], lost_share: float = 0.0) -> None:
        self.now_s = 0.0
        self.lost_share = lost_share
        self.random = random.Random(7)
        self.routers: dict[InstanceId, _Router] = {}
        for number, size in enumerate(sizes):
            for place in range(size):
                router = InstanceId(f"10.{number}.0.{place}:7000")
                roster = FleetRoster(router, DataCentreName(f"dc-{number}"), 0.0)
                self.routers[router] = _Router(router, roster)
        for router in self.routers.values():
            for other in self.routers:
                router.roster.add(other, 0.0)
            for _ in range(HELD_EACH):
                router.load.take(TARGET)

    def play(self, rounds: int) -> None:
        """Let every router report once a round."""
        for _ in range(rounds):
            self.now_s += ROUND_S
            for router in list(self.routers.values()):
                self._report(router)

    def _report(self, router: _Router) -> None:
        """Let one router report to its group and for its group."""
        roster, now_s = router.roster, self.now_s
        roster.regroup(now_s)
        router.load.forget_silent(now_s)
        near = [member.router for member in roster.near(now_s)]
        told = roster.relayed_to(now_s)
        tried = roster.silent(now_s)
        router.sent += len(near) + len(told)
        own = router.load.own_report(now_s)
        group = router.load.group_report()
        others = roster.near(now_s)
        for receiver in self._reached(near + tried):
            receiver.roster.note(router.member, roster.group, now_s)
            if receiver.roster.group == roster.group:
                receiver.load.note_report(router.id, own, now_s)
        for receiver in self._reached(told):
            for member in (router.member, *roster.near_to_tell(now_s)):
                receiver.roster.note(member, roster.group, now_s)
            key = InstanceId(repr(roster.group))
            receiver.load.note_group(key, group, 1 + len(others), now_s)

    def _reached(self, receivers: list[InstanceId]) -> list[_Router]:
        """Return the routers among `receivers` that a message reaches."""
        return [
            self.routers[receiver]
            for receiver in receivers
            if receiver in self.routers and self.random.random() >= self.lost_share
        ]


@params([4], [1, 1, 1, 1], [11] * 6, [60, 60], [20] * 21)
def test_every_router_learns_what_all_others_hold(sizes):
    fleet = _Fleet(sizes)
    fleet.play(ROUNDS_TO_SPLIT)
    total = HELD_EACH * len(fleet.routers)
    for router in fleet.routers.values():
        assert router.load.held(TARGET) == total
        assert router.roster.count(fleet.now_s) == len(fleet.routers)


@params([11] * 6, [60, 60, 60], [20] * 21)
def test_a_round_costs_far_less_than_telling_everybody(sizes):
    fleet = _Fleet(sizes)
    fleet.play(ROUNDS_TO_KNOW_ALL)
    before = {router.id: router.sent for router in fleet.routers.values()}
    fleet.play(1)
    sent = [router.sent - before[router.id] for router in fleet.routers.values()]
    assert max(sent) <= 4 * len(fleet.routers) ** 0.5


@params([4], [11] * 6, [30] * 6)
def test_a_new_load_is_known_everywhere_within_two_rounds(sizes):
    fleet = _Fleet(sizes)
    fleet.play(ROUNDS_TO_SPLIT)
    total = HELD_EACH * len(fleet.routers)
    for router in list(fleet.routers.values())[::7]:
        router.load.take(TARGET)
        total += 1
        fleet.play(2)
        assert {r.load.held(TARGET) for r in fleet.routers.values()} == {total}


def test_each_router_is_told_of_each_group_by_one_member():
    fleet = _Fleet([5, 5, 5])
    fleet.play(ROUNDS_TO_KNOW_ALL)
    told = Counter(
        (receiver, router.roster.group)
        for router in fleet.routers.values()
        for receiver in router.roster.relayed_to(fleet.now_s)
    )
    assert set(told.values()) == {1}
    assert len(told) == 15 * 2


def test_the_end_of_any_router_is_made_good_by_the_others():
    fleet = _Fleet([6, 6, 6])
    fleet.play(ROUNDS_TO_KNOW_ALL)
    for lost in list(fleet.routers)[:9]:
        del fleet.routers[lost]
        fleet.play(int(2 * LIVELY_S / ROUND_S) + 2)
        total = HELD_EACH * len(fleet.routers)
        for router in fleet.routers.values():
            assert router.load.held(TARGET) == total


def test_lost_messages_seldom_hide_what_others_hold():
    fleet = _Fleet([11] * 6, lost_share=0.05)
    fleet.play(ROUNDS_TO_KNOW_ALL)
    total = HELD_EACH * len(fleet.routers)
    short = checks = 0
    for _ in range(20):
        fleet.play(1)
        for router in fleet.routers.values():
            checks += 1
            short += router.load.held(TARGET) < 0.95 * total
    assert short <= 0.02 * checks


@params(4, 68, 420)
def test_ranks_are_agreed_once_routers_have_heard_of_each_other(router_count):
    fleet = _Fleet([router_count // 4] * 4)
    fleet.play(ROUNDS_TO_KNOW_ALL)
    ranks = [
        router.roster.rank(router.member.precedence, fleet.now_s)
        for router in fleet.routers.values()
    ]
    assert sorted(ranks) == list(range(router_count))


def test_routers_that_start_together_do_not_all_come_first():
    fleet = _Fleet([10, 10])
    ranks = [
        router.roster.rank(router.member.precedence, 0.0)
        for router in fleet.routers.values()
    ]
    assert sorted(ranks) == list(range(20))
    (alone,) = _Fleet([1]).routers.values()
    assert alone.roster.rank(alone.member.precedence, 0.0) == 0


def test_a_router_that_the_store_fails_comes_behind_all_others():
    usual = [precedence(InstanceId(f"r-{n}"), False, False) for n in range(50)]
    thin = [precedence(InstanceId(f"r-{n}"), True, False) for n in range(50)]
    cut = [precedence(InstanceId(f"r-{n}"), False, True) for n in range(50)]
    assert max(usual) < min(thin) <= max(thin) < min(cut)


WEAK = weakness(cores=0.27, link_mbps=10.0, memory_mb=152.0)


def _unequal_fleet() -> tuple[_Fleet, list[InstanceId]]:
    """Return a fleet of 36 weak routers and 6 strong ones, and the strong."""
    fleet = _Fleet([14] * 3)
    strong = [router for place, router in enumerate(fleet.routers) if place % 7 == 0]
    for router in fleet.routers.values():
        router.weakness = 0 if router.id in strong else WEAK
    return fleet, strong


def _ranks(fleet: _Fleet) -> dict[InstanceId, int]:
    """Return the rank that each router gives itself."""
    return {
        router.id: router.roster.rank(router.member.precedence, fleet.now_s)
        for router in fleet.routers.values()
    }


def test_what_is_enough_is_no_weakness_and_the_scarcest_counts():
    assert weakness(cores=2.15, link_mbps=200.0, memory_mb=552.0) == 0
    assert weakness(cores=1.0, link_mbps=100.0, memory_mb=0.0) == 0
    assert weakness(cores=0.5, link_mbps=1000.0, memory_mb=0.0) == 1
    assert weakness(cores=4.0, link_mbps=10.0, memory_mb=0.0) == 4
    assert weakness(cores=4.0, link_mbps=1000.0, memory_mb=60.0) == 2
    assert weakness(cores=1e-9, link_mbps=1e-9, memory_mb=1e-9) == MAX_WEAKNESS


def test_a_share_that_is_nothing_or_without_end_has_a_weakness_too():
    assert weakness(cores=0.0, link_mbps=100.0, memory_mb=0.0) == MAX_WEAKNESS
    endless = float("inf")
    assert weakness(cores=endless, link_mbps=endless, memory_mb=endless) == 0


def test_routers_that_differ_little_are_equal():
    assert weakness(0.51, 100.0, 200.0) == weakness(0.9, 190.0, 300.0)


def test_the_strong_come_first():
    fleet, strong = _unequal_fleet()
    fleet.play(ROUNDS_TO_KNOW_ALL)
    ranks = _ranks(fleet)
    assert sorted(ranks.values()) == list(range(42))
    assert {router for router, rank in ranks.items() if rank < 6} == set(strong)


def test_the_weak_take_over_when_all_the_strong_die_together():
    fleet, strong = _unequal_fleet()
    fleet.play(ROUNDS_TO_KNOW_ALL)
    for router in strong:
        del fleet.routers[router]
    fleet.play(int((LIVELY_S + RELAY_MAX_AGE_S) / ROUND_S) + 2)
    assert sorted(_ranks(fleet).values()) == list(range(36))


def test_the_strong_do_the_work_again_when_they_are_back():
    fleet, strong = _unequal_fleet()
    away = {router: fleet.routers.pop(router) for router in strong}
    fleet.play(ROUNDS_TO_KNOW_ALL)
    fleet.routers.update(away)
    fleet.play(ROUNDS_TO_KNOW_ALL)
    ranks = _ranks(fleet)
    assert {router for router, rank in ranks.items() if rank < 6} == set(strong)


def test_a_fleet_of_the_weak_alone_does_not_leave_the_work_to_nobody_at_a_start():
    fleet = _Fleet([10, 10])
    for router in fleet.routers.values():
        router.weakness = WEAK
    assert sorted(_ranks(fleet).values()) == list(range(20))


def test_a_weak_router_comes_before_one_with_a_thin_link_or_without_the_store():
    weak = precedence(InstanceId("r-1"), False, False, MAX_WEAKNESS)
    assert weak < precedence(InstanceId("r-1"), True, False)
    assert weak < precedence(InstanceId("r-1"), False, True)


def test_what_is_shared_counts_the_living_and_the_lately_lost():
    fleet = _Fleet([3])
    fleet.play(ROUNDS_TO_KNOW_ALL)
    first, second, lost = fleet.routers.values()
    del fleet.routers[lost.id]
    fleet.play(int(LIVELY_S / ROUND_S) + 1)
    assert first.roster.count(fleet.now_s) == 3
    fleet.play(int(UNHEARD_TIMEOUT_S / ROUND_S) + 1)
    assert first.roster.count(fleet.now_s) == 3
    fleet.play(int(FORGOTTEN_S / ROUND_S) + 1)
    assert first.roster.count(fleet.now_s) == 2
    assert first.roster.silent(fleet.now_s) == [lost.id]
    first.roster.forget(fleet.now_s + FORGOTTEN_S)
    assert first.roster.silent(fleet.now_s) == []
    assert second.roster.count(fleet.now_s) == 2


def test_routers_that_are_cut_off_from_each_other_do_not_take_the_whole_each():
    # Four routers that were cut off for longer than ten seconds each took
    # themselves for the only one, and with it half of what all four may repeat:
    # twice the extra in all.
    fleet = _Fleet([4])
    fleet.play(ROUNDS_TO_KNOW_ALL)
    cut_for_s = 30.0
    shares = [
        SHARE_IN_USE / router.roster.count(fleet.now_s + cut_for_s)
        for router in fleet.routers.values()
    ]
    assert sum(shares) <= 1.0


def test_a_large_data_centre_is_split_and_joined_again():
    fleet = _Fleet([3 * MAX_GROUP_SIZE])
    fleet.play(ROUNDS_TO_KNOW_ALL)
    groups = Counter(router.roster.group for router in fleet.routers.values())
    assert len(groups) > 1
    assert max(groups.values()) <= 1.5 * MAX_GROUP_SIZE
    for lost in list(fleet.routers)[4:]:
        del fleet.routers[lost]
    fleet.play(int((SETTLES_S + LIVELY_S) / ROUND_S) + 5)
    assert len({router.roster.group for router in fleet.routers.values()}) == 1


def test_a_repeated_report_is_counted_once():
    load = FleetLoad()
    key = target_key(TARGET)
    for held in (4, 1, 3):
        load.note_report(InstanceId("peer"), {key: held}, 0.0)
        load.note_group(InstanceId("group"), {key: 2 * held}, 5, 0.0)
    assert load.held(TARGET) == 9
    assert load.group_report() == {key: 3}
    load.forget_silent(60.0)
    assert (load.held(TARGET), load.group_report()) == (0, {})
