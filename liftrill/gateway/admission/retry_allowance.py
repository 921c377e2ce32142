"""How many second sends one node may make, as its part of a budget of all nodes.

The budget of a service is a ratio of its requests plus a slack, in each window. Nodes
do not talk about it: each spends at most its ratio of its own requests plus an equal part
of the slack. A node that restarts may have spent its part just before, so it has no
slack for its first window; what a lost node leaves unspent is not taken over.
"""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def expire(self, before: float) -> None:
        """Forget what lies before a time."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= before:
                times.popleft()


@dataclass(slots=True)
class RetryAllowance:
    """The repeats that this node may still send to each service.

    Attributes:
        ratio: repeats for each request.
        slack: repeats of all nodes in a window beyond the ratio.
        window_seconds: the length of the sliding window.
        slack_from: time from which this node has its part of the slack.
        nodes: how many nodes may share the slack.
    """

    ratio: float
    slack: float
    window_seconds: float
    slack_from: float
    nodes: int = 1
    _windows: dict[str, _Window] = field(default_factory=dict)

    # The parts of all nodes together stay under the budget by this factor.
    SAFETY = 0.8

    def record_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        window = self._window(service, now)
        window.requests.append(now)

    def left(self, service: str, now: float) -> float:
        """Return the repeats that may be sent now."""
        window = self._window(service, now)
        slack = self.slack / self.nodes if now >= self.slack_from else 0.0
        allowed = (self.ratio * len(window.requests) + slack) * self.SAFETY
        return allowed - len(window.repeats)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one repeat, or return False if none is left."""
        if self.left(service, now) < 1.0:
            return False
        self._window(service, now).repeats.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self.window_seconds)
        return window
