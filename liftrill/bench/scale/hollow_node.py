"""A hollow node: a node with coordination code only, which serves no requests.

It runs membership, configuration replication, engine records and engine watches.
"""

import random
import time
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.bench.scale.network import Location, Network
from liftrill.bench.simulation.clock import VirtualClock
from liftrill.coordination.configuration import (
    Adoption,
    ConfigurationReplica,
    Head,
)
from liftrill.coordination.membership import Membership, MembershipParameters
from liftrill.coordination.membership_messages import (
    DatagramReceived,
    Member,
    MemberChanged,
    MembershipInstruction,
    NewerGenerationSeen,
    SendDatagram,
    Ticked,
)
from liftrill.node.gossip_codec import decode_packet, encode_packet, with_records
from liftrill.routing.engine_records import EngineObservation, EngineRecords
from liftrill.routing.engine_state import EngineIdentity, EngineTable
from liftrill.routing.watch_assignment import watched_engines

SHARED_KEY = b"scale-bench"
UDP_HEADER_BYTES = 28
HTTP_OVERHEAD_BYTES = 350
REPORT_BYTES = 450


@dataclass(slots=True)
class Traffic:
    """Bytes that one node sent and received, by kind."""

    gossip: int = 0
    configuration: int = 0
    reports: int = 0

    @property
    def total(self) -> int:
        """The number of bytes of all kinds."""
        return self.gossip + self.configuration + self.reports


@dataclass(slots=True)
class HollowEngine:
    """An engine that has an identity and serves no requests."""

    engine_id: str
    identity: EngineIdentity


@dataclass(slots=True)
class Detections:
    """Virtual times at which one node first learned of events.

    Attributes:
        generation_at: time of adoption, by configuration generation.
        dead_at: time at which a member was declared dead, by node.
        leaving_at: time at which an engine was known to leave, by engine.
        suspicions: number of times a member was suspected.
    """

    generation_at: dict[int, float] = field(default_factory=dict)
    dead_at: dict[str, float] = field(default_factory=dict)
    leaving_at: dict[str, float] = field(default_factory=dict)
    suspicions: int = 0


