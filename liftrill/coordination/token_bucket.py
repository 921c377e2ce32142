"""Token bucket rate limiter."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TokenBucket:
    """A bucket that refills at a fixed rate up to its burst.

    Attributes:
        rate: tokens added per second; zero or less means no limit.
        burst: the capacity of the bucket.
    """

    rate: float
    burst: float
    _tokens: float = field(init=False)
    _updated_at: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        self._tokens = self.burst

    def try_take(self, amount: float, now: float) -> float:
        """Take tokens if enough are available.

        Returns:
            0.0 if the tokens were taken; otherwise the seconds until they will be available.
            An amount above the burst is taken from a full bucket, whose level is then negative.
        """
        if self.rate <= 0:
            return 0.0
        self._refill(now)
        needed = min(amount, self.burst)
        if self._tokens >= needed:
            self._tokens -= amount
            return 0.0
        return (needed - self._tokens) / self.rate

    def refund(self, amount: float) -> None:
        """Put back tokens that were taken for work that was not done."""
        self._tokens = min(self.burst, self._tokens + amount)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._updated_at = now
