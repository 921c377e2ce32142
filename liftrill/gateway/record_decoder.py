"""Interface of the adapter that decodes the records in the store."""

from abc import ABC, abstractmethod

from liftrill.coordination.range_store import StoredItem
from liftrill.errors import LiftrillError
from liftrill.gateway.records import EngineRecord, GatewayConfiguration, WeightTarget

# An error may contain values of the record, which may be long.
MAX_ERROR_CHARACTERS = 200


class RecordError(LiftrillError, ValueError):
    """A record in the store cannot be decoded."""


StoreRecord = GatewayConfiguration | EngineRecord | WeightTarget


class RecordDecoder(ABC):
    """Decodes items of the store into records."""

    @property
    @abstractmethod
    def configuration_key(self) -> str:
        """The key of the operator's configuration."""

    def decode(self, item: StoredItem) -> StoreRecord | None:
        """Return the record of an item, or None if the gateway does not use the item.

        Raises:
            RecordError: the item cannot be decoded.
        """
        try:
            return self.parse(item)
        except RecordError:
            raise
        except Exception as error:
            # Any writer may have written the item, and a failure must not reach the reader's loop.
            raise RecordError(f"{item.key}: {error!r:.{MAX_ERROR_CHARACTERS}}") from error

    @abstractmethod
    def parse(self, item: StoredItem) -> StoreRecord | None:
        """Return the record of an item, or None; raise any exception for an invalid item."""

    @abstractmethod
    def engine_of(self, key: str) -> str | None:
        """Return the id of the engine whose record has this key, or None for other keys."""
