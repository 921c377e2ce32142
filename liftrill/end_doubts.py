"""Remembers which peers sent bytes after the last chunk of a response, sans-IO."""

# For how long the ends of a peer's responses are doubted after such bytes.
DOUBT_S = 300.0


class EndDoubts:
    """The peers whose last chunks may come early, by address."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, address: str, now: float) -> None:
        """Doubt the ends of a peer's responses from now on."""
        self._until = {known: until for known, until in self._until.items() if until > now}
        self._until[address] = now + DOUBT_S

    def has(self, address: str, now: float) -> bool:
        """Return whether the ends of a peer's responses are doubted."""
        return self._until.get(address, 0.0) > now
