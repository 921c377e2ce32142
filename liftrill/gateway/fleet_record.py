"""Stores the size of the fleet, for a restart of all nodes at once.

A node that has just started does not know the other nodes yet. Without the record, each node of a
restarting fleet would assume to be the only one, and allow tenants their whole limits.
"""

from collections.abc import Callable

from liftrill.coordination.quota import FleetSize
from liftrill.coordination.range_store import Expectation, PutItem, RangeStore
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreError
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.leadership import LEADER_KEY

FLEET_KEY = "liftrill/fleet"
# The record is rewritten when it is off by more than this share: a few writes a day.
TOLERATED_SHARE = 0.1
# How long the number of nodes must be unchanged before it is written: 195 nodes that start
# together all know each other after 2 s.
STABLE_BEFORE_WRITE_S = 3.0

# A larger number is an error of its writer, which would leave each node no share of the limits.
MAX_NODES = 100_000


class FleetRecord:
    """Writes the size of the fleet while this node is leader, and loads the recorded size."""

    def __init__(
        self,
        store: RangeStore,
        mirror: StoreMirror,
        fleet: FleetSize,
        fence: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._fleet = fleet
        self._fence = fence
        self._log = log
        self._nodes = 0
        self._nodes_since = 0.0
        self._loaded_revision = 0

    def load(self, now: float) -> None:
        """Assume the fleet size of the record, unless this revision was loaded before."""
        item = self._mirror.get(FLEET_KEY)
        # Loading an old record again would hide that the fleet has shrunk since it was written.
        if item is None or item.revision == self._loaded_revision:
            return
        self._loaded_revision = item.revision
        self._fleet.raise_to(self._recorded(), now)

    def ignore_current(self) -> None:
        """Ignore the current record, which is an older one that a restore brought back."""
        item = self._mirror.get(FLEET_KEY)
        self._loaded_revision = item.revision if item else 0

    async def write_if_due(self, now: float) -> None:
        """Write the record if this node is leader and the recorded size is off."""
        nodes = self._fleet.nodes
        if nodes != self._nodes:
            self._nodes, self._nodes_since = nodes, now
        if not self._fence() or now - self._nodes_since < STABLE_BEFORE_WRITE_S:
            return
        if abs(nodes - self._recorded()) > TOLERATED_SHARE * nodes:
            self._nodes_since = now
            await self._write(nodes)

    def _recorded(self) -> int:
        return self._mirror.number(FLEET_KEY, MAX_NODES) or 0

    async def _write(self, nodes: int) -> None:
        expected = (Expectation(LEADER_KEY, self._fence()),)
        try:
            await self._store.transact(expected, (PutItem(FLEET_KEY, str(nodes).encode()),))
        except StoreError as error:
            self._log.state_changed("fleet_record_not_written", nodes=nodes, why=repr(error))
            return
        self._log.state_changed("fleet_record", nodes=nodes)
