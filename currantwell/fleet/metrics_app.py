"""Serves the metrics of a host in the Prometheus text format."""

from collections.abc import Callable

from ..http_server import Receive, Scope, Send
from ..metrics import HostLoad, Metrics

__all__ = ["MetricsApp"]

_TEXT = (b"content-type", b"text/plain; version=0.0.4")


class MetricsApp:
    """The ASGI application of the metrics address.

    Parameters
    ----------
    metrics : Metrics
        Histograms and counters of the host.
    load : callable
        Returns the current `HostLoad`.
    """

    def __init__(self, metrics: Metrics, load: Callable[[], HostLoad]) -> None:
        self._metrics = metrics
        self._load = load

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Reply to every request with all metrics."""
        data = self._metrics.text(self._load()).encode()
        length = (b"content-length", str(len(data)).encode())
        head = {"type": "http.response.start", "status": 200}
        await send({**head, "headers": [_TEXT, length]})
        await send({"type": "http.response.body", "body": data})
