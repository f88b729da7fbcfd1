"""Tests of the Scaleloom fleet."""

from hypothesis import settings

# Results must not depend on the load of the machine. A deadline in Hypothesis also
# limits all data generation to one second, and the first generation reads every
# source file of the project.
settings.register_profile("untimed", deadline=None)
settings.load_profile("untimed")
