"""Serves the metrics of a host as Prometheus text, and the steps of its jobs."""

from collections.abc import Callable

import msgspec

from ..http_server import Receive, Scope, Send
from ..job_history import JobHistory, job_history
from ..metrics import HostLoad, Metrics

__all__ = ["MetricsApp"]

JOBS_PATH = "/jobs/"
_TEXT = (b"content-type", b"text/plain; version=0.0.4")
_JSON = (b"content-type", b"application/json")


class MetricsApp:
    """The ASGI application of the metrics address.

    Parameters
    ----------
    metrics : Metrics
        Histograms and counters of the host.
    load : callable
        Returns the current `HostLoad`.
    history : JobHistory
        The latest steps of jobs.
    """

    def __init__(
        self,
        metrics: Metrics,
        load: Callable[[], HostLoad],
        history: JobHistory = job_history,
    ) -> None:
        self._metrics = metrics
        self._load = load
        self._history = history

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reply with the steps of a job to ``/jobs/ID``, else with all metrics."""
        path = scope["path"]
        if path.startswith(JOBS_PATH):
            data = msgspec.json.encode(self._history.of(path.removeprefix(JOBS_PATH)))
            content_type = _JSON
        else:
            data = self._metrics.text(self._load()).encode()
            content_type = _TEXT
        length = (b"content-length", str(len(data)).encode())
        head = {"type": "http.response.start", "status": 200}
        await send({**head, "headers": [content_type, length]})
        await send({"type": "http.response.body", "body": data})
