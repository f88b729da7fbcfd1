"""Tests of what targets say of themselves, and of how long that is kept."""

from nose2.tools import params

from scaleloom_core.ids import TargetId
from scaleloom_core.listed import ListedState, ListedTarget, target_id
from scaleloom_core.service_pools import LONGEST_LIFE_S
from scaleloom_core.target_news import (
    RETURN_RAMP_S,
    RETURN_SPREAD_S,
    UNLISTED_KEPT_S,
    AnswerNews,
    TargetsNews,
)
from scaleloom_core.targets import TargetView
from tests.fixtures.targets import (
    HERE,
    PLAIN,
    SERVICE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)

NOW_S = 100.0
REST_S = 3.0
ENTIRE_RETURN_S = RETURN_SPREAD_S + RETURN_RAMP_S + LONGEST_LIFE_S
FIRST, SECOND = TargetId("i-0"), TargetId("i-1")
RESTING = AnswerNews(is_not_run=True, rest_s=REST_S)
LEAVING = AnswerNews(is_leaving=True)


def _usable(view: TargetView, now_s: float) -> set[TargetId]:
    return {record.listed.id for record in view.usable(SERVICE, now_s)}


def test_a_resting_target_is_offered_nothing_until_it_has_rested():
    view = target_view(2)
    view.note_news(FIRST, RESTING, NOW_S)
    for after_s in (0.0, 0.5, REST_S - 0.01):
        assert _usable(view, NOW_S + after_s) == {SECOND}
    assert _usable(view, NOW_S + REST_S + RETURN_SPREAD_S) == {FIRST, SECOND}


def test_a_resting_target_is_neither_failing_nor_cold_nor_away():
    view = target_view(2)
    for _ in range(20):
        view.note_news(FIRST, RESTING, NOW_S)
    record = view.records[FIRST]
    assert (record.failure_ratio, record.absence_s) == (0.0, 0.0)
    assert not record.is_cold(10.0, NOW_S + REST_S + RETURN_SPREAD_S)
    assert record.is_ready


@params((3.0, 1.0, 3.0), (1.0, 3.0, 3.5), (3.0, 0.0, 3.0), (2.0, 2.0, 2.5))
def test_each_rest_holds_to_its_own_end(first_s, renewed_s, ends_s):
    view = target_view(2)
    view.note_news(FIRST, AnswerNews(rest_s=first_s), NOW_S)
    view.note_news(FIRST, AnswerNews(rest_s=renewed_s), NOW_S + 0.5)
    assert _usable(view, NOW_S + ends_s - 0.01) == {SECOND}
    assert _usable(view, NOW_S + ends_s + RETURN_SPREAD_S) == {FIRST, SECOND}


def test_an_endless_rest_ends_with_the_target_only():
    view = target_view(2)
    view.note_news(FIRST, AnswerNews(rest_s=float("inf")), NOW_S)
    assert _usable(view, NOW_S + 1e9) == {SECOND}


def test_a_rest_of_no_time_is_none():
    view = target_view(2)
    view.note_news(FIRST, AnswerNews(rest_s=0.0), NOW_S)
    assert _usable(view, NOW_S) == {FIRST, SECOND}


def _started(born_ms: int | None, state=ListedState.READY) -> ListedTarget:
    target = target_id("i-0", born_ms)
    return ListedTarget(target, SERVICE, "10.0.0.1", 1, HERE, 8, state, entry="i-0")


@params(RESTING, LEAVING)
def test_what_a_former_start_said_is_not_held_against_the_next(news):
    view = TargetView()
    view.apply_list([_started(1)], 1, NOW_S)
    former = next(iter(view.records))
    view.note_news(former, news, NOW_S)
    view.apply_list([_started(2)], 2, NOW_S)
    # Its answers may come after the next start was listed.
    view.note_news(former, news, NOW_S)
    assert _usable(view, NOW_S) == {target_id("i-0", 2)}


@params(RESTING, LEAVING)
def test_what_a_target_said_outlasts_its_entry(news):
    listed = [listed_target(0), listed_target(1)]
    view = target_view(2)
    view.note_news(FIRST, news, NOW_S)
    view.apply_list(listed[1:], 2, NOW_S + 0.1)
    view.note_news(FIRST, news, NOW_S + 0.2)
    view.apply_list(listed, 3, NOW_S + 0.3)
    assert _usable(view, NOW_S + 1.0) == {SECOND}


