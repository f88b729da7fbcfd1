"""Fault soak: runs real gateway processes on loopback under randomly drawn faults."""
