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
        """Return the origin of a stream, or None if it is not found.

        Of a stream with contradictory origins, the software version is empty.
        """


class RecordedVersions(ABC):
    """The software versions that served lately, recorded where they outlive all nodes."""

    @property
    @abstractmethod
    def initial(self) -> frozenset[ServiceVersion]:
        """The versions that were recorded when this node started."""

    @property
    @abstractmethod
    def lacks_history(self) -> bool:
        """Whether a fleet ran before this node started, and left no record."""

    @abstractmethod
    def of_service(self, service: str) -> set[str]:
        """Return the recorded versions of a service."""
