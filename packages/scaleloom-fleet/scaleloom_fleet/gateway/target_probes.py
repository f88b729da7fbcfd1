"""Probes that find out whether a target crashed after an exchange with it broke."""

import logging
from collections import deque
from collections.abc import Callable, Sequence

import msgspec
import trio

from scaleloom_core.crash_history import NEVER_S
from scaleloom_core.ids import CauseDigest, TargetStart
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.conf.gateway_schema import TargetsSection
from scaleloom_fleet.http1.links import open_link
from scaleloom_fleet.http1.sockets import OutOfDescriptors
from scaleloom_fleet.utils.addresses import Address

# After a crash, all exchanges of a target break within a few milliseconds, or
# after the time-out of a link if the target fell silent.
RESULT_LIFETIME_S = 2.0
# A target that was found running may crash at any time after, so it is probed again.
# Each probe takes one of its connections, and a crashed target is away for seconds.
MIN_PROBE_INTERVAL_S = 0.05
# A running target may accept nothing for about a second.
UNREACHABLE_AFTER_S = 1.25
QUEUE_LIMIT = 256
# A target may run a request for a while after the router has abandoned it.
ABANDONED_RETENTION_S = 1.0
MAX_ABANDONED = 512
_logger = logging.getLogger("scaleloom.crashes")

CrashHandler = Callable[[ListedTarget, list[CauseDigest]], None]
RunningHandler = Callable[[list[CauseDigest]], None]


def _ignore_crash(target: ListedTarget, requests: list[CauseDigest]) -> None:
    """Do nothing; used until a handler is connected."""


def _ignore_running(requests: list[CauseDigest]) -> None:
    """Do nothing; used until a handler is connected."""


class AbandonedRequest(msgspec.Struct):
    """A request that was abandoned while its target ran it."""

    target: TargetStart
    at_s: float
    causes: Sequence[CauseDigest]


class TargetProbe(msgspec.Struct, eq=False):
    """
    One probe of a target.

    Parameters
    ----------
    begins_s : float
        When the probe begins, on the runtime's clock.
    broken, answered : list of CauseDigest
        Causes in requests whose exchanges with the target broke, and in those whose
        answers have an unknown end.
    request_count : int
        How many requests these are.
    is_done : trio.Event
        Set once it is known whether the target accepts connections.
    """

    target: ListedTarget
    begins_s: float
    broken: list[CauseDigest] = msgspec.field(default_factory=list)
    answered: list[CauseDigest] = msgspec.field(default_factory=list)
    request_count: int = 0
    is_done: trio.Event = msgspec.field(default_factory=trio.Event)
    has_crashed: bool = False

    def tells_of_break(self, at_s: float) -> bool:
        """
        Return whether the result tells if an exchange broke at `at_s` by a crash.

        A target that was found running before may have crashed since.
        """
        if self.has_crashed:
            return at_s <= self.begins_s + RESULT_LIFETIME_S
        return not self.is_done.is_set()


