"""Runs a gateway with one mechanism switched off, to show that the soak notices."""

import sys
from collections.abc import Callable

from msgspec.structs import replace

from scaleloom_core.crash_table import CrashTable, Leave, SeenEnds, Standing
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.listed import ListedState
from scaleloom_core.retry_windows import RetryWindow
from scaleloom_core.rollouts.evidence import Assessment, Evidence
from scaleloom_core.rollouts.exposure import ExposureBudget
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.target_news import TargetNews
from scaleloom_fleet.gateway import (
    answer_news,
    attempts,
    exchanges,
    list_watch,
    process,
    state,
)
from scaleloom_fleet.http1 import links
from scaleloom_fleet.main import main


def _send_again_always() -> None:
    """Let anything run at another target."""
    attempts._may_send_again = lambda work, more: True


def _claim_not_run_always() -> None:
    """Say "not run" of everything that no target answered."""
    error = FleetError(ErrorKind.OVERLOADED, "full", outcome=Outcome.NOT_RUN)
    attempts._no_answer = lambda state, work: error


def _take_any_answer() -> None:
    """Take whatever answer comes for the own one."""

    async def first_head(link, outgoing, work, id_name):
        return await links.read_while_sending(link)

    exchanges._own_head = first_head


def _end_broken_answers() -> None:
    """Take the break of an answer for its end."""
    read_data = links.Link.read_data

    async def read_or_end(self):
        try:
            return await read_data(self)
        except (links.AnswerBroken, links.ConnectionLost):
            return None

    links.Link.read_data = read_or_end


def _go_back() -> None:
    """Take any configuration into force, older ones too."""

    def apply_any(self, routing, document):
        self.routing, self.config_document = routing, document
        return True

    state.GatewayState.apply_routing = apply_any


def _keep_the_first_config() -> None:
    """Never take a second configuration into force."""
    apply_routing = state.GatewayState.apply_routing

    def apply_first(self, routing, document):
        return self.routing is None and apply_routing(self, routing, document)

    state.GatewayState.apply_routing = apply_first


def _ignore_leaving() -> None:
    """Take leaving targets for ready ones."""
    apply_documents = list_watch.apply_target_documents

    def apply_as_ready(gateway_state, documents, position, at_s):
        adapter = gateway_state.adapter
        decode = adapter.decode_target

        def decode_as_ready(key, document):
            found = decode(key, document)
            return found.map(lambda t: replace(t, state=ListedState.READY))

        gateway_state.adapter = replace(adapter, decode_target=decode_as_ready)
        try:
            return apply_documents(gateway_state, documents, position, at_s)
        finally:
            gateway_state.adapter = adapter

    list_watch.apply_target_documents = apply_as_ready


def _stop_at_once() -> None:
    """End without draining."""

    async def drain_nothing(gateway_state):
        return None

    process._drain = drain_nothing


def _lift_the_bound() -> None:
    """Let a home take everything that is sent to it."""
    TargetChooser._bound = lambda self, pool: float("inf")


def _lift_the_budget() -> None:
    """Repeat as often as asked."""
    RetryWindow.try_spend = lambda self, now_s, router_count: True


def _believe_every_version() -> None:
    """Take every version on trial for a good one."""
    Evidence.assess = lambda self, now_s: Assessment.GOOD


def _expose_every_request() -> None:
    """Send everything to a version on trial."""
    ExposureBudget.may_try = ExposureBudget.may_watch = property(lambda self: True)
    Evidence.assess = lambda self, now_s: Assessment.UNDECIDED


def _hear_no_rest() -> None:
    """Read no rest from any answer."""
    answer_news._rest_s = lambda head: 0.0


def _hear_no_leaving() -> None:
    """Forget what answers say of leaving."""
    note = TargetNews.note

    def note_rest_only(self, news, spread_s, now_s):
        note(self, replace(news, is_leaving=False), spread_s, now_s)

    TargetNews.note = note_rest_only


def _count_no_ends() -> None:
    """Count no ends of targets under requests."""
    CrashTable.note_end = lambda self, end, witness, now_s: False


def _hold_without_trial() -> None:
    """Hold what targets ended under, and try none of it."""
    standing = SeenEnds.standing

    def hold(self, now_s):
        found = standing(self, now_s)
        if found.leave is Leave.ON_TRIAL:
            return Standing(Leave.HELD, found.ends, self.lasts_until_s)
        return found

    SeenEnds.standing = hold
    CrashTable.clear = lambda self, request: None


MECHANISMS: dict[str, Callable[[], None]] = {
    "one-send": _send_again_always,
    "proof-of-not-run": _claim_not_run_always,
    "own-answer": _take_any_answer,
    "whole-answer": _end_broken_answers,
    "never-back": _go_back,
    "in-force": _keep_the_first_config,
    "leaving": _ignore_leaving,
    "draining": _stop_at_once,
    "load-bound": _lift_the_bound,
    "retry-budget": _lift_the_budget,
    "rests": _hear_no_rest,
    "said-leaving": _hear_no_leaving,
    "crash-count": _count_no_ends,
    "crash-trials": _hold_without_trial,
    "rollout-verdict": _believe_every_version,
    "rollout-exposure": _expose_every_request,
}


if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    main()
