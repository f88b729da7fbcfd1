"""Stand-ins of the platform, runners and clients for the cases of the review."""
