"""Records in the store which era of it nodes last knew, for nodes that start.

A node that starts has seen no earlier era, so that a restored store looks to it like any other. The
record is part of the copy that the store was restored from, so it has an earlier era than the store
until a node that has dealt with the restore writes it again.
"""

from collections.abc import Callable

from liftrill.coordination.range_store import Expectation, PutItem, RangeStore
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.coordination.store_position import MAX_ERA, era_of
from liftrill.errors import StoreError
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.freshness_checker import REWRITE_WINDOW_S
from liftrill.gateway.leadership import LEADER_KEY

ERA_KEY = "liftrill/known-era"


class EraRecord:
    """Reads the record, and writes it while this node is leader.

    Attributes:
        first_start: whether the whole system starts for the first time, so that no restore can
            have undone anything that it relies on.
    """

    def __init__(
        self,
        store: RangeStore,
        mirror: StoreMirror,
        fence: Callable[[], int],
        first_start: bool,
        log: DecisionLog,
    ) -> None:
        self.first_start = first_start
        self._store = store
        self._mirror = mirror
        self._fence = fence
        self._log = log
        self._era = 0
        self._era_since = 0.0

    def is_behind(self) -> bool:
        """Return whether the store may have been restored since the record was written."""
        era = era_of(self._mirror.position)
        if self.first_start and self._mirror.get(ERA_KEY) is None:
            return False
        return self._recorded() < era

    async def write_if_due(self, now: float) -> None:
        """Write the era, if this node is leader and operators have had time to write again."""
        era = era_of(self._mirror.position)
        if era != self._era:
            self._era, self._era_since = era, now
        if not self._fence() or now - self._era_since < REWRITE_WINDOW_S:
            return
        if self._recorded() < era:
            self._era_since = now
            await self._write(era)

    def _recorded(self) -> int:
        return self._mirror.number(ERA_KEY, MAX_ERA) or 0

    async def _write(self, era: int) -> None:
        expected = (Expectation(LEADER_KEY, self._fence()),)
        try:
            await self._store.transact(expected, (PutItem(ERA_KEY, str(era).encode()),))
        except StoreError as error:
            self._log.state_changed("era_not_recorded", era=era, why=repr(error))
            return
        self._log.state_changed("era_recorded", era=era)
