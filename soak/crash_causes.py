"""What crashes a target of the soak that runs it."""

from tests.fixtures.stub_server import ReceivedRequest

# A target crashes while it runs a request whose body begins with this.
CRASHING_BODY = b"ends whatever runs it, number "
# A target crashes while it runs a request with a prompt part whose id begins so.
CRASHING_PART = "dead"


def crash_cause(request: ReceivedRequest) -> bytes | None:
    """Return what crashes a target that runs `request`, or None if nothing does."""
    if request.body.startswith(CRASHING_BODY):
        return request.body
    for part in request.headers.get("prompt-prefix", "").split(","):
        if part.startswith(CRASHING_PART):
            return part.partition(":")[0].encode()
    return None
