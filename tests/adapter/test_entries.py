"""Tests of decoding entries of targets, valid and invalid ones."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params
from returns.result import Failure, Success

from scaleloom_core.ids import EntryKey
from scaleloom_core.target_entries import ListedState, ListedTarget
from scaleloom_platform import ADAPTER

KEY = EntryKey("i-1")
VALID_FIELDS = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 1,
    "born": 1_764_721_000_123,
}
MISSING = object()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


def _entry(**changed: object) -> bytes:
    """Return a valid entry with the fields in `changed` replaced or removed."""
    fields = VALID_FIELDS | {
        name.replace("_", "-"): value for name, value in changed.items()
    }
    kept = {name: value for name, value in fields.items() if value is not MISSING}
    return msgspec.json.encode(kept)


def _is_usable(target: ListedTarget) -> bool:
    """Return whether all fields of `target` are in their ranges."""
    return (
        0 < target.port <= 65535
        and len(target.host.split(".")) == 4
        and target.slots > 0
        and target.cold_left_ms >= 0
        and bool(target.service and target.data_centre)
        and isinstance(target.state, ListedState)
    )


def test_entry_identifies_one_start_of_its_target():
    target = ADAPTER.decode_target(KEY, _entry()).unwrap()
    assert (target.id, target.key) == ("i-1@1764721000123", KEY)
    restarted = ADAPTER.decode_target(KEY, _entry(born=1_764_721_000_124)).unwrap()
    assert restarted.id != target.id
    assert restarted.start != target.start
    assert restarted.key == target.key


def test_entry_without_start_time_is_identified_by_its_key():
    target = ADAPTER.decode_target(KEY, _entry(born=MISSING)).unwrap()
    assert (target.id, target.key) == (KEY, KEY)


# Without strict validation such entries would be accepted as targets that are ready.
@params(
    {"state": "warming"},
    {"state": ""},
    {"state": "READY"},
    {"state": MISSING},
    {"zone": MISSING},
    {"zone": ""},
    {"slots": MISSING},
    {"slots": 0},
    {"slots": -3},
    {"slots": 10**30},
    {"slots": 4.0},
    {"service": ""},
    {"service": MISSING},
    {"address": "10.0.0.1:99999"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1:\u0668\u0660"},
    {"address": "10.0.0.256:80"},
    {"address": "10.0.1:80"},
    {"address": "host:80"},
    {"address": ":80"},
    {"address": MISSING},
    {"born": "1764721000123"},
    {"born": 1_764_721_000_123.5},
    {"born": None},
    {"born": -1},
    {"born": 10**30},
    {"cold_left_ms": -1},
    {"cold_left_ms": "0"},
    {"seq": MISSING},
    {"seq": -1},
    {"version": 1},
)
def test_entry_with_an_invalid_field_is_rejected(changed):
    assert isinstance(ADAPTER.decode_target(KEY, _entry(**changed)), Failure)


@params(b"", b"\xff\xfe", b"[]", b"null", b'"ready"', b"1e999", b"{", b"{}")
def test_document_that_is_no_entry_is_rejected(document):
    assert isinstance(ADAPTER.decode_target(KEY, document), Failure)


def test_number_out_of_range_is_rejected():
    document = _entry().replace(b'"cold-left-ms":0', b'"cold-left-ms":1e999')
    assert isinstance(ADAPTER.decode_target(KEY, document), Failure)


@given(st.sampled_from(sorted(VALID_FIELDS)), JSON)
def test_no_value_of_a_field_raises_or_makes_a_target_of_no_use(name, value):
    decoded = ADAPTER.decode_target(
        KEY, msgspec.json.encode(VALID_FIELDS | {name: value})
    )
    assert isinstance(decoded, Failure) or _is_usable(decoded.unwrap())


@given(st.binary() | JSON.map(msgspec.json.encode))
def test_no_bytes_raise_or_make_a_target_of_no_use(document):
    decoded = ADAPTER.decode_target(KEY, document)
    assert isinstance(decoded, Failure | Success)
    assert isinstance(decoded, Failure) or _is_usable(decoded.unwrap())


@given(st.integers(0, 200), st.binary(min_size=1, max_size=3))
def test_a_good_entry_with_some_bytes_changed_does_not_raise(at, data):
    document = _entry()
    changed = document[:at] + data + document[at + len(data) :]
    decoded = ADAPTER.decode_target(KEY, changed)
    assert isinstance(decoded, Failure) or _is_usable(decoded.unwrap())
