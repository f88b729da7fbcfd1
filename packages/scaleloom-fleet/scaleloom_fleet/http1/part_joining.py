"""Parts of a body that arrived in many small pieces, joined into one."""

import h11

from scaleloom_fleet.http1.input_pace import InputPace


def join_parts(
    protocol: h11.Connection, pace: InputPace, first: bytes
) -> tuple[bytes, object | None]:
    """
    Return `first` with the parts behind it that were received, for one turn.

    A part that is passed on costs several times what parsing it does.

    Returns
    -------
    tuple of bytes and object
        The parts, and the parser's event behind them if it has already been taken.
    """
    joined = bytearray(first)
    while not pace.is_turn_over:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            # The parser raises it again at the next call.
            break
        if event is h11.NEED_DATA:
            break
        if not isinstance(event, h11.Data):
            return bytes(joined), event
        joined += event.data
        pace.record_piece(len(event.data))
    return bytes(joined), None
