"""Keeps the requests in quarantine in the store, one key each."""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, replace

from google.protobuf.message import DecodeError

from liftrill import clock
from liftrill.coordination.range_store import (
    Expectation,
    PutItem,
    RangeStore,
    StoredItem,
)
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreError
from liftrill.gateway import ticks
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.opaque_request import FINGERPRINT_BYTES
from liftrill.gateway.quarantine_codec import entry_from_record, record_of
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.quarantine_ports import QuarantineKeeper
from liftrill.messages import peer_pb2 as messages

# One key for each request, named by its fingerprint: an operator releases it by removing it.
QUARANTINE_PREFIX = "liftrill/quarantine/"
# How long to wait after a write that failed (guess).
OWN_RETRY_S = 1.0
# A node that judged by what others told leaves the writing to them for about so long: a write
# takes some milliseconds, and is heard by all within a fraction of a second.
OTHERS_WRITE_WITHIN_S = 1.0
# Many nodes must not ask a store together that is away (guess).
OTHERS_RETRY_S = 4.0
# Waits differ by this share either way.
SPREAD = 0.5


def fingerprint_of(key: str) -> bytes | None:
    """Return the request whose record a key is, or None."""
    if not key.startswith(QUARANTINE_PREFIX):
        return None
    try:
        fingerprint = bytes.fromhex(key[len(QUARANTINE_PREFIX) :])
    except ValueError:
        return None
    return fingerprint if len(fingerprint) == FINGERPRINT_BYTES else None


def key_of(fingerprint: bytes) -> str:
    """Return the key of a request's record."""
    return QUARANTINE_PREFIX + fingerprint.hex()


def entry_of(item: StoredItem) -> QuarantineEntry | None:
    """Return the entry that an item holds, or None if it holds none.

    Raises:
        DecodeError: the value is no record.
    """
    fingerprint = fingerprint_of(item.key)
    if fingerprint is None:
        return None
    return entry_from_record(fingerprint, messages.QuarantineRecord.FromString(item.value))


@dataclass(frozen=True, slots=True)
class _Pending:
    """A record to write, or with no entry to remove, and when (by `liftrill.clock`)."""

    entry: QuarantineEntry | None
    due_at: float
    retry_s: float


def _spread(wait_s: float) -> float:
    return wait_s * random.uniform(1.0 - SPREAD, 1.0 + SPREAD)


class QuarantineRecords(QuarantineKeeper):
    """Writes records until the store has them."""

    def __init__(self, store: RangeStore, mirror: StoreMirror, log: DecisionLog) -> None:
        self._store = store
        self._mirror = mirror
        self._log = log
        self._pending: dict[bytes, _Pending] = {}
        self._asked = asyncio.Event()

    def keep(self, entry: QuarantineEntry, at_once: bool) -> None:
        """Write an entry, at once or unless another node has done so soon."""
        now = clock.now_s()
        if at_once:
            pending = _Pending(entry, now, OWN_RETRY_S)
        else:
            pending = _Pending(entry, now + _spread(OTHERS_WRITE_WITHIN_S), OTHERS_RETRY_S)
        self._pending[entry.fingerprint] = pending
        self._asked.set()

    def drop(self, fingerprint: bytes) -> None:
        """Remove the record of a request."""
        self._pending[fingerprint] = _Pending(None, clock.now_s(), OTHERS_RETRY_S)

    def read(self, item: StoredItem) -> QuarantineEntry | None:
        """Return the entry that an item of the store holds, or None."""
        try:
            return entry_of(item)
        except DecodeError as error:
            self._log.state_changed("record_refused", key=item.key, why=repr(error))
            return None

    async def write_due(self) -> None:
        """Write what is due, one record after the other."""
        self._asked.clear()
        for fingerprint, pending in list(self._pending.items()):
            if pending.due_at <= clock.now_s():
                await self._write(fingerprint, pending)

    async def wait(self, longest_s: float) -> None:
        """Wait until there is something to keep, or for a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ticks.until_tick_s(longest_s)):
                await self._asked.wait()

    async def _write(self, fingerprint: bytes, pending: _Pending) -> None:
        key = key_of(fingerprint)
        known = self._mirror.get(key)
        if self._is_done(known, pending.entry):
            self._pending.pop(fingerprint, None)
            return
        expected = (Expectation(key, known.revision if known else 0),)
        puts = (
            (PutItem(key, record_of(pending.entry).SerializeToString()),) if pending.entry else ()
        )
        removed = () if pending.entry else (key,)
        try:
            await self._store.transact(expected, puts, removed)
        except StoreError as error:
            self._log.state_changed("quarantine_not_written", key=key, why=repr(error))
            # Another node was first, or the store is away: look again once the mirror tells.
            if self._pending.get(fingerprint) is pending:
                due_at = clock.now_s() + _spread(pending.retry_s)
                self._pending[fingerprint] = replace(pending, due_at=due_at)
            return
        if self._pending.get(fingerprint) is pending:
            del self._pending[fingerprint]

    def _is_done(self, known: StoredItem | None, entry: QuarantineEntry | None) -> bool:
        """Return whether the store has what is to be written, or something later."""
        if entry is None:
            return known is None
        recorded = self.read(known) if known else None
        return recorded is not None and recorded.times >= entry.times
