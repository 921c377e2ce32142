"""Conversion between the datagrams of the membership protocol and protobuf messages."""

import ipaddress

from google.protobuf.message import DecodeError

from liftrill.coordination.membership_messages import (
    Acknowledgement,
    Body,
    Condition,
    Datagram,
    Member,
    MemberList,
    MemberListRequest,
    Ping,
    PingRequest,
)
from liftrill.errors import LiftrillError
from liftrill.gateway.field_reader import is_port
from liftrill.messages import peer_pb2 as messages


class GossipDecodeError(LiftrillError):
    """A datagram is not authentic or cannot be decoded."""


def parse_message(content: bytes) -> messages.Datagram:
    """Decode the protobuf message of a datagram.

    Raises:
        GossipDecodeError: the bytes are not a valid message.
    """
    try:
        return messages.Datagram.FromString(content)
    except DecodeError as error:
        raise GossipDecodeError("datagram is not a valid protobuf message") from error


def datagram_message(datagram: Datagram) -> messages.Datagram:
    """Return the message of a datagram."""
    message = messages.Datagram(
        sender=datagram.sender,
        sequence=datagram.sequence,
        configuration_generation=datagram.generation,
        members=[member_message(member) for member in datagram.members],
    )
    if isinstance(datagram.body, Ping):
        message.ping.SetInParent()
    elif isinstance(datagram.body, PingRequest):
        message.ping_request.target = datagram.body.target
    elif isinstance(datagram.body, MemberListRequest):
        message.member_list_request.SetInParent()
    elif isinstance(datagram.body, MemberList):
        message.member_list.SetInParent()
    else:
        message.acknowledgement.subject = datagram.body.subject
    return message


def datagram_from_message(message: messages.Datagram) -> Datagram:
    """Return the datagram of a message.

    Raises:
        GossipDecodeError: the message has no body.
    """
    return Datagram(
        sender=message.sender,
        sequence=message.sequence,
        body=_body(message),
        # A member that no datagram can be sent to would fail whatever is sent to all members.
        members=tuple(member_from_message(m) for m in message.members if _has_address(m)),
        generation=message.configuration_generation,
    )


def member_message(member: Member) -> messages.MemberRecord:
    """Return the message of a member."""
    return messages.MemberRecord(
        node_id=member.node_id,
        address=member.address,
        region=member.region,
        zone=member.zone,
        incarnation=member.incarnation,
        condition=messages.MemberCondition.Name(int(member.condition)),  # type: ignore[arg-type]
        capacity_millicores=member.capacity_millicores,
    )


def member_from_message(message: messages.MemberRecord) -> Member:
    """Return the member of a message."""
    return Member(
        message.node_id,
        message.address,
        message.region,
        message.zone,
        message.incarnation,
        Condition(message.condition),
        message.capacity_millicores,
    )


def _body(message: messages.Datagram) -> Body:
    kind = message.WhichOneof("body")
    if kind == "ping":
        return Ping()
    if kind == "ping_request":
        return PingRequest(message.ping_request.target)
    if kind == "acknowledgement":
        return Acknowledgement(message.acknowledgement.subject)
    if kind == "member_list_request":
        return MemberListRequest()
    if kind == "member_list":
        return MemberList()
    raise GossipDecodeError(f"datagram from {message.sender!r} has no body")


def _has_address(message: messages.MemberRecord) -> bool:
    host, _, port = message.address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        # Names are not resolved for datagrams.
        return False
    return is_port(port)
