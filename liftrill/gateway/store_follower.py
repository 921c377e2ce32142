"""Maintains a mirror of the store's key range for as long as the node runs.

An interrupted watch does not mean that the store is unreachable: the node first reads the range
again, and follows another node only if that read fails. Otherwise nodes whose watches are
interrupted at the same time would follow each other, and none of them would read the store.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable

from liftrill import clock, constants
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import HistoryGoneError, RangePage, RangeStore, StoredItem
from liftrill.coordination.store_mirror import MirrorChange, StoreMirror
from liftrill.coordination.store_position import era_of
from liftrill.errors import StoreError, StoreUnavailableError
from liftrill.gateway.relay_client import (
    ReaderLimits,
    RelayClient,
    RelayListener,
    RelayLostError,
)
from liftrill.gateway.relay_codec import RelayAnswer, RelayUpdate
from liftrill.gateway.relay_server import RelaySource
from liftrill.gateway.store_outage import AnswerHistory, StoreOutage

# How long a starting node waits for a reader to follow before it watches the store itself.
# Members discover each other within about a second.
MEMBER_DISCOVERY_S = 1.0
# Time between watches of a node that reads the store only until it can follow a reader again:
# changes must apply within seconds, and many nodes may be in this state at once.
TEMPORARY_WATCH_SPACING_S = 0.5
# After a watch that brought changes of keys alone that are not mirrored.
IRRELEVANT_WATCH_SPACING_S = 0.5
# How much later than a read or a peer's message the watch may deliver the same change, in
# addition to the time between two watches.
WATCH_LAG_S = 0.4

# Minimum time for connecting to another node, and its answer, across regions.
MIN_READER_TIMEOUT_S = 0.3


class FollowerDelegate(ABC):
    """Receives a follower's mirror changes and selects the node that it follows."""

    @abstractmethod
    def mirror_changed(self, change: MirrorChange, known_until: float) -> None:
        """Apply a change of the mirror, which was complete until `known_until` (steady clock)."""

    @abstractmethod
    def range_read(self, asked_at: float) -> None:
        """Handle a complete read of the range that was requested at `asked_at`."""

    @abstractmethod
    def node_id(self) -> str:
        """Return the id of this node."""

    @abstractmethod
    def is_assigned_reader(self) -> bool:
        """Return whether this node is a permanent reader of the store, not a temporary one."""

    @abstractmethod
    def store_connection_changed(self, connected: bool) -> None:
        """Handle the loss or recovery of the connection to the store."""

    @abstractmethod
    def relay_answered(self, answer: RelayAnswer, asked_at: float) -> None:
        """Handle an answer that reports how current the followed reader is."""

    @abstractmethod
    def reader_to_follow(self, store_lost: bool) -> Member | None:
        """Return the node to follow, or None to read the store directly."""

    @abstractmethod
    def is_reader_eligible(self, reader: Member, since: float) -> bool:
        """Return whether this node may go on following a reader that it follows since `since`."""

    @abstractmethod
    def reader_followed(self, reader: Member, store_lost: bool) -> None:
        """Handle the start of following a reader, with whether the store was unreachable."""

    @abstractmethod
    def reader_lost(self, reader: Member, reason: str) -> None:
        """Handle the end of service by a followed reader."""


