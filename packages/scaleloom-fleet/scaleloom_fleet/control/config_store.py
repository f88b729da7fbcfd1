"""Store of the configuration in force, which also serves it to peers."""

from collections import deque

import trio

from scaleloom_core.fold import Fold, GapError, LogEntry
from scaleloom_core.records import decode_state, encode_state
from scaleloom_wire.control_pb2 import FetchReply, FetchRequest, LogRecord

MAX_RECENT_ENTRIES = 2000
NOT_LOADED_VERSION = -2


class ConfigStore:
    """
    The fold of one process with its most recent records.

    Tasks may wait until the fold changes.

    Parameters
    ----------
    fold : Fold
        The configuration in force here.
    """

    def __init__(self, fold: Fold) -> None:
        self.fold = fold
        self.is_loaded = False
        self._recent_entries: deque[LogEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._changed = trio.Event()

    def apply(self, entries: list[LogEntry]) -> None:
        """
        Apply `entries` to the fold, skipping those already applied.

        Raises
        ------
        GapError
            If records between the version of the fold and the first new entry
            are missing.
        """
        previous_version = self.fold.version
        for entry in entries:
            if entry.offset <= self.fold.version:
                continue
            self.fold.apply(entry)
            self._recent_entries.append(entry)
        self._notify_if_changed(self.fold.version != previous_version)

    def adopt(self, newer: Fold) -> None:
        """Replace the fold by a newer one; an older one is ignored."""
        if self.fold.adopt(newer.state):
            self._recent_entries.clear()
            self._notify_if_changed(True)

    def mark_loaded(self) -> None:
        """Mark the configuration as loaded, even if it is empty."""
        if not self.is_loaded:
            self.is_loaded = True
            self._notify_if_changed(True)

    def records_after(self, version: int) -> list[LogEntry] | None:
        """Return the records after `version`, or None if not all are retained."""
        if version >= self.fold.version:
            return []
        if not self._recent_entries or self._recent_entries[0].offset > version + 1:
            return None
        return [entry for entry in self._recent_entries if entry.offset > version]

    async def wait_for_change(self) -> None:
        """Wait for the next change of the fold or of `is_loaded`."""
        await self._changed.wait()

    async def answer_fetch(self, request: FetchRequest) -> FetchReply:
        """
        Return the configuration after the version that a peer has.

        The reply holds the whole state if the records after that version are
        not all retained.
        """
        if not self.is_loaded:
            return FetchReply(version=NOT_LOADED_VERSION)
        records = self.records_after(request.after_version)
        if records is None:
            state = encode_state(self.fold.state)
            return FetchReply(version=self.fold.version, state=state)
        return FetchReply(version=self.fold.version, records=to_wire(records))

    def apply_fetched(self, reply: FetchReply) -> None:
        """Apply the reply of a peer; an older configuration changes nothing."""
        if reply.version == NOT_LOADED_VERSION:
            return
        if reply.state:
            self.adopt(Fold(decode_state(reply.state)))
        try:
            self.apply(from_wire(reply.records))
        except GapError:
            return
        self.mark_loaded()

    def _notify_if_changed(self, has_changed: bool) -> None:
        """Wake the tasks that wait for a change."""
        if has_changed:
            self._changed.set()
            self._changed = trio.Event()


def to_wire(entries: list[LogEntry]) -> list[LogRecord]:
    """Convert log entries to protobuf messages."""
    return [LogRecord(offset=entry.offset, payload=entry.payload) for entry in entries]


def from_wire(records) -> list[LogEntry]:
    """Convert protobuf messages to log entries."""
    return [LogEntry(record.offset, record.payload) for record in records]
