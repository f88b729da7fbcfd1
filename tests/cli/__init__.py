"""Tests of scaleloom_cli."""
