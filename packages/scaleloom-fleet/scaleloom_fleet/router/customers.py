"""Authentication of customers by their API keys."""

from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.fold import Fold
from scaleloom_core.intents import digest_secret
from scaleloom_core.records import Customer

BEARER_PREFIX = "bearer "


class CustomerIndex:
    """
    Index of customers by key digest, rebuilt when a customer record changes.

    Parameters
    ----------
    fold : Fold
        The configuration in force.
    """

    def __init__(self, fold: Fold) -> None:
        self._fold = fold
        self._index_version: int | None = None
        self._customers_by_digest: dict[str, Customer] = {}

    def authenticate(self, headers: dict[str, str]) -> Result[Customer, FleetError]:
        """Return the customer who owns the API key in `headers`."""
        secret = read_bearer(headers)
        if secret is None:
            detail = "Missing API key; send 'Authorization: Bearer KEY'."
            return Failure(FleetError(ErrorKind.UNAUTHENTICATED, detail))
        self._rebuild_if_stale()
        customer = self._customers_by_digest.get(digest_secret(secret))
        if customer is None:
            detail = "Unknown API key."
            return Failure(FleetError(ErrorKind.UNAUTHENTICATED, detail))
        return Success(customer)

    def _rebuild_if_stale(self) -> None:
        """Rebuild the index if customer records changed since the last build."""
        version = self._fold.version_of(Customer)
        if self._index_version == version:
            return
        self._customers_by_digest = {
            digest: customer
            for customer in self._fold.objects_of(Customer)
            for digest in customer.key_sha256
        }
        self._index_version = version


def read_bearer(headers: dict[str, str]) -> str | None:
    """Return the token of a Bearer `Authorization` header, or None."""
    value = headers.get("authorization", "")
    if not value.lower().startswith(BEARER_PREFIX):
        return None
    return value[len(BEARER_PREFIX) :].strip()
