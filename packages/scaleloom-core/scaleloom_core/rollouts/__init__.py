"""
Roll-outs: a service's traffic moves to targets of another software version.

`orders` is what operators ask for, `stages` how far it has come, `versions`
which targets may take part, `exposure` how much a version on trial may get,
`evidence` and `paces` what its answers say of it, and `course` one roll-out as
one router carries it out.
"""
