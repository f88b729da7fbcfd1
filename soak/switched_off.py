"""Runs a gateway with one mechanism switched off, to show that the soak detects it."""

import sys
from collections.abc import Callable

from msgspec.structs import replace
from returns.result import Success

from scaleloom_core.crash_history import CrashHistory, SendDecision, SendPermission
from scaleloom_core.crash_table import CrashTable
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.memory_account import MemoryAccount
from scaleloom_core.retry_windows import RetryWindow
from scaleloom_core.rollouts.evidence import Assessment, Evidence
from scaleloom_core.rollouts.exposure import ExposureBudget
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.target_entries import ListedState
from scaleloom_core.target_signals import TargetSignals
from scaleloom_fleet.gateway import (
    answer_signals,
    attempts,
    exchanges,
    forwarding,
    list_watch,
    process,
    state,
    unknown_ends,
)
from scaleloom_fleet.gateway.caller_answer import CallerAnswer
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.resumed_events import ResumedEvents
from scaleloom_fleet.http1 import (
    answer_heads,
    binding,
    callers,
    connections,
    links,
    requesting,
)
from scaleloom_fleet.http1.input_pace import InputPace
from scaleloom_fleet.main import main


def _retry_always() -> None:
    """Retry every request at another target, also one that may have run."""
    RequestContext.may_retry = RequestContext.may_use_new_target = property(
        lambda self: True
    )


def _give_up_silent_targets() -> None:
    """Give a silent target up before another one has the request."""
    attempts._read_to_end = exchanges.read_answer


def _claim_not_run_always() -> None:
    """Report every request without an answer as not run."""
    error = FleetError(ErrorKind.OVERLOADED, "full", outcome=Outcome.NOT_RUN)
    attempts._no_answer_error = lambda state, context: error


def _accept_any_answer() -> None:
    """Accept any answer on the link, also one to another request."""

    async def read_any_head(gateway_state, context, exchange):
        head = exchange.link.head or await requesting.read_while_sending(exchange.link)
        return answer_signals.record_signals(gateway_state, exchange.target.id, head)

    exchanges._read_matching_head = read_any_head


def _forget_losses() -> None:
    """
    Take what is read behind a reset that another call met for a normal end.

    A request that was not sent shows the same for an upload.
    """
    connections.Connection.is_lost = property(lambda self: False)
    unknown_ends.is_unread_success = lambda link: False


def _accept_broken_answers() -> None:
    """Treat an answer that breaks off as complete."""
    read_data = links.Link.read_data

    async def read_until_break(self):
        try:
            return await read_data(self)
        except (links.AnswerProtocolError, links.ConnectionLost):
            return None

    links.Link.read_data = read_until_break


def _trust_unknown_ends() -> None:
    """Treat the end of a connection as a proof that an answer without end is whole."""
    links.AnswerHead.has_known_end = property(lambda self: True)


def _pass_on_every_close() -> None:
    """Pass on the close of a target without asking whether it still runs."""

    async def check_nothing(state, context, exchange):
        return None

    exchanges.check_target_at_end = forwarding.check_target_at_end = check_nothing


def _go_on_at_any_version() -> None:
    """Go on with a stream at targets of any version."""

    async def bind_nothing(state, context):
        return None

    attempts.bind_resumption = bind_nothing
    forwarding.record_first_event = lambda state, context, exchange: None


def _trust_resumed_ids() -> None:
    """Pass on whatever a target sends that is to go on with a stream."""
    ResumedEvents.feed = lambda self, data: self._splitter.feed(data)


def _apply_older_configs() -> None:
    """Apply every configuration, also an older one."""

    def apply_any(self, routing, document):
        self.routing, self.config_document = routing, document
        return True

    state.GatewayState.apply_routing = apply_any


def _apply_first_config_only() -> None:
    """Apply the first configuration only."""
    apply_routing = state.GatewayState.apply_routing

    def apply_first(self, routing, document):
        return self.routing is None and apply_routing(self, routing, document)

    state.GatewayState.apply_routing = apply_first


def _ignore_draining_entries() -> None:
    """Treat draining targets in the list as ready."""
    apply_documents = list_watch.apply_target_documents

    def apply_as_ready(gateway_state, documents, position, at_s):
        adapter = gateway_state.adapter
        decode = adapter.decode_target

        def decode_as_ready(key, document):
            decoded = decode(key, document)
            return decoded.map(lambda target: replace(target, state=ListedState.READY))

        gateway_state.adapter = replace(adapter, decode_target=decode_as_ready)
        try:
            return apply_documents(gateway_state, documents, position, at_s)
        finally:
            gateway_state.adapter = adapter

    list_watch.apply_target_documents = apply_as_ready


def _trust_heads() -> None:
    """Take whatever the parser lets pass for the head of an answer."""
    answer_heads.HeadChecker.check = lambda checker, data: None


