"""The requests and prompt parts that targets answered lately at this router."""

from collections import OrderedDict

import msgspec

from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.ids import CauseDigest

# A cause that begins to crash targets after it was answered must be counted before
# the users' limits apply: 4 s after the third crash under a request, 3 s after the
# fifth under a part, which may be as little as 0.2 s apart.
ANSWER_RETENTION_S = 3.0
PART_ANSWER_RETENTION_S = 2.0
# Twice the requests that the users' routers answer in that time at the peak, at 200
# bytes each.
MAX_ANSWERED = 512
# The parts of some minutes at the users' sites.
MAX_KNOWN_PARTS = 2048
NEVER_S = float("-inf")


class AnsweredCauses(msgspec.Struct):
    """When targets last answered requests and prompt parts, on the runtime's clock."""

    _requests_s: OrderedDict[CauseDigest, float] = msgspec.field(
        default_factory=OrderedDict
    )
    _parts_s: OrderedDict[CauseDigest, float] = msgspec.field(
        default_factory=OrderedDict
    )

    def record(self, cause: CauseDigest, now_s: float) -> None:
        """Record that a target answered `cause`."""
        is_part = is_prompt_part(cause)
        answered_s = self._parts_s if is_part else self._requests_s
        answered_s[cause] = now_s
        answered_s.move_to_end(cause)
        if len(answered_s) > (MAX_KNOWN_PARTS if is_part else MAX_ANSWERED):
            answered_s.popitem(last=False)

    def is_recent(self, cause: CauseDigest, now_s: float) -> bool:
        """Return whether a target answered `cause` shortly before now."""
        if is_prompt_part(cause):
            last_s = self._parts_s.get(cause, NEVER_S)
            return now_s <= last_s + PART_ANSWER_RETENTION_S
        return now_s <= self._requests_s.get(cause, NEVER_S) + ANSWER_RETENTION_S

    def is_known_part(self, cause: CauseDigest) -> bool:
        """Return whether `cause` is a prompt part that a target has answered."""
        return cause in self._parts_s
