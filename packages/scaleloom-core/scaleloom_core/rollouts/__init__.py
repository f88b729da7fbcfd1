"""
Roll-outs: moving a service's traffic to targets of another software version.

`orders` defines what operators request, `stages` the stages of a roll-out,
`versions` which targets take part, and `exposure` how many requests a version
on trial may get. `answer_counts` counts answers, `timing_baselines` decides
which were slow, and `evidence` assesses the candidate with `sequential_test`,
which compares its answers with those of the current version (`baseline_shares`,
`cumulative_sums`). `state` is the state machine of one roll-out at one router,
`drain_progress` tracks which routers no longer use the current version, and
`decisions` defines the records of the decision log.
"""
