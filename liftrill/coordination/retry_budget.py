"""A retry budget: a bounded share of successes, so that retries cannot amplify an overload."""

from dataclasses import dataclass, field

# Shares such as 0.1 do not add up to exactly 1.
ROUNDING = 1e-9


@dataclass(slots=True)
class RetryBudget:
    """A balance that successes raise and retries spend.

    Attributes:
        share: the retries that one success earns.
        reserve: the largest balance, and the balance at the start.
    """

    share: float
    reserve: float
    _balance: float = field(init=False)

    def __post_init__(self) -> None:
        self._balance = self.reserve

    @property
    def balance(self) -> float:
        """The retries that may be made now."""
        return self._balance

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self._balance = min(self.reserve, self._balance + self.share)

    def try_spend(self) -> bool:
        """Spend one retry, or return False if the balance is below one."""
        if self._balance < 1.0 - ROUNDING:
            return False
        self._balance -= 1.0
        return True
