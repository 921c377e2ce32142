"""Which shared prompt parts this node has seen read or saved lately."""

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PartKey:
    """A shared part under one cache salt."""

    salt: str
    part_id: str


@dataclass(slots=True)
class PrefixDirectory:
    """Remembers, in bounded memory, the parts that were sent to the kept store.

    Attributes:
        capacity: how many parts are remembered.
        lifetime_seconds: after which a part is saved again: the store may have dropped it.
    """

    capacity: int = 4_096
    lifetime_seconds: float = 20.0
    _saved_at: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)

    def is_saved(self, part: PartKey, now: float) -> bool:
        """Return whether the store is believed to have a part."""
        saved_at = self._saved_at.get(part)
        return saved_at is not None and now - saved_at < self.lifetime_seconds

    def record_saved(self, part: PartKey, now: float) -> None:
        """Note that a part was sent to the store."""
        self._saved_at[part] = now
        self._saved_at.move_to_end(part)
        if len(self._saved_at) > self.capacity:
            self._saved_at.popitem(last=False)
