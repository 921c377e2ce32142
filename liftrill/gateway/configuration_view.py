"""The operator's configuration in force at one node, and how sure it is to be current.

A view only goes forward: an older version is never adopted, whichever source offers it.
Keys may be taken away at any time, so requests with keys are served only while an answer
of the store that was asked for lately proves that the version in force is the newest.
"""

import math
from dataclasses import dataclass, field

from liftrill.gateway.records import GatewayConfiguration, Quota, Tenant
from liftrill.gateway.route_table import RouteTable


@dataclass(slots=True)
class ConfigurationView:
    """The newest configuration that this node knows.

    Attributes:
        proof_lifetime: seconds for which a proof of currency serves.
    """

    proof_lifetime: float
    current: GatewayConfiguration | None = None
    routes: RouteTable = field(default_factory=lambda: RouteTable(()))
    _proven_at: float = -math.inf

    @property
    def version(self) -> int:
        """The version in force, or 0 before the first."""
        return self.current.version if self.current else 0

    def adopt(self, offered: GatewayConfiguration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if self.current is not None and offered.version <= self.current.version:
            return False
        self.current = offered
        self.routes = RouteTable(offered.routes)
        return True

    def prove_current(self, version: int, asked_at: float) -> None:
        """Note that the store, asked at a time, named a version as its newest.

        The time is that of the question on the steady clock: the answer may have been
        held up on its way for as long as it liked.
        """
        if version == self.version:
            self._proven_at = max(self._proven_at, asked_at)

    def proof_age(self, now: float) -> float:
        """Return the seconds since the question whose answer proved currency."""
        return now - self._proven_at

    @property
    def was_proven(self) -> bool:
        """Whether a configuration is known that was the newest at some time."""
        return self.current is not None and self._proven_at > -math.inf

    def is_proven(self, now: float) -> bool:
        """Return whether a request with a key may be served."""
        return self.proof_age(now) < self.proof_lifetime

    def quotas(self) -> dict[str, Quota]:
        """Return the limits of tenants by name."""
        tenants = self.current.tenants_by_key if self.current else None
        return {t.name: t.quota for t in (tenants or {}).values() if t.quota is not None}

    def tenant_of(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key."""
        if self.current is None or self.current.tenants_by_key is None:
            return None
        return self.current.tenants_by_key.get(key)
