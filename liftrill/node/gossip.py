"""Gossip over UDP: the I/O around membership and engine records."""

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
    NewerGenerationHeard,
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
    """Return the parameters that the constants set."""
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

    The first incarnation is the time in milliseconds, so that a restarted node replaces
    what is believed of its earlier life.
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
    """Sends and receives the datagrams of one node."""

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
        """Let time pass for the membership for as long as the node runs."""
        while True:
            self._carry_out(self._membership.handle(Ticked(), clock.now_s()))
            await asyncio.sleep(constants.GOSSIP_TICK_SECONDS)

    def announce(self) -> None:
        """Tell a few members at once of a change here."""
        self._carry_out(self._membership.announce())

    def depart(self) -> None:
        """Tell a few members that this node leaves."""
        self._carry_out(self._membership.depart())

    def merge_members(self, members: list[Member]) -> None:
        """Take in a snapshot's members."""
        self._carry_out(self._membership.merge(members, clock.now_s()))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        # uvloop's transport is one by its methods, not by its class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram (asyncio callback)."""
        self._metrics.control_bytes.labels(direction="received").inc(len(data))
        try:
            packet = decode_packet(data, self._shared_keys)
        except GossipDecodeError:
            self._metrics.refused_datagrams.inc()
            return
        self._take_records(packet)
        event = DatagramReceived(f"{addr[0]}:{addr[1]}", packet.datagram)
        self._carry_out(self._membership.handle(event, clock.now_s()))

    def _take_records(self, packet: GossipPacket) -> None:
        news = self._records.offer_listings(packet.listings)
        for observation in packet.observations:
            news += self._records.offer_observation(observation)
        if news:
            self._membership.request_announcement()

    def error_received(self, exc: Exception) -> None:
        """Ignore what the network says of a lost datagram: probes notice it."""

    def _carry_out(self, instructions: list[MembershipInstruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendDatagram):
                self._send(instruction)
            elif isinstance(instruction, MemberChanged):
                member = instruction.member
                log_change("member", node=member.node_id, condition=member.condition.name.lower())
            elif isinstance(instruction, NewerGenerationHeard):
                self._on_newer_generation(instruction.address)

    def _send(self, instruction: SendDatagram) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        members = len(self._membership.members())
        packet = with_records(instruction.datagram, self._records, members)
        data = encode_packet(packet, self._shared_keys[0])
        host, _, port = instruction.address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
        self._metrics.control_bytes.labels(direction="sent").inc(len(data))
