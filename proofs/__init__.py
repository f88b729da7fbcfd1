"""Checks of the promises of the fleet, each under the faults that it must tolerate."""
