"""Interface to a store with range reads, transactions, leases and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from liftrill.errors import StoreError


class HistoryGoneError(StoreError):
    """The store no longer has the changes that a watch requested: read the range again."""


class LeaseGoneError(StoreError):
    """The lease expired or was revoked."""


class ConditionFailedError(StoreError):
    """A key was not at the expected revision; the transaction changed nothing."""


@dataclass(frozen=True, slots=True)
class StoredItem:
    """The value of one key.

    Attributes:
        revision: the store's revision of the last change; usable as a fencing token.
        lease: the lease that the key is bound to, or 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class RemovedItem:
    """A key that was removed."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class RangePage:
    """One page of the items of a range, ordered by key.

    Attributes:
        position: the position of the store when the page was read.
        more: whether the range has items after this page.
    """

    items: tuple[StoredItem, ...]
    position: int
    more: bool


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after a position, oldest first; the next watch continues after `position`."""

    changes: tuple[StoredItem | RemovedItem, ...]
    position: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The result of a linearizable read: the item or None, and the position of the store."""

    item: StoredItem | None
    position: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """A transaction condition: the key is at a revision; 0 means that it is absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class PutItem:
    """A key to write, and the lease to bind it to, or 0."""

    key: str
    value: bytes
    lease: int = 0


class RangeStore(ABC):
    """A store with range reads, transactions, leases and watches.

    Every method raises `StoreUnavailableError` when the operation had no effect. Methods that
    write raise `StoreAnswerLostError` when the operation may have had an effect, or may still
    have one.
    """

    @abstractmethod
    async def read(self, key: str) -> ReadResult:
        """Return one key by a linearizable read."""

    @abstractmethod
    async def read_range(self, prefix: str, after: str) -> RangePage:
        """Return one page of the keys with a prefix that follow the key `after`."""

    @abstractmethod
    async def watch(self, prefix: str, after_revision: int, wait_seconds: float) -> WatchBatch:
        """Return the changes after a revision, or none after the wait.

        Raises:
            HistoryGoneError: the store no longer has these changes.
        """

    @abstractmethod
    async def transact(
        self,
        expected: tuple[Expectation, ...],
        puts: tuple[PutItem, ...],
        removed: tuple[str, ...] = (),
    ) -> int:
        """Write all changes or none, and return the revision.

        Raises:
            ConditionFailedError: an expectation does not hold.
            LeaseGoneError: the lease of an item to write expired or was revoked.
        """

    @abstractmethod
    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease, whose time starts when the store receives the call."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseGoneError: the lease expired or was revoked.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove the keys bound to it."""
