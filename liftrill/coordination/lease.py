"""A lease on a key of the store, from the side of one contender, sans-IO.

The holder believes in its lease only until a local deadline that starts when it sent its
last successful renewal, so its belief ends before the store's. Belief is a help, not the
protection: what a holder does must carry the fencing token, which the receiver checks.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseParameters:
    """Times in seconds.

    Attributes:
        time_to_live: after which the store lets a silent holder's lease lapse.
        renew_interval: between renewals.
        retry_interval: between attempts to acquire.
        safety_margin: by which the holder's belief ends before the time to live.
    """

    time_to_live: float = 10.0
    renew_interval: float = 3.0
    retry_interval: float = 2.0
    safety_margin: float = 2.0


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Create a session if there is none and try to take the key."""


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a session."""

    session: str


LeaseInstruction = AcquireLease | RenewLease


class Lease:
    """One contender's state. Times are seconds on a monotonic clock.

    Attributes:
        token: the fencing token of the lease held, or None.
    """

    def __init__(self, parameters: LeaseParameters) -> None:
        self._parameters = parameters
        self._session = ""
        self._believed_until = 0.0
        self._next_action_at = 0.0
        self.token: int | None = None

    def holds(self, now: float) -> bool:
        """Return whether the lease is believed to be held."""
        return self.token is not None and now < self._believed_until

    def due(self, now: float) -> LeaseInstruction | None:
        """Return what should be done with the store now."""
        if self.token is not None and now >= self._believed_until:
            self.step_down()
        if now < self._next_action_at:
            return None
        if self.token is not None:
            self._next_action_at = now + self._parameters.renew_interval
            return RenewLease(self._session)
        self._next_action_at = now + self._parameters.retry_interval
        return AcquireLease()

    def acquired(self, session: str, token: int, asked_at: float) -> None:
        """Note that the store granted the lease to a request sent at a time."""
        self._session = session
        self.token = token
        self._extend(asked_at)

    def renewed(self, asked_at: float) -> None:
        """Note that the store renewed the lease."""
        self._extend(asked_at)

    def step_down(self) -> None:
        """Give the lease up: it lapsed, or an order with its token was refused."""
        self.token = None
        self._session = ""

    def _extend(self, asked_at: float) -> None:
        lifetime = self._parameters.time_to_live - self._parameters.safety_margin
        self._believed_until = asked_at + lifetime
        self._next_action_at = asked_at + self._parameters.renew_interval
