"""Confirms at regular intervals that the configuration in force is the newest.

A proof is a linearizable read of the store whose answer has the configuration in force as the
newest. It holds as of the time at which the read was sent.
"""

import asyncio
import math
from abc import ABC, abstractmethod
from contextlib import suppress

from liftrill import clock, constants
from liftrill.coordination.range_store import RangeStore, StoredItem
from liftrill.coordination.store_position import era_of
from liftrill.errors import StoreError
from liftrill.gateway.cluster_state import ClusterState
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.relay_codec import RelayAnswer
from liftrill.gateway.store_follower import WATCH_LAG_S, StoreFollower

# Share of the propagation bound after which the store is read again. The remaining time is for the
# watch to deliver what the read reported, and for reading the range if the watch does not.
PROOF_INTERVAL_SHARE = 0.45
# Share of the propagation bound after which a read times out. The remaining time is for following
# a node that the store does answer.
PROOF_TIMEOUT_SHARE = 0.35
# Time after a restore of the store in which only a configuration written since the restore counts
# as a proof. Operators write theirs again within about a second; with a longer time the proofs of
# keys would expire.
REWRITE_WINDOW_S = 1.0
# Minimum time between two reads that are sent early because a request needs a proof.
EARLY_READ_SPACING_S = 0.5


def proof_interval_s(propagation_s: float) -> float:
    """Return the time between two reads for a propagation bound."""
    return min(constants.KEY_PROOF_INTERVAL_SECONDS, PROOF_INTERVAL_SHARE * propagation_s)


def proof_timeout_s(propagation_s: float) -> float:
    """Return the timeout of a read for a propagation bound."""
    return min(constants.STORE_CALL_TIMEOUT_SECONDS, PROOF_TIMEOUT_SHARE * propagation_s)


class FreshnessDelegate(ABC):
    """Receives the results of reads of the configuration."""

    @abstractmethod
    def configuration_read(self, item: StoredItem) -> None:
        """Apply a configuration that the mirror does not have yet."""

    @abstractmethod
    def watch_behind(self, revision: int) -> None:
        """Handle a watch that did not deliver the changes up to a revision that was read."""


