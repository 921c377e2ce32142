"""What nodes know of engines and the engines' records do not say, for nodes that join."""

from dataclasses import dataclass

from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimit


@dataclass(frozen=True, slots=True)
class WithheldRecord:
    """A record that names no engine to be used, until a later one of the same engine.

    Attributes:
        revision: its position in the store.
    """

    engine_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class SeenWeights:
    """Weights that an engine was seen to have."""

    engine: EngineAddress
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class EngineUpdate:
    """What a node that joins can't read in the store.

    Attributes:
        leaving: engines that want no new work.
        withheld: records that are not used: of an older copy of the store, or unreadable.
        weights: newer ones than the engines' records tell.
        limits: how many requests engines take from all nodes together.
    """

    leaving: tuple[EngineAddress, ...] = ()
    withheld: tuple[WithheldRecord, ...] = ()
    weights: tuple[SeenWeights, ...] = ()
    limits: tuple[EngineLimit, ...] = ()
