"""What the search for a stream's origin needs to outlive all nodes."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from liftrill.gateway.streams.stream_origins import OriginEntry, ServiceVersion


class OriginStorage(ABC):
    """Keeps origins of streams where they outlive all nodes."""

    @abstractmethod
    def save(self, entries: Iterable[OriginEntry]) -> None:
        """Write origins soon, without a wait for them."""

    @abstractmethod
    async def find(self, key: int) -> ServiceVersion | None:
        """Return the origin of a stream, or None if there is none.

        Of a stream with contradictory origins, the software version is empty.

        Raises:
            StoreError: the origins could not be read.
        """


class RecordedVersions(ABC):
    """The software versions that served lately, recorded where they outlive all nodes."""

    @property
    @abstractmethod
    def lacks_history(self) -> bool:
        """Whether versions may have served before this node started that are not recorded."""

    @property
    @abstractmethod
    def retention_s(self) -> float:
        """For how long versions that left are kept: the longest life of a stream."""

    @abstractmethod
    def copy_age_s(self, now: float) -> float:
        """Return since when the copy of the store may lack changes."""

    @abstractmethod
    def note_lifetime(self, lifetime_s: float) -> None:
        """Note for how long a stream may be resumed."""

    @abstractmethod
    def of_service(self, service: str) -> set[str]:
        """Return the versions of a service that are recorded, or were until lately."""

    @abstractmethod
    def read_at(self, version: ServiceVersion) -> float | None:
        """Return when this node first read that a version is recorded, or None."""

    @abstractmethod
    async def confirm(self, until: float) -> None:
        """Make sure that this node knows all versions that were recorded before a time.

        Raises:
            StoreError: it may lack some, and the record could not be read.
        """

    @abstractmethod
    def is_trusted_unread(self, until: float) -> bool:
        """Return whether peers can confirm what this node knows, as the store cannot be read."""
