"""Keeps the size of the fleet in the store, for nodes that all start again at once.

A node that has just started knows no other yet. Without the record each of a fleet that
restarts would take itself for the only one, and allow its tenants all of their limits.
"""

from collections.abc import Callable

from liftrill.coordination.quota import FleetSize
from liftrill.coordination.range_store import Expectation, PutItem, RangeStore
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreError
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.leadership import LEADER_KEY

FLEET_KEY = "liftrill/fleet"
# The record is written anew when it is off by more than this share: a few writes a day.
TOLERATED_SHARE = 0.1
# How long the number of nodes must stand before it is written: a fleet that starts together
# knows itself after 2 s (195 nodes, virtual time).
SETTLED_AFTER_S = 3.0


class FleetRecord:
    """Writes the size of the fleet while this node leads, and reads what another wrote."""

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
        self._seen = 0
        self._seen_at = 0.0
        self._recalled_revision = 0

    def load(self, now: float) -> None:
        """Take the fleet to be as large as a record says that was not recalled before."""
        item = self._mirror.get(FLEET_KEY)
        # An old record taken for new would undo that the fleet has shrunk since it was written.
        if item is None or item.revision == self._recalled_revision:
            return
        self._recalled_revision = item.revision
        self._fleet.assume(self._recorded(), now)

    def ignore_current(self) -> None:
        """Leave unread what the store has now: it is an older record that came back."""
        item = self._mirror.get(FLEET_KEY)
        self._recalled_revision = item.revision if item else 0

    async def write_if_due(self, now: float) -> None:
        """Write the record if this node leads and it is off."""
        nodes = self._fleet.nodes
        if nodes != self._seen:
            self._seen, self._seen_at = nodes, now
        if not self._fence() or now - self._seen_at < SETTLED_AFTER_S:
            return
        if abs(nodes - self._recorded()) > TOLERATED_SHARE * nodes:
            self._seen_at = now
            await self._write(nodes)

    def _recorded(self) -> int:
        item = self._mirror.get(FLEET_KEY)
        if item is None or not item.value.isdigit():
            return 0
        return int(item.value)

    async def _write(self, nodes: int) -> None:
        expected = (Expectation(LEADER_KEY, self._fence()),)
        try:
            await self._store.transact(expected, (PutItem(FLEET_KEY, str(nodes).encode()),))
        except StoreError as error:
            self._log.state_changed("fleet_record_not_written", nodes=nodes, why=repr(error))
            return
        self._log.state_changed("fleet_record", nodes=nodes)
