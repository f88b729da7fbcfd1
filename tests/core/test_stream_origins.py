"""Tests of the versions that began streams, and of where they may continue."""

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.ids import CustomerId, ServiceName, StreamKey, Version
from scaleloom_core.stream_origins import (
    CONFLICTING_ORIGIN,
    MAX_RETENTION_S,
    MIN_RETENTION_S,
    NO_VERSION,
    UNKNOWN_ORIGIN,
    OriginKnowledge,
    OriginSource,
    ResumptionRefusal,
    StreamBound,
    StreamOrigins,
    UnannouncedOrigins,
    bound_of_begun,
    combine_knowledge,
    needs_query,
    origin_retention_s,
    own_knowledge,
    resumption_refusal,
    stream_key,
)
from tests.fixtures.targets import SERVICE, listed_target

V1, V2 = Version("1.1"), Version("1.2")
KEY, OTHER_KEY = StreamKey(1), StreamKey(2)
CUSTOMER = CustomerId("ana")
RETENTION_S = 10.0
RECORDED_V1 = OriginKnowledge(OriginSource.RECORDED, V1)
RECORDED_V2 = OriginKnowledge(OriginSource.RECORDED, V2)
ONLY_V1 = OriginKnowledge(OriginSource.ONLY_VERSION, V1)
ONLY_V2 = OriginKnowledge(OriginSource.ONLY_VERSION, V2)
KNOWLEDGE = st.builds(
    OriginKnowledge, st.sampled_from(OriginSource), st.sampled_from([V1, V2])
)
# Times of streams that begin, as the distance to the one before.
DISTANCES_S = st.lists(st.floats(0.0, 2.5 * RETENTION_S), min_size=1, max_size=30)


def test_a_stream_goes_on_at_the_version_that_began_it_only():
    bound = StreamBound(V1)
    assert bound.allows(listed_target(1, version=V1))
    assert not bound.allows(listed_target(1, version=V2))
    assert not bound.allows(listed_target(1, version=""))


def test_a_stream_without_a_known_origin_goes_on_nowhere():
    bound = StreamBound(None)
    for version in (V1, ""):
        assert not bound.allows(listed_target(1, version=version))


@params(
    # (version when sent, version at the first event, only version, bound)
    (V1, V1, None, V1),
    (V1, None, None, V1),
    (V1, V2, None, None),
    (V1, "", None, None),
    ("", V1, None, None),
    ("", "", None, None),
    ("", "", V1, None),
    ("", "", "", ""),
    ("", None, "", ""),
)
def test_the_target_that_began_a_stream_bounds_it(sent, newest, only, expected):
    sent_to = listed_target(1, version=sent)
    entry = None if newest is None else listed_target(1, version=newest)
    assert bound_of_begun(sent_to, entry, only) == StreamBound(expected)


def test_only_the_same_request_of_the_same_customer_and_service_has_the_key():
    key = stream_key(SERVICE, CUSTOMER, "r-1")
    assert key == stream_key(SERVICE, CUSTOMER, "r-1")
    others = {
        stream_key(ServiceName("other"), CUSTOMER, "r-1"),
        stream_key(SERVICE, CustomerId("eva"), "r-1"),
        stream_key(SERVICE, None, "r-1"),
        stream_key(SERVICE, CUSTOMER, "r-2"),
        stream_key(SERVICE, CUSTOMER, ""),
    }
    assert key not in others
    assert len(others) == 5


@params((0, MIN_RETENTION_S), (8_000, 16.0), (10_000, 20.0), (10**9, MAX_RETENTION_S))
def test_an_origin_outlives_the_longest_stream(longest_timeout_ms, expected_s):
    assert origin_retention_s(longest_timeout_ms) == expected_s


@given(DISTANCES_S, st.floats(0.0, 3.0 * RETENTION_S))
def test_an_origin_is_known_for_one_to_two_lives(distances_s, later_s):
    origins = StreamOrigins(RETENTION_S)
    begun_s, now_s = {}, 0.0
    for number, distance_s in enumerate(distances_s):
        now_s += distance_s
        origins.add(StreamKey(number), V1, now_s)
        begun_s[StreamKey(number)] = now_s
    now_s += later_s
    for key, at_s in begun_s.items():
        age_s = now_s - at_s
        if age_s < RETENTION_S:
            assert origins.find(key, now_s) == V1
        if age_s >= 2 * RETENTION_S:
            assert origins.find(key, now_s) is None


