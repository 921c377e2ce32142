"""Interface between the weight controller and the adapter that sends orders to engines."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from liftrill.gateway.engines.engine_table import EngineView


class OrderAnswer(Enum):
    """The outcome of an order to an engine."""

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
    """An order to load a weight version.

    Attributes:
        fence: the fencing token of the lease under which the order is sent.
        expected_sequence: how many orders the engine must have accepted before this one.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_sequence: int


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """The status that an engine reports of itself.

    Attributes:
        weights: weight version by model.
        order_sequence: how many orders the engine has accepted.
        busy: whether the engine is carrying out an order.
    """

    weights: dict[str, int]
    order_sequence: int
    busy: bool


class OrderClient(ABC):
    """Sends orders to engines and reads their status reports."""

    @abstractmethod
    async def order(self, view: EngineView, order: WeightOrder) -> OrderAnswer:
        """Send an order to one incarnation of an engine."""

    @abstractmethod
    async def report(self, view: EngineView) -> EngineStatus | None:
        """Return the status of one incarnation of an engine, or None if it did not answer."""
