"""Retry budget: limits retries to a share of successes, so that retries do not amplify overload."""

from dataclasses import dataclass, field

# Sums of shares such as 0.1 are not exactly 1 in floating point.
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True)
class RetryBudget:
    """A balance that successes increase and retries decrease.

    Attributes:
        share: the number of retries added by one success.
        reserve: the initial and maximum balance.
    """

    share: float
    reserve: float
    _balance: float = field(init=False)

    def __post_init__(self) -> None:
        self._balance = self.reserve

    @property
    def balance(self) -> float:
        """The number of retries currently allowed."""
        return self._balance

    def record_success(self) -> None:
        """Add the share of one success to the balance."""
        self._balance = min(self.reserve, self._balance + self.share)

    def try_spend(self) -> bool:
        """Take one retry from the balance, or return False if less than one is left."""
        if self._balance < 1.0 - ROUNDING_TOLERANCE:
            return False
        self._balance -= 1.0
        return True
