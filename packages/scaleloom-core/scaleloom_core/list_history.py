"""Recent states of the list of targets, so that only changes are sent to peers."""

from collections import OrderedDict

import msgspec

from scaleloom_core.ids import EntryKey
from scaleloom_core.target_entries import ListedTarget

# A router that missed more changes is sent the whole list.
MAX_STATES = 8


class ListChange(msgspec.Struct, frozen=True):
    """The difference between two states of the list."""

    changed: frozenset[EntryKey]
    removed: frozenset[EntryKey]


class ListHistory(msgspec.Struct):
    """
    Recent states of the list, by digest.

    Parameters
    ----------
    max_states : int
        Number of states that are kept, including the newest.
    """

    max_states: int = MAX_STATES
    _states: OrderedDict[int, dict[EntryKey, ListedTarget]] = msgspec.field(
        default_factory=OrderedDict
    )

    def add(self, digest: int, listed: dict[EntryKey, ListedTarget]) -> None:
        """Add the state with `digest` as the newest one."""
        self._states[digest] = listed
        self._states.move_to_end(digest)
        while len(self._states) > self.max_states:
            self._states.popitem(last=False)

    def change_since(self, digest: int) -> ListChange | None:
        """Return the change since a former state, or None if that state is unknown."""
        before = self._states.get(digest)
        if before is None:
            return None
        newest = next(reversed(self._states.values()))
        changed = (k for k, listed in newest.items() if before.get(k) != listed)
        return ListChange(frozenset(changed), frozenset(before.keys() - newest.keys()))
