"""Pages that the processes of a run serve."""

import json
import time
import urllib.error
import urllib.request

__all__ = ["answers", "get_json", "put_json", "ready_targets", "wait"]

HTTP_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 30.0
POLL_S = 0.05


def answers(url: str) -> bool:
    """Tells whether a page is served."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S):
            return True
    except (urllib.error.URLError, OSError):
        return False


def put_json(url: str, content: dict[str, object]) -> None:
    """Sends a page's new content."""
    request = urllib.request.Request(
        url,
        data=json.dumps(content).encode(),
        method="PUT",
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S):
        pass


def get_json(url: str) -> dict[str, object]:
    """Returns what a page says, empty if it does not answer."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as response:
            content: dict[str, object] = json.loads(response.read())
            return content
    except (urllib.error.URLError, OSError, ValueError):
        return {}


def ready_targets(status: dict[str, object]) -> set[str]:
    """Returns the targets that a balancer's status page calls ready."""
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
        RuntimeError: It is not in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not answers(url):
        if time.monotonic() > deadline:
            raise RuntimeError(f"no answer from {url}")
        time.sleep(POLL_S)
