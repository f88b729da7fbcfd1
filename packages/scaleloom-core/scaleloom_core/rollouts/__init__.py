"""
Roll-outs: a service's traffic moves to targets of another software version.

`orders` is what operators ask for, `stages` how far it has come, `versions`
which targets may take part and `exposure` how much a version on trial may get.
`answers` counts what its answers were like, `paces` says which were slow, and
`evidence` judges them, by `comparison` with the current version's
(`current_shares`, `cumulative_sums`). `course` is one roll-out as one router
carries it out, `clearance` who has left the current version, and `decisions`
what is written down.
"""
