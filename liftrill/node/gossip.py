"""Gossip over UDP: the I/O of the membership protocol and of the engine records."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import cast

from liftrill import clock, constants
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
from liftrill.node.gossip_codec import (
    GossipDecodeError,
    GossipPacket,
    decode_packet,
    encode_packet,
    with_records,
)
from liftrill.node.logs import log_change
from liftrill.node.metrics import NodeMetrics
from liftrill.node.settings import NodeSettings
from liftrill.routing.engine_records import EngineRecords


def membership_parameters() -> MembershipParameters:
    """Return the parameters of the membership protocol from the constants."""
    return MembershipParameters(
        probe_interval=constants.GOSSIP_INTERVAL_SECONDS,
        probe_timeout=constants.GOSSIP_PROBE_TIMEOUT_SECONDS,
        suspicion_time=constants.GOSSIP_SUSPICION_SECONDS,
        dead_retention=constants.GOSSIP_DEAD_RETENTION_SECONDS,
        indirect_probes=constants.GOSSIP_INDIRECT_PROBES,
        records_per_datagram=constants.GOSSIP_RECORDS_PER_DATAGRAM,
        retransmission_factor=constants.GOSSIP_RETRANSMISSION_FACTOR,
        remote_probe_share=constants.GOSSIP_REMOTE_PROBE_SHARE,
    )


def new_membership(settings: NodeSettings, random_source: random.Random) -> Membership:
    """Return the membership of a node that starts now.

    The first incarnation is the time in milliseconds, so that the record of a restarted
    node supersedes the records of its earlier runs.
    """
    own = Member(
        node_id=settings.node_id,
        address=settings.peer_listen,
        region=settings.region,
        zone=settings.zone,
        incarnation=time.time_ns() // 1_000_000,
    )
    return Membership(own, settings.peers, membership_parameters(), random_source)


class GossipService(asyncio.DatagramProtocol):
    """Sends and receives the gossip datagrams of a node."""

    def __init__(
        self,
        membership: Membership,
        records: EngineRecords,
        shared_keys: list[str],
        metrics: NodeMetrics,
        on_newer_generation: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._records = records
        self._shared_keys = [key.encode() for key in shared_keys]
        self._metrics = metrics
        self._on_newer_generation = on_newer_generation
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, endpoint: str) -> None:
        """Open the UDP socket."""
        host, _, port = endpoint.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    def close(self) -> None:
        """Close the UDP socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Pass clock ticks to the membership until cancelled."""
        while True:
            self._execute(self._membership.handle(Ticked(), clock.now_s()))
            await asyncio.sleep(constants.GOSSIP_TICK_SECONDS)

    def announce(self) -> None:
        """Announce a change on this node to a few members immediately."""
        self._execute(self._membership.announce())

    def depart(self) -> None:
        """Announce to a few members that this node leaves."""
        self._execute(self._membership.depart())

    def merge_members(self, members: list[Member]) -> None:
        """Merge the members of a snapshot."""
        self._execute(self._membership.merge(members, clock.now_s()))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        # uvloop's transport has the methods of DatagramTransport but is no subclass of it.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a received datagram (asyncio callback)."""
        self._metrics.control_bytes.labels(direction="received").inc(len(data))
        try:
            packet = decode_packet(data, self._shared_keys)
        except GossipDecodeError:
            self._metrics.refused_datagrams.inc()
            return
        self._merge_records(packet)
        event = DatagramReceived(f"{addr[0]}:{addr[1]}", packet.datagram)
        self._execute(self._membership.handle(event, clock.now_s()))

    def _merge_records(self, packet: GossipPacket) -> None:
        new_records = self._records.offer_listings(packet.listings)
        for observation in packet.observations:
            new_records += self._records.offer_observation(observation)
        if new_records:
            self._membership.request_announcement()

    def error_received(self, exc: Exception) -> None:
        """Ignore a network error (asyncio callback): probes detect unreachable members."""

    def _execute(self, instructions: list[MembershipInstruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendDatagram):
                self._send(instruction)
            elif isinstance(instruction, MemberChanged):
                member = instruction.member
                log_change("member", node=member.node_id, condition=member.condition.name.lower())
            elif isinstance(instruction, NewerGenerationSeen):
                self._on_newer_generation(instruction.address)

    def _send(self, instruction: SendDatagram) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        member_count = len(self._membership.members())
        packet = with_records(instruction.datagram, self._records, member_count)
        data = encode_packet(packet, self._shared_keys[0])
        host, _, port = instruction.address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
        self._metrics.control_bytes.labels(direction="sent").inc(len(data))