@given(st.integers(2, 40), st.integers(0, 200))
def test_the_number_of_origins_is_bounded_and_the_newest_stay(max_origins, count):
    origins = StreamOrigins(RETENTION_S, max_origins)
    for number in range(count):
        origins.add(StreamKey(number), V1, 0.0)
        assert len(origins) <= max_origins
    for number in range(max(0, count - max_origins // 2), count):
        assert origins.find(StreamKey(number), 0.0) == V1


@params(0.0, RETENTION_S - 0.1, 1.5 * RETENTION_S)
def test_a_key_of_two_versions_has_no_known_origin(later_s):
    origins = StreamOrigins(RETENTION_S)
    origins.add(OTHER_KEY, V1, 0.0)
    origins.add(KEY, V1, RETENTION_S - 0.2)
    origins.add(KEY, V2, later_s)
    origins.add(KEY, V1, later_s)
    assert origins.find(KEY, later_s) == NO_VERSION
    assert own_knowledge(origins.find(KEY, later_s), V1) == CONFLICTING_ORIGIN


def test_an_origin_announced_twice_stays_known():
    origins = StreamOrigins(RETENTION_S)
    origins.add(KEY, V1, 0.0)
    origins.add(KEY, V1, 1.0)
    assert origins.find(KEY, 1.0) == V1
    assert origins.find(OTHER_KEY, 1.0) is None


def test_unannounced_streams_are_announced_once_and_the_newest_first():
    unannounced = UnannouncedOrigins(RETENTION_S)
    for number in range(5):
        unannounced.add(SERVICE, StreamKey(number), V1, float(number))
    assert unannounced.services == [SERVICE]
    announced = [
        [origin.key for origin in unannounced.pop(SERVICE, 3, 5.0)],
        [origin.key for origin in unannounced.pop(SERVICE, 3, 5.0)],
        [origin.key for origin in unannounced.pop(SERVICE, 3, 5.0)],
    ]
    assert announced == [[4, 3, 2], [1, 0], []]
    assert unannounced.services == []


@given(DISTANCES_S, st.floats(0.0, 3.0 * RETENTION_S), st.integers(1, 10))
def test_unannounced_streams_are_bounded_in_age_and_number(
    distances_s, later_s, max_origins
):
    unannounced = UnannouncedOrigins(RETENTION_S, max_origins)
    begun_s, now_s = [], 0.0
    for number, distance_s in enumerate(distances_s):
        now_s += distance_s
        unannounced.add(SERVICE, StreamKey(number), V1, now_s)
        begun_s.append(now_s)
    now_s += later_s
    announced = [
        origin.begun_s for origin in unannounced.pop(SERVICE, len(begun_s), now_s)
    ]
    current = [at_s for at_s in begun_s if now_s - at_s < RETENTION_S]
    assert announced == current[::-1][:max_origins]


@params(
    (V1, None, RECORDED_V1),
    (V1, V2, RECORDED_V1),
    (None, V2, ONLY_V2),
    (None, NO_VERSION, OriginKnowledge(OriginSource.ONLY_VERSION)),
    (None, None, UNKNOWN_ORIGIN),
    (NO_VERSION, V1, CONFLICTING_ORIGIN),
)
def test_a_record_goes_before_what_the_list_shows(recorded, only, expected):
    assert own_knowledge(recorded, only) == expected


@params(
    (RECORDED_V1, False),
    (CONFLICTING_ORIGIN, False),
    (ONLY_V1, True),
    (OriginKnowledge(OriginSource.ONLY_VERSION, NO_VERSION), False),
    (UNKNOWN_ORIGIN, True),
)
def test_others_are_queried_unless_a_record_suffices(own, expected):
    assert needs_query(own) is expected


@params(
    ((), UNKNOWN_ORIGIN),
    ((UNKNOWN_ORIGIN,), UNKNOWN_ORIGIN),
    ((UNKNOWN_ORIGIN, RECORDED_V1), RECORDED_V1),
    ((ONLY_V2, RECORDED_V1), RECORDED_V1),
    ((ONLY_V1, UNKNOWN_ORIGIN, ONLY_V1), ONLY_V1),
    ((ONLY_V1, ONLY_V2), CONFLICTING_ORIGIN),
    ((RECORDED_V1, RECORDED_V2), CONFLICTING_ORIGIN),
    ((RECORDED_V1, CONFLICTING_ORIGIN), CONFLICTING_ORIGIN),
)
def test_what_routers_know_together(known, expected):
    assert combine_knowledge(known) == expected


@given(st.lists(KNOWLEDGE, max_size=6))
def test_routers_never_conclude_a_version_that_a_record_contradicts(known):
    bound = combine_knowledge(known).bound
    recorded = {one.version for one in known if one.source is OriginSource.RECORDED}
    assert bound is None or recorded <= {bound.version}


@params(
    (RECORDED_V1, (V1, V2), None),
    (ONLY_V2, (V2,), None),
    (RECORDED_V1, (V2,), ResumptionRefusal.VERSION_ABSENT),
    (RECORDED_V1, ("",), ResumptionRefusal.VERSION_ABSENT),
    (RECORDED_V1, (), ResumptionRefusal.VERSION_ABSENT),
    (UNKNOWN_ORIGIN, (V1,), ResumptionRefusal.ORIGIN_UNKNOWN),
    (CONFLICTING_ORIGIN, (V1, V2), ResumptionRefusal.ORIGIN_UNKNOWN),
)
def test_why_a_stream_does_not_go_on(knowledge, ready_versions, expected):
    ready = [listed_target(n, version=v) for n, v in enumerate(ready_versions)]
    assert resumption_refusal(knowledge, ready) is expected
