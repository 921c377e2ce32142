"""What engines say of themselves in their answers."""

from dataclasses import dataclass

from liftrill.gateway.delivery_events import EngineAddress


@dataclass(frozen=True, slots=True)
class EngineWord:
    """What an answer says of the engine that gave it.

    Attributes:
        source: what kind of call it answers.
        status: the HTTP status of the answer.
        leaving: whether the engine is about to end, and wants no new work.
        rest_s: for how long it wants nothing from this node, or 0.
    """

    engine: EngineAddress
    source: str
    status: int
    leaving: bool = False
    rest_s: float = 0.0
