"""Tests of scaleloom_standins."""
