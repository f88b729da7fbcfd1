"""Addresses, clocks, logs, metrics, traces and start-up code of every process."""
