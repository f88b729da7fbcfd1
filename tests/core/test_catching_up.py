"""Tests of the catch-up from peers when the store is late."""

from nose2.tools import params

from scaleloom_core.catch_up import (
    FOLLOWERS,
    MIN_FOLLOWED_PEERS,
    CatchUp,
    DocumentVersions,
    follows_peers,
    is_follower,
    is_slow_transfer,
)
from scaleloom_core.ids import InstanceId

OWN = DocumentVersions(config_version=4, list_position=10, list_digest=1)
NEWER_CONFIG = DocumentVersions(config_version=5, list_position=10, list_digest=1)
NEWER_LIST = DocumentVersions(config_version=4, list_position=11, list_digest=2)
SAME_LIST_LATER = DocumentVersions(config_version=4, list_position=11, list_digest=1)
PEER = InstanceId("10.0.0.1:7000")
OTHER = InstanceId("10.0.0.2:7000")
GRACE_S = 0.5


@params(
    (NEWER_CONFIG, False, 0.1, False),
    (NEWER_CONFIG, False, 0.6, True),
    (NEWER_CONFIG, True, 0.0, True),
    (NEWER_LIST, False, 0.0, True),
    (SAME_LIST_LATER, True, 1.0, False),
    (OWN, True, 1.0, False),
)
def test_when_a_peer_is_queried(versions, is_store_unavailable, waited_s, is_queried):
    catch_up = CatchUp(GRACE_S)
    catch_up.record_peer(PEER, versions, 7.0)
    queried = catch_up.peers_to_query(OWN, is_store_unavailable, 7.0 + waited_s)
    assert queried == ([PEER] if is_queried else [])


def test_no_peer_is_queried_if_the_store_reports_frequent_changes_in_time():
    catch_up = CatchUp(GRACE_S)
    for version in range(5, 60):
        now_s = version * 0.06
        versions = DocumentVersions(version, 10, 1)
        catch_up.record_peer(PEER, versions, now_s)
        own = DocumentVersions(version - 3, 10, 1)
        assert catch_up.peers_to_query(own, False, now_s) == []


def test_without_a_configuration_all_peers_that_have_one_are_queried_at_once():
    catch_up = CatchUp(GRACE_S)
    catch_up.record_peer(PEER, OWN, 0.0)
    catch_up.record_peer(OTHER, OWN, 0.0)
    no_documents = DocumentVersions(-1, -1, 0)
    assert set(catch_up.peers_to_query(no_documents, False, 0.0)) == {PEER, OTHER}
    catch_up.remove_peer(PEER)
    assert catch_up.peers_to_query(no_documents, False, 0.0) == [OTHER]


@params(
    (800_000, 10.0, True),
    (800_000, 100.0, False),
    (60_000, 10.0, False),
    (200_000, 5.0, True),
    (0, 5.0, False),
)
def test_a_transfer_is_slow_by_the_time_it_occupies_the_link(size, link_mbps, expected):
    assert is_slow_transfer(size, link_mbps) is expected


def test_peers_are_followed_only_if_enough_of_them_follow_the_store():
    assert follows_peers(800_000, 10.0, MIN_FOLLOWED_PEERS, MIN_FOLLOWED_PEERS)
    assert not follows_peers(800_000, 10.0, MIN_FOLLOWED_PEERS - 1, MIN_FOLLOWED_PEERS)
    assert not follows_peers(800_000, 1000.0, 30, FOLLOWERS - 1)
    assert follows_peers(800_000, 1000.0, 30, FOLLOWERS)


@params(4, 30, 68, 420)
def test_fleets_of_any_size_have_the_same_number_of_followers(router_count):
    following = {rank for rank in range(router_count) if is_follower(0, 1000.0, rank)}
    assert len(following) == min(router_count, FOLLOWERS)


def test_a_fleet_of_low_bandwidth_links_always_has_followers():
    following = set(range(5))
    for _ in range(4):
        following = {
            rank
            for rank in range(5)
            if not follows_peers(800_000, 10.0, len(following - {rank}), rank)
        }
        assert len(following) >= MIN_FOLLOWED_PEERS
    assert following == set(range(MIN_FOLLOWED_PEERS))
