"""Events and instructions of the membership protocol, and its messages between members."""

from dataclasses import dataclass
from enum import IntEnum


class Condition(IntEnum):
    """The assumed condition of a member; at equal incarnations the higher one takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    DEPARTED = 3


@dataclass(frozen=True, slots=True)
class Member:
    """The membership record of one node.

    Attributes:
        address: HOST:PORT for gossip and peer calls.
        incarnation: increases when the node restarts or refutes a suspicion.
        capacity_millicores: the CPU capacity of its machine; 0 if not reported.
    """

    node_id: str
    address: str
    region: str
    zone: str
    incarnation: int
    condition: Condition = Condition.ALIVE
    capacity_millicores: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """The version that orders the records of one member."""
        return self.incarnation, int(self.condition)


@dataclass(frozen=True, slots=True)
class Ping:
    """A request to acknowledge."""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """A request to ping a target and to forward its acknowledgement."""

    target: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A confirmation that a subject is alive."""

    subject: str


@dataclass(frozen=True, slots=True)
class MemberListRequest:
    """A request for all members that the receiver believes alive."""


@dataclass(frozen=True, slots=True)
class MemberList:
    """Marks the members in the datagram as a part of the requested list."""


Body = Ping | PingRequest | Acknowledgement | MemberListRequest | MemberList


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message between members.

    Attributes:
        sequence: the number of the probe or request that the message belongs to.
        members: piggybacked membership records.
        generation: the configuration generation in force at the sender.
    """

    sender: str
    sequence: int
    body: Body
    members: tuple[Member, ...]
    generation: int


@dataclass(frozen=True, slots=True)
class Ticked:
    """Event: the time has advanced."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """Event: a datagram arrived from an address."""

    source_address: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Instruction to send a datagram to an address."""

    address: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Notice that the record of a member has changed."""

    member: Member


@dataclass(frozen=True, slots=True)
class NewerGenerationSeen:
    """Notice that a member has a newer configuration in force than this node."""

    address: str
    generation: int


MembershipEvent = Ticked | DatagramReceived
MembershipInstruction = SendDatagram | MemberChanged | NewerGenerationSeen
