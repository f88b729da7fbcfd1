"""Conditional writes to a topic of the store (optimistic concurrency control)."""

import trio
from returns.result import Failure

from scaleloom_fleet.gateway.interfaces import KeyedValue, NewestPage, Topic
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.store_client import CallFailure

# Limits the calls of a router whose calls fail.
RETRY_PAUSE_S = 0.3


class ConditionalTopic:
    """
    The newest records of a topic, and the offset at which the topic ends.

    A write succeeds only if the topic still ends at the offset up to which this
    router has read it. Otherwise the records in between, which may include a
    write of this router whose response was lost, are read before the next write.

    Parameters
    ----------
    values : dict of str to bytes
        The newest value of each key, as of the last read.
    """

    def __init__(self, access: StoreAccess, topic: Topic) -> None:
        self._access = access
        self._topic = topic
        self._client = access.new_client()
        self._end: int | None = None
        self._retry_not_before_s = 0.0
        self.values: dict[str, bytes] = {}

    @property
    def is_current(self) -> bool:
        """Return whether `values` holds the whole topic, as far as is known."""
        return self._end is not None

    def invalidate(self) -> None:
        """Require a read before the next write."""
        self._end = None

    async def refresh(self) -> bool:
        """Read the topic unless a call has just failed; return whether it was read."""
        if trio.current_time() < self._retry_not_before_s:
            return False
        result = await self._access.read_newest(self._client, self._topic)
        page: NewestPage | None = result.value_or(None)
        if page is None:
            self._back_off()
            return False
        self.values = {record.key: record.value for record in page.records}
        self._end = page.end
        return True

    async def write(self, key: str, value: bytes) -> bool:
        """
        Write `value` under `key`; return whether the write is known to have succeeded.

        Nothing is sent to the store unless `is_current` is true: records that were
        not read must not be overwritten.
        """
        if self._end is None:
            return False
        end, self._end = self._end, None
        result = await self._access.append_if_end_is(
            self._client, self._topic, [KeyedValue(key, value)], end
        )
        if isinstance(result, Failure):
            failure = result.failure()
            if not (isinstance(failure, CallFailure) and failure.is_condition_failed):
                self._back_off()
            return False
        self._end = result.unwrap()
        self.values[key] = value
        return True

    def _back_off(self) -> None:
        """Block reads for `RETRY_PAUSE_S` after a failed call."""
        self._end = None
        self._retry_not_before_s = trio.current_time() + RETRY_PAUSE_S
