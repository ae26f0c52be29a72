"""The reply to an HTTP request, whichever client sent it."""

__all__ = ["HttpReply"]


class HttpReply:
    """An HTTP status and a complete body."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body
