"""How much longer the replies of another host take than its work.

A reply says how long its host had the request. The rest is time on the way, in full
links and busy event loops of both hosts. Each is counted on one clock, so that the
clocks of the hosts need not agree.
"""

from collections import deque

from ..clock import now_s

__all__ = ["ReplyDelays"]

# Full links stay full for longer. After this time without a reply the host is tried
# again.
WINDOW_S = 1.0
# Longer than any caller waits.
MAX_REPLY_S = 10.0


class ReplyDelays:
    """The delays of the latest replies over a channel."""

    def __init__(self) -> None:
        self._sent_s: dict[int, float] = {}
        self._delays: deque[tuple[float, float]] = deque()

    def note_request(self, request: int) -> None:
        """Note that a request is sent now."""
        now = now_s()
        self._sent_s[request] = now
        while now - (first := next(iter(self._sent_s.items())))[1] > MAX_REPLY_S:
            del self._sent_s[first[0]]

    def note_reply(self, request: int, elapsed_s: float) -> None:
        """Note a reply, also to a request that nobody waits for any more.

        Parameters
        ----------
        request : int
            Id of the request.
        elapsed_s : float
            Time from the arrival of the request to the sending of the reply, on the
            other host's clock, in seconds.
        """
        sent_s = self._sent_s.pop(request, None)
        if sent_s is not None:
            now = now_s()
            self._delays.append((now, max(0.0, now - sent_s - elapsed_s)))
            self._drop_old(now)

    def delay_s(self) -> float:
        """Return the shortest delay of late, 0 if there was no reply."""
        self._drop_old(now_s())
        return min((delay_s for _, delay_s in self._delays), default=0.0)

    def _drop_old(self, now: float) -> None:
        while self._delays and now - self._delays[0][0] > WINDOW_S:
            self._delays.popleft()
