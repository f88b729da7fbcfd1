"""Faults in which a neighbour takes much of the gateways, or meets their starts."""

from soak.body_surges import send_long_bodies
from soak.broken_answers import break_off_long_answers
from soak.endless_senders import send_without_end
from soak.lost_answers import lose_waiting_answers
from soak.start_troubles import trouble_start

NEIGHBOUR_FAULTS = (
    send_without_end,
    send_long_bodies,
    trouble_start,
    break_off_long_answers,
    lose_waiting_answers,
)