def _trust_entries() -> None:
    """Take every entry of the list of targets for a sound one."""
    load_adapter = process.load_adapter

    def load_trusting(name):
        adapter = load_adapter(name)
        decode = adapter.decode_target

        def decode_trusting(key, document):
            return Success(decode(key, document).unwrap())

        return replace(adapter, decode_target=decode_trusting)

    process.load_adapter = load_trusting


def _stop_without_draining() -> None:
    """Stop without draining."""

    async def drain_nothing(gateway_state):
        return None

    process._drain = drain_nothing


def _cut_at_the_end_of_a_stop() -> None:
    """Answer nothing that is still in flight at the end of a stop."""
    callers.CallerConnection.end_request = lambda self: None


def _remove_load_bound() -> None:
    """Remove the load bound of targets."""
    TargetChooser._load_bound = lambda self, pool: float("inf")


def _remove_retry_budget() -> None:
    """Remove the retry budget."""
    RetryWindow.may_acquire = lambda self, now_s, router_count: True


def _find_every_version_good() -> None:
    """Find every candidate version good."""
    Evidence.assess = lambda self, now_s: Assessment.GOOD


def _allow_all_exposure() -> None:
    """Allow every request to be sent to the candidate version, without a verdict."""
    ExposureBudget.may_send_trial = ExposureBudget.may_probe = property(
        lambda self: True
    )
    Evidence.assess = lambda self, now_s: Assessment.UNDECIDED


def _ignore_retry_after() -> None:
    """Ignore Retry-After in answers."""
    answer_signals._retry_after_s = lambda head: 0.0


def _ignore_announced_draining() -> None:
    """Ignore answers that announce draining."""
    record = TargetSignals.update

    def record_backoff_only(self, signals, spread_s, now_s):
        record(self, replace(signals, is_draining=False), spread_s, now_s)

    TargetSignals.update = record_backoff_only


def _ignore_crashes() -> None:
    """Don't count crashes of targets."""
    CrashTable.record_crash = lambda self, crash, source, now_s: False


def _ignore_parts_of_crashes() -> None:
    """Don't count crashes of targets by prompt part."""
    RequestContext.part_digests = property(lambda self: ())


def _quarantine_without_trial() -> None:
    """Quarantine requests that crashed targets without any isolated trial."""
    find_decision = CrashHistory.decide

    def quarantine(self, now_s):
        decision = find_decision(self, now_s)
        if decision.permission is SendPermission.TRIAL_ONLY:
            return SendDecision(
                SendPermission.QUARANTINED, decision.crash_count, self.expires_s
            )
        return decision

    CrashHistory.decide = quarantine
    CrashTable.record_answer = lambda self, cause, now_s: None
    CrashTable.clear = lambda self, cause: None


def _join_runs() -> None:
    """Send the bytes of another run behind those that the caller has got."""
    begin = CallerAnswer.begin

    async def begin_or_go_on(self, run, headers):
        if not self.is_begun:
            await begin(self, run, headers)

    CallerAnswer.begin = begin_or_go_on
    CallerAnswer.may_be_continued = property(lambda self: True)


def _hold_every_body() -> None:
    """Read every body, whatever the memory that is left."""
    MemoryAccount.has_room = lambda self, use, size_bytes: True


def _give_no_way() -> None:
    """Process the input of one connection for as long as there is any."""
    InputPace.record_step = lambda self, size_bytes=0: None


def _wait_for_no_port() -> None:
    """End the start if a port is in use."""
    binding._is_permanent = lambda error: True


MECHANISMS: dict[str, Callable[[], None]] = {
    "one-send": _retry_always,
    "attempts-beside": _give_up_silent_targets,
    "proof-of-not-run": _claim_not_run_always,
    "own-answer": _accept_any_answer,
    "whole-answer": _accept_broken_answers,
    "kept-loss": _forget_losses,
    "unknown-end": _trust_unknown_ends,
    "crash-asked": _pass_on_every_close,
    "stream-version": _go_on_at_any_version,
    "rising-ids": _trust_resumed_ids,
    "never-back": _apply_older_configs,
    "in-force": _apply_first_config_only,
    "entries-checked": _trust_entries,
    "heads-checked": _trust_heads,
    "leaving": _ignore_draining_entries,
    "draining": _stop_without_draining,
    "last-answers": _cut_at_the_end_of_a_stop,
    "load-bound": _remove_load_bound,
    "retry-budget": _remove_retry_budget,
    "rests": _ignore_retry_after,
    "said-leaving": _ignore_announced_draining,
    "crash-count": _ignore_crashes,
    "crash-parts": _ignore_parts_of_crashes,
    "crash-trials": _quarantine_without_trial,
    "one-run": _join_runs,
    "body-memory": _hold_every_body,
    "input-pace": _give_no_way,
    "port-wait": _wait_for_no_port,
    "rollout-verdict": _find_every_version_good,
    "rollout-exposure": _allow_all_exposure,
}


if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    main()
