"""Command line with which operators administer a fleet."""
