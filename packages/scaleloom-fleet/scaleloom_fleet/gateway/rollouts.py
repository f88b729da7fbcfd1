"""The roll-outs that this router carries out."""

import msgspec

from scaleloom_core.ids import ServiceName
from scaleloom_core.rollouts.course import RolloutCourse


class RolloutDesk(msgspec.Struct):
    """The course of each service that is or was rolled out."""

    courses: dict[ServiceName, RolloutCourse] = msgspec.field(default_factory=dict)

    def course_of(self, service: ServiceName) -> RolloutCourse | None:
        """Return how `service` is rolled out, if it is."""
        return self.courses.get(service)
