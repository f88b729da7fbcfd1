"""A topic of the store to which is only written what was read to its end."""

import trio
from returns.result import Failure

from scaleloom_fleet.gateway.interfaces import KeyedValue, NewestPage, Topic
from scaleloom_fleet.gateway.store_access import StoreAccess
from scaleloom_fleet.gateway.store_client import CallFailure

# A store that turns this router away is not asked more often.
RETRY_S = 0.3


class ConditionalTopic:
    """
    The newest records of a topic, and where it ends.

    A write holds only if the topic still ends where it was read to. Whatever
    came in between, also a call of this router whose answer was lost, is read
    before anything is written again.

    Parameters
    ----------
    values : dict of str to bytes
        The newest record of each key, as of the last reading.
    """

    def __init__(self, access: StoreAccess, topic: Topic) -> None:
        self._access = access
        self._topic = topic
        self._client = access.new_client()
        self._end: int | None = None
        self._retry_at_s = 0.0
        self.values: dict[str, bytes] = {}

    @property
    def is_known(self) -> bool:
        """Return whether all that is written is known, as far as was heard."""
        return self._end is not None

    def forget(self) -> None:
        """Read again before the next write."""
        self._end = None

    async def refresh(self) -> bool:
        """Read the topic unless a call failed a moment ago; return whether it was."""
        if trio.current_time() < self._retry_at_s:
            return False
        reading = await self._access.read_newest(self._client, self._topic)
        page: NewestPage | None = reading.value_or(None)
        if page is None:
            self._pause()
            return False
        self.values = {record.key: record.value for record in page.records}
        self._end = page.end
        return True

    async def write(self, key: str, value: bytes) -> bool:
        """
        Write `value` under `key`; return whether it surely stands now.

        What is not known is not written over: the caller is to read it first.
        """
        if self._end is None:
            return False
        end, self._end = self._end, None
        written = await self._access.append_at(
            self._client, self._topic, [KeyedValue(key, value)], end
        )
        if isinstance(written, Failure):
            failure = written.failure()
            if not (isinstance(failure, CallFailure) and failure.is_refused):
                self._pause()
            return False
        self._end = written.unwrap()
        self.values[key] = value
        return True

    def _pause(self) -> None:
        """Leave the store alone for a while after a call that failed."""
        self._end = None
        self._retry_at_s = trio.current_time() + RETRY_S
