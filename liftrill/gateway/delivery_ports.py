"""What the delivery of a request asks of its node."""

from abc import ABC, abstractmethod
from enum import Enum, auto

from liftrill.gateway import delivery_events as events
from liftrill.gateway.opaque_request import OpaqueRequest


class Unavailable(Enum):
    """Why no engine could be chosen for a request."""

    NONE_READY = auto()
    FULL = auto()
    NONE_LEFT = auto()
    QUARANTINED = auto()
    TOO_LATE = auto()
    PAUSED = auto()
    VERSION_GONE = auto()


class DeliveryPorts(ABC):
    """Functions of the node that the state machine calls; none of them blocks."""

    @abstractmethod
    def choose(
        self, request: OpaqueRequest, excluded: frozenset[str], may_wait: bool = True
    ) -> events.EngineChoice | Unavailable:
        """Return an engine whose id is not excluded, or why there is none.

        Whether it crashes engines is awaited only if it may wait, and else judged by what is known.
        """

    @abstractmethod
    def choose_again(
        self, request: OpaqueRequest, interrupted: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return the engine of an interrupted run for a new run, or None if it takes none."""

    @abstractmethod
    def continue_at_backup(
        self, request: OpaqueRequest, interrupted: events.EngineChoice
    ) -> events.EngineChoice | None:
        """Return how to continue an interrupted run at its backup, or None if it cannot."""

    @abstractmethod
    def may_begin(self) -> bool:
        """Return whether a request that no engine has received may be sent to one."""

    @abstractmethod
    def has_engine(self, request: OpaqueRequest, excluded: frozenset[str]) -> bool:
        """Return whether an engine that is not excluded takes requests, by any path."""

    @abstractmethod
    def has_other_path(self, request: OpaqueRequest, choice: events.EngineChoice) -> bool:
        """Return whether to try an engine again that could not be reached by one path."""

    @abstractmethod
    def try_spend_retry(self, request: OpaqueRequest) -> bool:
        """Take one retry from the retry budget of the request's service."""

    @abstractmethod
    def retry_after_seconds(self, request: OpaqueRequest) -> float:
        """Return after how many seconds the caller of a refused request should retry."""
