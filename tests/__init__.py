"""Tests of the scaleloom router fleet."""

from hypothesis import settings

# No verdict rests on how busy the machine is. With a deadline, Hypothesis also
# allows just one second for all drawing, and its first draw reads every source
# file of the project.
settings.register_profile("untimed", deadline=None)
settings.load_profile("untimed")
