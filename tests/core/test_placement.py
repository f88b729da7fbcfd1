"""Tests of the placement of chats on targets."""

from scaleloom_core.ids import ChatId, TargetId
from scaleloom_core.placement import (
    CandidateRole,
    CandidateSearch,
    PlacementTable,
    PoolMember,
)

MEMBERS = [PoolMember(TargetId(f"engine-{number}")) for number in range(10)]
CHATS = [ChatId(f"chat-{number}") for number in range(2000)]


def test_a_join_moves_only_the_chats_that_the_new_target_gains():
    before = PlacementTable(MEMBERS)
    joined = PoolMember(TargetId("engine-new"))
    after = PlacementTable([*MEMBERS, joined])
    for chat in CHATS:
        home = after.candidates(chat)[0]
        if home == joined.target:
            assert after.candidates(chat)[1] == before.candidates(chat)[0]
        else:
            assert home == before.candidates(chat)[0]


def test_homes_spread_evenly():
    table = PlacementTable(MEMBERS)
    counts = {member.target: 0 for member in MEMBERS}
    for chat in CHATS:
        counts[table.candidates(chat)[0]] += 1
    assert max(counts.values()) < 1.35 * len(CHATS) / len(MEMBERS)


def test_members_of_the_same_region_come_first():
    remote = [
        PoolMember(TargetId(f"far-{number}"), is_same_region=False)
        for number in range(9)
    ]
    table = PlacementTable([*remote, MEMBERS[0], MEMBERS[1]])
    for chat in CHATS[:100]:
        assert set(table.candidates(chat)[:2]) == {"engine-0", "engine-1"}


def test_after_a_declined_redirect_the_home_gets_a_final_offer():
    search = CandidateSearch((TargetId("a"), TargetId("b"), TargetId("c")))
    home = search.next_offer()
    search.apply_redirect(home, None)
    former = search.next_offer()
    assert (former.target, former.role) == ("b", CandidateRole.FORMER_HOME)
    search.apply_redirect(former, None)
    last = search.next_offer()
    assert (last.target, last.is_final) == ("a", True)


def test_the_search_ends_at_its_hop_limit():
    search = CandidateSearch((TargetId("a"), TargetId("b"), TargetId("c")), hop_limit=2)
    assert search.next_offer() is not None
    assert search.next_offer() is not None
    assert search.next_offer() is None


def test_a_target_that_defers_to_a_peer_gets_a_final_offer_if_the_peer_refuses():
    search = CandidateSearch((TargetId("a"), TargetId("b")))
    home = search.next_offer()
    search.apply_deferral(home, TargetId("b"))
    assert search.next_offer().target == "b"
    search.apply_refusal(None)
    last = search.next_offer()
    assert (last.target, last.is_final) == ("a", True)
