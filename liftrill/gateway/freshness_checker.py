"""Proves, often enough, that the configuration in force is the newest."""

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

# The share of the bound on news after which the store is asked again: the rest is for the watch
# to bring what the answer named, and for reading the range where it does not.
PROOF_INTERVAL_SHARE = 0.45
# The share of the bound for which an answer is waited for: the rest is for following a node that
# the store does answer.
PROOF_WAIT_SHARE = 0.35
# For how long after the store came back from an older copy only a configuration that was written
# since proves anything: operators write theirs again within about a second, and proofs of keys
# that are renewed later would run out (guess).
WRITTEN_AGAIN_WITHIN_S = 1.0
# The least time between two questions that are asked because a request needs the answer.
HURRY_SPACING_S = 0.5


def proof_interval_s(news_s: float) -> float:
    """Return the time between two questions, by the bound on news."""
    return min(constants.KEY_PROOF_INTERVAL_SECONDS, PROOF_INTERVAL_SHARE * news_s)


def proof_timeout_s(news_s: float) -> float:
    """Return how long an answer is waited for, by the bound on news."""
    return min(constants.STORE_CALL_TIMEOUT_SECONDS, PROOF_WAIT_SHARE * news_s)


class FreshnessDelegate(ABC):
    """Whom to tell of what a reading shows."""

    @abstractmethod
    def configuration_read(self, item: StoredItem) -> None:
        """Take in a configuration that the mirror does not have yet."""

    @abstractmethod
    def watch_behind(self, revision: int) -> None:
        """Note that the watch did not bring the changes up to a revision that was read."""


class FreshnessChecker:
    """Ask the store, or take the proofs of the reader that this node follows."""

    def __init__(
        self,
        store: RangeStore,
        follower: StoreFollower,
        beliefs: ClusterState,
        view: ConfigurationView,
        owner: FreshnessDelegate,
        news_s: float = math.inf,
    ) -> None:
        self._interval_s = proof_interval_s(news_s)
        self._timeout_s = proof_timeout_s(news_s)
        self._store = store
        self._follower = follower
        self._beliefs = beliefs
        self._view = view
        self._owner = owner
        self._heard_version = 0
        self._wanted = asyncio.Event()
        self._proved = asyncio.Event()
        self._hurried_at = -math.inf
        self._hurry = False
        self._unanswered = False
        self._restored_at = -math.inf
        self._copy_at = 0
        self._watch_check: asyncio.Task[None] | None = None

    def note_peer_version(self, version: int) -> None:
        """Note that a peer has a newer version in force."""
        if version > self._view.version:
            self._heard_version = max(self._heard_version, version)
            self._wanted.set()

    def store_restored(self) -> None:
        """Note that the store came back from an older copy, as this node heard just now.

        A configuration that was acknowledged since the copy was made, and never heard of here,
        may have taken keys away: what the copy says proves nothing until it is written again.
        """
        self._restored_at = clock.now_s()
        self._copy_at = 0
        self._hurry = True
        self._wanted.set()

    def range_read(self, asked_at: float) -> None:
        """Take the reading of the whole range, asked for at a time, as a proof."""
        if not self._may_be_undone(asked_at):
            self._prove(self._view.version, asked_at)

    def _may_be_undone(self, asked_at: float) -> bool:
        return asked_at - self._restored_at < WRITTEN_AGAIN_WITHIN_S

    def take_reader_proof(self, answer: RelayAnswer, asked_at: float) -> None:
        """Take the proof of a reader that was asked at a time.

        It answered later than it was asked, so its proof is no older than its age
        before the question, however long the answer was on its way.
        """
        # A reader that has not heard of the store's return yet proves what was before it.
        if era_of(answer.at) == era_of(self._follower.mirror.at):
            self._prove(answer.version, asked_at - answer.proof_age_s)

    async def wait_for_proof(self, limit_s: float) -> None:
        """Ask at once and wait a little for a proof: this process may have stood still."""
        self.request_proof()
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not self._view.is_proven(clock.now_s()):
                    await self._proved.wait()

    def request_proof(self) -> None:
        """Ask at once.

        While the store does not answer this node, it is asked no more often than usual:
        calls are paid for, and all nodes would hurry at the same time.
        """
        now = clock.now_s()
        if not self._unanswered and now - self._hurried_at >= HURRY_SPACING_S:
            self._hurried_at = now
            self._hurry = True
            self._wanted.set()

    def _prove(self, version: int, asked_at: float) -> None:
        self._unanswered = False
        self._view.prove_current(version, asked_at)
        self._proved.set()
        self._proved = asyncio.Event()

    async def run(self) -> None:
        """Prove for as long as the node runs; the first reading of the range is a proof too."""
        await self._wait(self._interval_s)
        while True:
            asked_at = clock.now_s()
            if await self._must_ask():
                asked_at = clock.now_s()
                self._unanswered = not await self._is_answered(asked_at)
            rest = asked_at + self._interval_s - clock.now_s()
            await self._wait(max(0.05, rest))

    async def _wait(self, limit_s: float) -> None:
        """Wait, until somebody wants a proof at the longest."""
        self._wanted.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._wanted.wait()

    async def _is_answered(self, asked_at: float) -> bool:
        """Ask the store, and return whether it answered."""
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._ask(asked_at)
        except (StoreError, TimeoutError):
            self._follower.store_failed()
            return False
        return True

    async def _must_ask(self) -> bool:
        if self._follower.followed is None or self._hurry:
            self._hurry = False
            return True
        if self._heard_version > self._view.version:
            await asyncio.sleep(WATCH_LAG_S)
        return self._heard_version > self._view.version

    async def _ask(self, asked_at: float) -> None:
        reading = await self._store.read(self._beliefs.decoder.configuration_key)
        self._follower.store_answered(reading.at, asked_at)
        if reading.at > self._follower.mirror.at and not self._checks_watch():
            self._watch_check = asyncio.ensure_future(self._check_watch(reading.at))
        item = reading.item
        if item is None:
            return
        self._copy_at = self._copy_at or reading.at
        if item.revision > self._beliefs.configuration_revision:
            self._owner.configuration_read(item)
        if self._may_be_undone(asked_at) and item.revision <= self._copy_at:
            return
        is_known = item.revision == self._beliefs.configuration_revision
        if is_known or self._beliefs.is_older_configuration(item):
            self._prove(self._view.version, asked_at)

    def _checks_watch(self) -> bool:
        return self._watch_check is not None and not self._watch_check.done()

    async def _check_watch(self, revision: int) -> None:
        """Read the range again if the watch does not soon bring what a reading named.

        A watch that has gone deaf looks like one that has nothing to tell.
        """
        await asyncio.sleep(self._follower.watch_lag_s())
        if self._follower.mirror.at < revision:
            self._owner.watch_behind(revision)
            self._follower.reread()
