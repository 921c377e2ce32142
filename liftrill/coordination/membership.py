"""Gossip membership, after SWIM (Das, Gupta and Motivala, 2002), sans-IO.

In each interval, a member probes another one, directly and then through further members. A member
that does not respond is suspected. It can refute the suspicion with a higher incarnation, and is
declared dead after the suspicion time. Dead members and seeds are probed occasionally, so that the
two sides of a healed network partition find each other without a restart.

Rumours spread a single change quickly, but not the many changes when a whole fleet starts, because
a datagram carries only a few records. So a member requests full member lists several times after
its start, and rarely from then on.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from liftrill.coordination.dissemination import RumourTable
from liftrill.coordination.membership_messages import (
    Acknowledgement,
    Body,
    Condition,
    Datagram,
    DatagramReceived,
    Member,
    MemberChanged,
    MemberList,
    MemberListRequest,
    MembershipEvent,
    MembershipInstruction,
    NewerGenerationSeen,
    Ping,
    PingRequest,
    SendDatagram,
    Ticked,
)

# The times after its start at which a member requests member lists. Every other request goes to a
# seed: when a whole fleet starts, the seeds have the records of all members first.
LIST_REQUEST_AGES_S = (0.0, 0.3, 0.6, 1.0, 1.6, 3.0, 6.0)
# The interval of later requests, which make up for lost rumours. With 350 members, one list of 21
# KB is received and one sent per interval: 0.7 KB/s of the 3 KB/s allowed for control traffic.
LIST_REQUEST_INTERVAL_S = 60.0
# About 1,200 bytes, so that datagrams are not fragmented.
RECORDS_PER_LIST_DATAGRAM = 20
# The suspicion time applies to at most 2 to the power of this many members; it grows with more.
SUSPICION_DOUBLINGS = 4.0


@dataclass(frozen=True, slots=True)
class MembershipParameters:
    """Parameters of the protocol; times are in seconds.

    Attributes:
        records_for_newcomer: the number of records in the response to a member that announces
            itself.
        sampled_records: the number of random records that are added to each ping.
        remote_probe_share: the share of probes that go to other regions.
        rejoin_probe_share: the share of probes that go to dead members and seeds.
    """

    probe_interval: float = 0.5
    probe_timeout: float = 0.25
    suspicion_time: float = 3.0
    dead_retention: float = 7_200.0
    indirect_probes: int = 3
    records_per_datagram: int = 8
    retransmission_factor: int = 2
    records_for_newcomer: int = 12
    sampled_records: int = 1
    announcement_fanout: int = 4
    announcement_spacing: float = 0.2
    remote_probe_share: float = 0.1
    rejoin_probe_share: float = 0.1


@dataclass(slots=True)
class _Probe:
    target: str
    sent_at: float
    indirect_sent: bool = False


@dataclass(slots=True)
class _Relay:
    address: str
    sequence: int
    expires_at: float


class Membership:
    """One member's view of all members.

    Attributes:
        generation: the configuration generation in force at this node; set by the owner.
    """

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        parameters: MembershipParameters,
        random_source: random.Random,
    ) -> None:
        self.generation = 0
        self._own = own
        self._seeds = [address for address in seeds if address != own.address]
        self._parameters = parameters
        self._random = random_source
        self._table: RumourTable[str, Member] = RumourTable(parameters.retransmission_factor)
        self._table.offer(own.node_id, own.version, own)
        self._cached_members: list[Member] = []
        self._cached_at_change = 0
        self._suspected_at: dict[str, float] = {}
        self._dead_at: dict[str, float] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._sequence = random_source.getrandbits(48)
        self._next_probe_at = 0.0
        self._round: list[str] = []
        self._announcement_requested = False
        self._announced_at = -math.inf
        self._started_at: float | None = None
        self._lists_requested = 0

    @property
    def own(self) -> Member:
        """The record of this node."""
        return self._own

    def members(self) -> list[Member]:
        """Return the alive and suspected members, including this one.

        The list is cached until a record changes, because it is requested about 30 times a second.
        Callers must not modify it.
        """
        if self._cached_at_change != self._table.change_count:
            self._cached_at_change = self._table.change_count
            self._cached_members = [m for m in self._table if m.condition <= Condition.SUSPECT]
        return self._cached_members

    def alive_others(self) -> list[Member]:
        """Return the other members that are alive and not suspected."""
        own = self.own.node_id
        members = self.members()
        return [m for m in members if m.node_id != own and m.condition is Condition.ALIVE]

    def all_members(self) -> list[Member]:
        """Return all records, including those of dead members."""
        return list(self._table)

    def member(self, node_id: str) -> Member | None:
        """Return the record of a member, or None if it is unknown."""
        return self._table.get(node_id)

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipInstruction]:
        """Process an event and return the resulting instructions."""
        if isinstance(event, Ticked):
            return self._on_tick(now)
        return self._on_datagram(event, now)

    def merge(
        self, members: Iterable[Member], now: float, spread: bool = False
    ) -> list[MembershipInstruction]:
        """Merge records; `spread` is False for those of a snapshot."""
        instructions: list[MembershipInstruction] = []
        for member in members:
            instructions.extend(self._merge_member(member, now, spread))
        return instructions

    def announce(self) -> list[MembershipInstruction]:
        """Return pings that announce a change, such as a new generation, to a few members."""
        others = [m for m in self.members() if m.node_id != self._own.node_id]
        count = min(self._parameters.announcement_fanout, len(others))
        return [self._ping(m.address) for m in self._random.sample(others, count)]

    def request_announcement(self) -> None:
        """Announce to a few members soon, because a datagram carried new information.

        Information that every receiver forwards immediately reaches all members in a few hops.
        Requests that follow each other closely share one announcement.
        """
        self._announcement_requested = True

    def depart(self) -> list[MembershipInstruction]:
        """Return pings that announce to a few members that this node leaves."""
        self._own = replace(self._own, condition=Condition.DEPARTED)
        self._table.offer(self._own.node_id, self._own.version, self._own)
        return self.announce()

    # Events

    def _on_tick(self, now: float) -> list[MembershipInstruction]:
        instructions = self._check_probes(now)
        instructions.extend(self._check_suspicions(now))
        self._remove_expired_dead(now)
        instructions.extend(self._announce_requested(now))
        instructions.extend(self._request_list(now))
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._parameters.probe_interval
            instructions.extend(self._start_probe(now))
        return instructions

    def _on_datagram(self, event: DatagramReceived, now: float) -> list[MembershipInstruction]:
        datagram = event.datagram
        # Records on a member list are known to other members, so this node need not spread them.
        is_list = isinstance(datagram.body, MemberList)
        instructions = self.merge(datagram.members, now, spread=not is_list)
        if datagram.generation > self.generation:
            instructions.append(NewerGenerationSeen(event.source_address, datagram.generation))
        if isinstance(datagram.body, Ping):
            instructions.append(self._acknowledge(event))
        elif isinstance(datagram.body, PingRequest):
            instructions.extend(self._relay(event, datagram.body.target, now))
        elif isinstance(datagram.body, MemberListRequest):
            instructions.extend(self._list_members(event))
        elif isinstance(datagram.body, Acknowledgement):
            instructions.extend(self._on_acknowledgement(datagram, datagram.body.subject))
        return instructions

    def _acknowledge(self, event: DatagramReceived) -> SendDatagram:
        body = Acknowledgement(self._own.node_id)
        # A sender that is suspected or dead gets its record, so that it can refute it.
        known = self._table.get(event.datagram.sender)
        extra: tuple[Member, ...] = ()
        if known is not None and known.condition is not Condition.ALIVE:
            extra = (known,)
        if any(member.node_id == event.datagram.sender for member in event.datagram.members):
            # A member that sends its own record has just joined, restarted or rejoined.
            extra += tuple(self._sample(self._parameters.records_for_newcomer))
        return self._send(event.source_address, event.datagram.sequence, body, extra)

    def _sample(self, count: int) -> list[Member]:
        """Return a few random members, so that all views converge eventually."""
        members = self.members()
        return self._random.sample(members, min(count, len(members)))

    def _relay(
        self, event: DatagramReceived, target: str, now: float
    ) -> list[MembershipInstruction]:
        member = self._table.get(target)
        if member is None:
            return []
        ping = self._ping(member.address)
        self._relays[ping.datagram.sequence] = _Relay(
            event.source_address,
            event.datagram.sequence,
            now + self._parameters.probe_interval,
        )
        return [ping]

    def _on_acknowledgement(self, datagram: Datagram, subject: str) -> list[MembershipInstruction]:
        self._probes.pop(datagram.sequence, None)
        relay = self._relays.pop(datagram.sequence, None)
        if relay is None:
            return []
        return [self._send(relay.address, relay.sequence, Acknowledgement(subject))]

    def _announce_requested(self, now: float) -> list[MembershipInstruction]:
        spacing = self._parameters.announcement_spacing
        if not self._announcement_requested or now - self._announced_at < spacing:
            return []
        self._announcement_requested = False
        self._announced_at = now
        return self.announce()

    # Lists of members

    def _request_list(self, now: float) -> list[MembershipInstruction]:
        """Return a request for a member list if it is due."""
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at < self._next_request_age_s():
            return []
        asks_seed = self._lists_requested % 2 == 0
        self._lists_requested += 1
        known = [m.address for m in self.members() if m.node_id != self._own.node_id]
        candidates = self._seeds if asks_seed and self._seeds else known or self._seeds
        if not candidates:
            return []
        address = self._random.choice(candidates)
        # The request includes the record of this member, since the receiver may not have it.
        return [self._send(address, 0, MemberListRequest(), (self._own,))]

    def _next_request_age_s(self) -> float:
        count = self._lists_requested
        if count < len(LIST_REQUEST_AGES_S):
            return LIST_REQUEST_AGES_S[count]
        later = count - len(LIST_REQUEST_AGES_S) + 1
        return LIST_REQUEST_AGES_S[-1] + later * LIST_REQUEST_INTERVAL_S

    def _list_members(self, event: DatagramReceived) -> list[MembershipInstruction]:
        """Return all alive members, in as many datagrams as needed."""
        size = RECORDS_PER_LIST_DATAGRAM
        alive = [m for m in self._table if m.condition is Condition.ALIVE]
        starts = range(0, len(alive), size)
        return [
            SendDatagram(
                event.source_address,
                Datagram(
                    self._own.node_id,
                    event.datagram.sequence,
                    MemberList(),
                    tuple(alive[start : start + size]),
                    self.generation,
                ),
            )
            for start in starts
        ]

    # Probing

    def _start_probe(self, now: float) -> list[MembershipInstruction]:
        if self._random.random() < self._parameters.rejoin_probe_share or len(self._table) == 1:
            return self._probe_for_rejoin()
        target = self._next_target()
        if target is None:
            return self._probe_for_rejoin()
        ping = self._ping(target.address)
        self._probes[ping.datagram.sequence] = _Probe(target.node_id, now)
        return [ping]

    def _probe_for_rejoin(self) -> list[MembershipInstruction]:
        known = {m.address for m in self.members()}
        dead = [m.address for m in self._table if m.condition is Condition.DEAD]
        candidates = [address for address in (*dead, *self._seeds) if address not in known]
        # The ping includes the record of this member, since the receiver may have removed it.
        return [self._ping(self._random.choice(candidates), (self._own,))] if candidates else []

    def _next_target(self) -> Member | None:
        """Return the next member of a shuffled round, usually of the own region."""
        members = {m.node_id: m for m in self.members() if m.node_id != self._own.node_id}
        if not members:
            return None
        remote = [m for m in members.values() if m.region != self._own.region]
        if remote and self._random.random() < self._parameters.remote_probe_share:
            return self._random.choice(remote)
        while True:
            if not self._round:
                local = [m.node_id for m in members.values() if m.region == self._own.region]
                self._round = local or list(members)
                self._random.shuffle(self._round)
            node_id = self._round.pop()
            if node_id in members:
                return members[node_id]

    def _check_probes(self, now: float) -> list[MembershipInstruction]:
        instructions: list[MembershipInstruction] = []
        for sequence, probe in list(self._probes.items()):
            elapsed = now - probe.sent_at
            if elapsed >= self._parameters.probe_interval + self._parameters.probe_timeout:
                del self._probes[sequence]
                instructions.extend(self._suspect(probe.target, now))
            elif elapsed >= self._parameters.probe_timeout and not probe.indirect_sent:
                probe.indirect_sent = True
                instructions.extend(self._probe_again(sequence, probe.target))
        for sequence in [s for s, relay in self._relays.items() if relay.expires_at <= now]:
            del self._relays[sequence]
        return instructions

    def _probe_again(self, sequence: int, target: str) -> list[MembershipInstruction]:
        """Ping again directly and through others, in case only the direct path is bad."""
        member = self._table.get(target)
        direct = [self._send(member.address, sequence, Ping())] if member else []
        return [*direct, *self._probe_indirectly(sequence, target)]

    def _probe_indirectly(self, sequence: int, target: str) -> list[MembershipInstruction]:
        excluded = (self._own.node_id, target)
        others = [m for m in self.members() if m.node_id not in excluded]
        count = min(self._parameters.indirect_probes, len(others))
        chosen = self._random.sample(others, count)
        return [self._send(m.address, sequence, PingRequest(target)) for m in chosen]

    # Suspicions and records

    def _suspect(self, node_id: str, now: float) -> list[MembershipInstruction]:
        member = self._table.get(node_id)
        if member is None or member.condition is not Condition.ALIVE:
            return []
        suspect = replace(member, condition=Condition.SUSPECT)
        # The suspect is informed immediately, so that its refutation has most of the
        # suspicion time to spread.
        return [*self._merge_member(suspect, now), self._ping(member.address, (suspect,))]

    def _suspicion_time(self) -> float:
        """Return the time to refute a suspicion: with more members, rumours take longer."""
        doublings = math.log2(len(self._table) + 1)
        return self._parameters.suspicion_time * max(1.0, doublings / SUSPICION_DOUBLINGS)

    def _check_suspicions(self, now: float) -> list[MembershipInstruction]:
        limit = now - self._suspicion_time()
        expired = [node_id for node_id, at in self._suspected_at.items() if at <= limit]
        instructions: list[MembershipInstruction] = []
        for node_id in expired:
            member = self._table.get(node_id)
            assert member is not None
            instructions.extend(self._merge_member(replace(member, condition=Condition.DEAD), now))
        return instructions

    def _remove_expired_dead(self, now: float) -> None:
        limit = now - self._parameters.dead_retention
        for node_id in [n for n, at in self._dead_at.items() if at <= limit]:
            del self._dead_at[node_id]
            self._table.remove(node_id)

    def _merge_member(
        self, member: Member, now: float, spread: bool = True
    ) -> list[MembershipInstruction]:
        if member.node_id == self._own.node_id:
            return self._refute(member)
        member = self._expanded(member)
        if not self._table.offer(member.node_id, member.version, member, spread):
            return []
        self._suspected_at.pop(member.node_id, None)
        self._dead_at.pop(member.node_id, None)
        if member.condition is Condition.SUSPECT:
            self._suspected_at[member.node_id] = now
        elif member.condition >= Condition.DEAD:
            self._dead_at[member.node_id] = now
        return [MemberChanged(member)]

    def _expanded(self, member: Member) -> Member:
        """Return a record with the address, region and zone that a compact record omits."""
        known = self._table.get(member.node_id)
        if member.address or known is None:
            return member
        return replace(known, incarnation=member.incarnation, condition=member.condition)

    def _refute(self, claim: Member) -> list[MembershipInstruction]:
        """Refute a record about this node that is newer than its own."""
        if claim.version <= self._own.version or self._own.condition is Condition.DEPARTED:
            return []
        self._own = replace(self._own, incarnation=claim.incarnation + 1)
        self._table.offer(self._own.node_id, self._own.version, self._own)
        return self.announce()

    # Messages

    @staticmethod
    def _compact(member: Member) -> Member:
        """Omit address, region and zone unless the member is alive: other members know them."""
        if member.condition is Condition.ALIVE:
            return member
        return replace(member, address="", region="", zone="")

    def _ping(self, address: str, extra: tuple[Member, ...] = ()) -> SendDatagram:
        self._sequence += 1
        return self._send(address, self._sequence, Ping(), extra)

    def _send(
        self, address: str, sequence: int, body: Body, extra: tuple[Member, ...] = ()
    ) -> SendDatagram:
        count = self._parameters.records_per_datagram
        taken = self._table.take(count, len(self._table))
        records = [self._compact(record) for record in taken]
        sample = self._sample(self._parameters.sampled_records) if isinstance(body, Ping) else []
        members = (*extra, *records, *sample)
        datagram = Datagram(self._own.node_id, sequence, body, members, self.generation)
        return SendDatagram(address, datagram)
