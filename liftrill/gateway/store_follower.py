"""Keeps a mirror of the store's range for as long as the node runs."""

import asyncio
import random
import time
from collections.abc import Callable

from liftrill import constants
from liftrill.coordination.range_store import HistoryGoneError, RangeStore
from liftrill.coordination.store_mirror import MirrorChange, StoreMirror
from liftrill.errors import StoreError


class StoreFollower:
    """Reads the range once, then watches it, and begins anew where history is gone.

    Attributes:
        mirror: the copy.
        connected: whether the last call was answered.
    """

    def __init__(
        self,
        store: RangeStore,
        prefix: str,
        on_change: Callable[[MirrorChange], None],
        on_connection: Callable[[bool], None],
    ) -> None:
        self.mirror = StoreMirror()
        self.connected = False
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_connection = on_connection
        self._failures = 0
        self._reread = True
        self._watching: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Follow the range until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._reread = True
            except StoreError:
                self._note_connection(False)
                await self._back_off()

    def read_again(self) -> None:
        """Read the whole range soon: something shows that the watch has missed changes."""
        self._reread = True
        if self._watching is not None:
            self._watching.cancel()

    async def _step(self) -> None:
        if self._reread:
            await self._read_all()
        # The watch is a task of its own so that `read_again` can end it alone.
        self._watching = asyncio.ensure_future(self._watch_once())
        try:
            await asyncio.wait({self._watching})
            if not self._watching.cancelled():
                self._watching.result()
        finally:
            self._watching.cancel()
            self._watching = None

    async def _read_all(self) -> None:
        self._reread = False
        self.mirror.begin_reading()
        change: MirrorChange | None = None
        try:
            while change is None:
                page = await self._store.read_range(self._prefix, self.mirror.next_page_after())
                change = self.mirror.take_page(page)
        except StoreError:
            self._reread = True
            raise
        self._note_connection(True)
        self._on_change(change)

    async def _watch_once(self) -> None:
        started_at = time.monotonic()
        wait = constants.STORE_WATCH_SECONDS
        batch = await self._store.watch(self._prefix, self.mirror.at, wait)
        self._note_connection(True)
        if batch.changes:
            self._on_change(self.mirror.take_batch(batch))
            await self._pace(started_at)
        else:
            self.mirror.take_batch(batch)

    async def _pace(self, started_at: float) -> None:
        """Let changes gather after one that came quickly: each call is paid for."""
        rest = constants.STORE_WATCH_SPACING_SECONDS - (time.monotonic() - started_at)
        if rest > 0:
            await asyncio.sleep(rest)

    async def _back_off(self) -> None:
        self._reread = True
        self._failures += 1
        longest = constants.STORE_RETRY_FIRST_SECONDS * 2 ** min(self._failures, 4)
        await asyncio.sleep(random.uniform(constants.STORE_RETRY_FIRST_SECONDS, longest))

    def _note_connection(self, connected: bool) -> None:
        if connected:
            self._failures = 0
        if connected != self.connected:
            self.connected = connected
            self._on_connection(connected)
