"""Benchmarks that print JSON lines and are checked against regression bounds."""
