"""
Which targets ended under which requests, counted over the whole fleet.

Whatever runs at a target when it ends may have ended it, and most of it did not.
A request is let through until targets ended under it more often than company
explains; then it is tried alone, a few times in all, and an answer clears it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

import msgspec

from scaleloom_core.ids import RequestDigest, TargetId, TargetStart

# One end says little: up to 64 requests of the users' engines share it. A second
# one is explained by company only where targets end one after another.
FREE_ENDS = 2
# Seen this often, a request is held rather than sent while nobody can count.
HELD_ENDS = 3
# The users allow three more once three targets have ended; one is kept for what
# was on its way already, and for ends that were forgotten with the routers.
TRIALS = 2
# Targets that crash on the users' sheets are back after 2 to 6 s, and whatever
# else ended them is over by then.
TRIAL_PAUSE_S = 5.0
# How long an end counts whose request does not come again.
FIRST_END_LIFE_S = 600.0
HELD_LIFE_S = 3600.0
# The requests of 32 full engines, a rack of them; 540 bytes each.
REQUEST_LIMIT = 2048
SUSPECT_LIMIT = 512
ENDS_KEPT = 8
# Reports are lost now and then, and some are relayed; this is ten of them.
TOLD_FOR_S = 1.0
TOLD_LIMIT = 128
NEVER_S = float("-inf")


class End(msgspec.Struct, array_like=True, frozen=True):
    """One start of a target that ended, and a request that was under way there."""

    request: RequestDigest
    start: TargetStart


class Witness(Enum):
    """How this router knows of an end."""

    OWN = "own"
    NEAR = "near"
    FAR = "far"
    LOG = "log"


class Leave(Enum):
    """Whether a request may be sent to a target."""

    FREE = "free"
    ON_TRIAL = "on_trial"
    HELD = "held"


class Standing(msgspec.Struct, frozen=True):
    """
    Whether a request may be sent, and when to ask again if it may not.

    Parameters
    ----------
    ends : int
        How many targets ended under it.
    is_being_tried : bool
        Whether a trial is under way, as far as is known, that may clear it.
    """

    leave: Leave
    ends: int = 0
    until_s: float = 0.0
    is_being_tried: bool = False


_FREE = Standing(Leave.FREE)


class SeenEnds(msgspec.Struct):
    """
    The ends under one request.

    Parameters
    ----------
    starts : dict of TargetStart to bool
        The targets that ended, each with whether the log holds that.
    trials : int
        How often it was tried since.
    is_being_tried : bool
        Whether no end has become known since the last trial.
    tried_at : TargetId
        The target of that.
    ended_s, tried_s : float
        When this router last learned of an end, and of a trial.
    """

    starts: dict[TargetStart, bool] = msgspec.field(default_factory=dict)
    trials: int = 0
    is_being_tried: bool = False
    tried_at: TargetId = TargetId("")
    ended_s: float = NEVER_S
    tried_s: float = NEVER_S

    @property
    def is_suspect(self) -> bool:
        """Return whether company no longer explains the ends."""
        return len(self.starts) >= FREE_ENDS

    @property
    def is_in_log(self) -> bool:
        """Return whether the log may hold any of this."""
        return self.trials > 0 or any(self.starts.values())

    @property
    def lasts_until_s(self) -> float:
        """Return until when the ends count."""
        life_s = HELD_LIFE_S if self.is_suspect else FIRST_END_LIFE_S
        return max(self.ended_s, self.tried_s) + life_s

    def is_open(self, now_s: float) -> bool:
        """Return whether a trial is under way, as far as is known."""
        return self.is_being_tried and now_s < self.tried_s + TRIAL_PAUSE_S

    def standing(self, now_s: float) -> Standing:
        """Return whether the request may be sent."""
        ends = len(self.starts)
        if not self.is_suspect:
            return Standing(Leave.FREE, ends)
        rested_s = self.tried_s + TRIAL_PAUSE_S
        if now_s < rested_s and (self.trials < TRIALS or self.is_being_tried):
            return Standing(Leave.HELD, ends, rested_s, self.is_being_tried)
        if self.trials >= TRIALS:
            return Standing(Leave.HELD, ends, self.lasts_until_s)
        return Standing(Leave.ON_TRIAL, ends)


class CrashTable:
    """
    The requests under which targets ended, as far as this router knows.

    Ends are taken in from own links, peers and the log, in any order and any
    number of times; each start of a target counts once.
    """

    def __init__(self) -> None:
        self._seen: OrderedDict[RequestDigest, SeenEnds] = OrderedDict()
        self._suspects: OrderedDict[RequestDigest, None] = OrderedDict()
        # What an answer cleared may still be told.
        self._cleared: OrderedDict[End, None] = OrderedDict()
        self._crowded_out: dict[RequestDigest, SeenEnds] = {}
        self._told: list[tuple[float, End, Witness]] = []

    def __len__(self) -> int:
        """Return how many requests are known."""
        return len(self._seen)

    @property
    def suspect_count(self) -> int:
        """Return how many requests are not sent freely."""
        return len(self._suspects)

    def is_suspect(self, request: RequestDigest) -> bool:
        """Return whether `request` is not sent freely."""
        return request in self._suspects

    def find(self, request: RequestDigest) -> SeenEnds | None:
        """Return the ends under `request`, if there are any."""
        return self._seen.get(request)

    def standing(self, request: RequestDigest, now_s: float) -> Standing:
        """Return whether `request` may be sent."""
        seen = self._seen.get(request)
        return _FREE if seen is None else seen.standing(now_s)

    def note_end(self, end: End, witness: Witness, now_s: float) -> bool:
        """Take in that a target ended under a request; return whether that is new."""
        is_logged = witness is Witness.LOG
        if end in self._cleared:
            return False
        seen = self._seen.get(end.request)
        if seen is not None and end.start in seen.starts:
            seen.starts[end.start] |= is_logged
            return False
        if seen is None:
            seen = self._seen[end.request] = SeenEnds()
        if len(seen.starts) >= ENDS_KEPT:
            return False
        seen.starts[end.start] = is_logged
        seen.ended_s = now_s
        seen.is_being_tried = False
        self._keep(end.request, seen)
        if witness in (Witness.OWN, Witness.NEAR):
            self._told.append((now_s, end, witness))
        return True

    def note_trial(
        self, request: RequestDigest, number: int, target: TargetId, now_s: float
    ) -> None:
        """Take in that `request` is tried at `target`, for the time `number`."""
        seen = self._seen.setdefault(request, SeenEnds())
        if number > seen.trials:
            seen.trials = number
            seen.tried_s = now_s
            seen.is_being_tried = True
            seen.tried_at = target
            self._keep(request, seen)

    def open_trial(self, request: RequestDigest, now_s: float) -> int | None:
        """Return the number of the trial that is under way, if there is one."""
        seen = self._seen.get(request)
        return seen.trials if seen is not None and seen.is_open(now_s) else None

    def on_trial(self, now_s: float) -> set[TargetId]:
        """Return the targets at which some request is being tried."""
        every = (self._seen[request] for request in self._suspects)
        return {seen.tried_at for seen in every if seen.is_open(now_s)}

    def _keep(self, request: RequestDigest, seen: SeenEnds) -> None:
        """Keep `request` as the newest, and no more than may be kept."""
        self._seen.move_to_end(request)
        if seen.is_suspect:
            self._suspects[request] = None
            self._suspects.move_to_end(request)
        if len(self._suspects) > SUSPECT_LIMIT:
            self._crowd_out(next(iter(self._suspects)))
        if len(self._seen) > REQUEST_LIMIT:
            self._crowd_out(next(r for r in self._seen if r not in self._suspects))

    def _crowd_out(self, request: RequestDigest) -> None:
        """Forget `request` for want of room."""
        self._crowded_out[request] = self._seen[request]
        self._forget(request)

    def clear(self, request: RequestDigest) -> SeenEnds | None:
        """Forget the ends under `request`, which it did not cause; return them."""
        seen = self._seen.get(request)
        if seen is None:
            return None
        for start in seen.starts:
            self._note_cleared(End(request, start))
        self._forget(request)
        return seen

    def _note_cleared(self, end: End) -> None:
        """Take `end` for nothing if it is told again."""
        self._cleared[end] = None
        if len(self._cleared) > REQUEST_LIMIT:
            self._cleared.popitem(last=False)

    def drop_end(self, end: End) -> None:
        """Take in that the log no longer holds `end`."""
        self._note_cleared(end)
        seen = self._seen.get(end.request)
        if seen is None or seen.starts.pop(end.start, None) is None:
            return
        if not seen.starts:
            self._forget(end.request)
        elif not seen.is_suspect:
            self._suspects.pop(end.request, None)

    def drop_trial(self, request: RequestDigest, number: int) -> None:
        """Take in that the log no longer holds a trial of `request`."""
        seen = self._seen.get(request)
        if seen is not None and seen.trials >= number:
            seen.trials = number - 1

    def _forget(self, request: RequestDigest) -> None:
        """Know nothing of `request` any more."""
        del self._seen[request]
        self._suspects.pop(request, None)

    def forget_old(self, now_s: float) -> dict[RequestDigest, SeenEnds]:
        """Forget what is too old to count, and return all that was forgotten."""
        old = {r: s for r, s in self._seen.items() if now_s >= s.lasts_until_s}
        for request in old:
            self._forget(request)
        crowded_out, self._crowded_out = self._crowded_out, {}
        return crowded_out | old

    def unlogged(self, is_alone: bool) -> list[End]:
        """
        Return the ends that the log should hold and does not.

        Parameters
        ----------
        is_alone : bool
            Whether no peer hears of the first ends under a request.
        """
        requests: Iterable[RequestDigest] = self._seen if is_alone else self._suspects
        return [
            End(request, start)
            for request in requests
            for start, is_logged in self._seen[request].starts.items()
            if not is_logged
        ]

    def to_tell(self, is_for_group: bool, now_s: float) -> list[End]:
        """
        Return the ends that peers are told now.

        Parameters
        ----------
        is_for_group : bool
            Whether this router speaks for its group, or for itself only.
        """
        self._told = [row for row in self._told if row[0] > now_s - TOLD_FOR_S]
        ends = [
            end
            for _, end, witness in self._told
            if is_for_group or witness is Witness.OWN
        ]
        return ends[-TOLD_LIMIT:]
