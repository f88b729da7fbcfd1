"""Encoding and decoding of the records in the fleet's crash log."""

from collections.abc import Iterable
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.crash_history import Crash
from scaleloom_core.ids import CauseDigest, TargetId, TargetStart
from scaleloom_fleet.gateway.interfaces import KeyedValue, StoredRecord

_SEPARATOR = "/"
_KEY_PARTS = 3
_NUMBER_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdef")
# The value of a crash without a name; an empty one deletes the key.
_PRESENT = b"1"


class CrashRecordKind(Enum):
    """What a record says of a possible cause."""

    CRASH = "ended"
    TRIAL = "tried"


class CrashRecord(msgspec.Struct, frozen=True):
    """
    One record of the crash log.

    Parameters
    ----------
    number : int
        The start of the target that crashed, or the number of the trial.
    is_deleted : bool
        Whether the record deletes an earlier one.
    target : TargetId
        Where the trial runs; empty for a crash.
    name : str
        The id of the prompt part under which the target crashed, if the record has it.
    """

    cause: CauseDigest
    kind: CrashRecordKind
    number: int
    is_deleted: bool
    target: TargetId = TargetId("")
    name: str = ""

    @property
    def crash(self) -> Crash:
        """Return the crash that this record reports."""
        return Crash(self.cause, TargetStart(self.number))


def crash_record(crash: Crash, is_present: bool = True, name: str = "") -> KeyedValue:
    """
    Return the record of a crash, or the one that deletes it.

    Parameters
    ----------
    name : str
        The id of the prompt part that may have caused it, if it is known.
    """
    value = (name.encode() or _PRESENT) if is_present else b""
    return _record(crash.cause, CrashRecordKind.CRASH, crash.start, value)


def trial_record(
    cause: CauseDigest, number: int, target: TargetId | None
) -> KeyedValue:
    """Return the record of a trial at `target`, or the one that deletes it if None."""
    value = target.encode() if target is not None else b""
    return _record(cause, CrashRecordKind.TRIAL, number, value)


def _record(
    cause: CauseDigest, kind: CrashRecordKind, number: int, value: bytes
) -> KeyedValue:
    """Return a record under a key of its own, so that it replaces no other."""
    key = _SEPARATOR.join((f"{cause:016x}", kind.value, f"{number:016x}"))
    return KeyedValue(key, value)


def deletion_records(
    cause: CauseDigest, starts: Iterable[TargetStart], trial_count: int
) -> list[KeyedValue]:
    """Return the records that delete crashes under `cause`, and its trials."""
    crashes = [crash_record(Crash(cause, start), False) for start in starts]
    numbers = range(1, trial_count + 1)
    return crashes + [trial_record(cause, number, None) for number in numbers]


def read_crash_record(record: StoredRecord) -> Result[CrashRecord, str]:
    """Return the decoded record, or why it cannot be read."""
    parts = record.key.split(_SEPARATOR)
    if len(parts) != _KEY_PARTS:
        return Failure(f"{record.key!r} does not have three parts")
    cause, kind, number = parts
    if not (_is_number(cause) and _is_number(number)):
        return Failure(f"{record.key!r} does not hold two 16-digit hexadecimal numbers")
    try:
        record_kind = CrashRecordKind(kind)
        text = record.value.decode()
    except ValueError as error:
        return Failure(str(error))
    is_crash = record_kind is CrashRecordKind.CRASH
    return Success(
        CrashRecord(
            CauseDigest(int(cause, 16)),
            record_kind,
            int(number, 16),
            is_deleted=not record.value,
            target=TargetId("" if is_crash else text),
            name=text if is_crash and record.value != _PRESENT else "",
        )
    )


def _is_number(text: str) -> bool:
    """Return whether `text` is a number as written in keys of the log."""
    return len(text) == _NUMBER_LENGTH and _HEX_DIGITS.issuperset(text)
