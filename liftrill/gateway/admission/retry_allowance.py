"""Share of one node in the retry budget of all nodes.

The budget of a service is a ratio of its requests plus a slack, per window. Nodes do not
coordinate: each spends at most the ratio of its own requests plus an equal part of the slack. A
restarted node may have spent its part just before the restart, so that it has no slack in its
first window. The unspent part of a lost node is not redistributed.
"""

from collections import deque
from dataclasses import dataclass, field

from liftrill.gateway.settings import GatewaySettings


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def expire(self, before: float) -> None:
        """Drop times up to a given time."""
        for times in (self.requests, self.retries):
            while times and times[0] <= before:
                times.popleft()


@dataclass(slots=True)
class RetryAllowance:
    """Retries that this node may still send, per service.

    Attributes:
        ratio: retries per request.
        slack: retries of all nodes per window beyond the ratio.
        window_seconds: length of the sliding window.
        slack_from: time from which this node may use its part of the slack.
        nodes: number of nodes that may share the slack.
    """

    ratio: float
    slack: float
    window_seconds: float
    slack_from: float
    nodes: int = 1
    _windows: dict[str, _Window] = field(default_factory=dict)

    # Keeps the sum over all nodes below the budget.
    SAFETY_FACTOR = 0.8

    def record_request(self, service: str, now: float) -> None:
        """Record the first send of a request."""
        window = self._window(service, now)
        window.requests.append(now)

    def left(self, service: str, now: float) -> float:
        """Return the number of retries that may be sent now."""
        window = self._window(service, now)
        slack = self.slack / self.nodes if now >= self.slack_from else 0.0
        allowed = (self.ratio * len(window.requests) + slack) * self.SAFETY_FACTOR
        return allowed - len(window.retries)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry; return False if none is left."""
        if self.left(service, now) < 1.0:
            return False
        self._window(service, now).retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self.window_seconds)
        return window


def new_allowance(settings: GatewaySettings, now: float) -> RetryAllowance:
    """Return the allowance of a node that starts now."""
    bounds = settings.bounds
    slack_from = now if settings.first_start else now + bounds.retry_window_seconds
    return RetryAllowance(
        bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds, slack_from
    )
