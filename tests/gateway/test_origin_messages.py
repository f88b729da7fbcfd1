"""Tests of the messages about the versions that began streams."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from scaleloom_core.fleet_roster import FleetMember, GroupId
from scaleloom_core.ids import DataCentreName, InstanceId, ServiceName, Version
from scaleloom_core.stream_origins import OriginKnowledge, OriginSource
from scaleloom_fleet.gateway.origin_messages import (
    KEY_BYTES,
    MAX_KEYS_PER_MESSAGE,
    PREFIX,
    AnnouncedOrigins,
    OriginQuery,
    OriginReply,
    announced_origins,
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from scaleloom_fleet.gateway.peer_messages import PeerReport

V1 = Version("1.1")
KEYS = st.integers(0, (1 << 64) - 1)
PACKET_BYTES = 1_472


def _round_trip(message):
    """Return `message` as the other end reads it."""
    data = encode_origin_message(message)
    assert is_origin_message(data)
    return decode_origin_message(data)


@given(st.lists(KEYS, max_size=3 * MAX_KEYS_PER_MESSAGE), st.text(max_size=20))
def test_told_keys_arrive_in_messages_of_one_packet(keys, version):
    messages = list(announced_origins(Version(version), keys))
    assert all(len(encode_origin_message(m)) <= PACKET_BYTES for m in messages)
    read = [_round_trip(message) for message in messages]
    assert [key for message in read for key in message.keys] == keys
    assert {message.version for message in read} <= {version}


@given(KEYS, st.sampled_from(OriginSource))
def test_queries_and_replies_arrive(key, source):
    query = OriginQuery(key, ServiceName("llm"))
    reply = OriginReply(key, OriginKnowledge(source, V1))
    assert _round_trip(query) == query
    assert _round_trip(reply) == reply


def test_an_incomplete_key_is_left_out():
    message = AnnouncedOrigins(V1, b"\x01" * (KEY_BYTES + 3))
    assert len(message.keys) == 1


@given(st.binary(max_size=60))
def test_unreadable_messages_are_refused_as_such(data):
    try:
        decode_origin_message(PREFIX + data)
    except msgspec.DecodeError:
        return


def test_a_report_is_no_origin_message_and_the_reverse():
    member = FleetMember(InstanceId("10.0.0.1:7340"), 0, True)
    group = GroupId(DataCentreName("here"))
    report = msgspec.msgpack.encode(PeerReport(member, group, 1, 1, 1, 0, {}))
    assert not is_origin_message(report)
    message = encode_origin_message(AnnouncedOrigins(V1, b"\x00" * KEY_BYTES))
    try:
        msgspec.msgpack.decode(message, type=PeerReport)
    except msgspec.DecodeError:
        return
    raise AssertionError("a router that knows no origins must not read it as a report")
