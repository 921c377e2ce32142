"""A network of regions and zones in virtual time, with latency, packet loss and partitions."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from liftrill.bench.simulation.clock import VirtualClock


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way delays between two nodes, in seconds."""

    same_zone: float = 0.0002
    same_region: float = 0.001
    between_regions: float = 0.040


@dataclass(slots=True)
class Location:
    """The region and zone of a node."""

    region: str
    zone: str


@dataclass(slots=True)
class Network:
    """Delivers datagrams between addresses.

    Attributes:
        loss_share: share of the datagrams that are lost.
        partitioned_regions: regions whose nodes reach only nodes of the same region.
    """

    clock: VirtualClock
    random_source: random.Random
    latencies: Latencies = field(default_factory=Latencies)
    loss_share: float = 0.0
    partitioned_regions: set[str] = field(default_factory=set)
    _locations: dict[str, Location] = field(default_factory=dict)
    _receivers: dict[str, Callable[[bytes, str], None]] = field(default_factory=dict)

    def attach(
        self, address: str, location: Location, receive: Callable[[bytes, str], None]
    ) -> None:
        """Register the location and the receive callback of an address."""
        self._locations[address] = location
        self._receivers[address] = receive

    def detach(self, address: str) -> None:
        """Remove the receive callback of an address, which becomes unreachable."""
        self._receivers.pop(address, None)

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether the target address can currently be reached from the source address."""
        if target not in self._receivers:
            return False
        regions = {self._locations[source].region, self._locations[target].region}
        return len(regions) == 1 or not regions & self.partitioned_regions

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two addresses."""
        source_location, target_location = self._locations[source], self._locations[target]
        if source_location.region != target_location.region:
            return self.latencies.between_regions
        if source_location.zone != target_location.zone:
            return self.latencies.same_region
        return self.latencies.same_zone

    def send(self, source: str, target: str, data: bytes) -> None:
        """Send a datagram; it is dropped if the target is unreachable, or at random."""
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
