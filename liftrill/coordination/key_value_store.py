"""The platform's key-value service as the rest of the system sees it.

Adaptors live in `liftrill.node`; this module only says what they must provide.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """One key's value.

    Attributes:
        revision: grows with each change in the store; also serves as a fencing token.
        session: the lease that holds the key, or an empty string.
    """

    key: str
    value: bytes
    revision: int
    session: str = ""


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One line of the platform's list of machines, which lags behind the truth."""

    machine_id: str
    service: str
    address: str
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class MachineList:
    """The platform's list of machines.

    Attributes:
        index: grows with each change of the list.
    """

    index: int
    machines: tuple[MachineEntry, ...]


class KeyValueStore(ABC):
    """Compare-and-swap, leases and watches.

    Every method raises `StoreUnavailableError` when the operation certainly had no
    effect. Methods that write raise `StoreAnswerLostError` when it may have had one.
    """

    @abstractmethod
    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of a key, or None if there is none."""

    @abstractmethod
    async def watch(self, key: str, after_revision: int, wait_seconds: float) -> StoredEntry | None:
        """Return the entry once its revision exceeds the given one, or as it is after the wait."""

    @abstractmethod
    async def compare_and_swap(self, key: str, value: bytes, revision: int) -> bool:
        """Write a value if the key is still at a revision; revision 0 means it must not exist."""

    @abstractmethod
    async def create_session(self, time_to_live_seconds: float) -> str:
        """Create a lease and return its identifier."""

    @abstractmethod
    async def renew_session(self, session: str) -> bool:
        """Renew a lease; False if it has lapsed."""

    @abstractmethod
    async def acquire(self, key: str, value: bytes, session: str) -> StoredEntry | None:
        """Take a key for a lease; the entry if it is now held by it, otherwise None."""

    @abstractmethod
    async def watch_machines(self, after_index: int, wait_seconds: float) -> MachineList:
        """Return the list of machines once its index differs, or as it is after the wait."""
