"""State of one contender for a lease on a key of the store, sans-IO.

The holder treats its lease as valid until a local deadline, which is counted from when it sent
its last successful renewal, so that the deadline passes before the lease expires in the store.
The deadline alone does not ensure safety: each action of a holder must carry the fencing token,
which the receiver checks.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseParameters:
    """Timing of a lease, in seconds.

    Attributes:
        time_to_live: the time after which the store expires a lease that is not renewed.
        renew_interval: the time between renewals.
        retry_interval: the time between attempts to acquire the lease.
        safety_margin: how long before the time to live the local deadline passes.
    """

    time_to_live: float = 10.0
    renew_interval: float = 3.0
    retry_interval: float = 2.0
    safety_margin: float = 2.0


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Instruction to create a session if there is none, and to try to acquire the key."""


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Instruction to renew a session."""

    session: str


LeaseInstruction = AcquireLease | RenewLease


class Lease:
    """State of one contender. Times are seconds on a monotonic clock.

    Attributes:
        token: the fencing token of the lease, or None if it is not held.
    """

    def __init__(self, parameters: LeaseParameters) -> None:
        self._parameters = parameters
        self._session = ""
        self._valid_until = 0.0
        self._next_action_at = 0.0
        self.token: int | None = None

    def holds(self, now: float) -> bool:
        """Return whether the lease is held and its local deadline has not passed."""
        return self.token is not None and now < self._valid_until

    def due(self, now: float) -> LeaseInstruction | None:
        """Return the store operation that is due, or None."""
        if self.token is not None and now >= self._valid_until:
            self.step_down()
        if now < self._next_action_at:
            return None
        if self.token is not None:
            self._next_action_at = now + self._parameters.renew_interval
            return RenewLease(self._session)
        self._next_action_at = now + self._parameters.retry_interval
        return AcquireLease()

    def acquired(self, session: str, token: int, asked_at: float) -> None:
        """Record that the store granted the lease to the request sent at `asked_at`."""
        self._session = session
        self.token = token
        self._extend(asked_at)

    def renewed(self, asked_at: float) -> None:
        """Record that the store renewed the lease by the request sent at `asked_at`."""
        self._extend(asked_at)

    def step_down(self) -> None:
        """Discard the lease: it expired, or an order with its fencing token was refused."""
        self.token = None
        self._session = ""

    def _extend(self, asked_at: float) -> None:
        lifetime = self._parameters.time_to_live - self._parameters.safety_margin
        self._valid_until = asked_at + lifetime
        self._next_action_at = asked_at + self._parameters.renew_interval
