"""HTTP client of the pages that the processes of a run serve."""

import json
import time
import urllib.error
import urllib.request

__all__ = ["answers", "get_json", "put_json", "ready_targets", "wait"]

HTTP_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


def answers(url: str) -> bool:
    """Returns whether a GET of the URL succeeds."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S):
            return True
    except (urllib.error.URLError, OSError):
        return False


def put_json(url: str, content: dict[str, object]) -> None:
    """Sends a PUT request with a JSON body.

    Args:
        url: URL of the page.
        content: Body.

    Raises:
        urllib.error.URLError: The request failed or was rejected.
    """
    request = urllib.request.Request(
        url,
        data=json.dumps(content).encode(),
        method="PUT",
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S):
        pass


def get_json(url: str) -> dict[str, object]:
    """Returns a page's JSON object, empty after a failed request."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as response:
            content: dict[str, object] = json.loads(response.read())
            return content
    except (urllib.error.URLError, OSError, ValueError):
        return {}


def ready_targets(status: dict[str, object]) -> set[str]:
    """Returns identifiers of targets that a status reports as cold or ready."""
    members = status.get("members", [])
    assert isinstance(members, list), "a status lists its members"
    return {
        str(member["id"])
        for member in members
        if member["role"] == "side" and member["state"] in ("cold", "ready")
    }


def wait(url: str) -> None:
    """Waits until a page is served.

    Raises:
        RuntimeError: It was not served within ``READY_TIMEOUT_S``.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not answers(url):
        if time.monotonic() > deadline:
            raise RuntimeError(f"no answer from {url}")
        time.sleep(POLL_INTERVAL_S)
