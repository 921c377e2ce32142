"""What the gateway asks of an adaptor that knows how records lie in the store."""

from abc import ABC, abstractmethod

from liftrill.coordination.range_store import StoredItem
from liftrill.errors import LiftrillError
from liftrill.gateway.records import EngineRecord, GatewayConfiguration, WeightTarget


class RecordError(LiftrillError):
    """A record in the store cannot be understood."""


StoreRecord = GatewayConfiguration | EngineRecord | WeightTarget


class RecordDecoder(ABC):
    """Turns items of the store into records."""

    @property
    @abstractmethod
    def configuration_key(self) -> str:
        """The key of the operator's configuration."""

    @abstractmethod
    def decode(self, item: StoredItem) -> StoreRecord | None:
        """Return what an item holds, or None if it is of no concern.

        Raises:
            RecordError: it cannot be understood.
        """

    @abstractmethod
    def engine_of(self, key: str) -> str | None:
        """Return the engine whose record a key is, or None."""
