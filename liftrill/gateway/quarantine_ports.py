"""Functions of the node that the quarantine calls; none of them blocks."""

from abc import ABC, abstractmethod

from liftrill.coordination.lost_runs import LostRun
from liftrill.gateway.quarantine_list import QuarantineEntry


class QuarantinePeers(ABC):
    """Sends this node's observations to all other nodes."""

    @abstractmethod
    def send_lost_runs(self, runs: list[LostRun]) -> None:
        """Report runs that were lost with engines that ended."""

    @abstractmethod
    def send_served(self, subject: bytes, environment: int = 0) -> None:
        """Report that a suspect request, or a part of prompts under some version, was served."""

    @abstractmethod
    def send_quarantined(self, entry: QuarantineEntry, node: str = "") -> None:
        """Report an entry in quarantine to one node, or to all."""


class QuarantineStorage(ABC):
    """Stores entries for nodes that start or have been cut off."""

    @abstractmethod
    def save(self, entry: QuarantineEntry, at_once: bool) -> None:
        """Store an entry, at once or unless another node does so soon."""

    @abstractmethod
    def delete(self, fingerprint: bytes) -> None:
        """Delete the stored entry of a request or part."""
