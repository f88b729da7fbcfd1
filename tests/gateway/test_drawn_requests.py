"""
Tests of drawn connections of callers, sound ones and ones made odd by a change.

Guards against framings that nobody has thought of: a target receives what the caller
sent, by the caller's own framing, or nothing; each answer goes to its own request.
`make fuzz` draws more.
"""

from nose2.tools import params

from tests.fixtures.drawn_callers import CallerPlay
from tests.fixtures.fleets import runs_on_paused_clock

COUNT = 120


@params(1, 2)
@runs_on_paused_clock
async def test_targets_receive_what_callers_sent(seed):
    play = CallerPlay(seed, COUNT)
    await play.run()
    assert not play.faults, "\n".join(play.faults)
    # Of each kind there are enough for the test to mean something.
    assert play.outcomes[True, "received"] > COUNT / 4
    assert play.outcomes[False, "received"] > COUNT / 4
    assert play.outcomes[False, "not received"] > COUNT / 4
