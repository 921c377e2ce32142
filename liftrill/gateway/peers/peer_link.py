"""Messages between gateways over UDP: membership, configuration version, load and engine state."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import cast

from liftrill import clock, constants
from liftrill.coordination.lost_runs import LostRun
from liftrill.coordination.membership import Membership, MembershipParameters
from liftrill.coordination.membership_messages import (
    Datagram,
    DatagramReceived,
    Member,
    MemberChanged,
    MembershipInstruction,
    NewerGenerationSeen,
    Ping,
    SendDatagram,
    Ticked,
)
from liftrill.coordination.spending_notices import SpendingNotice
from liftrill.gateway import ticks
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimit, LimitMessage
from liftrill.gateway.engines.engine_slots import SlotMessage
from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.paths.reach_codec import (
    ReachMessage,
    datagram_from_reach,
    reach_from_datagram,
)
from liftrill.gateway.peers.broadcast_batch import BroadcastBatch
from liftrill.gateway.peers.load_codec import (
    ReportAssembler,
    datagrams_from_report,
    speeds_from_message,
)
from liftrill.gateway.peers.load_exchange import LoadReport, SendReport, other_members
from liftrill.gateway.peers.notice_codec import (
    datagram_from_limit_message,
    datagram_from_notices,
    datagrams_from_leaving,
    datagrams_from_limits,
    datagrams_from_update,
    has_limit_message,
    limit_message_from_datagram,
    notice_from_message,
    update_from_message,
)
from liftrill.gateway.peers.slot_codec import (
    datagram_from_slot_message,
    slot_message_from_datagram,
)
from liftrill.gateway.quarantine_codec import (
    datagram_from_entry,
    datagram_from_served,
    datagrams_from_runs,
    entry_from_notice,
    has_crash_message,
    runs_from_message,
    served_at_from_message,
)
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.quarantine_ports import QuarantinePeers
from liftrill.gateway.streams.origin_codec import (
    OriginMessage,
    datagram_from_origin,
    origin_from_datagram,
)
from liftrill.messages import peer_pb2 as messages
from liftrill.node.membership_codec import (
    GossipDecodeError,
    datagram_from_message,
    datagram_message,
    parse_message,
)

# Number of times that a notice is sent, since datagrams may be lost.
NOTICE_SENDS = 2
NOTICE_INTERVAL_SECONDS = 0.05
# Delays of the repeated sends of a message: the last one arrives even after a burst of losses.
RESEND_DELAYS_S = (0.0, 0.05, 0.5)
# Many nodes may have served a part that one of them suspects. Each waits up to this long for the
# report of another one; the decision on the part takes longer.
SERVED_PART_DELAY_S = 0.03
PROBE_TIMEOUT_SECONDS = 0.3
SUSPICION_SECONDS = 1.5
DEAD_RETENTION_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class PeerCallbacks:
    """Handlers of the messages from peers."""

    member_changed: Callable[[Member], None]
    newer_version: Callable[[int], None]
    notice: Callable[[EngineNotice], None]
    engine_update: Callable[[UnrecordedEngineState], None]
    loads: Callable[[LoadReport], None]
    speeds: Callable[[LoadReport], None]
    prefill_started: Callable[[int, int], None]
    spending: Callable[[str, SpendingNotice], None]
    lost_runs: Callable[[str, list[LostRun]], None]
    served: Callable[[bytes, int, float], None]
    quarantined: Callable[[QuarantineEntry], None]
    limit_message: Callable[[str, LimitMessage], None]
    reach: Callable[[str, ReachMessage], None]
    slots: Callable[[str, SlotMessage], None]
    origins: Callable[[str, OriginMessage], None]


def new_membership(own: Member, seeds: list[str]) -> Membership:
    """Return the membership of a starting node."""
    parameters = MembershipParameters(
        probe_interval=constants.GOSSIP_INTERVAL_SECONDS,
        probe_timeout=PROBE_TIMEOUT_SECONDS,
        suspicion_time=SUSPICION_SECONDS,
        dead_retention=DEAD_RETENTION_SECONDS,
    )
    return Membership(own, seeds, parameters, random.Random())


class PeerLink(asyncio.DatagramProtocol, QuarantinePeers):
    """Sends and receives the datagrams of one gateway."""

    def __init__(self, membership: Membership, callbacks: PeerCallbacks) -> None:
        self._membership = membership
        self._callbacks = callbacks
        self._transport: asyncio.DatagramTransport | None = None
        self._assembler = ReportAssembler()
        self._reports_sent = 0
        self._batch = BroadcastBatch()
        # By part and environment: the report that it was served.
        self._pending_served: dict[tuple[bytes, int], asyncio.TimerHandle] = {}

    async def listen(self, address: str) -> None:
        """Open the UDP socket."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    async def run(self) -> None:
        """Pass ticks to the membership for as long as the node runs."""
        while True:
            self._execute(self._membership.handle(Ticked(), clock.now_s()))
            await ticks.pause(constants.PEER_TICK_SECONDS)

    def announce_version(self, version: int) -> None:
        """Announce the configuration version in force on this node to a few members."""
        self._membership.generation = version
        self._execute(self._membership.announce())

    def announce_departure(self) -> None:
        """Announce to all members that this node takes no new callers."""
        self._execute(self._membership.depart())
        own = self._membership.own
        departure = Datagram(own.node_id, 0, Ping(), (own,), self._membership.generation)
        for member in self._membership.members():
            self._send(member.address, datagram_message(departure))

    async def broadcast_notices(self, notices: list[EngineNotice]) -> None:
        """Broadcast engine notices."""
        for _ in range(NOTICE_SENDS):
            self._send_all(self._others(), datagram_from_notices(notices))
            await asyncio.sleep(NOTICE_INTERVAL_SECONDS)

    def send_reports(self, deliveries: list[SendReport]) -> None:
        """Send reports to their members."""
        for delivery in deliveries:
            self._reports_sent += 1
            for datagram in datagrams_from_report(delivery.report, self._reports_sent):
                self._send_all(delivery.members, datagram)

    def broadcast_prefill(self, engine_number: int, tokens: int) -> None:
        """Broadcast at once the start of a long prefill on an engine."""
        prefill = messages.ReadingBegun(engine=engine_number, tokens=tokens)
        self._schedule_batch()
        self._batch.add_prefill(prefill)

    def broadcast_spending(self, notice: SpendingNotice) -> None:
        """Broadcast at once what a request spends of its tenant's limit, or refunds."""
        message = messages.Datagram(
            sender=self._membership.own.node_id,
            sequence=notice.number,
            spends=messages.TenantSpending(tenant=notice.tenant, amount=notice.amount),
        )
        self._schedule_batch()
        self._batch.add_spending(message)

    def _schedule_batch(self) -> None:
        """Schedule the batch to be sent after this event loop iteration, if it is still empty.

        Called before a message is added, so that the first one of an iteration schedules the send.
        """
        if not self._batch:
            asyncio.get_running_loop().call_soon(self._send_batch)

    def _send_batch(self) -> None:
        members = self._others()
        for datagram in self._batch.drain():
            self._send_all(members, datagram)

    def send_lost_runs(self, runs: list[LostRun]) -> None:
        """Broadcast runs during which engines ended, with repeats."""
        loop = asyncio.get_running_loop()
        for wait_s in RESEND_DELAYS_S:
            loop.call_later(wait_s, self._send_lost_runs, runs)

    def send_quarantined(self, entry: QuarantineEntry, node: str = "") -> None:
        """Send a quarantined request to one member, or to all, with repeats."""
        self._send_repeatedly(datagram_from_entry(entry), node)

    def broadcast_leaving(self, engines: Sequence[EngineAddress]) -> None:
        """Broadcast leaving engines, with repeats."""
        for message in datagrams_from_leaving(engines):
            self._send_repeatedly(message)

    def broadcast_limit(self, limit: EngineLimit) -> None:
        """Broadcast a limit that begins or ends, with repeats."""
        for message in datagrams_from_limits([limit]):
            self._send_repeatedly(message)

    def send_limit_message(self, node: str, content: LimitMessage) -> None:
        """Send one member a permit request, a permit response or a receipt, once."""
        message = datagram_from_limit_message(self._membership.own.node_id, content)
        member = self._membership.member(node)
        if member is not None:
            self._send(member.address, message)

    def send_reach(self, content: ReachMessage, node: str = "") -> None:
        """Send one member, or all, a message about the engines that nodes reach."""
        self._send_to(datagram_from_reach(self._membership.own.node_id, content), node)

    def send_slot_message(self, content: SlotMessage, node: str = "") -> None:
        """Send one member, or all, a message about the slots of brittle engines."""
        self._send_to(datagram_from_slot_message(self._membership.own.node_id, content), node)

    def send_origin(self, content: OriginMessage, node: str) -> None:
        """Send one member a message about the versions that began streams, once."""
        member = self._membership.member(node)
        if member is not None:
            own = self._membership.own.node_id
            self._send(member.address, datagram_from_origin(own, content, clock.now_s()))

    def send_update(self, update: UnrecordedEngineState, nodes: set[str]) -> None:
        """Send some members, once, the engine state that the records do not hold."""
        datagrams = datagrams_from_update(update)
        members = [m for m in self._others() if m.node_id in nodes] if datagrams else []
        for message in datagrams:
            self._send_all(members, message)

    def _send_repeatedly(self, message: messages.Datagram, node: str = "") -> None:
        """Send a message to one member, or to all, now and again after some delays."""
        loop = asyncio.get_running_loop()
        for wait_s in RESEND_DELAYS_S:
            loop.call_later(wait_s, self._send_to, message, node)

    def _send_to(self, message: messages.Datagram, node: str) -> None:
        members = [member for member in self._others() if node in ("", member.node_id)]
        self._send_all(members, message)

    def _send_lost_runs(self, runs: list[LostRun]) -> None:
        own = self._membership.own.node_id
        for message in datagrams_from_runs(own, runs, clock.now_s()):
            self._send_all(self._others(), message)

    def send_served(self, subject: bytes, environment: int = 0) -> None:
        """Broadcast that a suspected request, or part under some version, was served."""
        if not environment:
            self._send_served_repeatedly(subject, environment)
            return
        key = (subject, environment)
        if key not in self._pending_served:
            wait_s = random.uniform(0.0, SERVED_PART_DELAY_S)
            loop = asyncio.get_running_loop()
            self._pending_served[key] = loop.call_later(wait_s, self._send_served_part, key)

    def _send_served_part(self, key: tuple[bytes, int]) -> None:
        del self._pending_served[key]
        self._send_served_repeatedly(*key)

    def _send_served_repeatedly(self, subject: bytes, environment: int) -> None:
        """Broadcast a service, with repeats that do not clear its subject of losses since."""
        loop = asyncio.get_running_loop()
        reported_at = clock.now_s()
        for wait_s in RESEND_DELAYS_S:
            loop.call_later(wait_s, self._send_served, subject, environment, reported_at)

    def _send_served(self, subject: bytes, environment: int, reported_at: float) -> None:
        age_s = clock.now_s() - reported_at
        self._send_to(datagram_from_served(subject, environment, age_s), "")

    def close(self) -> None:
        """Close the UDP socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a received datagram (asyncio callback)."""
        try:
            message = parse_message(data)
            if self._dispatch(message):
                return
            event = DatagramReceived(f"{addr[0]}:{addr[1]}", datagram_from_message(message))
        except GossipDecodeError:
            return
        self._execute(self._membership.handle(event, clock.now_s()))

    def _dispatch(self, message: messages.Datagram) -> bool:
        """Handle a message, and return False if it is one of the membership protocol."""
        if message.HasField("spends"):
            spends = message.spends
            notice = SpendingNotice(spends.tenant, spends.amount, message.sequence)
            self._callbacks.spending(message.sender, notice)
            self._dispatch_prefills(message)
        elif message.HasField("reading_begun"):
            self._dispatch_prefills(message)
        elif has_crash_message(message):
            self._dispatch_crash_messages(message)
        elif message.speeds:
            self._callbacks.speeds(speeds_from_message(message))
        elif has_limit_message(message):
            self._callbacks.limit_message(message.sender, limit_message_from_datagram(message))
        elif message.leaving or message.withheld or message.seen_weights or message.limits:
            self._callbacks.engine_update(update_from_message(message))
        elif message.notices or message.loads:
            self._dispatch_reports(message)
        else:
            return self._dispatch_engine_access(message)
        return True

    def _dispatch_engine_access(self, message: messages.Datagram) -> bool:
        reach = reach_from_datagram(message)
        slots = slot_message_from_datagram(message) if reach is None else None
        origins = origin_from_datagram(message, clock.now_s())
        if reach is not None:
            self._callbacks.reach(message.sender, reach)
        elif slots is not None:
            self._callbacks.slots(message.sender, slots)
        elif origins is not None:
            self._callbacks.origins(message.sender, origins)
        return any(content is not None for content in (reach, slots, origins))

    def _dispatch_prefills(self, message: messages.Datagram) -> None:
        if message.HasField("reading_begun"):
            first = message.reading_begun
            self._callbacks.prefill_started(first.engine, first.tokens)
        for prefill in message.readings:
            self._callbacks.prefill_started(prefill.engine, prefill.tokens)

    def _dispatch_reports(self, message: messages.Datagram) -> None:
        for notice in message.notices:
            self._callbacks.notice(notice_from_message(notice))
        if message.loads:
            report = self._assembler.add(message)
            if report is not None:
                self._callbacks.loads(report)

    def _dispatch_crash_messages(self, message: messages.Datagram) -> None:
        now = clock.now_s()
        runs = runs_from_message(message, now)
        if runs:
            self._callbacks.lost_runs(message.sender, runs)
        entry = entry_from_notice(message.quarantined)
        if entry is not None:
            self._callbacks.quarantined(entry)
        served_at = served_at_from_message(message, now)
        for fingerprint in message.served:
            self._callbacks.served(fingerprint, 0, served_at)
        for part in message.served_parts:
            # One report is enough, but a repeat may be older than what this node is to report.
            if now - served_at < SERVED_PART_DELAY_S:
                self._cancel_served(part.digest, part.environment)
            self._callbacks.served(part.digest, part.environment, served_at)

    def _cancel_served(self, subject: bytes, environment: int) -> None:
        pending = self._pending_served.pop((subject, environment), None)
        if pending is not None:
            pending.cancel()

    def error_received(self, exc: Exception) -> None:
        """Ignore network errors (asyncio callback): probes detect unreachable members."""

    def _execute(self, instructions: list[MembershipInstruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendDatagram):
                self._send(instruction.address, datagram_message(instruction.datagram))
            elif isinstance(instruction, MemberChanged):
                self._callbacks.member_changed(instruction.member)
            elif isinstance(instruction, NewerGenerationSeen):
                self._callbacks.newer_version(instruction.generation)

    def _others(self) -> tuple[Member, ...]:
        return other_members(self._membership.own, self._membership.members())

    def _send_all(self, members: Iterable[Member], message: messages.Datagram) -> None:
        """Send one message to many members, encoding it once."""
        data = message.SerializeToString()
        for member in members:
            self._send_bytes(member.address, data)

    def _send(self, address: str, message: messages.Datagram) -> None:
        self._send_bytes(address, message.SerializeToString())

    def _send_bytes(self, address: str, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
