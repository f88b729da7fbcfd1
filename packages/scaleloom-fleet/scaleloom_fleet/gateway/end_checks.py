"""Whether a target has ended, asked when an exchange with it breaks."""

import logging
from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.ids import RequestDigest, TargetStart
from scaleloom_core.listed import ListedTarget
from scaleloom_fleet.conf.gateway_schema import TargetsSection
from scaleloom_fleet.http1.links import open_link
from scaleloom_fleet.http1.sockets import NoDescriptor
from scaleloom_fleet.utils.addresses import Address

# All that a target ran breaks within a few milliseconds, or a link's time-out
# later where it fell silent.
KEPT_FOR_S = 2.0
WAITING_LIMIT = 256
_logger = logging.getLogger("scaleloom.crashes")

NoteEnded = Callable[[ListedTarget, list[RequestDigest]], None]


def _note_nothing(target: ListedTarget, requests: list[RequestDigest]) -> None:
    """Do nothing, as long as nobody listens."""


class EndCheck(msgspec.Struct, eq=False):
    """
    One look at a target.

    Parameters
    ----------
    requests : list of RequestDigest
        Those whose exchanges with it broke.
    is_done : trio.Event
        Set once it is known whether the target takes connections.
    """

    target: ListedTarget
    noted_s: float
    requests: list[RequestDigest] = msgspec.field(default_factory=list)
    is_done: trio.Event = msgspec.field(default_factory=trio.Event)
    has_ended: bool = False


class EndChecks:
    """
    Tells an answer that broke off from the end of its target.

    An answer may break off at a target that goes on. One that takes no
    connection right afterwards has ended, or can't be reached, with all that was
    under way there.

    Parameters
    ----------
    ended_count : int
        How many targets were found ended.
    """

    def __init__(self) -> None:
        self._note_ended: NoteEnded = _note_nothing
        self._settings = TargetsSection()
        self._checks: dict[TargetStart, EndCheck] = {}
        self.ended_count = 0
        channel = trio.open_memory_channel[EndCheck](WAITING_LIMIT)
        self._to_check, self._waiting = channel

    def connect(self, note_ended: NoteEnded) -> None:
        """Tell `note_ended` of every target that has ended."""
        self._note_ended = note_ended

    def configure(self, settings: TargetsSection) -> None:
        """Take changed settings into force."""
        self._settings = settings

    def note_broken(self, target: ListedTarget, request: RequestDigest) -> EndCheck:
        """Look whether `target` has ended, unless that is being done already."""
        now_s = trio.current_time()
        check = self._checks.get(target.start)
        if check is None or now_s > check.noted_s + KEPT_FOR_S:
            check = self._begin(target, now_s)
        if check.has_ended:
            self._note_ended(target, [request])
        else:
            check.requests.append(request)
        return check

    def _begin(self, target: ListedTarget, now_s: float) -> EndCheck:
        """Let a target be looked at, and forget what was found long ago."""
        kept_s = now_s - KEPT_FOR_S
        self._checks = {s: c for s, c in self._checks.items() if c.noted_s > kept_s}
        check = self._checks[target.start] = EndCheck(target, now_s)
        try:
            self._to_check.send_nowait(check)
        except trio.WouldBlock:
            _logger.warning("target not looked at", extra={"target": target.id})
            check.is_done.set()
        return check

    async def check_forever(self) -> None:
        """Look at targets for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            async for check in self._waiting:
                nursery.start_soon(self._check, check)

    async def _check(self, check: EndCheck) -> None:
        """Find out whether a target takes connections."""
        check.has_ended = await self._takes_none(check.target)
        if check.has_ended:
            self.ended_count += 1
            fields = {"target": check.target.id, "requests": len(check.requests)}
            _logger.info("target ended", extra=fields)
            self._note_ended(check.target, check.requests)
        check.requests.clear()
        check.is_done.set()

    async def _takes_none(self, target: ListedTarget) -> bool:
        """Return whether `target` takes no connection."""
        settings = self._settings
        silence_ms = int(settings.silence_s * 1000)
        address = Address(target.host, target.port)
        try:
            link = await open_link(address, settings.connect_timeout_s, silence_ms)
        except NoDescriptor:
            _logger.warning("no descriptor to look at a target")
            return False
        if link is not None:
            link.close()
        return link is None
