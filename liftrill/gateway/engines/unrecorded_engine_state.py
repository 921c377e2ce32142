"""Engine state that nodes know beyond the engines' records, sent to joining nodes."""

from dataclasses import dataclass

from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimit


@dataclass(frozen=True, slots=True)
class WithheldRecord:
    """A record that does not make its engine usable, until a later one of the same engine.

    Attributes:
        revision: the revision of the record in the store.
    """

    engine_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class SeenWeights:
    """A weight version of one model that was observed at an engine."""

    engine: EngineAddress
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class UnrecordedEngineState:
    """Engine state that a joining node cannot read from the store.

    Attributes:
        leaving: engines that take no new requests.
        withheld: records that are not used: unreadable, or from an older copy of the store.
        weights: observed versions newer than those in the engines' records.
        limits: rate limits that engines impose on all nodes together.
    """

    leaving: tuple[EngineAddress, ...] = ()
    withheld: tuple[WithheldRecord, ...] = ()
    weights: tuple[SeenWeights, ...] = ()
    limits: tuple[EngineLimit, ...] = ()
