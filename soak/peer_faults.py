"""Faults in which one peer of the gateways behaves badly, or a stop is planned."""

from soak.crashes_in_answers import crash_in_answers
from soak.early_answers import answer_uploads_early
from soak.entry_faults import list_malformed_entries
from soak.head_faults import malform_heads
from soak.late_requests import stop_beside_requests

PEER_FAULTS = (
    answer_uploads_early,
    crash_in_answers,
    list_malformed_entries,
    stop_beside_requests,
    malform_heads,
)
