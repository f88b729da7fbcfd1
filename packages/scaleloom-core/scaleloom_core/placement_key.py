"""What decides where a request is placed."""

import msgspec

from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_tracks import TrackKey


class PlacementKey(msgspec.Struct, frozen=True):
    """What a request should land beside: the prompt part it shares, on a track."""

    service: ServiceName
    shared_part: str | None
    track: Track = Track.CURRENT

    @property
    def pool(self) -> TrackKey:
        """Return whose targets may serve the request."""
        return TrackKey(self.service, self.track)