class HollowNode:
    """One hollow node in virtual time; its processor time is real and measured in this process."""

    def __init__(
        self,
        clock: VirtualClock,
        network: Network,
        node_id: str,
        location: Location,
        seeds: list[str],
        engines: dict[str, HollowEngine],
        parameters: MembershipParameters,
        seed: int,
    ) -> None:
        self.node_id = node_id
        self.address = node_id
        self.location = location
        self.traffic = Traffic()
        self.detections = Detections()
        self.processor_seconds = 0.0
        self.alive = True
        self.table = EngineTable()
        self.records = EngineRecords(self.table, constants.GOSSIP_RETRANSMISSION_FACTOR)
        self.replica = ConfigurationReplica()
        self._clock = clock
        self._network = network
        self._engines = engines
        self._random = random.Random(seed)
        own = Member(node_id, node_id, location.region, location.zone, int(clock.now() * 1000) + 1)
        self.membership = Membership(own, seeds, parameters, self._random)
        self._peers: dict[str, HollowNode] = {}
        self._pulling = False
        self._watched_engines: list[str] = []
        network.attach(self.address, location, self._receive)

    def start(self, peers: "dict[str, HollowNode]") -> None:
        """Schedule the first gossip tick, engine watch and watch assignment at random times."""
        self._peers = peers
        self._clock.call_later(self._random.random() * 0.1, self._tick)
        self._clock.call_later(self._random.random(), self._watch_engines)
        self._clock.call_later(self._random.random(), self._assign_engines)

    def kill(self) -> None:
        """Stop the node without announcing its departure."""
        self.alive = False
        self._network.detach(self.address)

    def commit(self, head: Head, sections: dict[bytes, bytes]) -> None:
        """Adopt a configuration that was confirmed on this node, and announce its generation."""
        self.replica.offer_head(head)
        for digest, content in sections.items():
            self.replica.offer_section(digest, content)
        self._announce_generation()

    # Membership

    def _tick(self) -> None:
        if not self.alive:
            return
        started_at = time.process_time()
        self._execute(self.membership.handle(Ticked(), self._clock.now()))
        self.processor_seconds += time.process_time() - started_at
        self._clock.call_later(constants.GOSSIP_TICK_SECONDS, self._tick)

    def _receive(self, data: bytes, source: str) -> None:
        if not self.alive:
            return
        started_at = time.process_time()
        self.traffic.gossip += len(data) + UDP_HEADER_BYTES
        packet = decode_packet(data, [SHARED_KEY])
        if self.records.offer_listings(packet.listings):
            self.membership.request_announcement()
        for observation in packet.observations:
            self._apply_observation(observation)
        event = DatagramReceived(source, packet.datagram)
        self._execute(self.membership.handle(event, self._clock.now()))
        self.processor_seconds += time.process_time() - started_at

    def _execute(self, instructions: list[MembershipInstruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendDatagram):
                self._send(instruction)
            elif isinstance(instruction, MemberChanged):
                self._record_member(instruction.member)
            elif isinstance(instruction, NewerGenerationSeen):
                self._pull_configuration(instruction.address)

    def _send(self, instruction: SendDatagram) -> None:
        members = len(self.membership.members())
        packet = with_records(instruction.datagram, self.records, members)
        data = encode_packet(packet, SHARED_KEY)
        self.traffic.gossip += len(data) + UDP_HEADER_BYTES
        self._network.send(self.address, instruction.address, data)

    def _record_member(self, member: Member) -> None:
        if member.condition.name == "SUSPECT":
            self.detections.suspicions += 1
        if member.condition.name == "DEAD":
            self.detections.dead_at.setdefault(member.node_id, self._clock.now())

    # Configuration

    def _pull_configuration(self, address: str) -> None:
        """Fetch the head and then the missing sections from a peer, in two calls."""
        if self._pulling or not self._network.is_reachable(self.address, address):
            return
        self._pulling = True
        peer = self._peers[address]
        delay = 2 * self._network.delay(self.address, address)
        self._clock.call_later(delay, lambda: self._receive_head(peer, delay))

    def _receive_head(self, peer: "HollowNode", delay: float) -> None:
        if peer.replica.current is None:
            self._pulling = False
            return
        head = peer.replica.current.head
        self._count_transfer(peer, head_bytes(head))
        adoption = self.replica.offer_head(head)
        if adoption is Adoption.INCOMPLETE:
            self._clock.call_later(delay, lambda: self._receive_sections(peer))
            return
        self._finish_pull()

    def _receive_sections(self, peer: "HollowNode") -> None:
        for digest in self.replica.wanted_digests:
            content = peer.replica.section_by_digest(digest)
            if content is not None:
                self._count_transfer(peer, len(content))
                self.replica.offer_section(digest, content)
        self._finish_pull()

    def _finish_pull(self) -> None:
        self._pulling = False
        if self.replica.generation > self.membership.generation:
            self._announce_generation()

    def _announce_generation(self) -> None:
        generation = self.replica.generation
        self.membership.generation = generation
        self.detections.generation_at.setdefault(generation, self._clock.now())
        self._execute(self.membership.announce())

    def _count_transfer(self, peer: "HollowNode", content_bytes: int) -> None:
        transferred = content_bytes + HTTP_OVERHEAD_BYTES
        self.traffic.configuration += transferred
        peer.traffic.configuration += transferred

    # Engines

    def _assign_engines(self) -> None:
        """Recompute the watched engines from the current members, periodically."""
        if not self.alive:
            return
        started_at = time.process_time()
        members = [m.node_id for m in self.membership.members() if m.region == self.location.region]
        engines = [e for e in self._engines if e.startswith(f"{self.location.region}/")]
        self._watched_engines = watched_engines(self.node_id, members, engines)
        self.processor_seconds += time.process_time() - started_at
        self._clock.call_later(constants.WATCH_ASSIGNMENT_SECONDS, self._assign_engines)

    def _watch_engines(self) -> None:
        """Count the reports of renewed blocking queries and of extra polls, periodically."""
        if not self.alive:
            return
        self.traffic.reports += REPORT_BYTES * len(self._watched_engines)
        self.traffic.reports += REPORT_BYTES * self._extra_reports_per_watch()
        self._clock.call_later(constants.ENGINE_WATCH_SECONDS, self._watch_engines)

    @staticmethod
    def _extra_reports_per_watch() -> int:
        rate = constants.ENGINE_EXTRA_REPORTS / constants.ENGINE_REPORT_INTERVAL_SECONDS
        return int(rate * constants.ENGINE_WATCH_SECONDS)

    def receive_engine_change(self, engine: HollowEngine) -> None:
        """Receive the response to a blocking query, if this node watches the engine."""
        if self.alive and engine.engine_id in self._watched_engines:
            self.traffic.reports += REPORT_BYTES
            observation = EngineObservation(engine.engine_id, engine.identity)
            self._clock.call_later(0.001, lambda: self._apply_observation(observation))

    def _apply_observation(self, observation: EngineObservation) -> None:
        if not self.records.offer_observation(observation):
            return
        self.membership.request_announcement()
        if observation.identity.leaving:
            self.detections.leaving_at.setdefault(observation.engine_id, self._clock.now())


def head_bytes(head: Head) -> int:
    """Return the approximate encoded size of a head: section names, digests and confirmations."""
    digests = sum(len(name) + len(digest) + 6 for name, digest in head.section_digests.items())
    confirmation = 40 + constants.CONFIRMATION_SUMMARY_CHARACTERS
    return digests + constants.CONFIRMATIONS_KEPT * confirmation
