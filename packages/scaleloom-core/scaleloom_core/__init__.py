"""
Decision logic of the fleet, without I/O.

Modules take the time and typed events as arguments and return typed decisions.
None of them imports a runtime, a transport or the settings.
"""
