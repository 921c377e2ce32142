"""What the weight controller asks of an adaptor to engines."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from liftrill.gateway.engines.engine_table import EngineView


class OrderAnswer(Enum):
    """What an engine said to an order."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "already_done"
    BUSY_OR_MOVED_ON = "busy_or_moved_on"
    STALE_FENCE = "stale_fence"
    NOT_NAMED = "not_named"
    GONE = "gone"
    UNREACHABLE = "unreachable"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class WeightOrder:
    """An order to load a version.

    Attributes:
        fence: the fencing token of the lease under which it is given.
        expected_sequence: how many orders the engine must have taken before.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_sequence: int


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's own report.

    Attributes:
        order_sequence: how many orders it has taken.
        busy: whether an order is under way.
    """

    weights: dict[str, int]
    order_sequence: int
    busy: bool


class OrderClient(ABC):
    """Gives orders to engines and reads their reports."""

    @abstractmethod
    async def order(self, view: EngineView, order: WeightOrder) -> OrderAnswer:
        """Give an order to one incarnation of an engine."""

    @abstractmethod
    async def report(self, view: EngineView) -> EngineStatus | None:
        """Return the report of one incarnation of an engine, or None without an answer."""
