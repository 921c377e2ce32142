"""Which services have brittle engines, as their answers say, sans-IO.

A brittle engine ends if it has to reject too many requests in a second. An engine that comes back
is as brittle as the others of its service, before it has answered anything.
"""

from dataclasses import dataclass, field

# How long a service counts as brittle after the last answer that said so.
LIFETIME_S = 3.0
# How often a node passes on what its answers say.
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class BrittleServices:
    """The brittle services that one node knows."""

    _until: dict[str, float] = field(default_factory=dict)
    _reported_at: dict[str, float] = field(default_factory=dict)

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether the engines of a service are brittle."""
        return bool(self._until) and now < self._until.get(service, 0.0)

    def record_answer(self, service: str, now: float) -> bool:
        """Record that an answer says so; return whether to report it to peers now."""
        self._until[service] = now + LIFETIME_S
        is_due = now - self._reported_at.get(service, -REPORT_INTERVAL_S) >= REPORT_INTERVAL_S
        if is_due:
            self._reported_at[service] = now
        return is_due

    def record_report(self, service: str, now: float) -> bool:
        """Record a peer's report; return whether it is news."""
        is_new = not self.is_brittle(service, now)
        self._until[service] = now + LIFETIME_S
        return is_new

    def expire(self, now: float) -> list[str]:
        """Forget the services that are not brittle any more, and return them."""
        over = [service for service, until in self._until.items() if now >= until]
        for service in over:
            del self._until[service]
            self._reported_at.pop(service, None)
        return over
