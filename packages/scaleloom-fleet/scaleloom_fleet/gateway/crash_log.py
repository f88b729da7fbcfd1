"""The fleet's log of crashes by their possible causes, kept in the platform's store."""

import logging

import trio
from returns.result import Failure, Result

from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.crash_history import Crash, CrashHistory, SendPermission
from scaleloom_core.crash_reports import ReportSource
from scaleloom_core.ids import CauseDigest, TargetId
from scaleloom_fleet.gateway.crash_records import (
    CrashRecord,
    CrashRecordKind,
    crash_record,
    deletion_records,
    read_crash_record,
    trial_record,
)
from scaleloom_fleet.gateway.crash_tracker import TrialOutcome
from scaleloom_fleet.gateway.interfaces import (
    KeyedValue,
    NewestPage,
    StoredRecord,
    Topic,
)
from scaleloom_fleet.gateway.metric_definitions import REQUEST_TRIALS
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.store_client import CallFailure

# Recording a trial takes the store a few milliseconds; a request waits no longer
# than this for it.
TRIAL_TIMEOUT_S = 0.4
# The record that won a race arrives within some milliseconds.
RACE_PAUSE_S = 0.05
# The router of rank 0 writes first; those of higher rank write only what is still
# missing after their delay.
BASE_WRITE_DELAY_S = 0.05
WRITE_DELAY_PER_RANK_S = 0.15
MAX_DELAYED_RANK = 8
RETRY_S = 0.5
# Fits the crashes under suspected requests on a whole rack into one append.
WRITE_BATCH_LIMIT = 256
PRUNE_INTERVAL_S = 30.0
_logger = logging.getLogger("scaleloom.crashes")


