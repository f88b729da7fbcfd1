"""Faults in which one peer of the gateways behaves badly, or a stop is planned."""

from soak.early_answers import answer_uploads_early

PEER_FAULTS = (answer_uploads_early,)
