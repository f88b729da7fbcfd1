"""The records of the fleet's log of crashes, as they are written."""

from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.crash_table import End
from scaleloom_core.ids import RequestDigest, TargetId, TargetStart
from scaleloom_fleet.gateway.interfaces import KeyedValue, StoredRecord

_SEPARATOR = "/"
_PARTS = 3
_HEX = 16
_DIGITS = frozenset("0123456789abcdef")
# A record without a value drops its key.
_HELD = b"1"


class CrashRecordKind(Enum):
    """What a record tells of a request."""

    ENDED = "ended"
    TRIED = "tried"


class CrashRecord(msgspec.Struct, frozen=True):
    """
    One record of the log of crashes.

    Parameters
    ----------
    number : int
        The target's start that ended, or how often the request was tried.
    is_dropped : bool
        Whether this holds no more.
    target : TargetId
        Where the request is tried, if it is.
    """

    request: RequestDigest
    kind: CrashRecordKind
    number: int
    is_dropped: bool
    target: TargetId = TargetId("")

    @property
    def end(self) -> End:
        """Return the end that this tells of."""
        return End(self.request, TargetStart(self.number))


def ended_record(end: End, is_held: bool = True) -> KeyedValue:
    """Return the record that a target ended under a request, or that drops it."""
    value = _HELD if is_held else b""
    return _record(end.request, CrashRecordKind.ENDED, end.start, value)


def tried_record(
    request: RequestDigest, number: int, target: TargetId | None
) -> KeyedValue:
    """Return the record that a request is tried at `target`, or that drops it."""
    value = target.encode() if target is not None else b""
    return _record(request, CrashRecordKind.TRIED, number, value)


def _record(
    request: RequestDigest, kind: CrashRecordKind, number: int, value: bytes
) -> KeyedValue:
    """Return a record of its own key, so that none replaces another."""
    key = _SEPARATOR.join((f"{request:016x}", kind.value, f"{number:016x}"))
    return KeyedValue(key, value)


def read_crash_record(record: StoredRecord) -> Result[CrashRecord, str]:
    """Return what a record tells, or why it can't be read."""
    parts = record.key.split(_SEPARATOR)
    if len(parts) != _PARTS:
        return Failure(f"{record.key!r} has not three parts")
    request, kind, number = parts
    if not (_is_number(request) and _is_number(number)):
        return Failure(f"{record.key!r} names no numbers")
    try:
        told = CrashRecordKind(kind)
        target = TargetId(record.value.decode())
    except ValueError as error:
        return Failure(str(error))
    digest = RequestDigest(int(request, 16))
    is_dropped = not record.value
    return Success(CrashRecord(digest, told, int(number, 16), is_dropped, target))


def _is_number(text: str) -> bool:
    """Return whether `text` is a number as it is written here."""
    return len(text) == _HEX and _DIGITS.issuperset(text)
