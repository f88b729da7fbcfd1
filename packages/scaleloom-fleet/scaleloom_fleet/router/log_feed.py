"""Log reader of the router; falls back to peer routers while the log is down."""

import logging
import random
import uuid

import trio
from returns.result import Failure, Result, Success

from scaleloom_core.fold import Fold, GapError, LogEntry, load_retained
from scaleloom_core.ids import RecordId
from scaleloom_core.membership import Membership, Role
from scaleloom_core.records import Snapshot, encode_record
from scaleloom_fleet.control.config_store import ConfigStore
from scaleloom_fleet.control.rpc import ControlClient
from scaleloom_fleet.platform.log import LogReading, LogService
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s

NEVER_S = float("-inf")
PEER_FETCH_TIMEOUT_S = 2.0
SNAPSHOT_INTERVAL_RECORDS = 5000
SNAPSHOTS_PER_RETENTION = 4
SNAPSHOT_JITTER_S = 10.0
_logger = logging.getLogger("scaleloom.log_feed")


class LogFeed:
    """
    Reads the log continuously and records when its tail was last read.

    Parameters
    ----------
    log : LogService
        The platform's log.
    config : ConfigStore
        Store that applies the records.
    membership : Membership
        Lists the peer routers that are queried while the log is unavailable.
    caller : ControlClient
        Client for calls to peer routers.
    router_name : str
        Name of this router in the instance list.
    poll_s : float
        Interval between reads, in seconds.
    """

    def __init__(
        self,
        log: LogService,
        config: ConfigStore,
        membership: Membership,
        caller: ControlClient,
        router_name: str,
        poll_s: float,
    ) -> None:
        self._log = log
        self._config = config
        self._membership = membership
        self._caller = caller
        self._router_name = router_name
        self._poll_s = poll_s
        self._wake = trio.Event()
        self._last_snapshot_version = -1
        self._last_snapshot_seen_s = NEVER_S
        self.tail_version = -1
        self.tail_read_at_s = NEVER_S

    async def run(self) -> None:
        """Read the log at each interval until cancelled."""
        while True:
            if not await self._read_once():
                await self._fetch_from_peer()
            with trio.move_on_after(self._poll_s):
                await self._wake.wait()
            self._wake = trio.Event()

    def read_now(self) -> None:
        """Wake the reader; call when the log is known to contain newer records."""
        self._wake.set()

    async def run_snapshots(self, retention_s: float) -> None:
        """
        Append a snapshot whenever one is due, until cancelled.

        A random delay before a second check prevents several routers from appending
        a snapshot at the same time.
        """
        interval_s = retention_s / SNAPSHOTS_PER_RETENTION
        while True:
            await trio.sleep(min(interval_s / 2, 60.0))
            if not self._is_snapshot_due(interval_s):
                continue
            await trio.sleep(random.uniform(0, min(SNAPSHOT_JITTER_S, interval_s / 4)))
            if self._is_snapshot_due(interval_s):
                await self._append_snapshot()

    def _is_snapshot_due(self, interval_s: float) -> bool:
        """Return whether the last snapshot is too old or too many records back."""
        state = self._config.fold.state
        if state.version <= state.snapshot_at:
            return False
        if state.version - state.snapshot_at >= SNAPSHOT_INTERVAL_RECORDS:
            return True
        if state.snapshot_at != self._last_snapshot_version:
            self._last_snapshot_version = state.snapshot_at
            self._last_snapshot_seen_s = now_s()
        if self._last_snapshot_seen_s == NEVER_S:
            self._last_snapshot_seen_s = now_s()
        return now_s() - self._last_snapshot_seen_s >= interval_s

    async def _append_snapshot(self) -> None:
        """Append a snapshot of the fold; a duplicate snapshot is harmless."""
        record_id = RecordId(str(uuid.uuid4()))
        record = Snapshot(record_id, self._config.fold.state)
        appended = await self._log.append(encode_record(record))
        if isinstance(appended, Failure):
            _logger.warning("could not append snapshot", extra=_error_fields(appended))
            return
        _logger.info("snapshot appended", extra={"offset": appended.unwrap()})

    async def _read_once(self) -> bool:
        """Read the log up to its tail and return whether that succeeded."""
        started_s = now_s()
        result = await self.catch_up()
        reading = result.value_or(None)
        if reading is None:
            _logger.warning(
                "could not read the log", extra={"detail": result.failure()}
            )
            return False
        if reading.tail < self._config.fold.version:
            _logger.error(
                "log ends before the version already applied",
                extra={"tail": reading.tail},
            )
            return False
        self.tail_version = reading.tail
        self.tail_read_at_s = started_s
        self._config.mark_loaded()
        return True

    async def catch_up(self) -> Result[LogReading, str]:
        """Apply all records up to the tail of the log; return the last reading."""
        while True:
            result = await self._log.read(self._config.fold.version + 1)
            reading = result.value_or(None)
            if reading is None:
                return Failure(result.failure().detail)
            if not self._apply_reading(reading):
                rebuilt = await self._rebuild_fold(reading.first)
                if rebuilt is not None:
                    return Failure(rebuilt)
                continue
            if not reading.records or self._config.fold.version >= reading.tail:
                return Success(reading)

    def _apply_reading(self, reading: LogReading) -> bool:
        """Apply a reading; return False if records before it are missing."""
        try:
            self._config.apply(reading.records)
        except GapError:
            return False
        is_behind = reading.first > self._config.fold.version + 1
        return not (is_behind and not reading.records)

    async def _rebuild_fold(self, first: int) -> str | None:
        """
        Rebuild the fold from all retained records, starting at offset `first`.

        Returns
        -------
        str or None
            Why the fold could not be rebuilt, or None on success.
        """
        entries: list[LogEntry] = []
        offset = first
        while True:
            result = await self._log.read(offset)
            reading = result.value_or(None)
            if reading is None:
                return result.failure().detail
            entries.extend(reading.records)
            if not reading.records or entries[-1].offset >= reading.tail:
                break
            offset = entries[-1].offset + 1
        rebuilt = load_retained(entries)
        fold: Fold | None = rebuilt.value_or(None)
        if fold is None:
            return rebuilt.failure()
        if fold.version <= self._config.fold.version:
            return "The retained records are not newer than the configuration in force."
        self._config.adopt(fold)
        return None

    async def _fetch_from_peer(self) -> None:
        """Fetch newer configuration records from a random peer router."""
        peers = [
            member
            for member in self._membership.listed_members(Role.ROUTER)
            if member.instance != self._router_name
        ]
        if not peers:
            return
        peer = random.choice(peers)
        reply = await self._caller.fetch(
            Address(peer.host, peer.grpc_port),
            self._config.fold.version,
            PEER_FETCH_TIMEOUT_S,
        )
        fetched = reply.value_or(None)
        if fetched is not None:
            self._config.apply_fetched(fetched)


def _error_fields(failure: Failure) -> dict[str, str]:
    """Return the `extra` fields of the log line for a failed append."""
    return {"detail": failure.failure().detail}
