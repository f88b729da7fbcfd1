"""Tests of scaleloom_core."""
