"""Client for the crash log in the platform's store, for operators."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import httpcore
from returns.result import Failure, Result, Success

from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.ids import CauseDigest, TargetId, TargetStart
from scaleloom_fleet.gateway.crash_records import (
    CrashRecord,
    CrashRecordKind,
    deletion_records,
    read_crash_record,
)
from scaleloom_fleet.gateway.interfaces import KeyedValue, PlatformAdapter, Topic
from scaleloom_fleet.http1.links import OutgoingRequest
from scaleloom_fleet.http.received_heads import check_head

HTTP_OK = 200
MAX_PAGES = 100
_TIMEOUTS = {"connect": 5.0, "read": 10.0, "write": 10.0, "pool": 5.0}


@dataclass
class LoggedCause:
    """
    What the crash log holds of one possible cause of crashes.

    Parameters
    ----------
    name : str
        The id of the prompt part; empty for a request, or if it is not known.
    starts : list of TargetStart
        The target starts that crashed.
    trials : dict of int to TargetId
        Where its trials ran, by number.
    """

    digest: CauseDigest
    name: str = ""
    starts: list[TargetStart] = field(default_factory=list)
    trials: dict[int, TargetId] = field(default_factory=dict)

    def add(self, record: CrashRecord) -> None:
        """Add one record."""
        if record.kind is CrashRecordKind.TRIAL:
            self.trials[record.number] = record.target
            return
        self.starts.append(TargetStart(record.number))
        self.name = self.name or record.name

    def describe(self) -> str:
        """Return a line for operators."""
        kind = "prompt part" if is_prompt_part(self.digest) else "request"
        name = f" {self.name}" if self.name else ""
        targets = ", ".join(self.trials[number] for number in sorted(self.trials))
        tried = f" ({targets})" if targets else ""
        return (
            f"{self.digest:016x} {kind}{name}: {len(self.starts)} targets crashed, "
            f"{len(self.trials)} trials{tried}"
        )

    def deletions(self) -> list[KeyedValue]:
        """Return the records that delete all that the log holds of the cause."""
        trial_count = max(self.trials, default=0)
        return deletion_records(self.digest, self.starts, trial_count)


@dataclass(frozen=True)
class CrashLogClient:
    """
    Reads the crash log, and deletes causes from it.

    Parameters
    ----------
    store : str
        Address of the platform's store, as ``host:port``.
    adapter : PlatformAdapter
        Names and formats of the platform.
    """

    store: str
    adapter: PlatformAdapter

    def read(self) -> Result[list[LoggedCause], str]:
        """Return all causes in the log, those with most crashes first."""
        causes: dict[CauseDigest, LoggedCause] = {}
        after: str | None = None
        for _ in range(MAX_PAGES):
            request = self.adapter.newest_request(Topic.CRASHES, after)
            page = self._call(request).bind(self.adapter.decode_newest)
            if isinstance(page, Failure):
                return page
            records = page.unwrap().records
            for stored in records:
                record: CrashRecord | None = read_crash_record(stored).value_or(None)
                if record is not None and not record.is_deleted:
                    known = causes.setdefault(record.cause, LoggedCause(record.cause))
                    known.add(record)
            if not page.unwrap().has_more or not records:
                break
            after = records[-1].key
        ordered = sorted(causes.values(), key=lambda c: len(c.starts), reverse=True)
        return Success(ordered)

    def delete(self, causes: Sequence[LoggedCause]) -> Result[int, str]:
        """Delete all that the log holds of `causes`; return the end of the log."""
        records = [record for cause in causes for record in cause.deletions()]
        request = self.adapter.append_request(Topic.CRASHES, records, None)
        return self._call(request).bind(self.adapter.decode_end)

    def _call(self, request: OutgoingRequest) -> Result[bytes, str]:
        """Send one request to the store; any status other than 200 is a failure."""
        try:
            response = httpcore.request(
                request.method,
                f"http://{self.store}{request.target.decode()}",
                content=request.body,
                extensions={"timeout": _TIMEOUTS},
            )
            check_head(response)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return Failure(f"The store at {self.store} cannot be reached: {error}")
        except httpcore.RemoteProtocolError as error:
            return Failure(f"The answer of the store broke off: {error}")
        if response.status != HTTP_OK:
            return Failure(f"The store answered with status {response.status}.")
        return Success(response.content)
