"""The fleet's log of requests that end targets, kept in the platform's store."""

import logging

import trio
from returns.result import Failure, Result

from scaleloom_core.crash_table import End, Leave, SeenEnds, Witness
from scaleloom_core.ids import RequestDigest, TargetId
from scaleloom_fleet.gateway.crash_records import (
    CrashRecord,
    CrashRecordKind,
    ended_record,
    read_crash_record,
    tried_record,
)
from scaleloom_fleet.gateway.crashes import TrialOutcome
from scaleloom_fleet.gateway.figures import TRIALS
from scaleloom_fleet.gateway.interfaces import (
    KeyedValue,
    NewestPage,
    StoredRecord,
    Topic,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.store_client import CallFailure

# A trial is worth a few milliseconds of the store's; a request waits no longer.
TRIAL_PATIENCE_S = 0.4
# After a lost race the winner's record arrives within some milliseconds.
RACE_PAUSE_S = 0.05
# The first router in rank writes at once and the others only what it did not.
FIRST_PAUSE_S = 0.05
PAUSE_PER_RANK_S = 0.15
LAST_RANK = 8
RETRY_S = 0.5
# Ends of a whole rack under suspects, in one append.
WRITE_LIMIT = 256
FORGET_INTERVAL_S = 30.0
_logger = logging.getLogger("scaleloom.crashes")


class CrashLog:
    """
    Follows the log, writes what it lacks, and counts trials by it.

    A request that ends targets comes to any router, also to one that has just
    started or hears none of the others. The log is what all of them reach: a
    trial is begun by an append that holds only where the log ends as it was
    read, so that no two routers begin the same one.

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
        self._writing = trio.Lock()
        self._end: int | None = None
        self._moved = trio.Event()

    async def follow(self) -> None:
        """Take in the log for as long as the process runs."""
        while True:
            reading = await self._access.read_newest(self._reader, Topic.CRASHES)
            page: NewestPage | None = reading.value_or(None)
            if page is not None:
                self._apply(page.records, page.end)
                await self._follow_from(page.end)
            self._end = None
            await trio.sleep(RETRY_S)

    async def _follow_from(self, end: int) -> None:
        """Take in what is appended until a call fails."""
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
                _logger.error("log unreadable", extra={"why": batch.failure()})
                return
            records = batch.unwrap().records
            end += len(records)
            self._apply(records, end)

    def _apply(self, records: list[StoredRecord], end: int) -> None:
        """Take in `records`, which reach as far as `end`."""
        for record in records:
            read = read_crash_record(record)
            if isinstance(read, Failure):
                _logger.warning("crash unreadable", extra={"why": read.failure()})
                continue
            self._apply_one(read.unwrap())
        self._end = end
        self._moved.set()
        self._moved = trio.Event()

    def _apply_one(self, told: CrashRecord) -> None:
        """Take in one record."""
        desk = self._state.crashes
        if told.kind is CrashRecordKind.ENDED:
            if told.is_dropped:
                desk.table.drop_end(told.end)
                desk.note_change()
            else:
                desk.note_ends([told.end], Witness.LOG)
        elif told.is_dropped:
            desk.table.drop_trial(told.request, told.number)
        else:
            desk.note_trial(told.request, told.number, told.target)

    async def take_trial(
        self, request: RequestDigest, target: TargetId
    ) -> TrialOutcome:
        """
        Begin a trial of `request` at `target`, in a short time.

        None begins where another router has begun one, or where another request
        is being tried there: what ends the target would speak against both.
        """
        outcome = TrialOutcome.UNCOUNTED
        with trio.move_on_after(TRIAL_PATIENCE_S):
            outcome = await self._race(request, target)
        self._state.figures.add(TRIALS, outcome.value)
        return outcome

    async def _race(self, request: RequestDigest, target: TargetId) -> TrialOutcome:
        """Begin a trial before anyone else does."""
        desk = self._state.crashes
        while True:
            moved = self._moved
            async with self._writing:
                is_on_trial = desk.standing(request).leave is Leave.ON_TRIAL
                if not is_on_trial or target in desk.targets_on_trial():
                    return TrialOutcome.LEFT_TO_OTHERS
                if self._end is None:
                    return TrialOutcome.UNCOUNTED
                written = await self._write_trial(request, target, self._end)
            if not isinstance(written, Failure):
                return TrialOutcome.BEGUN
            failure = written.failure()
            if not (isinstance(failure, CallFailure) and failure.is_refused):
                return TrialOutcome.UNCOUNTED
            # Somebody else wrote, perhaps of the same request.
            with trio.move_on_after(RACE_PAUSE_S):
                await moved.wait()

    async def _write_trial(
        self, request: RequestDigest, target: TargetId, end: int
    ) -> Result[int, CallFailure | str]:
        """Write that `request` is tried, and why, if the log ends at `end`."""
        desk = self._state.crashes
        seen = desk.table.find(request) or SeenEnds()
        number = seen.trials + 1
        ends = [End(request, start) for start in seen.starts]
        records = [*map(ended_record, ends), tried_record(request, number, target)]
        written = await self._access.append_at(
            self._writer, Topic.CRASHES, records, end
        )
        if not isinstance(written, Failure):
            desk.note_trial(request, number, target)
            fields = {"digest": f"{request:016x}", "trial": number, "target": target}
            _logger.info("request on trial", extra=fields)
        return written

    async def write_forever(self) -> None:
        """Write the ends that the log lacks, unless other routers do."""
        desk = self._state.crashes
        while True:
            lacks = desk.log_lacks = trio.Event()
            if not self._lacking():
                await lacks.wait()
            await trio.sleep(self._pause_s())
            ends = self._lacking()
            if not ends:
                continue
            if await self._access.append_all(Topic.CRASHES, [*map(ended_record, ends)]):
                desk.note_ends(ends, Witness.LOG)
            else:
                await trio.sleep(RETRY_S)

    def _pause_s(self) -> float:
        """Return how long to leave it to routers that are before this one."""
        return FIRST_PAUSE_S + PAUSE_PER_RANK_S * min(self._state.rank, LAST_RANK)

    def _lacking(self) -> list[End]:
        """Return the ends that the log should hold and does not."""
        is_alone = not self._state.hears_peers
        return self._state.crashes.table.unlogged(is_alone)[:WRITE_LIMIT]

    async def drop_forever(self) -> None:
        """Drop from the log what counts no more: answers clear, and time does."""
        desk = self._state.crashes
        while True:
            outdated = desk.is_outdated = trio.Event()
            if not desk.outdated and not desk.unused_trials:
                with trio.move_on_after(FORGET_INTERVAL_S):
                    await outdated.wait()
            while desk.unused_trials:
                await self._drop_trial(*desk.unused_trials.pop())
            desk.forget_old(keeps_log=self._state.rank == 0)
            dropped = dict(desk.outdated)
            records = [r for item in dropped.items() for r in _dropped_records(*item)]
            if records and not await self._access.append_all(Topic.CRASHES, records):
                await trio.sleep(RETRY_S)
                continue
            for request, seen in dropped.items():
                if desk.outdated[request] is seen:
                    del desk.outdated[request]

    async def _drop_trial(self, request: RequestDigest, number: int) -> None:
        """
        Drop a trial from the log that was begun and not sent.

        Until it is over nobody begins the next, and the log must not have grown
        since it was read: so none is dropped but this one.
        """
        desk = self._state.crashes
        record = tried_record(request, number, None)
        while desk.table.open_trial(request, trio.current_time()) == number:
            moved = self._moved
            if self._end is not None:
                async with self._writing:
                    written = await self._access.append_at(
                        self._writer, Topic.CRASHES, [record], self._end
                    )
                if not isinstance(written, Failure):
                    return
            with trio.move_on_after(RACE_PAUSE_S):
                await moved.wait()


def _dropped_records(request: RequestDigest, seen: SeenEnds) -> list[KeyedValue]:
    """Return the records that drop all that the log may hold of a request."""
    ends = [ended_record(End(request, start), False) for start in seen.starts]
    numbers = range(1, seen.trials + 1)
    return ends + [tried_record(request, number, None) for number in numbers]
