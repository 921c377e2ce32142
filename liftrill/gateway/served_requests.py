"""Remembers recently served requests, to recognize a lost run of the same request later."""

from collections import deque
from dataclasses import dataclass, field

from liftrill.gateway.opaque_request import OpaqueRequest

# How many requests are remembered, and up to which body size: 2 MB at most, 0.2 MB with bodies of
# 1.5 KB.
MAX_REQUESTS = 128
MAX_BODY_BYTES = 16 * 1024
# For how long a served request counts as harmless to engines; a request that many callers send is
# served far more often.
RECENT_S = 10.0


@dataclass(slots=True)
class ServedRequests:
    """The last requests served for this node; their fingerprints are computed only on lookup."""

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
