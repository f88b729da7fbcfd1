"""Tests of requests that crash targets, while their service is rolled out."""

from scaleloom_core.cause_digests import part_digest, request_digest
from scaleloom_core.crash_history import MIN_PART_CRASHES, Crash
from scaleloom_core.crash_reports import ReportSource
from scaleloom_core.ids import TargetStart
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import CUSTOMER, HOST
from tests.fixtures.rollouts import request_count, site_on_trial

PATH, OTHER_PATH = "/safe/1", "/safe/2"
REQUEST = request_digest(CUSTOMER, b"GET", HOST.encode(), PATH.encode(), b"")
COUNT = 30


@runs_on_paused_clock
async def test_a_request_that_crashed_a_target_is_not_sent_to_a_version_on_trial():
    # If a target of the version on trial crashes, all its requests fail and count
    # against the version. One faulty target is treated as an outlier, two are not:
    # a single repeated request could crash both and cause the rollback of a good
    # version.
    async with site_on_trial(slack=1000.0) as trial:
        crash = Crash(REQUEST, TargetStart(1))
        trial.state.crashes.record_crashes([crash], ReportSource.OTHER_GROUP)
        answers = await trial.ask_many(COUNT, PATH)
        assert [answer.status for answer in answers] == [200] * COUNT
        assert request_count(trial.new) == 0
        await trial.ask_many(COUNT, OTHER_PATH, name="other")
        assert request_count(trial.new) == COUNT


@runs_on_paused_clock
async def test_requests_with_a_suspected_part_are_not_sent_to_a_version_on_trial():
    # They would crash its targets one after the other, whichever request comes.
    async with site_on_trial(slack=1000.0) as trial:
        crashes = [
            Crash(part_digest("dead"), TargetStart(start))
            for start in range(MIN_PART_CRASHES)
        ]
        trial.state.crashes.record_crashes(crashes, ReportSource.OTHER_GROUP)
        prompt = "aa:100,dead:900,c1:20"
        await trial.ask_many(COUNT, OTHER_PATH, Prompt_Prefix=prompt)
        assert request_count(trial.new) == 0
        await trial.ask_many(COUNT, OTHER_PATH, name="other")
        assert request_count(trial.new) == COUNT
