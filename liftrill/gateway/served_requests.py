"""Remembers the requests that were served last, to tell later which of them a run repeats."""

from collections import deque
from dataclasses import dataclass, field

from liftrill.gateway.opaque_request import OpaqueRequest

# How many requests are remembered, and how large their bodies may be. 2 MB at the most, 0.2 MB
# with bodies of 1.5 KB.
MAX_REQUESTS = 128
MAX_BODY_BYTES = 16 * 1024
# For how long a request that was served is known not to end engines: what many callers ask is
# served far more often (guess).
RECENT_S = 10.0


@dataclass(slots=True)
class ServedRequests:
    """The last requests that engines served for this node; nothing is hashed to remember them."""

    _served: deque[tuple[float, OpaqueRequest]] = field(
        default_factory=lambda: deque(maxlen=MAX_REQUESTS)
    )

    def record(self, request: OpaqueRequest, now: float) -> None:
        """Remember a request that was served now."""
        if len(request.body) <= MAX_BODY_BYTES:
            self._served.append((now, request))

    def has_served(self, fingerprint: bytes, before: float) -> bool:
        """Return whether a request was served shortly before a time, or since."""
        since = before - RECENT_S
        return any(at >= since and r.fingerprint == fingerprint for at, r in self._served)
