"""Estimates how long requests hold the slots of engines."""

from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.engines.engine_table import EngineView

# Weight of each sample in the moving average: about ten answers show a change.
SAMPLE_WEIGHT = 0.1


@dataclass(slots=True)
class SlotTimes:
    """Average time that requests hold an engine slot, per service.

    Attributes:
        first_s: assumed time of a service before any was observed.
    """

    first_s: float = constants.INITIAL_SLOT_HOLD_S
    _times_s: dict[str, float] = field(default_factory=dict)

    def record(self, service: str, held_s: float) -> None:
        """Record how long a request held its slot."""
        known_s = self._times_s.get(service, self.first_s)
        self._times_s[service] = known_s + SAMPLE_WEIGHT * (held_s - known_s)

    def wait_s(self, service: str, requests: int, slots: int) -> float:
        """Return the expected wait of one more request for a slot of an engine."""
        ahead = requests + 1 - slots
        if ahead <= 0:
            return 0.0
        return ahead * self._times_s.get(service, self.first_s) / slots

    def engine_wait_s(self, view: EngineView) -> float:
        """Return the expected wait of one more request for a slot of an engine, as it is now."""
        record = view.record
        return self.wait_s(record.service, view.requests, record.slots)
