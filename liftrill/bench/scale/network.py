"""Regions, zones and links in virtual time, with latency, loss and cuts."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill.bench.simulation.clock import VirtualClock


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way delays, in seconds."""

    same_zone: float = 0.0002
    same_region: float = 0.001
    between_regions: float = 0.040


@dataclass(slots=True)
class Location:
    """Where a node is."""

    region: str
    zone: str


@dataclass(slots=True)
class Network:
    """Delivers datagrams between addresses.

    Attributes:
        loss_share: share of datagrams that are lost.
        partitioned_regions: regions that reach only themselves.
    """

    clock: VirtualClock
    random_source: random.Random
    latencies: Latencies = field(default_factory=Latencies)
    loss_share: float = 0.0
    partitioned_regions: set[str] = field(default_factory=set)
    _places: dict[str, Location] = field(default_factory=dict)
    _receivers: dict[str, Callable[[bytes, str], None]] = field(default_factory=dict)

    def attach(
        self, address: str, location: Location, receive: Callable[[bytes, str], None]
    ) -> None:
        """Let an address receive."""
        self._places[address] = location
        self._receivers[address] = receive

    def detach(self, address: str) -> None:
        """Let an address receive no more."""
        self._receivers.pop(address, None)

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether a call from one address would reach another now."""
        if target not in self._receivers:
            return False
        regions = {self._places[source].region, self._places[target].region}
        return len(regions) == 1 or not regions & self.partitioned_regions

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two addresses."""
        from_place, to_place = self._places[source], self._places[target]
        if from_place.region != to_place.region:
            return self.latencies.between_regions
        if from_place.zone != to_place.zone:
            return self.latencies.same_region
        return self.latencies.same_zone

    def send(self, source: str, target: str, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        if not self.is_reachable(source, target):
            return
        if self.random_source.random() < self.loss_share:
            return
        self.clock.call_later(
            self.delay(source, target), lambda: self._deliver(source, target, data)
        )

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        receive = self._receivers.get(target)
        if receive is not None:
            receive(data, source)
