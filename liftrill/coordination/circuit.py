"""Circuit breaker and adaptive concurrency limit of one node for one back end."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class CircuitBreaker:
    """Opens after consecutive failures and allows one probe request after a backoff.

    The backoff doubles with each failed probe, up to eight times the first one.

    Attributes:
        failures_to_open: consecutive failures that open the circuit.
        open_seconds: the first backoff.
    """

    failures_to_open: int
    open_seconds: float
    _failures: int = field(init=False, default=0)
    _open_until: float = field(init=False, default=0.0)
    _probing: bool = field(init=False, default=False)

    MAX_BACKOFF_FACTOR = 8

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if self._failures < self.failures_to_open:
            return True
        return now >= self._open_until and not self._probing

    def record_start(self, now: float) -> None:
        """Record that a request was sent; with an open circuit, it is the probe."""
        if self._failures >= self.failures_to_open and now >= self._open_until:
            self._probing = True

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._probing = False

    def record_failure(self, now: float) -> None:
        """Count a failure; at the threshold, open the circuit or extend its backoff."""
        self._failures += 1
        self._probing = False
        excess = self._failures - self.failures_to_open
        if excess >= 0:
            backoff_factor = min(2**excess, self.MAX_BACKOFF_FACTOR)
            self._open_until = now + self.open_seconds * backoff_factor

    def record_abandoned(self) -> None:
        """Record that a request ended without a result for the back end."""
        self._probing = False


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limits the requests in flight by additive increase, multiplicative decrease (AIMD).

    Attributes:
        limit: the requests that may currently be in flight.
        minimum: the lowest limit.
        maximum: the highest limit.
    """

    limit: float
    minimum: float
    maximum: float

    DECREASE_FACTOR = 0.7

    def record_success(self, in_flight: int) -> None:
        """Raise the limit by about one per `limit` successes while at least half is in use."""
        if in_flight * 2 >= self.limit:
            self.limit = min(self.maximum, self.limit + 1.0 / self.limit)

    def record_overload(self) -> None:
        """Lower the limit after the back end refused a request because of its load."""
        self.limit = max(self.minimum, self.limit * self.DECREASE_FACTOR)

    def allows(self, in_flight: int) -> bool:
        """Return whether one more request may be sent."""
        return in_flight < self.limit
