"""Authentication of operators by their tokens."""

from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.intents import digest_secret
from scaleloom_fleet.router.customers import read_bearer


def authenticate_operator(
    operators_by_digest: dict[str, str], headers: dict[str, str]
) -> Result[str, FleetError]:
    """Return the name of the operator who owns the token in `headers`."""
    token = read_bearer(headers)
    if token is None:
        detail = "Missing operator token; send 'Authorization: Bearer TOKEN'."
        return Failure(FleetError(ErrorKind.UNAUTHENTICATED, detail))
    name = operators_by_digest.get(digest_secret(token))
    if name is None:
        detail = "Unknown operator token."
        return Failure(FleetError(ErrorKind.UNAUTHENTICATED, detail))
    return Success(name)
