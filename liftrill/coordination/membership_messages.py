"""Messages into, out of and between members."""

from dataclasses import dataclass
from enum import IntEnum


class Condition(IntEnum):
    """What is believed of a member; at equal incarnations the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    DEPARTED = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One node.

    Attributes:
        address: HOST:PORT for gossip and peer calls.
        incarnation: grows when the node restarts or refutes a suspicion.
        capacity_millicores: what its machine can bear; 0 where it isn't told.
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
        """Order of records about one member."""
        return self.incarnation, int(self.condition)


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks the receiver to acknowledge."""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping a target and pass its acknowledgement on."""

    target: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Says that a subject is alive."""

    subject: str


@dataclass(frozen=True, slots=True)
class MemberListRequest:
    """Asks for all members that the receiver believes alive."""


@dataclass(frozen=True, slots=True)
class MemberList:
    """Says that the datagram's members are a part of the list that was asked for."""


Body = Ping | PingRequest | Acknowledgement | MemberListRequest | MemberList


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message between members.

    Attributes:
        sequence: of the probe it belongs to.
        generation: the configuration generation that the sender has in force.
    """

    sender: str
    sequence: int
    body: Body
    members: tuple[Member, ...]
    generation: int


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram arrived from an address."""

    source_address: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to an address."""

    address: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """What is believed of a member has changed."""

    member: Member


@dataclass(frozen=True, slots=True)
class NewerGenerationHeard:
    """A member has a newer configuration in force than this node."""

    address: str
    generation: int


MembershipEvent = Ticked | DatagramReceived
MembershipInstruction = SendDatagram | MemberChanged | NewerGenerationHeard
