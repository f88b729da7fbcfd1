"""Tests of the fleet roster: groups of routers, relays, ranks and fleet size."""

import random
from collections import Counter
from dataclasses import dataclass, field

from nose2.tools import params

from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.fleet_roster import (
    ALIVE_TIMEOUT_S,
    MAX_GROUP_SIZE,
    RELAY_MAX_AGE_S,
    ROUTER_RETENTION_S,
    STARTUP_SETTLE_S,
    UNHEARD_TIMEOUT_S,
    FleetMember,
    FleetRoster,
)
from scaleloom_core.ids import DataCentreName, InstanceId, TargetId
from scaleloom_core.precedence import (
    MAX_CAPACITY_SHORTFALL,
    capacity_shortfall,
    precedence,
)
from scaleloom_core.retry_windows import USED_BUDGET_SHARE

ROUND_S = 0.2
TARGET = TargetId("i-1")
IN_FLIGHT_EACH = 2
ROUNDS_TO_CONVERGE = 8
# After these rounds, reports of groups from before a split have expired.
ROUNDS_TO_SPLIT = 16


@dataclass
class _Router:
    """Router of a simulated fleet, with the number of messages it sent."""

    id: InstanceId
    roster: FleetRoster
    load: FleetLoad = field(default_factory=FleetLoad)
    sent: int = 0
    shortfall: int = 0

    @property
    def member(self) -> FleetMember:
        """Return the state that this router reports to the fleet."""
        own = precedence(self.id, False, False, self.shortfall)
        return FleetMember(self.id, own, True)


