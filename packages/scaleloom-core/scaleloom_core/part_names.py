"""The ids of prompt parts in flight at crashes, which operators know them by."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from scaleloom_core.ids import CauseDigest

MAX_NAMES = 2048
# Longer ids are cut; they serve to be read.
MAX_NAME_LENGTH = 64


class PartNames(msgspec.Struct):
    """The ids of the prompt parts that lately may have caused a crash, by digest."""

    _names: OrderedDict[CauseDigest, str] = msgspec.field(default_factory=OrderedDict)

    def update(self, names: Iterable[tuple[CauseDigest, str]]) -> None:
        """Remember the ids of some parts, and forget the oldest above the limit."""
        for cause, name in names:
            self._names[cause] = name[:MAX_NAME_LENGTH]
            self._names.move_to_end(cause)
        while len(self._names) > MAX_NAMES:
            self._names.popitem(last=False)

    def find(self, cause: CauseDigest) -> str:
        """Return the id of a part, or an empty text if it is not known."""
        return self._names.get(cause, "")
