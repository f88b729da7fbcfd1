"""
The sidecar, the process through which all requests to one target pass.

The sidecar admits or refuses requests, runs a request with an idempotency key at
most once, orders the engine to load what the configuration assigns, and drains the
target before a stop.
"""
