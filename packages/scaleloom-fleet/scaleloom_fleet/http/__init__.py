"""HTTP server and client of the router and the sidecar, on hypercorn and httpcore."""
