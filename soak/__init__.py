"""A fault soak: real gateways as processes on loopback, under drawn faults."""
