"""Keeps the quarantine's entries in the store, each under a key of its own."""

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
from liftrill.gateway.quarantine_ports import QuarantineStorage
from liftrill.messages import peer_pb2 as messages

# Prefix of the records' keys; the fingerprint follows. Operators release a request by deleting it.
QUARANTINE_KEY_PREFIX = "liftrill/quarantine/"
# Wait after a failed write, if this node itself lost a run of the request.
OWN_WRITE_RETRY_S = 1.0
# A node without a loss of its own leaves the write to others for about this time: a write takes
# milliseconds, and all nodes learn of it within a fraction of a second.
OTHERS_WRITE_DELAY_S = 1.0
# Longer for nodes without a loss of their own, so that not all query an unreachable store at once.
OTHERS_WRITE_RETRY_S = 4.0
# Waits are randomized by this share in either direction.
JITTER_SHARE = 0.5


def fingerprint_of(key: str) -> bytes | None:
    """Return the fingerprint of the request whose record has a key, or None."""
    if not key.startswith(QUARANTINE_KEY_PREFIX):
        return None
    try:
        fingerprint = bytes.fromhex(key[len(QUARANTINE_KEY_PREFIX) :])
    except ValueError:
        return None
    return fingerprint if len(fingerprint) == FINGERPRINT_BYTES else None


def key_of(fingerprint: bytes) -> str:
    """Return the key of a request's record."""
    return QUARANTINE_KEY_PREFIX + fingerprint.hex()


def entry_of(item: StoredItem) -> QuarantineEntry | None:
    """Return the entry that an item holds, or None if its key is not a record's.

    Raises:
        DecodeError: the value is not a valid record.
    """
    fingerprint = fingerprint_of(item.key)
    if fingerprint is None:
        return None
    return entry_from_record(fingerprint, messages.QuarantineRecord.FromString(item.value))


@dataclass(frozen=True, slots=True)
class _Pending:
    """A record to write, or to delete if there is no entry, and when (by `liftrill.clock`)."""

    entry: QuarantineEntry | None
    due_at: float
    retry_s: float


def _jittered(wait_s: float) -> float:
    return wait_s * random.uniform(1.0 - JITTER_SHARE, 1.0 + JITTER_SHARE)


class QuarantineRecords(QuarantineStorage):
    """Writes and deletes records, and retries until the store has the change."""

    def __init__(self, store: RangeStore, mirror: StoreMirror, log: DecisionLog) -> None:
        self._store = store
        self._mirror = mirror
        self._log = log
        self._pending: dict[bytes, _Pending] = {}
        self._write_requested = asyncio.Event()

    def save(self, entry: QuarantineEntry, at_once: bool) -> None:
        """Write an entry, at once or unless another node does so soon."""
        now = clock.now_s()
        if at_once:
            pending = _Pending(entry, now, OWN_WRITE_RETRY_S)
        else:
            pending = _Pending(entry, now + _jittered(OTHERS_WRITE_DELAY_S), OTHERS_WRITE_RETRY_S)
        self._pending[entry.fingerprint] = pending
        self._write_requested.set()

    def delete(self, fingerprint: bytes) -> None:
        """Delete the record of a request."""
        self._pending[fingerprint] = _Pending(None, clock.now_s(), OTHERS_WRITE_RETRY_S)

    def read(self, item: StoredItem) -> QuarantineEntry | None:
        """Return the entry that an item of the store holds, or None if it is invalid."""
        try:
            return entry_of(item)
        except DecodeError as error:
            self._log.state_changed("record_refused", key=item.key, why=repr(error))
            return None

    async def write_due(self) -> None:
        """Write and delete the records that are due, one after the other."""
        self._write_requested.clear()
        for fingerprint, pending in list(self._pending.items()):
            if pending.due_at <= clock.now_s():
                await self._write(fingerprint, pending)

    async def wait(self, timeout_s: float) -> None:
        """Wait until a write is requested, but no longer than a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(ticks.until_tick_s(timeout_s)):
                await self._write_requested.wait()

    async def _write(self, fingerprint: bytes, pending: _Pending) -> None:
        key = key_of(fingerprint)
        known = self._mirror.get(key)
        if self._is_stored(known, pending.entry):
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
            # Another node wrote first, or the store is unreachable: check the mirror again later.
            if self._pending.get(fingerprint) is pending:
                due_at = clock.now_s() + _jittered(pending.retry_s)
                self._pending[fingerprint] = replace(pending, due_at=due_at)
            return
        if self._pending.get(fingerprint) is pending:
            del self._pending[fingerprint]

    def _is_stored(self, known: StoredItem | None, entry: QuarantineEntry | None) -> bool:
        """Return whether the store already has the change, or a newer entry."""
        if entry is None:
            return known is None
        recorded = self.read(known) if known else None
        return recorded is not None and recorded.quarantine_count >= entry.quarantine_count
