"""Keeps the origins of streams in the store, for a restart of all nodes at once.

While several software versions serve, a few nodes write the origins of all streams in batches; no
stream waits for them. A batch is bound to a lease, so that it goes once its streams can no longer
be resumed. Only nodes that resume a stream of unknown origin read them.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from google.protobuf.message import DecodeError

from liftrill import clock
from liftrill.coordination.range_store import LeaseGoneError, PutItem, RangeStore, StoredItem
from liftrill.errors import StoreAnswerLostError, StoreError, StoreUnavailableError
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.streams.origin_ports import OriginStorage
from liftrill.gateway.streams.stream_origins import KEY_BYTES, OriginEntry, ServiceVersion
from liftrill.messages import peer_pb2 as messages

ORIGINS_KEY_PREFIX = "liftrill/origins/"
# Streams that began this long before all nodes end cannot be resumed.
WRITE_SPACING_S = 0.05
WRITE_RETRY_S = 1.0
# A batch is written again with each addition, so that it is closed after this time.
BATCH_SPAN_S = 0.25
# The batches of this time share a lease.
LEASE_SPAN_S = 10.0
# The store's limit.
MAX_LEASE_S = 600.0
# A read serves all streams that are resumed within this time.
READ_LIFETIME_S = 0.25
READ_TIMEOUT_S = 0.5
# A failure is repeated to those that ask within this time.
READ_RETRY_S = 0.1

_Result = TypeVar("_Result")


class SharedRead(Generic[_Result]):
    """A read of the store whose result, or failure, serves all that ask for it meanwhile."""

    def __init__(self, read: Callable[[], Coroutine[Any, Any, _Result]]) -> None:
        self._read = read
        self._task: asyncio.Task[_Result] | None = None
        self._sent_at = 0.0

    async def result(self, since: float) -> _Result:
        """Return the result of a read that was sent at a time or later.

        Raises:
            StoreError: the store could not be read in time.
        """
        if self._task is None or self._sent_at < since or self._may_retry(self._task):
            self._sent_at = clock.now_s()
            self._task = asyncio.ensure_future(self._read())
            self._task.add_done_callback(_retrieve_error)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await asyncio.shield(self._task)
        except TimeoutError:
            raise StoreUnavailableError(f"no answer within {READ_TIMEOUT_S} s") from None

    def _may_retry(self, task: asyncio.Task[_Result]) -> bool:
        """Return whether a read has failed some time ago."""
        has_failed = task.done() and (task.cancelled() or task.exception() is not None)
        return has_failed and clock.now_s() - self._sent_at >= READ_RETRY_S


def _retrieve_error(read: asyncio.Task[Any]) -> None:
    """Mark the error of a read as handled; those that wait for the read log it."""
    with suppress(asyncio.CancelledError):
        read.exception()


@dataclass(frozen=True, slots=True)
class _Lease:
    """A lease of batches, for batches that are begun before `closes_at`."""

    number: int
    closes_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Batch:
    """The origins under one key, to which others are added before `closes_at`."""

    key: str
    lease: _Lease
    closes_at: float
    entries: dict[int, OriginEntry] = field(default_factory=dict)


class OriginRecords(OriginStorage):
    """Writes the origins that this node is to write, and reads those that all wrote."""

    def __init__(self, store: RangeStore, key_prefix: str, log: DecisionLog) -> None:
        self._store = store
        self._key_prefix = key_prefix
        self._log = log
        self._unwritten: dict[int, OriginEntry] = {}
        self._lease: _Lease | None = None
        self._batch: _Batch | None = None
        self._batch_count = 0
        self._requested = asyncio.Event()
        self._read = SharedRead(self._read_all)

    def save(self, entries: Iterable[OriginEntry]) -> None:
        """Write origins soon."""
        self._unwritten |= {entry.key: entry for entry in entries}
        if self._unwritten:
            self._requested.set()

    async def run(self) -> None:
        """Write saved origins, at most as often as the limits allow."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            try:
                await self._write()
                pause_s = WRITE_SPACING_S
            except StoreError as error:
                self._log.state_changed(
                    "origins_not_written", count=len(self._unwritten), why=repr(error)
                )
                pause_s = WRITE_RETRY_S
                self._requested.set()
            await asyncio.sleep(pause_s)

    async def _write(self) -> None:
        now = clock.now_s()
        self._unwritten = {
            k: entry for k, entry in self._unwritten.items() if entry.expires_at > now
        }
        written = list(self._unwritten.values())
        if not written:
            return
        batch = await self._batch_for(max(entry.expires_at for entry in written), now)
        batch.entries.update((entry.key, entry) for entry in written)
        put = PutItem(batch.key, _value(batch.entries.values()), batch.lease.number)
        try:
            await self._store.transact((), (put,))
        except LeaseGoneError:
            self._unwritten |= batch.entries
            self._lease = self._batch = None
            raise
        except StoreAnswerLostError:
            # The write may be carried out after a later one, which must have another key.
            self._batch = None
            raise
        for entry in written:
            self._unwritten.pop(entry.key, None)

    async def _batch_for(self, expires_at: float, now: float) -> _Batch:
        """Return the batch for origins that expire by a time."""
        lease = await self._lease_for(min(expires_at, now + MAX_LEASE_S - LEASE_SPAN_S), now)
        batch = self._batch
        if batch is None or now >= batch.closes_at or batch.lease is not lease:
            self._batch_count += 1
            key = f"{self._key_prefix}{self._batch_count}"
            batch = self._batch = _Batch(key, lease, now + BATCH_SPAN_S)
        return batch

    async def _lease_for(self, expires_at: float, now: float) -> _Lease:
        lease = self._lease
        if lease is None or now >= lease.closes_at or expires_at > lease.expires_at:
            duration_s = expires_at - now + LEASE_SPAN_S
            number = await self._store.grant_lease(duration_s)
            lease = self._lease = _Lease(number, now + LEASE_SPAN_S, now + duration_s)
        return lease

    async def find(self, key: int) -> ServiceVersion | None:
        """Return the origin of a stream, or None if the store does not have it.

        Of a stream with contradictory origins, the software version is empty.

        Raises:
            StoreError: the origins could not be read in time.
        """
        items = await self._read.result(clock.now_s() - READ_LIFETIME_S)
        found = {origin for item in items if (origin := self._origin_in(item, key)) is not None}
        if len(found) > 1:
            return ServiceVersion(found.pop().service, "")
        return found.pop() if found else None

    def _origin_in(self, item: StoredItem, key: int) -> ServiceVersion | None:
        """Return the origin of a stream in an item, or None."""
        # Few items have the key: only these are parsed.
        if key.to_bytes(KEY_BYTES, "little") not in item.value:
            return None
        try:
            groups = messages.StoredOrigins.FromString(item.value).groups
        except DecodeError as error:
            self._log.state_changed("record_refused", key=item.key, why=repr(error))
            return None
        for group in groups:
            if key in group.keys:
                return ServiceVersion(group.origin.service, group.origin.software_version)
        return None

    async def _read_all(self) -> tuple[StoredItem, ...]:
        items: list[StoredItem] = []
        after = ""
        while True:
            page = await self._store.read_range(ORIGINS_KEY_PREFIX, after)
            items += page.items
            if not page.more or not page.items:
                return tuple(items)
            after = page.items[-1].key


def _value(entries: Iterable[OriginEntry]) -> bytes:
    """Return the stored form of some origins."""
    by_origin: dict[ServiceVersion, list[int]] = {}
    for entry in entries:
        by_origin.setdefault(entry.origin, []).append(entry.key)
    groups = [
        messages.OriginGroup(
            origin=messages.ServiceVersion(
                service=origin.service, software_version=origin.software_version
            ),
            keys=keys,
        )
        for origin, keys in by_origin.items()
    ]
    return messages.StoredOrigins(groups=groups).SerializeToString()
