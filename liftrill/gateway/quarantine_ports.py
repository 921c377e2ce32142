"""What the quarantine of one node asks of its surroundings; all calls are immediate."""

from abc import ABC, abstractmethod

from liftrill.coordination.crash_evidence import LostRun
from liftrill.gateway.quarantine_list import QuarantineEntry


class QuarantinePeers(ABC):
    """Tells all other nodes what this one has seen."""

    @abstractmethod
    def send_lost_runs(self, runs: list[LostRun]) -> None:
        """Tell of runs under which engines ended."""

    @abstractmethod
    def send_served(self, fingerprint: bytes) -> None:
        """Tell that a suspect was served."""

    @abstractmethod
    def send_quarantined(self, entry: QuarantineEntry, node: str = "") -> None:
        """Tell one node, or all, of a request that is kept from engines."""


class QuarantineStorage(ABC):
    """Keeps entries where nodes find them that start, or heard nothing for a while."""

    @abstractmethod
    def save(self, entry: QuarantineEntry, at_once: bool) -> None:
        """Keep an entry, at once or if no other node has done so soon."""

    @abstractmethod
    def delete(self, fingerprint: bytes) -> None:
        """Keep the entry of a request no longer."""
