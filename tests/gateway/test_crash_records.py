"""Tests of encoding and decoding crash log records."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params
from returns.result import Failure

from scaleloom_core.crash_history import Crash
from scaleloom_core.fleet_roster import FleetMember, GroupId
from scaleloom_core.ids import TargetId
from scaleloom_fleet.gateway.crash_records import (
    CrashRecord,
    CrashRecordKind,
    crash_record,
    read_crash_record,
    trial_record,
)
from scaleloom_fleet.gateway.interfaces import KeyedValue, StoredRecord
from scaleloom_fleet.gateway.peer_messages import PeerReport

NUMBERS = st.integers(0, (1 << 64) - 1)
REPORT = PeerReport(
    FleetMember("10.0.0.1:7340", 1, True), GroupId("a"), 1, 2, 3, 4, {5: 6}
)


def _read(record: KeyedValue):
    """Return the decoded form of a record as the store returns it."""
    return read_crash_record(StoredRecord(record.key, record.value, 0))


@given(NUMBERS, NUMBERS, st.booleans())
def test_records_come_out_as_they_went_in(request, number, is_held):
    crash = _read(crash_record(Crash(request, number), is_held)).unwrap()
    assert (crash.crash, crash.is_deleted) == (Crash(request, number), not is_held)
    target = TargetId("i-1") if is_held else None
    trial = _read(trial_record(request, number, target)).unwrap()
    kind = CrashRecordKind.TRIAL
    assert trial == CrashRecord(request, kind, number, not is_held, target or "")


def test_each_crash_and_each_trial_has_a_key_of_its_own():
    records = [crash_record(Crash(r, n)) for r in range(3) for n in range(3)]
    records += [trial_record(r, n, TargetId("i")) for r in range(3) for n in range(3)]
    assert len({record.key for record in records}) == len(records)


@params(
    "",
    "0" * 16,
    "/".join(["0" * 16, "ended"]),
    "/".join(["0" * 16, "else", "0" * 16]),
    "/".join(["0" * 15, "ended", "0" * 16]),
    "/".join(["0" * 16, "ended", "-" + "0" * 15]),
    "/".join(["0" * 16, "ended", "0" * 15 + "G"]),
    "/".join(["0" * 16, "ended", "\u0660" * 16]),
    "/".join(["0" * 16, "ended", "0" * 16, ""]),
)
def test_a_malformed_key_is_reported(key):
    assert isinstance(_read(KeyedValue(key, b"1")), Failure)


@given(st.text(), st.binary())
def test_no_record_ends_whoever_reads_it(key, value):
    _read(KeyedValue(key, value))


def test_a_report_is_read_by_routers_without_crash_reports():
    class OlderReport(msgspec.Struct, array_like=True, frozen=True):
        sender: FleetMember
        group: GroupId
        config_version: int

    report = msgspec.structs.replace(REPORT, crashes=[Crash(1, 2)])
    data = msgspec.msgpack.encode(report)
    assert msgspec.msgpack.decode(data, type=OlderReport).config_version == 1


def test_a_report_of_routers_without_crash_reports_is_read():
    fields = msgspec.to_builtins(REPORT)
    data = msgspec.msgpack.encode(fields[: fields.index({5: 6}) + 1])
    assert msgspec.msgpack.decode(data, type=PeerReport) == REPORT