class _Fleet:
    """
    Simulated fleet whose routers send reports in rounds.

    Parameters
    ----------
    sizes : list of int
        Number of routers in each data centre.
    lost_share : float
        Share of messages that are lost.
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
            for _ in range(IN_FLIGHT_EACH):
                router.load.add_request(TARGET)

    def run(self, rounds: int) -> None:
        """Run `rounds` rounds in which every router sends its reports."""
        for _ in range(rounds):
            self.now_s += ROUND_S
            for router in list(self.routers.values()):
                self._report(router)

    def _report(self, router: _Router) -> None:
        """Send the reports of one router, and those it relays for its group."""
        roster, now_s = router.roster, self.now_s
        roster.update_group(now_s)
        router.load.remove_silent(now_s)
        near = [member.router for member in roster.group_members(now_s)]
        relayed = roster.relay_recipients(now_s)
        unheard = roster.silent_routers(now_s)
        router.sent += len(near) + len(relayed)
        own = router.load.local_report(now_s)
        group = router.load.group_report()
        others = roster.group_members(now_s)
        for receiver in self._receivers_of(near + unheard):
            receiver.roster.record_heard(router.member, roster.group, now_s)
            if receiver.roster.group == roster.group:
                receiver.load.update_peer(router.id, own, now_s)
        for receiver in self._receivers_of(relayed):
            for member in (router.member, *roster.recent_group_members(now_s)):
                receiver.roster.record_heard(member, roster.group, now_s)
            key = InstanceId(repr(roster.group))
            receiver.load.update_group(key, group, 1 + len(others), now_s)

    def _receivers_of(self, receivers: list[InstanceId]) -> list[_Router]:
        """Return the routers among `receivers` that receive a message."""
        return [
            self.routers[receiver]
            for receiver in receivers
            if receiver in self.routers and self.random.random() >= self.lost_share
        ]


@params([4], [1, 1, 1, 1], [11] * 6, [60, 60], [20] * 21)
def test_every_router_learns_the_load_of_all_others(sizes):
    fleet = _Fleet(sizes)
    fleet.run(ROUNDS_TO_SPLIT)
    total = IN_FLIGHT_EACH * len(fleet.routers)
    for router in fleet.routers.values():
        assert router.load.in_flight(TARGET) == total
        assert router.roster.fleet_size(fleet.now_s) == len(fleet.routers)


@params([11] * 6, [60, 60, 60], [20] * 21)
def test_a_round_needs_far_fewer_messages_than_a_full_mesh(sizes):
    fleet = _Fleet(sizes)
    fleet.run(ROUNDS_TO_CONVERGE)
    before = {router.id: router.sent for router in fleet.routers.values()}
    fleet.run(1)
    sent = [router.sent - before[router.id] for router in fleet.routers.values()]
    assert max(sent) <= 4 * len(fleet.routers) ** 0.5


@params([4], [11] * 6, [30] * 6)
def test_a_new_load_is_known_everywhere_within_two_rounds(sizes):
    fleet = _Fleet(sizes)
    fleet.run(ROUNDS_TO_SPLIT)
    total = IN_FLIGHT_EACH * len(fleet.routers)
    for router in list(fleet.routers.values())[::7]:
        router.load.add_request(TARGET)
        total += 1
        fleet.run(2)
        assert {r.load.in_flight(TARGET) for r in fleet.routers.values()} == {total}


def test_each_router_has_one_relay_in_each_other_group():
    fleet = _Fleet([5, 5, 5])
    fleet.run(ROUNDS_TO_CONVERGE)
    relayed = Counter(
        (receiver, router.roster.group)
        for router in fleet.routers.values()
        for receiver in router.roster.relay_recipients(fleet.now_s)
    )
    assert set(relayed.values()) == {1}
    assert len(relayed) == 15 * 2


def test_the_load_is_correct_after_any_router_dies():
    fleet = _Fleet([6, 6, 6])
    fleet.run(ROUNDS_TO_CONVERGE)
    for lost in list(fleet.routers)[:9]:
        del fleet.routers[lost]
        fleet.run(int(2 * ALIVE_TIMEOUT_S / ROUND_S) + 2)
        total = IN_FLIGHT_EACH * len(fleet.routers)
        for router in fleet.routers.values():
            assert router.load.in_flight(TARGET) == total


def test_lost_messages_seldom_hide_the_load_of_others():
    fleet = _Fleet([11] * 6, lost_share=0.05)
    fleet.run(ROUNDS_TO_CONVERGE)
    total = IN_FLIGHT_EACH * len(fleet.routers)
    incomplete = checks = 0
    for _ in range(20):
        fleet.run(1)
        for router in fleet.routers.values():
            checks += 1
            incomplete += router.load.in_flight(TARGET) < 0.95 * total
    assert incomplete <= 0.02 * checks


@params(4, 68, 420)
def test_ranks_are_unique_once_all_routers_are_known(router_count):
    fleet = _Fleet([router_count // 4] * 4)
    fleet.run(ROUNDS_TO_CONVERGE)
    ranks = [
        router.roster.rank(router.member.precedence, fleet.now_s)
        for router in fleet.routers.values()
    ]
    assert sorted(ranks) == list(range(router_count))


def test_ranks_are_unique_when_all_routers_start_together():
    fleet = _Fleet([10, 10])
    ranks = [
        router.roster.rank(router.member.precedence, 0.0)
        for router in fleet.routers.values()
    ]
    assert sorted(ranks) == list(range(20))
    (alone,) = _Fleet([1]).routers.values()
    assert alone.roster.rank(alone.member.precedence, 0.0) == 0


def test_a_router_without_the_store_is_ranked_after_all_others():
    healthy = [precedence(InstanceId(f"r-{n}"), False, False) for n in range(50)]
    low_bandwidth = [precedence(InstanceId(f"r-{n}"), True, False) for n in range(50)]
    without_store = [precedence(InstanceId(f"r-{n}"), False, True) for n in range(50)]
    assert max(healthy) < min(low_bandwidth) <= max(low_bandwidth) < min(without_store)


WEAK = capacity_shortfall(cores=0.27, link_mbps=10.0, memory_mb=152.0)


def _unequal_fleet() -> tuple[_Fleet, list[InstanceId]]:
    """Return a fleet with 36 weak and 6 strong routers, and the strong ones."""
    fleet = _Fleet([14] * 3)
    strong = [router for place, router in enumerate(fleet.routers) if place % 7 == 0]
    for router in fleet.routers.values():
        router.shortfall = 0 if router.id in strong else WEAK
    return fleet, strong


def _ranks(fleet: _Fleet) -> dict[InstanceId, int]:
    """Return the rank that each router computes for itself."""
    return {
        router.id: router.roster.rank(router.member.precedence, fleet.now_s)
        for router in fleet.routers.values()
    }


def test_shortfall_is_that_of_the_scarcest_resource():
    assert capacity_shortfall(cores=2.15, link_mbps=200.0, memory_mb=552.0) == 0
    assert capacity_shortfall(cores=1.0, link_mbps=100.0, memory_mb=0.0) == 0
    assert capacity_shortfall(cores=0.5, link_mbps=1000.0, memory_mb=0.0) == 1
    assert capacity_shortfall(cores=4.0, link_mbps=10.0, memory_mb=0.0) == 4
    assert capacity_shortfall(cores=4.0, link_mbps=1000.0, memory_mb=60.0) == 2
    assert (
        capacity_shortfall(cores=1e-9, link_mbps=1e-9, memory_mb=1e-9)
        == MAX_CAPACITY_SHORTFALL
    )


def test_shortfall_of_zero_and_infinite_resources():
    assert (
        capacity_shortfall(cores=0.0, link_mbps=100.0, memory_mb=0.0)
        == MAX_CAPACITY_SHORTFALL
    )
    infinite = float("inf")
    assert (
        capacity_shortfall(cores=infinite, link_mbps=infinite, memory_mb=infinite) == 0
    )


def test_similar_routers_have_equal_shortfalls():
    assert capacity_shortfall(0.51, 100.0, 200.0) == capacity_shortfall(
        0.9, 190.0, 300.0
    )


def test_strong_routers_are_ranked_first():
    fleet, strong = _unequal_fleet()
    fleet.run(ROUNDS_TO_CONVERGE)
    ranks = _ranks(fleet)
    assert sorted(ranks.values()) == list(range(42))
    assert {router for router, rank in ranks.items() if rank < 6} == set(strong)


def test_weak_routers_take_over_when_all_strong_routers_die():
    fleet, strong = _unequal_fleet()
    fleet.run(ROUNDS_TO_CONVERGE)
    for router in strong:
        del fleet.routers[router]
    fleet.run(int((ALIVE_TIMEOUT_S + RELAY_MAX_AGE_S) / ROUND_S) + 2)
    assert sorted(_ranks(fleet).values()) == list(range(36))


def test_strong_routers_are_ranked_first_again_after_their_return():
    fleet, strong = _unequal_fleet()
    away = {router: fleet.routers.pop(router) for router in strong}
    fleet.run(ROUNDS_TO_CONVERGE)
    fleet.routers.update(away)
    fleet.run(ROUNDS_TO_CONVERGE)
    ranks = _ranks(fleet)
    assert {router for router, rank in ranks.items() if rank < 6} == set(strong)


def test_ranks_are_unique_at_the_start_of_a_fleet_of_weak_routers():
    fleet = _Fleet([10, 10])
    for router in fleet.routers.values():
        router.shortfall = WEAK
    assert sorted(_ranks(fleet).values()) == list(range(20))


def test_a_weak_router_precedes_low_bandwidth_and_store_failures():
    weak = precedence(InstanceId("r-1"), False, False, MAX_CAPACITY_SHORTFALL)
    assert weak < precedence(InstanceId("r-1"), True, False)
    assert weak < precedence(InstanceId("r-1"), False, True)


def test_the_fleet_size_counts_live_and_recently_lost_routers():
    fleet = _Fleet([3])
    fleet.run(ROUNDS_TO_CONVERGE)
    first, second, lost = fleet.routers.values()
    del fleet.routers[lost.id]
    fleet.run(int(ALIVE_TIMEOUT_S / ROUND_S) + 1)
    assert first.roster.fleet_size(fleet.now_s) == 3
    fleet.run(int(UNHEARD_TIMEOUT_S / ROUND_S) + 1)
    assert first.roster.fleet_size(fleet.now_s) == 3
    fleet.run(int(ROUTER_RETENTION_S / ROUND_S) + 1)
    assert first.roster.fleet_size(fleet.now_s) == 2
    assert first.roster.silent_routers(fleet.now_s) == [lost.id]
    first.roster.remove_stale(fleet.now_s + ROUTER_RETENTION_S)
    assert first.roster.silent_routers(fleet.now_s) == []
    assert second.roster.fleet_size(fleet.now_s) == 2


def test_partitioned_routers_do_not_exceed_the_shared_retry_budget():
    # Guards against each of four routers counting only itself after a partition of
    # more than 10 s. Each would use half of the retry budget of all four, which is
    # twice the budget in total.
    fleet = _Fleet([4])
    fleet.run(ROUNDS_TO_CONVERGE)
    cut_for_s = 30.0
    shares = [
        USED_BUDGET_SHARE / router.roster.fleet_size(fleet.now_s + cut_for_s)
        for router in fleet.routers.values()
    ]
    assert sum(shares) <= 1.0


def test_groups_of_a_data_centre_are_split_and_merged():
    fleet = _Fleet([3 * MAX_GROUP_SIZE])
    fleet.run(ROUNDS_TO_CONVERGE)
    groups = Counter(router.roster.group for router in fleet.routers.values())
    assert len(groups) > 1
    assert max(groups.values()) <= 1.5 * MAX_GROUP_SIZE
    for lost in list(fleet.routers)[4:]:
        del fleet.routers[lost]
    fleet.run(int((STARTUP_SETTLE_S + ALIVE_TIMEOUT_S) / ROUND_S) + 5)
    assert len({router.roster.group for router in fleet.routers.values()}) == 1


def test_a_duplicate_report_is_counted_once():
    load = FleetLoad()
    key = target_key(TARGET)
    for in_flight in (4, 1, 3):
        load.update_peer(InstanceId("peer"), {key: in_flight}, 0.0)
        load.update_group(InstanceId("group"), {key: 2 * in_flight}, 5, 0.0)
    assert load.in_flight(TARGET) == 9
    assert load.group_report() == {key: 3}
    load.remove_silent(60.0)
    assert (load.in_flight(TARGET), load.group_report()) == (0, {})
