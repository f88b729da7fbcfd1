"""Clients of the platform's services, one module per service."""
