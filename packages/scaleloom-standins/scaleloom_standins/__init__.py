"""
Simulated engines, services and platform for the demo, tests and benchmarks.

Faults can be injected into each of them over HTTP. None of them is part of the
product.
"""
