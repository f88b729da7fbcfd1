"""Key by which a request is placed on a target."""

import msgspec

from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_tracks import TrackKey


class PlacementKey(msgspec.Struct, frozen=True):
    """
    Service and track of a request, with the prompt part that it shares.

    Requests with equal keys are placed on the same target where possible.
    """

    service: ServiceName
    shared_part: str | None
    track: Track = Track.CURRENT

    @property
    def pool(self) -> TrackKey:
        """Return the track whose targets may serve the request."""
        return TrackKey(self.service, self.track)