class CrashLog:
    """
    Reader and writer of the crash log, which also records trials.

    A request that crashes targets, or others with the same prompt part, may reach any
    router, including one that has just started or receives no reports of its peers.
    All of them reach the log: a trial begins with an append that succeeds only if the
    log still ends where it was last read, so no two routers begin the same trial.

    Parameters
    ----------
    access : StoreAccess
        Reaches the store.
    """

    def __init__(self, state: GatewayState, access: StoreAccess) -> None:
        self._state = state
        self._access = access
        self._reader = access.new_client()
        self._writer = access.new_client()
        self._write_lock = trio.Lock()
        self._end_offset: int | None = None
        self._advanced = trio.Event()

    async def follow(self) -> None:
        """Apply the log for as long as the process runs."""
        while True:
            reading = await self._access.read_newest(self._reader, Topic.CRASHES)
            page: NewestPage | None = reading.value_or(None)
            if page is not None:
                self._apply(page.records, page.end)
                await self._follow_changes(page.end)
            self._end_offset = None
            await trio.sleep(RETRY_S)

    async def _follow_changes(self, end: int) -> None:
        """Apply appended records from offset `end` on until a call fails."""
        adapter = self._state.adapter
        wait_s = self._state.settings.platform.config_wait_s
        while True:
            request = adapter.read_request(Topic.CRASHES, end, int(wait_s * 1000))
            answer = await self._reader.call(request, wait_s)
            body = answer.value_or(None)
            if body is None:
                return
            batch = adapter.decode_batch(body, end)
            if isinstance(batch, Failure):
                _logger.error("crash log unreadable", extra={"why": batch.failure()})
                return
            records = batch.unwrap().records
            if not records and batch.unwrap().end > end:
                # The answer broke off before its first record.
                return
            end += len(records)
            self._apply(records, end)

    def _apply(self, records: list[StoredRecord], end: int) -> None:
        """Apply `records`, which end at offset `end`."""
        for stored in records:
            read = read_crash_record(stored)
            if isinstance(read, Failure):
                _logger.warning(
                    "crash record unreadable", extra={"why": read.failure()}
                )
                continue
            self._apply_record(read.unwrap())
        self._end_offset = end
        self._advanced.set()
        self._advanced = trio.Event()

    def _apply_record(self, record: CrashRecord) -> None:
        """Apply one record."""
        tracker = self._state.crashes
        if record.kind is CrashRecordKind.CRASH:
            if record.is_deleted:
                tracker.table.remove_crash(record.crash)
                tracker.notify_change()
            else:
                if record.name:
                    tracker.part_names.update([(record.cause, record.name)])
                tracker.record_crashes([record.crash], ReportSource.LOG)
        elif record.is_deleted:
            tracker.table.remove_trial(record.cause, record.number)
            tracker.notify_change()
        else:
            tracker.record_trial(record.cause, record.number, record.target)

    async def begin_trial(
        self, causes: tuple[CauseDigest, ...], target: TargetId
    ) -> TrialOutcome:
        """
        Record that a trial of `causes` begins at `target`, within `TRIAL_TIMEOUT_S`.

        No trial begins if another router has begun one of any of these causes, or if
        another trial runs at `target`: a crash would count against both.
        """
        outcome = TrialOutcome.UNCOUNTED
        with trio.move_on_after(TRIAL_TIMEOUT_S):
            outcome = await self._compete_for_trial(causes, target)
        self._state.metrics_registry.add(REQUEST_TRIALS, outcome.value)
        return outcome

    async def _compete_for_trial(
        self, causes: tuple[CauseDigest, ...], target: TargetId
    ) -> TrialOutcome:
        """Append the trial unless another router does so first."""
        tracker = self._state.crashes
        while True:
            advanced = self._advanced
            async with self._write_lock:
                permissions = {tracker.send_decision(c).permission for c in causes}
                is_due = SendPermission.TRIAL_ONLY in permissions
                is_quarantined = SendPermission.QUARANTINED in permissions
                if is_quarantined or not is_due or target in tracker.targets_on_trial():
                    return TrialOutcome.LEFT_TO_OTHERS
                if self._end_offset is None:
                    return TrialOutcome.UNCOUNTED
                written = await self._write_trial(causes, target, self._end_offset)
            if not isinstance(written, Failure):
                return TrialOutcome.BEGUN
            failure = written.failure()
            if not (isinstance(failure, CallFailure) and failure.is_condition_failed):
                return TrialOutcome.UNCOUNTED
            # Another router appended a record, perhaps for the same cause.
            with trio.move_on_after(RACE_PAUSE_S):
                await advanced.wait()

    async def _write_trial(
        self, causes: tuple[CauseDigest, ...], target: TargetId, end: int
    ) -> Result[int, CallFailure | str]:
        """
        Append the next trials of `causes` with their crashes, if the log ends at `end`.

        Returns
        -------
        Result
            The new end of the log, or why the append failed.
        """
        tracker = self._state.crashes
        records: list[KeyedValue] = []
        numbers: dict[CauseDigest, int] = {}
        for cause in causes:
            history = tracker.table.find_history(cause) or CrashHistory()
            numbers[cause] = history.trials + 1
            crashes = [Crash(cause, start) for start in history.starts]
            records += map(self._crash_record, crashes)
            records.append(trial_record(cause, numbers[cause], target))
        written = await self._access.append_if_end_is(
            self._writer, Topic.CRASHES, records, end
        )
        if not isinstance(written, Failure):
            for cause, number in numbers.items():
                self._record_trial(cause, number, target)
        return written

    def _record_trial(self, cause: CauseDigest, number: int, target: TargetId) -> None:
        """Record and log a trial that this router has begun."""
        tracker = self._state.crashes
        tracker.record_trial(cause, number, target)
        subject = "prompt part" if is_prompt_part(cause) else "request"
        fields = {**tracker.log_fields(cause), "trial": number, "target": target}
        _logger.info(f"isolated trial of a {subject} begun", extra=fields)

    def _crash_record(self, crash: Crash) -> KeyedValue:
        """Return the record of a crash, with the id of the part that was in flight."""
        name = self._state.crashes.part_names.find(crash.cause)
        return crash_record(crash, name=name)

    async def write_forever(self) -> None:
        """Append the crashes that the log lacks, unless other routers do."""
        tracker = self._state.crashes
        while True:
            is_behind = tracker.log_is_behind = trio.Event()
            if not self._missing_crashes():
                await is_behind.wait()
            await trio.sleep(self._write_delay_s())
            crashes = self._missing_crashes()
            if not crashes:
                continue
            if await self._access.append_all(
                Topic.CRASHES, [*map(self._crash_record, crashes)]
            ):
                tracker.record_crashes(crashes, ReportSource.LOG)
            else:
                await trio.sleep(RETRY_S)

    def _write_delay_s(self) -> float:
        """Return how long routers of lower rank get to write first, in seconds."""
        return BASE_WRITE_DELAY_S + WRITE_DELAY_PER_RANK_S * min(
            self._state.rank, MAX_DELAYED_RANK
        )

    def _missing_crashes(self) -> list[Crash]:
        """Return the crashes that the log should hold and does not."""
        is_alone = not self._state.has_live_peers
        return self._state.crashes.table.unlogged_crashes(is_alone)[:WRITE_BATCH_LIMIT]

    async def prune_forever(self) -> None:
        """Delete records of cleared causes, expired crashes and unused trials."""
        tracker = self._state.crashes
        while True:
            outdated = tracker.has_outdated = trio.Event()
            if not tracker.outdated and not tracker.cancelled_trials:
                with trio.move_on_after(PRUNE_INTERVAL_S):
                    await outdated.wait()
            while tracker.cancelled_trials:
                await self._delete_trial(*tracker.cancelled_trials.pop())
            tracker.forget_old(prunes_log=self._state.rank == 0)
            deleted = dict(tracker.outdated)
            records = [
                record
                for cause, history in deleted.items()
                for record in deletion_records(cause, history.starts, history.trials)
            ]
            if records and not await self._access.append_all(Topic.CRASHES, records):
                await trio.sleep(RETRY_S)
                continue
            for cause, history in deleted.items():
                if tracker.outdated[cause] is history:
                    del tracker.outdated[cause]

    async def _delete_trial(self, cause: CauseDigest, number: int) -> None:
        """
        Delete the record of a trial that no target ran.

        The append succeeds only if the log has not grown since it was read, and another
        trial under the same number begins later than this one, so no other is deleted.
        """
        tracker = self._state.crashes
        deletion = trial_record(cause, number, None)
        trial = tracker.table.find_running_trial(cause, trio.current_time())
        if trial is None or trial.number != number:
            return
        while tracker.table.find_running_trial(cause, trio.current_time()) == trial:
            advanced = self._advanced
            if self._end_offset is not None:
                async with self._write_lock:
                    written = await self._access.append_if_end_is(
                        self._writer, Topic.CRASHES, [deletion], self._end_offset
                    )
                if not isinstance(written, Failure):
                    return
            with trio.move_on_after(RACE_PAUSE_S):
                await advanced.wait()