class TargetProber:
    """
    Tells a broken answer from a crash of its target.

    An answer may break although its target keeps running. A target that accepts no
    connection right afterwards has crashed or is unreachable, and all its requests in
    flight are lost.

    Parameters
    ----------
    crash_count : int
        How many targets were found crashed.
    """

    def __init__(self) -> None:
        self._on_crash: CrashHandler = _ignore_crash
        self._on_running: RunningHandler = _ignore_running
        self._settings = TargetsSection()
        self._probes: dict[TargetStart, TargetProbe] = {}
        self._abandoned: deque[AbandonedRequest] = deque(maxlen=MAX_ABANDONED)
        self.crash_count = 0
        channel = trio.open_memory_channel[TargetProbe](QUEUE_LIMIT)
        self._enqueue, self._queued = channel

    def connect(self, on_crash: CrashHandler, on_running: RunningHandler) -> None:
        """
        Call `on_crash` for every target that crashed.

        Parameters
        ----------
        on_running : callable
            Called with the causes in requests whose answers have an unknown end, if
            their target was found running afterwards.
        """
        self._on_crash = on_crash
        self._on_running = on_running

    def configure(self, settings: TargetsSection) -> None:
        """Apply changed settings."""
        self._settings = settings

    def probe_after_break(
        self, target: ListedTarget, causes: Sequence[CauseDigest]
    ) -> TargetProbe:
        """Probe `target`, whose exchange of a request with `causes` broke."""
        probe = self._find_probe(target)
        if probe.has_crashed:
            self._on_crash(target, list(causes))
        else:
            probe.broken += causes
            probe.request_count += 1
        return probe

    def probe_after_unknown_end(
        self, target: ListedTarget, causes: Sequence[CauseDigest]
    ) -> None:
        """Probe `target`, whose answer is complete unless it crashed."""
        probe = self._find_probe(target)
        if probe.has_crashed:
            self._on_crash(target, list(causes))
        else:
            probe.answered += causes
            probe.request_count += 1

    def record_abandoned(
        self, target: ListedTarget, causes: Sequence[CauseDigest]
    ) -> None:
        """Record that a request was abandoned, which `target` may still run."""
        abandoned = AbandonedRequest(target.start, trio.current_time(), causes)
        self._abandoned.append(abandoned)

    def _find_probe(self, target: ListedTarget) -> TargetProbe:
        """Return a probe that tells whether `target` crashed, or queue one."""
        now_s = trio.current_time()
        probe = self._probes.get(target.start)
        if probe is not None and probe.tells_of_break(now_s):
            return probe
        last_s = NEVER_S if probe is None else probe.begins_s
        begins_s = max(now_s, last_s + MIN_PROBE_INTERVAL_S)
        return self._queue_probe(target, begins_s, now_s)

    def _queue_probe(
        self, target: ListedTarget, begins_s: float, now_s: float
    ) -> TargetProbe:
        """Queue a probe of a target, and discard expired ones."""
        expired_s = now_s - RESULT_LIFETIME_S
        self._probes = {s: c for s, c in self._probes.items() if c.begins_s > expired_s}
        probe = self._probes[target.start] = TargetProbe(target, begins_s)
        try:
            self._enqueue.send_nowait(probe)
        except trio.WouldBlock:
            _logger.warning(
                "target not probed; probe queue full", extra={"target": target.id}
            )
            probe.is_done.set()
        return probe

    async def probe_forever(self) -> None:
        """Run queued probes for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            async for probe in self._queued:
                nursery.start_soon(self._run_probe, probe)

    async def _run_probe(self, probe: TargetProbe) -> None:
        """Find out whether a target accepts connections, and report the result."""
        try:
            await trio.sleep_until(probe.begins_s)
            self._apply_result(probe, await self._is_running(probe.target))
        finally:
            # Requests wait for the end of the probe, whatever it is.
            probe.is_done.set()

    def _apply_result(self, probe: TargetProbe, is_running: bool | None) -> None:
        """Report whether the target accepts connections; None if it is not known."""
        probe.has_crashed = is_running is False
        if probe.has_crashed:
            self.crash_count += 1
            fields = {"target": probe.target.id, "requests": probe.request_count}
            _logger.info("target crashed", extra=fields)
            abandoned = self._abandoned_causes(probe)
            self._on_crash(probe.target, probe.broken + probe.answered + abandoned)
        elif is_running:
            self._on_running(probe.answered)
        probe.broken.clear()
        probe.answered.clear()

    def _abandoned_causes(self, probe: TargetProbe) -> list[CauseDigest]:
        """Return the causes in requests that a target may have run when it crashed."""
        start, since_s = probe.target.start, probe.begins_s - ABANDONED_RETENTION_S
        return [
            cause
            for request in self._abandoned
            if request.target == start and request.at_s >= since_s
            for cause in request.causes
        ]

    async def _is_running(self, target: ListedTarget) -> bool | None:
        """
        Return whether `target` accepts connections, or None if it is not known.

        A refused connection proves that it does not. One that times out does not, so
        it is tried again until `UNREACHABLE_AFTER_S`.
        """
        settings = self._settings
        silence_ms = int(settings.silence_s * 1000)
        address = Address(target.host, target.port)
        give_up_s = trio.current_time() + UNREACHABLE_AFTER_S
        while True:
            try:
                with trio.move_on_after(settings.connect_timeout_s) as scope:
                    link = await open_link(address, float("inf"), silence_ms)
            except OutOfDescriptors:
                _logger.warning("no file descriptor left to probe a target")
                return None
            if not scope.cancelled_caught:
                break
            if trio.current_time() >= give_up_s:
                return False
        if link is not None:
            link.close()
        return link is not None
