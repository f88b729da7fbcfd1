"""
Tests of drawn answers of targets, sound ones and ones made odd by a change.

Guards against heads and framings that nobody has thought of: a caller gets a target's
answer unchanged and whole, a failure, or a visible break, nothing of another answer,
and no byte behind the end. `make fuzz` draws more.
"""

from nose2.tools import params

from tests.fixtures.drawn_exchanges import Play
from tests.fixtures.fleets import runs_on_paused_clock

COUNT = 120


@params(1, 2)
@runs_on_paused_clock
async def test_callers_get_answers_whole_or_see_that_they_do_not(seed):
    play = Play(seed, COUNT)
    await play.run()
    assert not play.faults, "\n".join(play.faults)
    assert play.outcomes.total() == COUNT
    # Of each kind there are enough for the test to mean something.
    assert play.outcomes[True, "passed_on"] > COUNT / 4
    assert play.outcomes[False, "failed"] > COUNT / 6
    assert play.reused > COUNT / 4
