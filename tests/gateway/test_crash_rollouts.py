"""Tests of requests that targets ended under, while their service is rolled out."""

from scaleloom_core.crash_table import End, Witness
from scaleloom_core.ids import TargetStart
from scaleloom_core.request_digests import request_digest
from tests.fixtures.fleets import runs_on_paused_clock
from tests.fixtures.gateways import CUSTOMER, HOST
from tests.fixtures.rollouts import asked, site_on_trial

PATH, OTHER_PATH = "/safe/1", "/safe/2"
REQUEST = request_digest(CUSTOMER, b"GET", HOST.encode(), PATH.encode(), b"")
COUNT = 30


@runs_on_paused_clock
async def test_what_ended_a_target_is_not_tried_on_a_version_that_is_judged():
    # A target of the version on trial that ends takes with it all that it runs,
    # and each of these counts against the version. One target may be ill, two
    # are the version's fault: a single request that comes again could end both
    # and have a good version rolled back.
    async with site_on_trial(slack=1000.0) as trial:
        end = End(REQUEST, TargetStart(1))
        trial.state.crashes.note_ends([end], Witness.FAR)
        answers = await trial.ask_many(COUNT, PATH)
        assert [answer.status for answer in answers] == [200] * COUNT
        assert asked(trial.new) == 0
        await trial.ask_many(COUNT, OTHER_PATH, name="other")
        assert asked(trial.new) == COUNT
