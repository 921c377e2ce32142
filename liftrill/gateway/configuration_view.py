"""The operator's configuration in force at one node, and the proof that it is current.

Versions only increase: an older version is never adopted, whichever source offers it. Keys may
be revoked at any time, so requests with keys are served only while a recent read of the store
proves that the version in force is the newest.
"""

import json
import math
from collections.abc import Collection
from dataclasses import dataclass, field

from liftrill.gateway.records import GatewayConfiguration, Quota, Tenant
from liftrill.gateway.route_table import RouteTable


def shared_scope(isolated: Collection[str]) -> str:
    """Return the scope of the cached parts that all tenants share but the isolated ones.

    Parts that a tenant made before it became isolated stay in the caches, and cannot be told from
    those of others. So the scope is a new one for each set of isolated tenants. It begins with a
    byte that no tenant's name contains.
    """
    return f"\0{json.dumps(sorted(isolated))}" if isolated else ""


@dataclass(slots=True)
class ConfigurationView:
    """The newest configuration that this node knows.

    Attributes:
        proof_lifetime: seconds for which a proof is valid.
        shared_scope: the scope of the cached parts that tenants share, under this configuration.
    """

    proof_lifetime: float
    current: GatewayConfiguration | None = None
    routes: RouteTable = field(default_factory=lambda: RouteTable(()))
    shared_scope: str = ""
    _proven_at: float = -math.inf

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none yet."""
        return self.current.version if self.current else 0

    def adopt(self, offered: GatewayConfiguration) -> bool:
        """Put a configuration in force if it is newer, and return whether it was newer."""
        if self.current is not None and offered.version <= self.current.version:
            return False
        self.current = offered
        self.routes = RouteTable(offered.routes)
        self.shared_scope = shared_scope(offered.isolated_tenants)
        return True

    def prove_current(self, version: int, asked_at: float) -> None:
        """Record a proof: the store, asked at `asked_at`, returned a version as its newest.

        The time is that of the request on the steady clock, because the answer may have been
        delayed for any length of time.
        """
        if version == self.version:
            self._proven_at = max(self._proven_at, asked_at)

    def proof_age(self, now: float) -> float:
        """Return the seconds since the request that led to the last proof."""
        return now - self._proven_at

    @property
    def was_proven(self) -> bool:
        """Whether a configuration is in force and a proof was recorded at least once."""
        return self.current is not None and self._proven_at > -math.inf

    def is_proven(self, now: float) -> bool:
        """Return whether the last proof is valid, so that requests with keys may be served."""
        return self.proof_age(now) < self.proof_lifetime

    def quotas(self) -> dict[str, Quota]:
        """Return the quotas of tenants by name."""
        tenants = self.current.tenants_by_key if self.current else None
        return {t.name: t.quota for t in (tenants or {}).values() if t.quota is not None}

    def tenant_of(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key."""
        if self.current is None or self.current.tenants_by_key is None:
            return None
        return self.current.tenants_by_key.get(key)
