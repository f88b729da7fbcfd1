"""The router process: accepts requests, chooses targets and relays answers."""
