"""Tests of intents and plans."""

from returns.result import Failure

from scaleloom_core.intents import parse_intent
from scaleloom_core.planning import TargetFacts, make_plan
from scaleloom_core.records import Assignment
from tests.fixtures.configs import ENGINES, append_record, configured_fold

FACTS = [
    TargetFacts(name, cached_chats=10 * n, load=1) for n, name in enumerate(ENGINES)
]
RATE_BYTES_PER_S = 500.0


def _plan(fold, text: str):
    return make_plan(fold, parse_intent(text).unwrap(), FACTS, RATE_BYTES_PER_S)


def test_a_plan_changes_nothing_and_states_its_cost():
    fold = configured_fold(replicas=2)
    plan = _plan(fold, "[burst deadline]\nmodel = dossier\nreplicas = 4\n")
    assert fold.version == 0 and fold.find_assignment("e3") is None
    assert [step.target for step in plan.steps] == ["e3", "e4"]
    assert (plan.bytes_to_load, plan.loading_s) == (2000, 4.0)
    append_record(fold, plan.to_change("r1", "ana"))
    assert isinstance(fold.find_assignment("e4"), Assignment)


def test_a_draining_engine_is_replaced_by_the_free_one_with_fewest_chats():
    plan = _plan(configured_fold(2), "[target e1]\nis_leaving = yes\n")
    steps = {step.target: step.action for step in plan.steps}
    assert steps == {"e1": "release", "e3": "load"}
    assert plan.load_moved_share == 0.25


def test_a_new_version_is_rolled_out_one_engine_after_another():
    fold = configured_fold(3)
    text = "[model dossier]\nversion = 2\nweight_bytes = 1000\nreplicas = 3\n"
    plan = _plan(fold, text)
    waits = {step.target: step.wait_for for step in plan.steps}
    assert waits == {"e1": (), "e2": ("e1",), "e3": ("e2",)}
    assert plan.cached_chats_lost == 0 + 10 + 20


def test_a_reload_of_the_only_engine_of_a_model_gives_a_warning():
    text = "[model dossier]\nversion = 2\nreplicas = 1\n"
    (warning,) = _plan(configured_fold(1), text).warnings
    assert "'dossier'" in warning and "reloads" in warning


def test_too_few_engines_for_a_model_give_a_warning():
    plan = _plan(configured_fold(2), "[burst b]\nmodel = dossier\nreplicas = 9\n")
    assert "asks for 9 engines and gets 4" in plan.warnings[0]


def test_a_plan_is_rejected_once_its_dependencies_have_changed():
    fold = configured_fold(2)
    text = "[burst b]\nmodel = dossier\nreplicas = 3\n"
    stale = _plan(fold, text).to_change("late", "benito")
    append_record(fold, _plan(fold, text).to_change("early", "ana"))
    append_record(fold, stale)
    assert not fold.find_result("late").accepted


def test_every_problem_of_an_intent_is_reported():
    text = (
        "[model a]\nreplicas = many\n[nonsense]\nx = 1\n"
        "[customer c]\ncolour = red\n[target x y]\n"
    )
    parsed = parse_intent(text)
    assert isinstance(parsed, Failure)
    sections = [problem.section for problem in parsed.failure()]
    assert sections == ["model a", "nonsense", "customer c", "target x y"]
    assert all(problem.hint for problem in parsed.failure())


def test_keys_are_stored_as_digests():
    intent = parse_intent("[customer c]\nkey = secret\n").unwrap()
    assert intent.puts[0].key_sha256[0].startswith("2bb80d537b1da3e3")
