"""A router's reading of the log, with peers as a second source in an outage."""

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
from scaleloom_fleet.control.rpc import ControlCaller
from scaleloom_fleet.platform.log import LogReading, LogService
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s

NEVER_S = float("-inf")
PEER_FETCH_TIMEOUT_S = 2.0
SNAPSHOT_RECORD_COUNT = 5000
SNAPSHOT_RETENTION_PARTS = 4
SNAPSHOT_JITTER_S = 10.0
_logger = logging.getLogger("scaleloom.log_feed")


class LogFeed:
    """
    Follows the log and knows how fresh its knowledge of the tail is.

    Parameters
    ----------
    log : LogService
        The platform's log.
    config : ConfigStore
        Where records go.
    membership : Membership
        Names the peers to ask while the log is down.
    caller : ControlCaller
        Makes the calls to peers.
    own_name : str
        This router's name in the list.
    poll_s : float
        Time between readings, in seconds.
    """

    def __init__(
        self,
        log: LogService,
        config: ConfigStore,
        membership: Membership,
        caller: ControlCaller,
        own_name: str,
        poll_s: float,
    ) -> None:
        self._log = log
        self._config = config
        self._membership = membership
        self._caller = caller
        self._own_name = own_name
        self._poll_s = poll_s
        self._wake = trio.Event()
        self._snapshot_seen_at = -1
        self._snapshot_seen_s = NEVER_S
        self.tail_version = -1
        self.tail_read_at_s = NEVER_S

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            if not await self._read_once():
                await self._ask_peer()
            with trio.move_on_after(self._poll_s):
                await self._wake.wait()
            self._wake = trio.Event()

    def hurry(self) -> None:
        """Read the log now, since something newer is known to be in it."""
        self._wake.set()

    async def run_snapshots(self, retention_s: float) -> None:
        """Append a snapshot whenever one is due, until cancelled."""
        interval_s = retention_s / SNAPSHOT_RETENTION_PARTS
        while True:
            await trio.sleep(min(interval_s / 2, 60.0))
            if not self._is_snapshot_due(interval_s):
                continue
            await trio.sleep(random.uniform(0, min(SNAPSHOT_JITTER_S, interval_s / 4)))
            if self._is_snapshot_due(interval_s):
                await self._append_snapshot()

    def _is_snapshot_due(self, interval_s: float) -> bool:
        """Return whether the newest snapshot is too old or too far back."""
        state = self._config.fold.state
        if state.version <= state.snapshot_at:
            return False
        if state.version - state.snapshot_at >= SNAPSHOT_RECORD_COUNT:
            return True
        if state.snapshot_at != self._snapshot_seen_at:
            self._snapshot_seen_at = state.snapshot_at
            self._snapshot_seen_s = now_s()
        if self._snapshot_seen_s == NEVER_S:
            self._snapshot_seen_s = now_s()
        return now_s() - self._snapshot_seen_s >= interval_s

    async def _append_snapshot(self) -> None:
        """Append the whole fold; a duplicate is harmless."""
        record_id = RecordId(str(uuid.uuid4()))
        record = Snapshot(record_id, self._config.fold.state)
        appended = await self._log.append(encode_record(record))
        if isinstance(appended, Failure):
            _logger.warning("snapshot not appended", extra=_fault_fields(appended))
            return
        _logger.info("snapshot appended", extra={"offset": appended.unwrap()})

    async def _read_once(self) -> bool:
        """Read to the tail, and return whether that worked."""
        began_s = now_s()
        result = await self.catch_up()
        reading = result.value_or(None)
        if reading is None:
            _logger.warning("log unread", extra={"detail": result.failure()})
            return False
        if reading.tail < self._config.fold.version:
            _logger.error("log is behind", extra={"tail": reading.tail})
            return False
        self.tail_version = reading.tail
        self.tail_read_at_s = began_s
        self._config.mark_loaded()
        return True

    async def catch_up(self) -> Result[LogReading, str]:
        """Fold everything up to the log's tail, and return the last reading."""
        while True:
            result = await self._log.read(self._config.fold.version + 1)
            reading = result.value_or(None)
            if reading is None:
                return Failure(result.failure().detail)
            if not self._take(reading):
                loaded = await self._load_again(reading.first)
                if loaded is not None:
                    return Failure(loaded)
                continue
            if not reading.records or self._config.fold.version >= reading.tail:
                return Success(reading)

    def _take(self, reading: LogReading) -> bool:
        """Fold a reading, and return False if records before it are missing."""
        try:
            self._config.apply(reading.records)
        except GapError:
            return False
        is_behind = reading.first > self._config.fold.version + 1
        return not (is_behind and not reading.records)

    async def _load_again(self, first: int) -> str | None:
        """Load what the log retains; return why that is impossible, or None."""
        entries: list[LogEntry] = []
        position = first
        while True:
            result = await self._log.read(position)
            reading = result.value_or(None)
            if reading is None:
                return result.failure().detail
            entries.extend(reading.records)
            if not reading.records or entries[-1].offset >= reading.tail:
                break
            position = entries[-1].offset + 1
        loaded = load_retained(entries)
        fold: Fold | None = loaded.value_or(None)
        if fold is None:
            return loaded.failure()
        if fold.version <= self._config.fold.version:
            return "The log holds nothing newer than what is in force."
        self._config.adopt(fold)
        return None

    async def _ask_peer(self) -> None:
        """Fetch from another router what it has and this one lacks."""
        peers = [
            member
            for member in self._membership.listed(Role.ROUTER)
            if member.instance != self._own_name
        ]
        if not peers:
            return
        peer = random.choice(peers)
        reply = await self._caller.fetch(
            Address(peer.host, peer.grpc_port),
            self._config.fold.version,
            PEER_FETCH_TIMEOUT_S,
        )
        found = reply.value_or(None)
        if found is not None:
            self._config.take_fetched(found)


def _fault_fields(failure: Failure) -> dict[str, str]:
    """Return the log fields of a failed append."""
    return {"detail": failure.failure().detail}
