"""A store with ranges, transactions, leases and watches, as the rest of the system sees it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from liftrill.errors import StoreError


class HistoryGoneError(StoreError):
    """The store has forgotten the changes that a watch asked for: read the range again."""


class LeaseGoneError(StoreError):
    """The lease has run out or was ended."""


class ConditionFailedError(StoreError):
    """A key was not at the expected revision; nothing was changed."""


@dataclass(frozen=True, slots=True)
class StoredItem:
    """One key's value.

    Attributes:
        revision: the store's counter at the last change; serves as a fencing token.
        lease: the lease that the key goes with, or 0.
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
    """Some items of a range, in order of their keys.

    Attributes:
        at: the store's revision when the page was read.
        more: whether further items follow the last one.
    """

    items: tuple[StoredItem, ...]
    position: int
    more: bool


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after a revision, oldest first; `at` is where the next watch goes on."""

    changes: tuple[StoredItem | RemovedItem, ...]
    position: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A linearizable reading of one key: the item or None, at a revision of the store."""

    item: StoredItem | None
    position: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """A condition: the key is at a revision; 0 means that it is absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class PutItem:
    """A key to write, with the lease that it goes with, or 0."""

    key: str
    value: bytes
    lease: int = 0


class RangeStore(ABC):
    """Every method raises `StoreUnavailableError` when the operation certainly had no effect.

    Methods that write raise `StoreAnswerLostError` when it may have had one, or may yet.
    """

    @abstractmethod
    async def read(self, key: str) -> ReadResult:
        """Read one key, linearizably."""

    @abstractmethod
    async def read_range(self, prefix: str, after: str) -> RangePage:
        """Read one page of the keys with a prefix, those after a key."""

    @abstractmethod
    async def watch(self, prefix: str, after_revision: int, wait_seconds: float) -> WatchBatch:
        """Return changes after a revision, or none after the wait.

        Raises:
            HistoryGoneError: the store no longer has them.
        """

    @abstractmethod
    async def transact(
        self,
        expected: tuple[Expectation, ...],
        puts: tuple[PutItem, ...],
        removed: tuple[str, ...] = (),
    ) -> int:
        """Write all or nothing and return the revision.

        Raises:
            ConditionFailedError: an expectation does not hold.
            LeaseGoneError: a lease of the items to write is over.
        """

    @abstractmethod
    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease; it runs from the arrival of the call."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseGoneError: it is over.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease; its keys go with it."""
