"""Applies the cache events of an engine, which may be late or lost, sans-IO."""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.cache.directory import PrefixDirectory


@dataclass(frozen=True, slots=True)
class BlockEvent:
    """One cache event; sequence numbers increase by one within an incarnation."""

    sequence: int
    stored: bool
    block_name: bytes


class EventStream:
    """The cache events of one engine."""

    def __init__(self, engine_id: str, directory: PrefixDirectory) -> None:
        self._engine_id = engine_id
        self._directory = directory
        self._incarnation: int | None = None
        self.next_sequence = 1
        self.gaps = 0

    def apply(self, incarnation: int, events: Sequence[BlockEvent], now: float) -> None:
        """Apply the next events of an incarnation.

        A new incarnation drops all beliefs about the engine; a gap shortens their validity. Late
        events of an earlier incarnation are ignored.
        """
        if self._incarnation is not None and incarnation < self._incarnation:
            return
        if incarnation != self._incarnation:
            self._start_incarnation(incarnation)
        for event in events:
            if event.sequence < self.next_sequence:
                continue
            if event.sequence > self.next_sequence:
                self.gaps += 1
                self._directory.halve_survival_time(self._engine_id, now)
            self.next_sequence = event.sequence + 1
            self._apply_event(incarnation, event, now)

    def _apply_event(self, incarnation: int, event: BlockEvent, now: float) -> None:
        if event.stored:
            self._directory.record_held(self._engine_id, incarnation, [event.block_name], now)
        else:
            self._directory.record_removed(self._engine_id, event.block_name)

    def _start_incarnation(self, incarnation: int) -> None:
        if self._incarnation is not None:
            self._directory.forget_engine(self._engine_id)
        self._incarnation = incarnation
        self.next_sequence = 1