class StoreFollower(RelayListener, RelaySource):
    """Reads the range once, then watches it or follows a node that does.

    Attributes:
        mirror: this node's copy of the range.
        freshness: until when the mirror is known to be complete.
        connected: whether the store, or the followed reader, answered last time.
        followed: the reader that this node follows, or None.
    """

    def __init__(
        self,
        store: RangeStore,
        prefix: str,
        delegate: FollowerDelegate,
        limits: ReaderLimits,
        answers: AnswerHistory,
        excluded_prefix: str = "",
    ) -> None:
        self.mirror = StoreMirror(excluded_prefix=excluded_prefix)
        self.freshness = MirrorFreshness()
        self.connected = False
        self.followed: Member | None = None
        self._store = store
        self._prefix = prefix
        self._delegate = delegate
        self._limits = limits
        self._relay = RelayClient(self, limits)
        self._outage = StoreOutage()
        self._answers = answers
        self._reread = True
        self._is_reading_range = False
        self._try_store_first = False
        self._interruptible_task: asyncio.Task[None] | None = None
        self._followed_since = 0.0
        self._last_spacing_s = 0.0
        self._reader_path: tuple[str, ...] = ()

    async def run(self) -> None:
        """Keep the mirror current until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._reread = True
            except StoreError:
                self._reread = True
                self._note_connection(False)
                await self._interruptible(asyncio.sleep(self._outage.next_retry_delay_s()))

    def reread(self) -> None:
        """Schedule a read of the whole range, because the mirror is known to lack changes."""
        self._reread = True
        self._interrupt()

    @property
    def path(self) -> tuple[str, ...]:
        """Return the relay path of changes, from this node to the node that reads the store."""
        node_id = self._delegate.node_id()
        if self.followed is not None:
            return (node_id, *self._reader_path) if self._reader_path else ()
        return () if self._outage.unreachable or self._reread else (node_id,)

    def watch_lag_s(self) -> float:
        """Return how long after a read the watch may deliver the changes that the read reported."""
        return WATCH_LAG_S + max(self._spacing_s(), self._last_spacing_s)

    def reselect_reader(self) -> None:
        """Stop the current watch or reader if membership now selects another source."""
        if self.followed is not None:
            if not self._delegate.is_reader_eligible(self.followed, self._followed_since):
                self._interrupt()
        elif self._reader_to_follow() is not None:
            self._interrupt()

    def era_began(self) -> None:
        """Read the range again, because an answer of the store has a later era.

        A read in progress, which may have received that answer, is left to run: it fails if its
        pages are of two eras, and is then repeated.
        """
        if self.followed is None and not self._is_reading_range:
            self.reread()

    def store_failed(self) -> None:
        """Record that the store left a read of this node, sent on a new connection, unanswered."""
        if self.followed is None:
            self._outage.record_read_failure()
            self.reread()

    def store_answered(self, revision: int, asked_at: float) -> None:
        """Record the store's revision in its answer to a call sent at `asked_at`."""
        self._answers.record_answer(asked_at, clock.now_s())
        self._record_read(revision, asked_at)
        if self.followed is None and self._outage.unreachable:
            # The store is reachable again: a wait for the retry would only make the mirror staler.
            self._outage.record_success()
            if not self._is_reading_range:
                self.reread()

    def _record_read(self, revision: int, asked_at: float) -> None:
        self.freshness.record_reading(revision, asked_at)
        self.freshness.record_position(self.mirror.position)

    def _reader_to_follow(self) -> Member | None:
        if self._reread and (self._try_store_first or not self._outage.unreachable):
            return None
        return self._delegate.reader_to_follow(self._outage.unreachable)

    # Messages of the followed reader

    def relay_updated(self, update: RelayUpdate) -> None:
        """Apply changes, or a part of a snapshot.

        Raises:
            RelayLostError: the reader sends no eras although the store does. After a restore of
                the store such a reader would retain the data from before the restore.
        """
        if (
            update.batch.position
            and not era_of(update.batch.position)
            and era_of(self.mirror.position)
        ):
            raise RelayLostError("the reader sends no store era")
        self._note_connection(True)
        if not update.snapshot:
            change = self.mirror.apply_batch(update.batch)
            if change.written or change.removed:
                self._report_change(change)
            self.freshness.record_position(self.mirror.position)
            return
        items = tuple(item for item in update.batch.changes if isinstance(item, StoredItem))
        snapshot = self.mirror.add_page(RangePage(items, update.batch.position, update.more))
        if snapshot is not None:
            self._report_change(snapshot)

    def relay_confirmed(self, answer: RelayAnswer, asked_at: float) -> None:
        """Record how current the reader was when it answered a question sent at `asked_at`."""
        self._reader_path = answer.path
        read_age_s = min(answer.proof_age_s, answer.mirror_age_s)
        self._answers.record_answer(asked_at - read_age_s, clock.now_s())
        self._record_read(answer.at, asked_at - answer.mirror_age_s)
        self._delegate.relay_answered(answer, asked_at)

    def reader_timeout_s(self) -> float:
        """Return how long the followed reader may be silent.

        The timeout ends early when the mirror reaches its maximum age, because the store itself
        may answer at once. Waiting for two readers in full, one after the other, delayed the
        detection of a leaving engine by 2.8 s under heavy load, where 2 s are allowed. While the
        store is unreachable there is no better source, and the full timeout applies.
        """
        if self._outage.unreachable:
            return constants.RELAY_SILENCE_TIMEOUT_SECONDS
        left_s = self._limits.max_copy_age_s - self.freshness.age_s(clock.now_s())
        return min(constants.RELAY_SILENCE_TIMEOUT_SECONDS, max(0.0, left_s))

    async def _follow(self, reader: Member) -> None:
        self.followed = reader
        self._followed_since = clock.now_s()
        self._delegate.reader_followed(reader, store_lost=self._outage.unreachable)
        # If this reader is abandoned, the store is tried before another substitute.
        self._try_store_first = True
        self._reader_path = ()
        self.mirror.start_reading()
        try:
            await self._interruptible(self._relay.follow(reader.address, self.mirror.position))
        except RelayLostError as error:
            self._delegate.reader_lost(reader, str(error))
            # The remaining time is too short to connect to another reader and get its answer.
            if self.reader_timeout_s() < MIN_READER_TIMEOUT_S:
                self._reread = True
        finally:
            self.followed = None
        if self._reader_to_follow() is None:
            # A watch that delivers nothing would be detected only after the copy is too old.
            self._reread = True

    # Reads and watches of the store

    async def _step(self) -> None:
        reader = self._reader_to_follow()
        if reader is not None:
            await self._follow(reader)
            return
        if self._reread:
            first = not self.mirror.position
            await self._read_all()
            if first:
                # Members are discovered during this wait; a reader to follow makes a watch
                # unnecessary.
                await self._interruptible(asyncio.sleep(MEMBER_DISCOVERY_S))
            if first or self._reread:
                return
        await self._interruptible(self._watch_once())

    async def _interruptible(self, work: Awaitable[None]) -> None:
        """Await `work`; `_interrupt` can cancel it alone, so that `run` continues."""
        self._interruptible_task = asyncio.ensure_future(work)
        try:
            await asyncio.wait({self._interruptible_task})
            if not self._interruptible_task.cancelled():
                self._interruptible_task.result()
        finally:
            self._interruptible_task.cancel()
            self._interruptible_task = None

    def _interrupt(self) -> None:
        if self._interruptible_task is not None:
            self._interruptible_task.cancel()

    async def _read_all(self) -> None:
        self._reread = False
        self._try_store_first = False
        self.mirror.start_reading()
        asked_at = clock.now_s()
        known_at = self.mirror.position
        self._is_reading_range = True
        try:
            first_at, change = await self._read_pages()
        except StoreError:
            self._outage.record_read_failure()
            raise
        finally:
            self._is_reading_range = False
        if first_at < known_at:
            raise StoreUnavailableError(
                f"range page at position {first_at} is older than the mirror at {known_at}"
            )
        self._outage.record_success()
        self._answers.record_answer(asked_at, clock.now_s())
        self._note_connection(True)
        self._report_change(change)
        self._delegate.range_read(asked_at)
        self._record_read(first_at, asked_at)

    async def _read_pages(self) -> tuple[int, MirrorChange]:
        """Return the position of the first page, and the change that all pages make."""
        first_at = 0
        while True:
            page = await self._store.read_range(self._prefix, self.mirror.last_read_key())
            first_at = first_at or page.position
            if era_of(page.position) != era_of(first_at):
                raise HistoryGoneError(
                    f"range pages are of eras {era_of(first_at)} and {era_of(page.position)}"
                )
            change = self.mirror.add_page(page)
            if change is not None:
                return first_at, change

    async def _watch_once(self) -> None:
        started_at = clock.now_s()
        wait = constants.STORE_WATCH_SECONDS
        batch = await self._store.watch(self._prefix, self.mirror.position, wait)
        self._outage.record_success()
        self._note_connection(True)
        change = self.mirror.apply_batch(batch)
        if change.written or change.removed:
            self._report_change(change)
            await self._throttle(started_at, self._spacing_s())
            return
        self.freshness.record_position(self.mirror.position)
        if batch.changes:
            await self._throttle(started_at, IRRELEVANT_WATCH_SPACING_S)

    def _report_change(self, change: MirrorChange) -> None:
        """Report a change, with the time until which the mirror was complete before it."""
        self._delegate.mirror_changed(change, self.freshness.as_of)
        self.freshness.record_position(self.mirror.position)

    async def _throttle(self, started_at: float, spacing_s: float) -> None:
        """Wait after a watch that returned quickly, to batch changes: each call is billed."""
        self._last_spacing_s = spacing_s
        remaining_s = spacing_s - (clock.now_s() - started_at)
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    def _spacing_s(self) -> float:
        """Return the minimum time between the starts of two watches."""
        if self._delegate.is_assigned_reader():
            return constants.STORE_WATCH_SPACING_SECONDS
        return TEMPORARY_WATCH_SPACING_S

    def _note_connection(self, connected: bool) -> None:
        if connected != self.connected:
            self.connected = connected
            self._delegate.store_connection_changed(connected)