class FreshnessChecker:
    """Reads the store, or accepts the proofs of the reader that this node follows."""

    def __init__(
        self,
        store: RangeStore,
        follower: StoreFollower,
        state: ClusterState,
        view: ConfigurationView,
        delegate: FreshnessDelegate,
        propagation_s: float = math.inf,
    ) -> None:
        self._interval_s = proof_interval_s(propagation_s)
        self._timeout_s = proof_timeout_s(propagation_s)
        self._store = store
        self._follower = follower
        self._state = state
        self._view = view
        self._delegate = delegate
        self._peer_version = 0
        self._wanted = asyncio.Event()
        self._proved = asyncio.Event()
        self._last_early_at = -math.inf
        self._read_early = False
        # Whether the process stood still since the last read was sent.
        self._stood_still = False
        self._unanswered = False
        self._restored_at = -math.inf
        self._backup_position = 0
        self._watch_check: asyncio.Task[None] | None = None

    def note_peer_version(self, version: int) -> None:
        """Record the version that a peer has in force; a newer one wakes the checker."""
        if version > self._view.version:
            self._peer_version = max(self._peer_version, version)
            self._wanted.set()

    def store_restored(self) -> None:
        """Record that the store has just been found restored from an older backup.

        A configuration that was acknowledged after the backup, and that this node never received,
        may have revoked keys: the restored configuration proves nothing until it is written again.
        """
        self._restored_at = clock.now_s()
        self._backup_position = 0
        self._read_early = True
        self._wanted.set()

    def range_read(self, asked_at: float) -> None:
        """Accept a read of the whole range, sent at `asked_at`, as a proof."""
        if not self._may_be_undone(asked_at):
            self._prove(self._view.version, asked_at)

    def _may_be_undone(self, asked_at: float) -> bool:
        return asked_at - self._restored_at < REWRITE_WINDOW_S

    def take_reader_proof(self, answer: RelayAnswer, asked_at: float) -> None:
        """Accept the proof of a reader that was asked at `asked_at`.

        The reader answered after it was asked, so its proof is no older than `asked_at` less the
        stated age, however long the answer was in transit.
        """
        # The proof of a reader that is not yet aware of a restore is from before the restore.
        if era_of(answer.at) == era_of(self._follower.mirror.position):
            self._prove(answer.version, asked_at - answer.proof_age_s)

    async def wait_for_proof(self, limit_s: float) -> None:
        """Read the store at once and wait for a proof, for example after a stall of the process."""
        self.request_proof()
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not self._view.is_proven(clock.now_s()):
                    await self._proved.wait()

    def request_proof(self) -> None:
        """Read the store at once, unless it does not answer or was read early just before.

        While the store does not answer this node, the regular interval applies: calls are billed,
        and all nodes would send early reads at the same time.
        """
        now = clock.now_s()
        if not self._unanswered and now - self._last_early_at >= EARLY_READ_SPACING_S:
            self._last_early_at = now
            self._read_early = True
            self._wanted.set()

    def read_after_stall(self) -> None:
        """Read the store at once, by a read that is sent after the process stood still.

        What an earlier read brings does not show what changed meanwhile, and that it was not
        answered in time does not show that the store fails.
        """
        self._unanswered = False
        self._last_early_at = clock.now_s()
        self._stood_still = True
        self._read_early = True
        self._wanted.set()

    def _prove(self, version: int, asked_at: float) -> None:
        self._unanswered = False
        self._view.prove_current(version, asked_at)
        self._proved.set()
        self._proved = asyncio.Event()

    async def run(self) -> None:
        """Obtain proofs for as long as the node runs; the first comes from reading the range."""
        await self._wait(self._interval_s)
        while True:
            asked_at = clock.now_s()
            if await self._must_read():
                asked_at = clock.now_s()
                self._unanswered = not await self._try_read(asked_at)
            # The process may have stood still while the read was under way.
            if not self._stood_still:
                remaining_s = asked_at + self._interval_s - clock.now_s()
                await self._wait(max(0.05, remaining_s))

    async def _wait(self, limit_s: float) -> None:
        """Wait until a proof is requested, at most for the limit."""
        self._wanted.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._wanted.wait()

    async def _try_read(self, asked_at: float) -> bool:
        """Read the configuration from the store, and return whether the store answered."""
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._read(asked_at)
        except (StoreError, TimeoutError):
            self._follower.store_failed()
            return False
        return True

    async def _must_read(self) -> bool:
        if self._follower.followed is None or self._read_early:
            self._read_early = False
            self._stood_still = False
            return True
        if self._peer_version > self._view.version:
            await asyncio.sleep(WATCH_LAG_S)
        return self._peer_version > self._view.version

    async def _read(self, asked_at: float) -> None:
        result = await self._store.read(self._state.decoder.configuration_key)
        self._follower.store_answered(result.position, asked_at)
        if result.position > self._follower.mirror.position and not self._is_checking_watch():
            self._watch_check = asyncio.ensure_future(self._check_watch(result.position))
        item = result.item
        if item is None:
            return
        self._backup_position = self._backup_position or result.position
        if item.revision > self._state.configuration_revision:
            self._delegate.configuration_read(item)
        if not self._follower.mirror.position:
            # Only the range tells whether the store was restored before this node started.
            return
        if self._may_be_undone(asked_at) and item.revision <= self._backup_position:
            return
        is_known = item.revision == self._state.configuration_revision
        if is_known or self._state.is_older_configuration(item):
            self._prove(self._view.version, asked_at)

    def _is_checking_watch(self) -> bool:
        return self._watch_check is not None and not self._watch_check.done()

    async def _check_watch(self, revision: int) -> None:
        """Read the range again if the watch does not deliver the changes up to a read revision.

        A watch whose connection has failed silently looks like a watch without changes.
        """
        await asyncio.sleep(self._follower.watch_lag_s())
        if self._follower.mirror.position < revision:
            self._delegate.watch_behind(revision)
            self._follower.reread()
