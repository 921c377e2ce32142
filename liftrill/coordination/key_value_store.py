"""Interface to the platform's key-value service.

The adapters are in `liftrill.node`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """The value of one key.

    Attributes:
        revision: the store's revision of the last change of the key; usable as a fencing token.
        session: the lease that holds the key, or an empty string.
    """

    key: str
    value: bytes
    revision: int
    session: str = ""


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One machine in the platform's list, which may be out of date."""

    machine_id: str
    service: str
    address: str
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class MachineList:
    """The platform's list of machines.

    Attributes:
        index: increases with each change of the list.
        refused: number of rows that are left out because they are invalid.
    """

    index: int
    machines: tuple[MachineEntry, ...]
    refused: int = 0


class KeyValueStore(ABC):
    """A key-value store with compare-and-swap, leases and watches.

    Every method raises `StoreUnavailableError` when the operation had no effect. Methods that
    write raise `StoreAnswerLostError` when the operation may have had an effect.
    """

    @abstractmethod
    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, or None if the key is absent."""

    @abstractmethod
    async def watch(self, key: str, after_revision: int, wait_seconds: float) -> StoredEntry | None:
        """Return the entry once its revision exceeds the given one, or after the wait."""

    @abstractmethod
    async def compare_and_swap(self, key: str, value: bytes, revision: int) -> bool:
        """Write a value if the key is still at a revision; 0 means that it must be absent."""

    @abstractmethod
    async def create_session(self, time_to_live_seconds: float) -> str:
        """Create a lease and return its identifier."""

    @abstractmethod
    async def renew_session(self, session: str) -> bool:
        """Renew a lease; return False if it has expired."""

    @abstractmethod
    async def acquire(self, key: str, value: bytes, session: str) -> StoredEntry | None:
        """Acquire a key for a lease; return its entry, or None if another lease holds it."""

    @abstractmethod
    async def watch_machines(self, after_index: int, wait_seconds: float) -> MachineList:
        """Return the list once its index differs from `after_index`, or after the wait."""
