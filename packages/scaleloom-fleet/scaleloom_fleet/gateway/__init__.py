"""The gateway: the process that accepts HTTP requests and sends them to targets."""
