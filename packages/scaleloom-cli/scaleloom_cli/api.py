"""HTTP client for the administration API of a router."""

from dataclasses import dataclass

import httpcore
from returns.result import Failure, Result, Success

from scaleloom_fleet.http.answer_ends import is_end_known, is_json
from scaleloom_fleet.http.received_heads import check_head

HTTP_OK = 200
TIMEOUT_S = 30.0
_TIMEOUTS = {"connect": 5.0, "read": TIMEOUT_S, "write": TIMEOUT_S, "pool": 5.0}


@dataclass(frozen=True)
class AdminApi:
    """
    Client for the administration API of one router.

    Parameters
    ----------
    url : str
        Base URL of the router, such as ``http://127.0.0.1:8000``.
    token : str
        Bearer token of the operator.
    """

    url: str
    token: str

    def get(self, path: str) -> Result[bytes, str]:
        """Return the response body of a GET of `path`, or an error message."""
        return self._call("GET", path, b"", {})

    def post(
        self, path: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Result[bytes, str]:
        """Return the response body of a POST to `path`, or an error message."""
        return self._call("POST", path, body, headers or {})

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Result[bytes, str]:
        """Send one request; any status other than 200 is a failure."""
        request_headers = {"authorization": f"Bearer {self.token}", **headers}
        try:
            response = httpcore.request(
                method,
                self.url.rstrip("/") + path,
                headers=request_headers,
                content=body,
                extensions={"timeout": _TIMEOUTS},
            )
            check_head(response)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return Failure(f"{self.url} cannot be reached: {error}")
        except httpcore.RemoteProtocolError as error:
            return Failure(f"The answer of {self.url} broke off: {error}")
        if response.status != HTTP_OK:
            return Failure(response.content.decode("utf-8", "replace"))
        body = response.content
        if not is_end_known(response, method) and not is_json(response, body):
            return Failure(f"The answer of {self.url} broke off.")
        return Success(body)