def test_what_an_entry_says_does_not_end_the_leaving():
    view = target_view(2)
    view.note_news(FIRST, LEAVING, NOW_S)
    for position in range(2, 5):
        view.apply_list([listed_target(0), listed_target(1)], position, NOW_S)
    assert _usable(view, NOW_S + 1000.0) == {SECOND}


def test_a_leaving_target_is_no_home_and_not_kept_when_its_entry_lapses():
    view = target_view(3)
    home = view.candidates(SERVICE, "p")[0]
    view.note_news(home, LEAVING, NOW_S)
    assert home not in view.candidates(SERVICE, "p")
    view.allow_lapses(NOW_S)
    view.apply_list([], 2, NOW_S)
    assert home not in view.records


def test_what_was_heard_of_a_gone_target_is_forgotten():
    news = TargetsNews()
    news.note(FIRST, LEAVING, NOW_S)
    news.forget_unlisted(set(), NOW_S + UNLISTED_KEPT_S - 1.0)
    assert news.find(FIRST) is not None
    news.forget_unlisted({FIRST}, NOW_S + 2 * UNLISTED_KEPT_S)
    assert news.find(FIRST) is not None
    news.forget_unlisted(set(), NOW_S + 2 * UNLISTED_KEPT_S)
    assert len(news) == 0


def test_a_service_rests_only_if_all_do_that_can_be_reached():
    view = target_view(3)
    assert view.rests_until(SERVICE, NOW_S) is None
    view.note_news(FIRST, RESTING, NOW_S)
    view.note_news(SECOND, AnswerNews(rest_s=1.0), NOW_S)
    assert view.rests_until(SERVICE, NOW_S) is None
    view.records[TargetId("i-2")].note_unreachable(NOW_S)
    told_s = view.rests_until(SERVICE, NOW_S)
    assert NOW_S + 1.0 <= told_s <= NOW_S + 1.0 + RETURN_SPREAD_S
    assert view.rests_until(SERVICE, NOW_S + 1.0 + RETURN_SPREAD_S) is None


def test_routers_come_back_one_after_the_other_and_then_in_full():
    opened_s = []
    for number in range(40):
        view = target_view(1)
        view.news.own = f"router-{number}"
        view.note_news(FIRST, RESTING, NOW_S)
        opened_s.append(view.records[FIRST].news.opens_s - NOW_S - REST_S)
    assert 0.0 <= min(opened_s) and max(opened_s) <= RETURN_SPREAD_S
    early = sum(opens_s < RETURN_SPREAD_S / 2 for opens_s in opened_s)
    assert 8 <= early <= 32


def _taken(after_s: float) -> int:
    """Return how many requests a router sends at one moment after a rest."""
    view = target_view(1)
    chooser = target_chooser(view)
    view.note_news(FIRST, RESTING, NOW_S)
    now_s = view.records[FIRST].news.opens_s + after_s
    taken = 0
    while (found := chooser.choose(placement_key(None), PLAIN, set(), now_s)) and (
        taken < 1000
    ):
        chooser.load.take(found.listed.id)
        taken += 1
    return taken


def test_a_rested_target_is_filled_within_half_a_second_and_not_at_once():
    # 64 slots, and as many again may wait.
    assert _taken(-0.01) == 0
    assert _taken(0.0) == 1
    assert 20 <= _taken(RETURN_RAMP_S / 2) <= 40
    assert _taken(RETURN_RAMP_S) == 128
    assert ENTIRE_RETURN_S <= 0.5


def test_a_misplaced_target_is_used_again_once_its_entry_names_another_address():
    view = target_view(2)
    record = view.records[FIRST]
    record.note_misplaced(NOW_S)
    # The answer to an earlier request says nothing of the address.
    record.note_answer()
    assert _usable(view, NOW_S + 1.0) == {SECOND}
    moved = ListedTarget(FIRST, SERVICE, "10.0.0.2", 99, HERE, 64)
    view.apply_list([moved, listed_target(1)], 2, NOW_S + 2.0)
    assert _usable(view, NOW_S + 2.0) == {FIRST, SECOND}
