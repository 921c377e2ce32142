"""Gossip between gateways over UDP: who is alive, the newest configuration, engine notices."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import cast

from liftrill import clock, constants
from liftrill.coordination.crash_evidence import LostRun
from liftrill.coordination.membership import Membership, MembershipParameters
from liftrill.coordination.membership_messages import (
    Datagram,
    DatagramReceived,
    Member,
    MemberChanged,
    MembershipInstruction,
    NewerGenerationHeard,
    Ping,
    SendDatagram,
    Ticked,
)
from liftrill.coordination.told_spending import SpendingNotice
from liftrill.gateway import ticks
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimit, LimitMessage
from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.peers.load_codec import (
    ReportAssembler,
    datagrams_from_report,
    speeds_from_message,
)
from liftrill.gateway.peers.load_exchange import LoadReport, SendLoads, others
from liftrill.gateway.peers.notice_codec import (
    datagram_from_limit_message,
    datagram_from_notices,
    datagrams_from_leaving,
    datagrams_from_limits,
    datagrams_from_update,
    has_limit_message,
    limit_message_from,
    notice_from_message,
    update_from_message,
)
from liftrill.gateway.peers.turn_words import TurnWords
from liftrill.gateway.quarantine_codec import (
    datagram_from_entry,
    datagrams_from_runs,
    entry_from_notice,
    runs_from_message,
)
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.quarantine_ports import QuarantinePeers
from liftrill.messages import peer_pb2 as messages
from liftrill.node.membership_codec import (
    GossipDecodeError,
    datagram_from_message,
    datagram_message,
    parse_message,
)

# A notice is sent this often, since datagrams are lost now and then.
NOTICE_REPEATS = 2
NOTICE_SPACING_SECONDS = 0.05
# When runs under which engines ended are told: what is lost in a burst of losses comes later.
CRASH_REPEATS_S = (0.0, 0.05, 0.5)
PROBE_TIMEOUT_SECONDS = 0.3
SUSPICION_SECONDS = 1.5
DEAD_RETENTION_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class PeerCallbacks:
    """Whom to tell of what peers say."""

    member_changed: Callable[[Member], None]
    newer_version: Callable[[int], None]
    notice: Callable[[EngineNotice], None]
    engine_update: Callable[[UnrecordedEngineState], None]
    loads: Callable[[LoadReport], None]
    speeds: Callable[[LoadReport], None]
    reading_begun: Callable[[int, int], None]
    spending: Callable[[str, SpendingNotice], None]
    lost_runs: Callable[[str, list[LostRun]], None]
    served: Callable[[bytes], None]
    quarantined: Callable[[QuarantineEntry], None]
    limit_message: Callable[[str, LimitMessage], None]


def new_membership(own: Member, seeds: list[str]) -> Membership:
    """Return the membership of a node that starts now."""
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
        self._turn = TurnWords()

    async def listen(self, address: str) -> None:
        """Open the UDP socket."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    async def run(self) -> None:
        """Let time pass for the membership for as long as the node runs."""
        while True:
            self._carry_out(self._membership.handle(Ticked(), clock.now_s()))
            await ticks.pause(constants.PEER_TICK_SECONDS)

    def announce_version(self, version: int) -> None:
        """Tell a few members of the configuration version in force here."""
        self._membership.generation = version
        self._carry_out(self._membership.announce())

    def depart(self) -> None:
        """Tell all members that this node takes no new callers."""
        self._carry_out(self._membership.depart())
        own = self._membership.own
        farewell = Datagram(own.node_id, 0, Ping(), (own,), self._membership.generation)
        for member in self._membership.members():
            self._send(member.address, datagram_message(farewell))

    async def broadcast(self, notices: list[EngineNotice]) -> None:
        """Tell all members of some engines."""
        for _ in range(NOTICE_REPEATS):
            self._send_all(self._others(), datagram_from_notices(notices))
            await asyncio.sleep(NOTICE_SPACING_SECONDS)

    def send_loads(self, words: list[SendLoads]) -> None:
        """Send reports of load to the members that they are meant for."""
        for word in words:
            self._reports_sent += 1
            for datagram in datagrams_from_report(word.report, self._reports_sent):
                self._send_all(word.members, datagram)

    def tell_reading(self, engine_number: int, tokens: int) -> None:
        """Tell all members at once that an engine was given a long prompt to read."""
        begun = messages.ReadingBegun(engine=engine_number, tokens=tokens)
        self._tell_after_turn()
        self._turn.add_reading(begun)

    def tell_spending(self, notice: SpendingNotice) -> None:
        """Tell all members at once what a tenant's request counts under its limit, or no more."""
        message = messages.Datagram(
            sender=self._membership.own.node_id,
            sequence=notice.number,
            spends=messages.TenantSpending(tenant=notice.tenant, amount=notice.amount),
        )
        self._tell_after_turn()
        self._turn.add_spending(message)

    def _tell_after_turn(self) -> None:
        """Send the words of this turn of the event loop when it is over.

        Called before a word is added: the first one of a turn arranges the sending.
        """
        if not self._turn:
            asyncio.get_running_loop().call_soon(self._tell_turn)

    def _tell_turn(self) -> None:
        members = self._others()
        for datagram in self._turn.take():
            self._send_all(members, datagram)

    def tell_lost(self, runs: list[LostRun]) -> None:
        """Tell all members of runs under which engines ended, and some times again."""
        loop = asyncio.get_running_loop()
        for wait_s in CRASH_REPEATS_S:
            loop.call_later(wait_s, self._send_lost, runs)

    def tell_quarantined(self, entry: QuarantineEntry, node: str = "") -> None:
        """Tell one member, or all, of a request that is kept from engines, some times again."""
        self._repeat(datagram_from_entry(entry), node)

    def tell_leaving(self, engines: Sequence[EngineAddress]) -> None:
        """Tell all members of engines that leave, some times again."""
        for message in datagrams_from_leaving(engines):
            self._repeat(message)

    def broadcast_limit(self, limit: EngineLimit) -> None:
        """Tell all members of a limit that begins or ends, some times again."""
        for message in datagrams_from_limits([limit]):
            self._repeat(message)

    def send_limit_message(self, node: str, content: LimitMessage) -> None:
        """Send one member what its permits, or those that it issues, need; once."""
        message = datagram_from_limit_message(self._membership.own.node_id, content)
        member = self._membership.member(node)
        if member is not None:
            self._send(member.address, message)

    def send_update(self, update: UnrecordedEngineState, node: str) -> None:
        """Tell one member, once, what records of engines do not say."""
        for message in datagrams_from_update(update):
            self._send_to(message, node)

    def _repeat(self, message: messages.Datagram, node: str = "") -> None:
        """Send a message to one member, or all, now and some times again."""
        loop = asyncio.get_running_loop()
        for wait_s in CRASH_REPEATS_S:
            loop.call_later(wait_s, self._send_to, message, node)

    def _send_to(self, message: messages.Datagram, node: str) -> None:
        members = [member for member in self._others() if node in ("", member.node_id)]
        self._send_all(members, message)

    def _send_lost(self, runs: list[LostRun]) -> None:
        own = self._membership.own.node_id
        for message in datagrams_from_runs(own, runs, clock.now_s()):
            self._send_all(self._others(), message)

    def tell_served(self, fingerprint: bytes) -> None:
        """Tell all members that a suspected request was served, and some times again."""
        self._repeat(messages.Datagram(served=[fingerprint]))

    def close(self) -> None:
        """Close the UDP socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram (asyncio callback)."""
        try:
            message = parse_message(data)
            if self._take_notice(message):
                return
            event = DatagramReceived(f"{addr[0]}:{addr[1]}", datagram_from_message(message))
        except GossipDecodeError:
            return
        self._carry_out(self._membership.handle(event, clock.now_s()))

    def _take_notice(self, message: messages.Datagram) -> bool:
        """Take in what a peer tells, and return whether it is anything besides membership."""
        if message.HasField("spends"):
            spends = message.spends
            notice = SpendingNotice(spends.tenant, spends.amount, message.sequence)
            self._callbacks.spending(message.sender, notice)
            self._take_readings(message)
        elif message.HasField("reading_begun"):
            self._take_readings(message)
        elif message.lost_runs or message.served or message.HasField("quarantined"):
            self._take_crash_news(message)
        elif message.speeds:
            self._callbacks.speeds(speeds_from_message(message))
        elif has_limit_message(message):
            self._callbacks.limit_message(message.sender, limit_message_from(message))
        elif message.leaving or message.withheld or message.seen_weights or message.limits:
            self._callbacks.engine_update(update_from_message(message))
        elif message.notices or message.loads:
            self._take_word(message)
        else:
            return False
        return True

    def _take_readings(self, message: messages.Datagram) -> None:
        if message.HasField("reading_begun"):
            first = message.reading_begun
            self._callbacks.reading_begun(first.engine, first.tokens)
        for begun in message.readings:
            self._callbacks.reading_begun(begun.engine, begun.tokens)

    def _take_word(self, message: messages.Datagram) -> None:
        for notice in message.notices:
            self._callbacks.notice(notice_from_message(notice))
        if message.loads:
            report = self._assembler.take(message)
            if report is not None:
                self._callbacks.loads(report)

    def _take_crash_news(self, message: messages.Datagram) -> None:
        runs = runs_from_message(message, clock.now_s())
        if runs:
            self._callbacks.lost_runs(message.sender, runs)
        entry = entry_from_notice(message.quarantined)
        if entry is not None:
            self._callbacks.quarantined(entry)
        for fingerprint in message.served:
            self._callbacks.served(fingerprint)

    def error_received(self, exc: Exception) -> None:
        """Ignore what the network says of a lost datagram: probes notice it."""

    def _carry_out(self, instructions: list[MembershipInstruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendDatagram):
                self._send(instruction.address, datagram_message(instruction.datagram))
            elif isinstance(instruction, MemberChanged):
                self._callbacks.member_changed(instruction.member)
            elif isinstance(instruction, NewerGenerationHeard):
                self._callbacks.newer_version(instruction.generation)

    def _others(self) -> tuple[Member, ...]:
        return others(self._membership.own, self._membership.members())

    def _send_all(self, members: Iterable[Member], message: messages.Datagram) -> None:
        """Send one message to many members; it is encoded once."""
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
